//! Tests suspicion, ejection, slow start and leaving of upstreams in virtual time.

use std::time::Duration;

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::{
    draft::Fault,
    health::{Change, Changes, Monitor, Outcome, Settings},
};

const STEP: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Instant {
    Instant(millis * 1_000)
}

fn name(index: usize) -> Upstream {
    format!("e{index}").parse().expect("a valid name")
}

/// Returns a monitor of ten engines in two domains; from 10 s on, their slow start is over.
fn fleet(settings: Settings) -> Monitor {
    let mut monitor = Monitor::new(settings);
    for index in 0..10 {
        let domain = ["bole", "yeka"][index % 2].parse().expect("a valid name");
        monitor.join(at(0), &name(index), &domain, Incarnation(index as u128));
    }
    monitor
}

fn answer(monitor: &mut Monitor, now: Instant, index: usize, factor: u32) -> Changes {
    let outcome = Outcome::Answered { took: STEP * factor, expected: STEP };
    monitor.observe(now, &name(index), outcome)
}

fn usable_count(monitor: &Monitor, now: Instant) -> usize {
    (0..10).filter(|&index| monitor.is_usable(now, &name(index))).count()
}

#[test]
fn ejects_only_on_some_faults() {
    let rows = [
        (Fault::Lost, true),
        (Fault::Timeout, true),
        (Fault::Refused, true),
        (Fault::Busy, false),
        (Fault::NotHeld, false),
        (Fault::Gap, false),
    ];
    for (fault, is_ejected) in rows {
        let mut monitor = fleet(Settings::default());
        let now = at(20_000);
        for _ in 0..2 {
            assert!(monitor.observe(now, &name(3), Outcome::Failed(fault)).is_empty());
        }
        answer(&mut monitor, now, 3, 1);
        for _ in 0..2 {
            assert!(monitor.observe(now, &name(3), Outcome::Failed(fault)).is_empty());
        }
        let changes = monitor.observe(now, &name(3), Outcome::Failed(fault));
        let until = now + Settings::default().ejection;
        let expected = Change::Ejected { upstream: name(3), until };
        assert_eq!(changes.first(), is_ejected.then_some(&expected), "{fault:?}");
        assert_eq!(usable_count(&monitor, now), if is_ejected { 9 } else { 10 }, "{fault:?}");
    }
}

#[test]
fn ejected_share_is_limited() {
    let mut monitor = fleet(Settings { ejected_share: 0.3, ..Settings::default() });
    let now = at(20_000);
    for index in 0..10 {
        for _ in 0..5 {
            monitor.observe(now, &name(index), Outcome::Failed(Fault::Timeout));
        }
        assert_eq!(usable_count(&monitor, now), 10 - (index + 1).min(3));
    }
}

#[test]
fn one_of_small_fleet_can_be_ejected() {
    let rows = [(1, 0.2, 1), (4, 0.2, 1), (9, 0.2, 1), (10, 0.2, 2), (4, 0.0, 0)];
    for (engines, ejected_share, max_ejected) in rows {
        let mut monitor = Monitor::new(Settings { ejected_share, ..Settings::default() });
        for index in 0..engines {
            monitor.join(at(0), &name(index), &"bole".parse().unwrap(), Incarnation(1));
        }
        for index in (0..engines).flat_map(|index| [index; 3]) {
            monitor.observe(at(1), &name(index), Outcome::Failed(Fault::Lost));
        }
        assert_eq!(monitor.iter_unusable(at(1)).count(), max_ejected, "{engines}, {ejected_share}");
    }
}

#[test]
fn noise_of_short_steps_is_ignored() {
    let mut monitor = fleet(Settings { ejected_share: 1.0, ..Settings::default() });
    let expected = Duration::from_micros(100);
    for _ in 0..20 {
        let outcome = Outcome::Answered { took: expected * 100, expected };
        assert!(monitor.observe(at(1), &name(1), outcome).is_empty());
    }
}

#[test]
fn ejections_double_and_reset() {
    let settings = Settings::default();
    let mut monitor = fleet(settings.clone());
    let mut now = at(20_000);
    let eject = |monitor: &mut Monitor, now: Instant| {
        let failures =
            (0..3).flat_map(|_| monitor.observe(now, &name(1), Outcome::Failed(Fault::Lost)));
        let changes: Vec<_> = failures.collect();
        let [Change::Ejected { until, .. }] = changes[..] else { panic!("{changes:?}") };
        until
    };
    for factor in [1, 2, 4, 8, 16, 32, 60, 60] {
        let until = eject(&mut monitor, now);
        assert_eq!(until.since(now), settings.ejection * factor);
        assert!(!monitor.is_usable(until - Duration::from_millis(1), &name(1)));
        now = until;
        assert!(monitor.is_usable(now, &name(1)));
    }
    now = now + settings.ejection_ceiling + Duration::from_secs(1);
    answer(&mut monitor, now, 1, 1);
    assert_eq!(eject(&mut monitor, now).since(now), settings.ejection);
}

