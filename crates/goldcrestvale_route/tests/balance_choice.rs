//! Choice by corrected load: delayed reports, ties, exclusion, and no herding.

use std::time::Duration;

use goldcrestvale_route::balance::{Choice, Load, SAMPLE_SIZE};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[test]
fn corrected_load() {
    let table = [
        ("report only", (7, 0, 0, 0), 7),
        ("sent since", (7, 0, 3, 0), 10),
        ("ended since", (7, 5, 1, 0), 3),
        ("others sent", (7, 1, 1, 4), 11),
        ("others ended", (7, 1, 1, -4), 3),
        ("never below own", (0, 3, 3, -9), 3),
        ("no overflow", (u32::MAX, 0, u32::MAX, i32::MAX), u32::MAX),
    ];
    for (case, (reported, own_then, own_now, others_since), now) in table {
        let load = Load { reported, own_then, own_now, others_since };
        assert_eq!(load.current(), now, "{case}");
    }
    let load = Load { reported: 3, own_then: 0, own_now: 0, others_since: 0 };
    assert_eq!(load.expected_time(Duration::from_millis(10)), Duration::from_millis(40));
}

#[test]
fn excluded_and_empty() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let choice = Choice::default();
    assert_eq!(choice.choose(0, |_| Some(1), &mut rng), None);
    assert_eq!(choice.choose(1_000, |_| None::<u32>, &mut rng), None);
    for only in [0, 499, 999] {
        let score = |index: usize| (index == only).then_some(1);
        assert_eq!(choice.choose(1_000, score, &mut rng), Some(only));
    }
}

/// Four instances that all see the same stale report spread their requests.
#[test]
fn no_herding() {
    const ENGINES: usize = 40;
    const SENT: usize = 400;
    let mut totals = [0_u32; ENGINES];
    for instance in 0..4_u64 {
        let mut rng = ChaCha8Rng::seed_from_u64(instance);
        let mut own = [0_u32; ENGINES];
        for _ in 0..SENT / 4 {
            let score = |index: usize| {
                let load = Load { reported: 0, own_then: 0, own_now: own[index], others_since: 0 };
                Some(load.current())
            };
            let index = Choice::default().choose(ENGINES, score, &mut rng).expect("a choice");
            own[index] += 1;
            totals[index] += 1;
        }
    }
    let max = totals.iter().max().expect("engines");
    // The even share is 10.
    assert!(*max <= 20, "{totals:?}");
}

#[test]
fn sample_bounds_cost() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut examined = 0;
    let score = |index: usize| {
        examined += 1;
        Some(index)
    };
    assert!(Choice::default().choose(12_000, score, &mut rng).is_some());
    assert_eq!(examined, SAMPLE_SIZE);
}
