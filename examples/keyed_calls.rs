//! Measures calls with an idempotency key through four entry processes, compared with idempotent
//! calls of the same service.
//!
//! `cargo build --release --workspace && cargo run --release --example keyed_calls`

#![expect(clippy::print_stdout, reason = "the example prints its results")]

use std::{
    error::Error,
    time::{Duration, Instant},
};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Builder, Fleet, Programs, SERVICE},
};
use serde_json::json;
use tokio::task::JoinSet;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const ENTRIES: usize = 4;
const DURATION: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> Result<()> {
    let here = std::env::current_exe()?;
    let router = here.parent().and_then(|examples| examples.parent());
    let router = router.ok_or("the directory of the router cannot be determined")?;
    let programs = Programs::beside(&router.join("goldcrestvale").display().to_string());
    let builder = Builder::new(programs).service("booking-1").service("booking-2");
    let builder = (1..=ENTRIES).fold(builder, |b, n| b.entry(&format!("entry-{n}"), ""));
    let fleet = builder.start().await?;
    println!("| calls/s | kind | ran | other | appends/s | p50 ms | p99 ms |");
    println!("|---:|---|---:|---:|---:|---:|---:|");
    for rate in [1, 50, 200, 1_000] {
        for keyed in [false, true] {
            measure(&fleet, rate, keyed).await?;
        }
    }
    Ok(())
}

/// Sends calls at a fixed rate, whether or not earlier calls have ended.
async fn measure(fleet: &Fleet, rate: u32, keyed: bool) -> Result<()> {
    let before = fleet.platform.counts().await?["appends"].as_u64().unwrap_or(0);
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < DURATION {
        let entry = fleet.entries[sent as usize % ENTRIES].callers;
        calls.spawn(call(fleet.customer(), entry, keyed));
        sent += 1;
        tokio::time::sleep_until(
            (start + DURATION.min(Duration::from_secs(1) / rate * sent)).into(),
        )
        .await;
    }
    let mut latencies = Vec::new();
    let mut other = 0;
    while let Some(ended) = calls.join_next().await {
        match ended? {
            Some(latency) => latencies.push(latency),
            None => other += 1,
        }
    }
    latencies.sort_unstable();
    let after = fleet.platform.counts().await?["appends"].as_u64().unwrap_or(0);
    let appends = (after - before) as f64 / start.elapsed().as_secs_f64();
    let quantile = |share: f64| {
        let index = (latencies.len().saturating_sub(1) as f64 * share).round() as usize;
        latencies.get(index).map_or(0.0, |latency: &Duration| latency.as_secs_f64() * 1_000.0)
    };
    let kind = if keyed { "keyed" } else { "idempotent" };
    let (ran, p50, p99) = (latencies.len(), quantile(0.5), quantile(0.99));
    println!("| {rate} | {kind} | {ran} | {other} | {appends:.0} | {p50:.1} | {p99:.1} |");
    Ok(())
}

/// Sends one call and returns its latency if it ran.
async fn call(caller: Caller, entry: std::net::SocketAddr, keyed: bool) -> Option<Duration> {
    let path = format!("/services/{SERVICE}/notices");
    let start = Instant::now();
    let answer = if keyed {
        let caller = caller.with("idempotency-key", &uuid::Uuid::now_v7().to_string());
        caller.post(entry, &path, &json!({ "page": 3 })).await
    } else {
        caller.get(entry, &path).await
    };
    let ran = answer.is_ok_and(|answer| answer.header("goldcrestvale-verdict") == "ran");
    ran.then(|| start.elapsed())
}