#[test]
fn only_slow_outlier_is_ejected() {
    let settings = Settings { ejected_share: 1.0, ..Settings::default() };
    let now = at(20_000);
    let mut single = fleet(settings.clone());
    let changes: Vec<_> = (0..10).flat_map(|_| answer(&mut single, now, 0, 100)).collect();
    assert!(matches!(changes[..], [Change::Ejected { .. }]), "{changes:?}");

    // Five engines share the domain; the first slow ones are ejected before the link is suspected.
    let mut domain_slow = fleet(settings);
    let mut changes = Vec::new();
    for _ in 0..10 {
        for index in [0, 2, 4, 6, 8] {
            changes.extend(answer(&mut domain_slow, now, index, 4));
        }
    }
    assert_eq!(changes, [], "four times the expected time is not slow");
    let cost = |monitor: &Monitor| monitor.cost(now, &name(8), STEP).unwrap();
    assert!(cost(&domain_slow) > STEP * 3, "a slower engine costs more: {:?}", cost(&domain_slow));
    assert_eq!(domain_slow.cost(now, &name(1), STEP), Some(STEP));
}

#[test]
fn link_is_suspected_when_most_of_domain_is_slow() {
    // A share of 0 prevents ejections, as a used-up share does when a complete domain slows down.
    let mut monitor = fleet(Settings { ejected_share: 0.0, ..Settings::default() });
    let bole: Domain = "bole".parse().unwrap();
    let (now, mut changes) = (at(20_000), Vec::new());
    for _ in 0..10 {
        for index in [0, 2, 4, 6, 8] {
            changes.extend(answer(&mut monitor, now, index, 100));
        }
    }
    assert_eq!(changes, [Change::LinkSlow { domain: bole.clone() }]);
    assert!(monitor.is_link_slow(&bole));
    assert_eq!(usable_count(&monitor, now), 10);
    changes.clear();
    for _ in 0..30 {
        for index in [0, 2, 4, 6, 8] {
            changes.extend(answer(&mut monitor, now, index, 1));
        }
    }
    assert_eq!(changes, [Change::LinkRestored { domain: bole.clone() }]);
}

#[test]
fn joining_engine_starts_slowly() {
    let settings = Settings::default();
    let mut monitor = fleet(settings.clone());
    let joined = at(20_000);
    monitor.join(joined, &name(3), &"yeka".parse().unwrap(), Incarnation(99));
    let rows = [(0, 0.1), (2_500, 0.325), (5_000, 0.55), (10_000, 1.0), (60_000, 1.0)];
    for (millis, share) in rows {
        let now = joined + Duration::from_millis(millis);
        assert!((monitor.share(now, &name(3)) - share).abs() < 1e-9, "after {millis} ms");
        let cost = monitor.cost(now, &name(3), STEP).unwrap();
        assert!((cost.as_secs_f64() * share - STEP.as_secs_f64()).abs() < 1e-6);
        assert!(
            (monitor.share(now, &name(4)) - 1.0).abs() < 1e-9,
            "other engines keep their share"
        );
    }
}

#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut monitor = fleet(Settings::default());
    let (now, yeka) = (at(20_000), "yeka".parse().unwrap());
    assert_eq!(monitor.leave(&name(3), Incarnation(77)), None, "another incarnation");
    let left = Change::Leaving { upstream: name(3) };
    assert_eq!(monitor.leave(&name(3), Incarnation(3)), Some(left));
    assert_eq!(monitor.leave(&name(3), Incarnation(3)), None, "already leaving");
    answer(&mut monitor, now, 3, 1);
    monitor.join(now, &name(3), &yeka, Incarnation(3));
    assert!(!monitor.is_usable(at(900_000), &name(3)), "a late report does not undo it");
    assert_eq!(monitor.cost(now, &name(3), STEP), None);
    monitor.join(now, &name(3), &yeka, Incarnation(4));
    assert!(monitor.is_usable(now, &name(3)));

    let changes = monitor.observe(now, &name(5), Outcome::Failed(Fault::Leaving));
    assert_eq!(changes[..], [Change::Leaving { upstream: name(5) }]);
    assert!(!monitor.is_usable(now, &name(5)));
    monitor.remove(&name(5));
    assert_eq!(monitor.observe(now, &name(5), Outcome::Failed(Fault::Lost))[..], []);
}
