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

fn draft_request(max_tokens: u32) -> Value {
    json!({ "model": MODEL, "prompt": "a notice", "max_tokens": max_tokens, "stream": true })
}

/// Waits until this number of drafts is queued at the instance.
async fn wait_queued(fleet: &Fleet, queued: u64) -> io::Result<()> {
    fleet.wait_dump(0, |dump| dump["drafts"]["waiting"].as_u64() == Some(queued)).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn full_slots_queue_and_reject_drafts() -> io::Result<()> {
    let fleet = fleet().await?;
    let callers = fleet.entries[0].callers;
    let customer = fleet.customer();
    let path = "/v1/completions";
    let mut running = customer.stream(callers, path, &draft_request(2_000)).await?;
    running.next().await?.expect("a first token");
    let spawn = |caller: Caller, body: Value| {
        tokio::spawn(async move { caller.post(callers, path, &body).await })
    };
    let queued = spawn(customer.clone(), draft_request(1));
    wait_queued(&fleet, 1).await?;
    let expiring = spawn(customer.with("goldcrestvale-deadline-ms", "1500"), draft_request(1));
    wait_queued(&fleet, 2).await?;

    let rejected = customer.post(callers, path, &draft_request(1)).await?;
    assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(rejected.json()["cause"], "busy");
    assert_eq!(rejected.header("goldcrestvale-verdict"), "not-run");
    assert!(!rejected.header("retry-after").is_empty());

    let expired = expiring.await??;
    assert_eq!(expired.json()["cause"], "deadline", "{}", expired.json());
    assert_eq!(expired.header("goldcrestvale-verdict"), "not-run");

    // The caller of the running draft disconnects, which frees its slot for the next draft.
    drop(running);
    let served = queued.await??;
    assert_eq!(served.status, StatusCode::OK, "{}", served.json());
    fleet.wait_dump(0, |dump| dump["drafts"]["running"] == 0).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_calls_are_retried_at_another_instance() -> io::Result<()> {
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
    assert!(started.elapsed() < Duration::from_secs(2), "fails without waiting");
    Ok(())
}
