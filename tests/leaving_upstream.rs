//! A leaving upstream gets no new work, whichever source reports that it leaves, and finishes the
//! work in progress.

mod peers;

use std::{
    io,
    path::Path,
    time::{Duration, Instant},
};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Fleet, LAYERS, MODEL, SERVICE, Standin, TOKEN},
    process::Process,
    reference,
};
use http::StatusCode;
use peers::{ROUTER, builder, connect, is_leaving};
use serde_json::{Value, json};

/// Maximum time until every instance knows that an upstream is leaving.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of calls through each entry instance after all know that the upstream is leaving.
const CALLS: usize = 20;

async fn services() -> io::Result<Fleet> {
    let fleet = builder(2).service("booking-1").service("booking-2");
    let mut fleet = fleet.start().await?;
    connect(&mut fleet).await?;
    Ok(fleet)
}

/// Starts two engines with stale load reports, so that only their refusals show that they leave.
async fn engines() -> io::Result<Fleet> {
    let stale = ["--load-lag-ms=60000"];
    let fleet = builder(2).engine("large-1", 0, 12, &stale).engine("large-2", 0, 12, &stale);
    let mut fleet = fleet.start().await?;
    connect(&mut fleet).await?;
    Ok(fleet)
}

/// Waits until every entry instance shows the upstream as leaving, with a timeout.
async fn wait_leaving(fleet: &Fleet, upstream: &str) -> io::Result<()> {
    let all_leaving = async {
        for entry in 0..fleet.entries.len() {
            fleet.wait_dump(entry, |dump| is_leaving(dump, upstream)).await?;
        }
        Ok(())
    };
    match tokio::time::timeout(PROPAGATION_TIMEOUT, all_leaving).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::other(format!("{upstream} is not leaving everywhere"))),
    }
}

async fn call(fleet: &Fleet, entry: usize) -> io::Result<StatusCode> {
    let path = format!("/services/{SERVICE}/jobs");
    let answer = fleet.customer().get(fleet.entries[entry].callers, &path).await?;
    Ok(answer.status)
}

async fn effects(service: &Standin) -> io::Result<Value> {
    Ok(service.counts().await?["effects"].clone())
}

/// Checks that calls through every entry instance succeed and none reaches the first service.
async fn expect_no_new_calls(fleet: &Fleet) -> io::Result<()> {
    let before = effects(&fleet.services[0]).await?;
    for entry in 0..fleet.entries.len() {
        for _ in 0..CALLS {
            assert_eq!(call(fleet, entry).await?, StatusCode::OK);
        }
    }
    assert_eq!(effects(&fleet.services[0]).await?, before);
    Ok(())
}

async fn leave(upstream: &Standin) -> io::Result<()> {
    Caller::default().post(upstream.control, "/leave", &Value::Null).await?;
    Ok(())
}

