//! Orders to engines, by the holder of the lease: placements, takeover after a kill and a pause,
//! and engines that ignore fencing numbers and check nobody.

use std::{io, time::Duration};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Builder, Fleet, MODEL, Programs},
    process::Signal,
};
use serde_json::{Value, json};

/// Short times of the lease, so that a takeover is quick; both engines' delays stay below.
const TIMES: &str = "[orders]\ntoken = order-token\nlease_ms = 1000\ndelay_ms = 300\n";

async fn fleet() -> io::Result<Fleet> {
    Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .engine("checks", 0, 6, &["--order-token=order-token", "--fenced=true"])
        .engine("ignores", 6, 12, &["--fenced=false", "--order-delay-ms=100"])
        .entry("entry-1", TIMES)
        .entry("entry-2", TIMES)
        .start()
        .await
}

fn placement(from: u32, to: u32) -> Value {
    json!({ "model": MODEL, "layers": { "from": from, "to": to }, "version": "2" })
}

/// Waits until an engine holds just these layers in version 2.
async fn wait_holds(fleet: &Fleet, engine: usize, from: u64, to: u64) -> io::Result<Value> {
    loop {
        let orders = Caller::default().get(fleet.engines[engine].address, "/v1/orders").await?;
        let orders = orders.json();
        let held = &orders["holds"][0];
        let wanted = held["version"] == "2"
            && held["layers"]["from"] == from
            && held["layers"]["to"] == to
            && orders["holds"].as_array().map(Vec::len) == Some(1);
        if wanted {
            return Ok(orders);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until one of some entry instances holds the lease, and returns which.
async fn wait_holder(fleet: &Fleet, among: &[usize]) -> io::Result<usize> {
    loop {
        for &entry in among {
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

/// A holder that is paused for longer than its lease gives no order when it wakes.
#[tokio::test(flavor = "multi_thread")]
async fn paused_holder() -> io::Result<()> {
    let fleet = fleet().await?;
    fleet.put(0, "placement", "ignores", &placement(6, 10)).await?;
    wait_holds(&fleet, 1, 6, 10).await?;
    let holder = wait_holder(&fleet, &[0, 1]).await?;
    let other = 1 - holder;
    // The change is known to the holder's platform but the holder sleeps.
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

/// A planned stop gives the lease back, so that the other instance need not wait it out.
#[tokio::test(flavor = "multi_thread")]
async fn released_on_stop() -> io::Result<()> {
    let mut fleet = fleet().await?;
    let holder = wait_holder(&fleet, &[0, 1]).await?;
    fleet.entries[holder].process.signal(Signal::SIGTERM)?;
    assert_eq!(fleet.entries[holder].process.wait().await?, Some(0));
    let dump = fleet.dump(1 - holder).await?;
    let other = wait_holder(&fleet, &[1 - holder]).await?;
    assert_eq!(other, 1 - holder, "{}", dump["orders"]);
    Ok(())
}
