//! Prints throughput and latency of claims for each batching policy and load.
//!
//! `cargo run --release -p goldcrestvale_ledger --example batching`

#![allow(clippy::print_stdout, reason = "the table is the purpose of this program")]

mod model;

use std::time::Duration;

use model::{Choice, Phase, Run, choices, simulate};

fn main() {
    println!("| load | policy | claims/s | appends/s | p50 ms | p99 ms |");
    println!("|---|---|---:|---:|---:|---:|");
    for (instances, rate) in
        [(4, 1.0), (4, 50.0), (4, 200.0), (4, 1_000.0), (4, 4_000.0), (28, 1_000.0), (340, 1_000.0)]
    {
        let shares = vec![1.0 / f64::from(instances); instances as usize];
        print_rows(&format!("{rate}/s from {instances}"), &steady(rate, shares));
    }
    print_rows("1000/s, one takes 97%", &steady(1_000.0, vec![0.97, 0.01, 0.01, 0.01]));
    let burst = Run {
        shares: vec![0.25; 4],
        phases: vec![
            Phase { from: Duration::ZERO, rate: 20.0 },
            Phase { from: Duration::from_secs(30), rate: 1_000.0 },
        ],
        length: Duration::from_secs(32),
        count_from: Duration::from_secs(30),
    };
    print_rows("20/s then 1000/s, first 2 s", &burst);
}

fn steady(rate: f64, shares: Vec<f64>) -> Run {
    let phases = vec![Phase { from: Duration::ZERO, rate }];
    let (length, count_from) = (Duration::from_secs(180), Duration::from_secs(20));
    Run { shares, phases, length, count_from }
}

fn print_rows(load: &str, run: &Run) {
    let count = run.shares.len();
    for (index, Choice { name, .. }) in choices(count).into_iter().enumerate() {
        let results = simulate(run, || choices(count).swap_remove(index));
        let ms = |share| results.percentile(share).as_secs_f64() * 1_000.0;
        let (claims, appends) = (results.claims, results.appends);
        let (p50, p99) = (ms(0.5), ms(0.99));
        println!("| {load} | {name} | {claims:.0} | {appends:.0} | {p50:.1} | {p99:.1} |");
    }
}
