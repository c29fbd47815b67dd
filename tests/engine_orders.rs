//! Orders to engines by the holder of the lease: placements, takeover after a kill or a pause, and
//! engines that check neither fencing numbers nor the sender.

use std::{io, time::Duration};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Builder, Fleet, MODEL, Programs},
    process::Signal,
};
use serde_json::{Value, json};

/// Lease settings for a quick takeover; the delays of both engines are shorter.
const ORDER_SETTINGS: &str = "[orders]\ntoken = order-token\nlease_ms = 1000\ndelay_ms = 300\n";

async fn fleet() -> io::Result<Fleet> {
    Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .engine("checks", 0, 6, &["--order-token=order-token", "--fenced=true"])
        .engine("ignores", 6, 12, &["--fenced=false", "--order-delay-ms=100"])
        .entry("entry-1", ORDER_SETTINGS)
        .entry("entry-2", ORDER_SETTINGS)
        .start()
        .await
}

fn placement(from: u32, to: u32) -> Value {
    json!({ "model": MODEL, "layers": { "from": from, "to": to }, "version": "2" })
}

/// Waits until an engine holds exactly these layers in version 2.
async fn wait_holds(fleet: &Fleet, engine: usize, from: u64, to: u64) -> io::Result<Value> {
    loop {
        let orders = Caller::default().get(fleet.engines[engine].address, "/v1/orders").await?;
        let orders = orders.json();
        let held = &orders["holds"][0];
        let is_expected = held["version"] == "2"
            && held["layers"]["from"] == from
            && held["layers"]["to"] == to
            && orders["holds"].as_array().map(Vec::len) == Some(1);
        if is_expected {
            return Ok(orders);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until one of the given entry instances holds the lease, and returns its index.
async fn wait_holder(fleet: &Fleet, candidates: &[usize]) -> io::Result<usize> {
    loop {
        for &entry in candidates {
            if fleet.dump(entry).await?["orders"]["held"] == true {
                return Ok(entry);
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn placements_take_effect() -> io::Result<()> {
    let fleet = fleet().await?;
    fleet.put(0, "placement", "checks", &placement(0, 12)).await?;
    fleet.put(1, "placement", "ignores", &placement(0, 12)).await?;
    wait_holds(&fleet, 0, 0, 12).await?;
    wait_holds(&fleet, 1, 0, 12).await?;
    fleet.put(0, "placement", "ignores", &placement(4, 12)).await?;
    wait_holds(&fleet, 1, 4, 12).await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn takeover_after_kill() -> io::Result<()> {
    let mut fleet = fleet().await?;
    fleet.put(0, "placement", "checks", &placement(0, 8)).await?;
    let first = wait_holds(&fleet, 0, 0, 8).await?["fence"].as_u64();
    let holder = wait_holder(&fleet, &[0, 1]).await?;
    fleet.entries[holder].process.signal(Signal::SIGKILL)?;
    fleet.entries[holder].process.wait().await?;
    let other = 1 - holder;
    fleet.put(other, "placement", "checks", &placement(0, 10)).await?;
    let second = wait_holds(&fleet, 0, 0, 10).await?["fence"].as_u64();
    assert!(second > first, "fencing numbers {first:?} and {second:?}");
    Ok(())
}

/// A holder that is paused for longer than its lease sends no order after it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn paused_holder_sends_no_order() -> io::Result<()> {
    let fleet = fleet().await?;
    fleet.put(0, "placement", "ignores", &placement(6, 10)).await?;
    wait_holds(&fleet, 1, 6, 10).await?;
    let holder = wait_holder(&fleet, &[0, 1]).await?;
    let other = 1 - holder;
    // The change is accepted by the platform while the holder is paused.
    fleet.entries[holder].process.signal(Signal::SIGSTOP)?;
    fleet.put(other, "placement", "ignores", &placement(2, 12)).await?;
    wait_holds(&fleet, 1, 2, 12).await?;
    let before = fleet.engines[1].counts().await?["orders"].as_u64();
    fleet.entries[holder].process.signal(Signal::SIGCONT)?;
    fleet.wait_dump(holder, |dump| dump["orders"]["held"] == false).await?;
    fleet.put(holder, "placement", "ignores", &placement(3, 12)).await?;
    wait_holds(&fleet, 1, 3, 12).await?;
    let after = fleet.engines[1].counts().await?["orders"].as_u64();
    assert_eq!(after, before.map(|orders| orders + 1), "one order, from the new holder");
    Ok(())
}

/// A graceful stop releases the lease, so that the other instance need not wait until it expires.
#[tokio::test(flavor = "multi_thread")]
async fn lease_is_released_on_stop() -> io::Result<()> {
    let mut fleet = fleet().await?;
    let holder = wait_holder(&fleet, &[0, 1]).await?;
    fleet.entries[holder].process.signal(Signal::SIGTERM)?;
    assert_eq!(fleet.entries[holder].process.wait().await?, Some(0));
    let dump = fleet.dump(1 - holder).await?;
    let other = wait_holder(&fleet, &[1 - holder]).await?;
    assert_eq!(other, 1 - holder, "{}", dump["orders"]);
    Ok(())
}
