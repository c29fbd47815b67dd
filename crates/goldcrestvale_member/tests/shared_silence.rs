//! A report of a silent upstream is forwarded once.
#![allow(clippy::unwrap_used)]

use goldcrestvale_base::time::Instant;
use goldcrestvale_member::silence::{Silence, Silences};

fn silence(left_ms: u32, refuses: bool) -> Silence {
    Silence { upstream: "engine-1".parse().unwrap(), left_ms, refuses }
}

#[test]
fn report_is_forwarded_once() {
    let mut silences = Silences::default();
    assert!(silences.record(Instant(0), &silence(3_000, false)));
    // The same report over another path, 40 ms later.
    assert!(!silences.record(Instant(40_000), &silence(2_960, false)));
}

#[test]
fn renewed_report_is_new() {
    let mut silences = Silences::default();
    assert!(silences.record(Instant(0), &silence(3_000, false)));
    assert!(silences.record(Instant(2_000_000), &silence(3_000, false)));
}

#[test]
fn rejection_is_a_separate_report() {
    let mut silences = Silences::default();
    assert!(silences.record(Instant(0), &silence(3_000, false)));
    assert!(silences.record(Instant(0), &silence(3_000, true)));
}

#[test]
fn expired_report_is_removed() {
    let mut silences = Silences::default();
    assert!(silences.record(Instant(0), &silence(1_000, false)));
    assert!(silences.record(Instant(5_000_000), &silence(1_000, false)));
}
