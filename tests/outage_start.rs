//! An instance that starts during a platform outage serves with the state of its peers.

mod peers;

use std::{io, time::Duration};

use goldcrestvale_standin::fleet::{MODEL, SERVICE};
use http::StatusCode;
use peers::{address, builder, connect, links, settings};
use serde_json::json;

/// Maximum time from the start of the instance to its readiness.
const START_TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread")]
async fn new_instance_serves_during_a_platform_outage() -> io::Result<()> {
    let mut fleet = builder(2).engine("large-1", 0, 12, &[]).service("booking-1").start().await?;
    connect(&mut fleet).await?;
    let seeds = [address(&mut fleet.entries[0]).await?, address(&mut fleet.entries[1]).await?];
    fleet.platform.fault(&json!({ "down": true })).await?;
    fleet.start_entry("entry-3", &settings(&format!("seeds = {}\n", seeds.join(", ")))).await?;
    let ready = fleet.wait_dump(2, |dump| {
        dump["instance"]["phase"] == "serving"
            && dump["upstreams"]["rows"].as_object().is_some_and(|rows| rows.len() == 2)
            && links(dump) == 2
    });
    match tokio::time::timeout(START_TIMEOUT, ready).await {
        Ok(ready) => ready?,
        Err(_) => {
            panic!("not ready within {START_TIMEOUT:?}: {:#}", fleet.dump(2).await?["instance"])
        }
    };
    let (customer, entry) = (fleet.customer(), fleet.entries[2].callers);
    let body = json!({ "model": MODEL, "prompt": "a notice", "max_tokens": 4 });
    let draft = customer.post(entry, "/v1/completions", &body).await?;
    assert_eq!(draft.status, StatusCode::OK, "{}", draft.json());
    let call = customer.get(entry, &format!("/services/{SERVICE}/jobs")).await?;
    assert_eq!(call.status, StatusCode::OK, "{}", call.json());
    Ok(())
}
