//! Detection of a chain whose stage died, before its streams count as late.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::pipeline::{Activity, probe_share};

/// Plays passes of a chain with 12 streams, whose events arrive within 10 ms of each other.
fn after_passes(interval_ms: u64, passes: u64) -> (Activity, Instant) {
    let mut activity = Activity::default();
    let mut now = Instant(1_000_000);
    (0..12).for_each(|_| activity.start(now));
    for _ in 0..passes {
        let pass = now + Duration::from_millis(interval_ms);
        for event in 0..12 {
            now = pass + Duration::from_micros(event * 800);
            assert!(!activity.is_stalled(now), "false alarm at {interval_ms} ms");
            activity.record(now);
        }
    }
    (activity, now)
}

#[test]
fn short_passes_are_missed_soon() {
    // Callers count a pause of 200 ms as late.
    let (activity, last) = after_passes(60, 40);
    assert!(activity.is_stalled(last + Duration::from_millis(125)));
}

#[test]
fn long_passes_are_no_stall() {
    let (activity, last) = after_passes(120, 40);
    assert!(!activity.is_stalled(last + Duration::from_millis(200)));
    assert!(activity.is_stalled(last + Duration::from_millis(250)));
}

#[test]
fn past_pauses_fade() {
    let (mut activity, mut now) = after_passes(120, 10);
    for _ in 0..200 {
        now = now + Duration::from_millis(40);
        activity.record(now);
    }
    assert!(activity.is_stalled(now + Duration::from_millis(110)));
}

#[test]
fn first_event_may_take_long() {
    // The prefill of a long prompt on an idle chain.
    let mut activity = Activity::default();
    activity.start(Instant(1_000_000));
    assert!(!activity.is_stalled(Instant(1_000_000) + Duration::from_millis(240)));
}

#[test]
fn probes_do_not_grow_with_instances() {
    // A chain of 30 engines stalls, and every instance has streams on it.
    let probes = |instances: u32| f64::from(instances) * 30.0 * probe_share(instances);
    assert!((probes(300) - probes(30)).abs() < 1.0);
    // A third of the instances still finds the dead engine in almost all cases.
    let missed = (1.0 - probe_share(118)).powi(118 / 3);
    assert!(missed < 0.1, "{missed}");
}
