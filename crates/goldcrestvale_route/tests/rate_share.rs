//! Instances that share the request rate of an upstream stay below one and a half times the rate and
//! five more in any four seconds, and use most of it.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::rate_share::{RateShare, part};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SECOND: u64 = 1_000_000;

/// Requests that one instance sends per second, and for how long after the start it sends none.
#[derive(Clone, Copy)]
struct Demand {
    per_second: f64,
    idle: Duration,
}

/// Plays twenty seconds; returns the times of the requests that were sent.
fn play(rate: f64, demands: &[Demand], seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let instances = demands.len() as u32;
    let mut shares = vec![RateShare::new(rate, Instant(0)); demands.len()];
    let mut requests: Vec<(u64, usize)> = Vec::new();
    for (index, demand) in demands.iter().enumerate() {
        let mut at = demand.idle.as_micros() as f64;
        while at < 20.0 * SECOND as f64 {
            requests.push((at as u64, index));
            at += -(1.0 - rng.random::<f64>()).ln() * SECOND as f64 / demand.per_second;
        }
    }
    requests.sort_unstable();
    let mut sent = Vec::new();
    // Streams last three seconds, and peers know of those that began half a second ago.
    let mut in_progress: Vec<(u64, usize)> = Vec::new();
    for (at, index) in requests {
        in_progress.retain(|(start, _)| at < start + 3 * SECOND);
        let own = in_progress.iter().filter(|(_, other)| *other == index).count();
        let is_reported = |start: u64| start + SECOND / 2 <= at;
        let others = in_progress.iter().filter(|(start, o)| *o != index && is_reported(*start));
        let part = part(own as u32, others.count() as u32, instances);
        if shares[index].try_take(Instant(at), part, rng.random()) {
            sent.push(at);
            in_progress.push((at, index));
        }
    }
    sent
}

/// Returns the highest number of requests in any four seconds.
fn busiest(sent: &[u64]) -> usize {
    let within = |start: u64| {
        let window = start..start + 4 * SECOND;
        sent.iter().filter(|at| window.contains(*at)).count()
    };
    sent.iter().map(|start| within(*start)).max().unwrap_or_default()
}

fn check(rate: f64, demands: &[Demand]) {
    for seed in 0..10 {
        let sent = play(rate, demands, seed);
        let allowed = rate * 1.5 * 4.0 + 5.0;
        let busiest = busiest(&sent);
        assert!(busiest as f64 <= allowed, "rate {rate}, seed {seed}: {busiest} of {allowed}");
        // A part of the share of instances with little demand stays unused.
        let used = sent.len() as f64 / (rate * 20.0);
        assert!(used > 0.25, "rate {rate}, seed {seed}: {used} of the rate");
    }
}

const BUSY: Demand = Demand { per_second: 30.0, idle: Duration::ZERO };

#[test]
fn one_instance() {
    check(9.4, &[BUSY]);
}

#[test]
fn four_instances() {
    check(9.4, &[BUSY; 4]);
    check(40.0, &[BUSY; 4]);
    let other = Demand { per_second: 2.0, ..BUSY };
    check(9.4, &[BUSY, other, other, other]);
}

#[test]
fn hundred_instances() {
    check(9.4, &[BUSY; 118]);
    check(3.0, &[BUSY; 118]);
}

#[test]
fn instances_that_were_idle() {
    // They begin at the same moment, as after the loss of another upstream.
    let idle = Demand { idle: Duration::from_secs(8), ..BUSY };
    check(9.4, &[idle; 118]);
    check(9.4, &[idle; 4]);
}

#[test]
fn nothing_taken() {
    // It is still asked now and then.
    let sent = play(0.0, &[BUSY; 4], 1);
    assert!(sent.len() <= 5, "{}", sent.len());
}

#[test]
fn requests_that_are_put_back_change_nothing() {
    let start = Instant(SECOND);
    let mut share = RateShare::new(20.0, Instant(0));
    for _ in 0..100 {
        assert!(share.try_take(start, 1.0, 0.5));
        share.put_back();
    }
    // Nine requests accumulate in half a second.
    assert_eq!((0..20).filter(|_| share.try_take(start, 1.0, 0.5)).count(), 9);
}
