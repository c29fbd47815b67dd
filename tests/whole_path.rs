//! One request of each kind through real processes, from the caller to the upstreams and back.

use std::io;

use goldcrestvale_standin::{
    caller::{Caller, Event},
    fleet::{Builder, Fleet, LAYERS, MODEL, Programs, SERVICE},
    process::Signal,
    reference,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};

async fn fleet() -> io::Result<Fleet> {
    Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .engine("large-1", 0, 6, &["--accelerator=large"])
        .engine("large-2", 6, 12, &["--accelerator=large"])
        .engine("small-1", 0, 6, &["--accelerator=small"])
        .engine("small-2", 6, 12, &["--accelerator=small"])
        .service("booking-1")
        .entry("entry-1", "[callers]\nbody_bytes = 4096\n")
        .entry("entry-2", "")
        .start()
        .await
}

fn draft_request(prompt: &str, count: u32, stream: bool) -> Value {
    json!({ "model": MODEL, "prompt": prompt, "max_tokens": count, "stream": stream })
}

fn expected(prompt: &str, count: usize) -> Vec<u32> {
    let prompt: Vec<u32> = prompt.bytes().map(u32::from).collect();
    reference::answer(&prompt, LAYERS, count)
}

fn tokens(events: &[Event]) -> Vec<u32> {
    let token = |event: &Event| event.data["token"].as_u64().map(|token| token as u32);
    events.iter().filter(|event| event.name == "token").filter_map(token).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn drafts_and_bookings() -> io::Result<()> {
    let fleet = fleet().await?;
    let customer = fleet.customer();
    for entry in &fleet.entries {
        let plain = draft_request("a notice", 24, false);
        let plain = customer.post(entry.callers, "/v1/completions", &plain).await?;
        assert_eq!(plain.status, StatusCode::OK, "{}", plain.json());
        assert_eq!(plain.json()["tokens"], json!(expected("a notice", 24)));
        assert_eq!(plain.header("goldcrestvale-verdict"), "ran");

        let body = draft_request("a tribute", 24, true);
        let events = customer.stream(entry.callers, "/v1/completions", &body).await?;
        let events = events.collect().await?;
        assert_eq!(tokens(&events), expected("a tribute", 24));
        let end = events.last().expect("a stream has a last event");
        assert_eq!((end.name.as_str(), &end.data["count"]), ("end", &json!(24)));
    }
    let key = uuid::Uuid::now_v7().to_string();
    let booking = customer.with("idempotency-key", &key);
    let path = format!("/services/{SERVICE}/notices");
    let booked = booking.post(fleet.entries[0].callers, &path, &json!({ "page": 3 })).await?;
    assert_eq!(booked.status, StatusCode::OK, "{}", booked.json());
    assert_eq!(booked.header("goldcrestvale-verdict"), "ran");
    assert_eq!(booked.json()["path"], "/notices");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_takes_effect() -> io::Result<()> {
    let fleet = fleet().await?;
    let customer = fleet.customer();
    let second = fleet.entries[1].callers;
    let before = customer.get(second, "/services/status/jobs").await?;
    assert_eq!(before.status, StatusCode::NOT_FOUND);
    assert_eq!(before.header("goldcrestvale-verdict"), "not-run");

    let service = json!({
        "pool": SERVICE, "timeout_ms": 5000,
        "methods": [{ "method": "GET", "path": "/", "idempotent": true }],
    });
    fleet.put(0, "service", "status", &service).await?;
    let binding = json!({ "customer": "tester", "target": { "service": "status" } });
    let accepted = fleet.put(0, "binding", "tester-status", &binding).await?;
    let version = accepted["outcome"]["accepted"]["version"].as_u64();
    assert!(version.is_some(), "{accepted}");
    fleet.wait_dump(1, |dump| dump["config"]["version"].as_u64() >= version).await?;

    let after = customer.get(second, "/services/status/jobs").await?;
    assert_eq!(after.status, StatusCode::OK, "{}", after.json());
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests() -> io::Result<()> {
    let fleet = fleet().await?;
    let customer = fleet.customer();
    let entry = fleet.entries[0].callers;
    let unauthenticated = Caller::customer("tester", "wrong");
    let good = draft_request("x", 1, false).to_string();
    let path = "/v1/completions";
    let large = "x".repeat(5_000);
    let table = [
        (&customer, Method::POST, path, "{", 400, "malformed"),
        (&customer, Method::POST, path, "{\"model\":\"draft\",\"tokens\":1}", 400, "malformed"),
        (&customer, Method::POST, path, large.as_str(), 413, "oversized"),
        (&customer, Method::GET, path, "", 405, "method"),
        (&customer, Method::POST, "/v2", "{}", 404, "unknown"),
        (&customer, Method::POST, "/services/booking/notices", "{}", 400, "key-missing"),
        (&customer, Method::GET, "/services/none/x", "", 404, "unknown"),
        (&unauthenticated, Method::POST, path, good.as_str(), 401, "credential"),
    ];
    for (caller, method, path, body, status, cause) in table {
        let answer = caller.send(entry, method, path, body.to_owned()).await?;
        assert_eq!(answer.status.as_u16(), status, "{path} {body:.40}: {}", answer.json());
        assert_eq!(answer.json()["cause"], cause);
        assert_eq!(answer.header("goldcrestvale-verdict"), "not-run");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_in_a_stream() -> io::Result<()> {
    let mut fleet = fleet().await?;
    let entry = fleet.entries[0].callers;
    let body = draft_request("a long tribute", 400, true);
    let mut events = fleet.customer().stream(entry, "/v1/completions", &body).await?;
    let first = events.next().await?.expect("a first event");
    fleet.entries[0].process.signal(Signal::SIGTERM)?;
    let mut all = vec![first];
    all.extend(events.collect().await?);
    assert_eq!(tokens(&all), expected("a long tribute", 400));
    assert_eq!(all.last().expect("a last event").name, "end");
    assert_eq!(fleet.entries[0].process.wait().await?, Some(0));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn over_http2() -> io::Result<()> {
    let fleet = fleet().await?;
    let entry = fleet.entries[0].callers;
    let customer = fleet.customer().over_http2();
    let stream = draft_request("a tribute", 16, true);
    let drafts = (0..8).map(|_| customer.stream(entry, "/v1/completions", &stream));
    for events in futures_util::future::join_all(drafts).await {
        assert_eq!(tokens(&events?.collect().await?), expected("a tribute", 16));
    }
    let large = json!({ "model": MODEL, "prompt": "x".repeat(5_000), "max_tokens": 1 });
    let rejected = customer.post(entry, "/v1/completions", &large).await?;
    assert_eq!(rejected.status, StatusCode::PAYLOAD_TOO_LARGE);
    let call = customer.get(entry, &format!("/services/{SERVICE}/jobs")).await?;
    assert_eq!(call.status, StatusCode::OK, "{}", call.json());
    Ok(())
}
