//! What one instance found of an upstream reaches the others once.
#![allow(clippy::unwrap_used)]

use goldcrestvale_base::time::Instant;
use goldcrestvale_member::silence::{Silence, Silences};

fn silence(left_ms: u32, refuses: bool) -> Silence {
    Silence { upstream: "engine-1".parse().unwrap(), left_ms, refuses }
}

#[test]
fn passed_on_once() {
    let mut silences = Silences::default();
    assert!(silences.record(Instant(0), &silence(3_000, false)));
    // The same statement over another way, a little later.
    assert!(!silences.record(Instant(40_000), &silence(2_960, false)));
}

#[test]
fn renewal_is_news() {
    let mut silences = Silences::default();
    assert!(silences.record(Instant(0), &silence(3_000, false)));
    assert!(silences.record(Instant(2_000_000), &silence(3_000, false)));
}

#[test]
fn refusal_is_another_finding() {
    let mut silences = Silences::default();
    assert!(silences.record(Instant(0), &silence(3_000, false)));
    assert!(silences.record(Instant(0), &silence(3_000, true)));
}

#[test]
fn ended_silence_is_forgotten() {
    let mut silences = Silences::default();
    assert!(silences.record(Instant(0), &silence(1_000, false)));
    assert!(silences.record(Instant(5_000_000), &silence(1_000, false)));
}