async fn drain(fleet: &Fleet, entry: usize, upstream: &str) -> io::Result<()> {
    let at = fleet.entries[entry].operators.to_string();
    let arguments = ["drain", &at, upstream, "--token", TOKEN].map(str::to_owned);
    let mut process = Process::spawn(Path::new(ROUTER), &arguments)?;
    assert_eq!(process.wait().await?, Some(0), "{}", process.output().await);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_the_list() -> io::Result<()> {
    let fleet = services().await?;
    fleet.upsert_instance(&fleet.services[0], "service", SERVICE, "leaving").await?;
    wait_leaving(&fleet, "booking-1").await?;
    expect_no_new_calls(&fleet).await?;
    // The list reverts its state; this incarnation is still leaving.
    fleet.upsert_instance(&fleet.services[0], "service", SERVICE, "live").await?;
    expect_no_new_calls(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_the_load_report() -> io::Result<()> {
    let fleet = services().await?;
    leave(&fleet.services[0]).await?;
    wait_leaving(&fleet, "booking-1").await?;
    expect_no_new_calls(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_an_operator_at_one_instance() -> io::Result<()> {
    let fleet = services().await?;
    drain(&fleet, 0, "booking-1").await?;
    assert!(is_leaving(&fleet.dump(0).await?, "booking-1"), "in force when the command returns");
    wait_leaving(&fleet, "booking-1").await?;
    expect_no_new_calls(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_a_refusal_to_one_instance() -> io::Result<()> {
    let fleet = engines().await?;
    leave(&fleet.engines[0]).await?;
    let body = json!({ "model": MODEL, "prompt": "a notice", "max_tokens": 4 });
    let customer = fleet.customer();
    // Sends drafts until one is refused; the other engine serves the rest.
    let deadline = Instant::now() + PROPAGATION_TIMEOUT;
    while !is_leaving(&fleet.dump(0).await?, "large-1") {
        assert!(Instant::now() < deadline, "no draft was sent to the leaving engine");
        let drafts =
            (0..4).map(|_| customer.post(fleet.entries[0].callers, "/v1/completions", &body));
        futures_util::future::join_all(drafts).await;
    }
    wait_leaving(&fleet, "large-1").await?;
    let before = fleet.engines[0].counts().await?;
    for entry in &fleet.entries {
        for _ in 0..CALLS {
            let draft = customer.post(entry.callers, "/v1/completions", &body).await?;
            assert_eq!(draft.status, StatusCode::OK, "{}", draft.json());
        }
    }
    let after = fleet.engines[0].counts().await?;
    assert_eq!((&after["steps"], &after["refusals"]), (&before["steps"], &before["refusals"]));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn all_sources_at_once_then_a_new_incarnation() -> io::Result<()> {
    let fleet = services().await?;
    let booking = &fleet.services[0];
    let (listed, left, drained) = tokio::join!(
        fleet.upsert_instance(booking, "service", SERVICE, "leaving"),
        leave(booking),
        drain(&fleet, 1, "booking-1"),
    );
    listed.and(left).and(drained)?;
    wait_leaving(&fleet, "booking-1").await?;
    expect_no_new_calls(&fleet).await?;
    // Its next incarnation gets work again under the same name.
    let arguments = [format!("--service={SERVICE}")];
    let program = goldcrestvale_standin::fleet::Programs::beside(ROUTER).standin;
    let next = Standin::start(&program, "service", "booking-1", &arguments).await?;
    fleet.upsert_instance(&next, "service", SERVICE, "live").await?;
    for entry in 0..2 {
        fleet.wait_dump(entry, |dump| !is_leaving(dump, "booking-1")).await?;
        assert_eq!(call(&fleet, entry).await?, StatusCode::OK);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn work_in_progress_finishes() -> io::Result<()> {
    let fleet = builder(2)
        .engine("large-1", 0, 12, &["--time-scale=0.1"])
        .service("booking-1")
        .service("booking-2");
    let mut fleet = fleet.start().await?;
    connect(&mut fleet).await?;
    let (customer, entry) = (fleet.customer(), fleet.entries[0].callers);

    let body = json!({ "model": MODEL, "prompt": "a tribute", "max_tokens": 200, "stream": true });
    let mut draft = customer.stream(entry, "/v1/completions", &body).await?;
    let mut events = vec![draft.next().await?.expect("a first event")];
    fleet.services[0].fault(&json!({ "delay_ms": 1_000 })).await?;
    let path = format!("/services/{SERVICE}/jobs");
    let calls = (0..4).map(|_| customer.get(entry, &path));
    let (calls, drained) = tokio::join!(futures_util::future::join_all(calls), async {
        fleet
            .wait_dump(0, |dump| dump["instance"]["requests_in_progress"].as_u64() > Some(1))
            .await?;
        drain(&fleet, 0, "large-1").await?;
        drain(&fleet, 0, "booking-1").await
    });
    drained?;
    for call in calls {
        assert_eq!(call?.status, StatusCode::OK);
    }
    events.extend(draft.collect().await?);
    let token = |event: &goldcrestvale_standin::caller::Event| event.data["token"].as_u64();
    let tokens: Vec<u32> = events.iter().filter_map(token).map(|token| token as u32).collect();
    let prompt: Vec<u32> = "a tribute".bytes().map(u32::from).collect();
    assert_eq!(tokens, reference::answer(&prompt, LAYERS, 200));
    assert_eq!(events.last().map(|event| event.name.as_str()), Some("end"));
    Ok(())
}
