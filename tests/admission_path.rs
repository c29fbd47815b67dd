//! Admission on the request path: slots, the queue, deadlines, and retries of idempotent calls.

use std::{io, time::Duration};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Builder, Fleet, MODEL, Programs},
    process::Signal,
};
use http::StatusCode;
use serde_json::{Value, json};

async fn fleet() -> io::Result<Fleet> {
    Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .engine("large-1", 0, 12, &["--time-scale=1"])
        .service("booking-1")
        .service("booking-2")
        .entry("entry-1", "[admission]\ndraft_slots = 1\nwaiting = 2\n")
        .start()
        .await
}

fn ask(count: u32) -> Value {
    json!({ "model": MODEL, "prompt": "a notice", "max_tokens": count, "stream": true })
}

/// Waits until so many drafts wait at the instance.
async fn wait_waiting(fleet: &Fleet, waiting: u64) -> io::Result<()> {
    fleet.wait_dump(0, |dump| dump["drafts"]["waiting"].as_u64() == Some(waiting)).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_and_queue() -> io::Result<()> {
    let fleet = fleet().await?;
    let callers = fleet.entries[0].callers;
    let customer = fleet.customer();
    let path = "/v1/completions";
    let mut running = customer.stream(callers, path, &ask(2_000)).await?;
    running.next().await?.expect("a first token");
    let spawn = |caller: Caller, ask: Value| {
        tokio::spawn(async move { caller.post(callers, path, &ask).await })
    };
    let patient = spawn(customer.clone(), ask(1));
    wait_waiting(&fleet, 1).await?;
    let hasty = spawn(customer.with("goldcrestvale-deadline-ms", "1500"), ask(1));
    wait_waiting(&fleet, 2).await?;

    let crowded = customer.post(callers, path, &ask(1)).await?;
    assert_eq!(crowded.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(crowded.json()["cause"], "busy");
    assert_eq!(crowded.header("goldcrestvale-verdict"), "not-run");
    assert!(!crowded.header("retry-after").is_empty());

    let late = hasty.await??;
    assert_eq!(late.json()["cause"], "deadline", "{}", late.json());
    assert_eq!(late.header("goldcrestvale-verdict"), "not-run");

    // The running draft's caller goes away, so that its slot serves the next.
    drop(running);
    let served = patient.await??;
    assert_eq!(served.status, StatusCode::OK, "{}", served.json());
    fleet.wait_dump(0, |dump| dump["drafts"]["running"] == 0).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_elsewhere() -> io::Result<()> {
    let mut fleet = fleet().await?;
    let callers = fleet.entries[0].callers;
    fleet.services[0].process.signal(Signal::SIGKILL)?;
    fleet.services[0].process.wait().await?;
    for _ in 0..20 {
        let answer = fleet.customer().get(callers, "/services/booking/jobs").await?;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.json());
    }
    fleet.services[1].process.signal(Signal::SIGKILL)?;
    fleet.services[1].process.wait().await?;
    let started = std::time::Instant::now();
    let answer = fleet.customer().get(callers, "/services/booking/jobs").await?;
    assert_eq!(answer.header("goldcrestvale-verdict"), "not-run", "{}", answer.json());
    assert!(started.elapsed() < Duration::from_secs(2), "given up on at once");
    Ok(())
}
