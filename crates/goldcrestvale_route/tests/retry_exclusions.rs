//! A request is not sent to a full engine again and again while it looks for a chain.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use goldcrestvale_base::{id::Upstream, time::Instant};
use goldcrestvale_route::retry::Exclusions;

const ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);

#[test]
fn full_engines_are_tried_once_a_second() {
    // A stream that lost its chain looks for another one ten times a second for four seconds, while
    // all engines reject it.
    let engines: Vec<Upstream> =
        (0..3).map(|number| format!("engine-{number}").parse().unwrap()).collect();
    let mut exclusions = Exclusions::default();
    let mut now = Instant(0);
    let mut sent = 0;
    for _ in 0..40 {
        for engine in &engines {
            if !exclusions.contains(engine, now) {
                sent += 1;
                exclusions.insert(engine, now);
            }
        }
        now = now + ATTEMPT_INTERVAL;
    }
    assert_eq!(sent, 4 * engines.len());
}

#[test]
fn exclusion_is_renewed() {
    let engine: Upstream = "engine-1".parse().unwrap();
    let mut exclusions = Exclusions::default();
    exclusions.insert(&engine, Instant(0));
    exclusions.insert(&engine, Instant(900_000));
    assert!(exclusions.contains(&engine, Instant(1_500_000)));
    assert!(!exclusions.contains(&engine, Instant(2_000_000)));
}
