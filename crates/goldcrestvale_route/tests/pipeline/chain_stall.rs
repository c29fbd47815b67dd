//! Detection of a chain whose stage died, before its streams count as late.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::pipeline::Activity;

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
