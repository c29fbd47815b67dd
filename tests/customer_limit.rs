//! The rate limit of a customer, shared by two entry instances.

use std::io;

use goldcrestvale_base::id::Digest;
use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Builder, Programs},
};
use http::StatusCode;
use serde_json::json;

/// Requests per second of the customer over all instances.
const RATE: u64 = 20;

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_rate_are_rejected() -> io::Result<()> {
    let fleet = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .service("booking-1")
        .entry("entry-1", "[peer]\ninstances = 2\n")
        .entry("entry-2", "[peer]\ninstances = 2\n")
        .start()
        .await?;
    let credential = Digest::of(b"c");
    let limited = json!({
        "credential": credential, "weight": 1, "max_in_flight": 100, "requests_per_second": RATE,
    });
    fleet.put(0, "customer", "limited", &limited).await?;
    let binding = json!({ "customer": "limited", "target": { "service": "booking" } });
    let accepted = fleet.put(0, "binding", "limited-booking", &binding).await?;
    let version = accepted["outcome"]["accepted"]["version"].as_u64();
    fleet.wait_dump(1, |dump| dump["config"]["version"].as_u64() >= version).await?;

    let caller = Caller::customer("limited", "c");
    let started = std::time::Instant::now();
    let (mut served, mut rejected) = (0, 0);
    for round in 0..400 {
        let entry = &fleet.entries[round % 2];
        let answer = caller.get(entry.callers, "/services/booking/jobs").await?;
        match answer.status {
            StatusCode::OK => served += 1,
            StatusCode::TOO_MANY_REQUESTS => {
                rejected += 1;
                assert_eq!(answer.header("goldcrestvale-verdict"), "not-run");
                assert!(!answer.header("retry-after").is_empty());
            }
            status => panic!("status {status}: {}", answer.json()),
        }
    }
    // Each instance has half of the rate, and the burst of one second.
    let allowed = RATE as f64 * (started.elapsed().as_secs_f64() + 1.0) + 1.0;
    assert!(f64::from(served) <= allowed, "{served} served, {allowed} allowed");
    assert!(rejected > 0 && served >= RATE as i32, "{served} served, {rejected} rejected");
    Ok(())
}
