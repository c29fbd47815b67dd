//! The memory of requests and answers: drawn orders never exceed the total, and ordinary requests get
//! room beside stalled ones.

#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::intake::{Budget, Decision, Owner, Ticket, Yielding};
use proptest::prelude::*;

const KIB: u64 = 1 << 10;
const TOTAL: u64 = 16 << 20;
const TIMEOUT: Duration = Duration::from_secs(20);

fn at(millis: u64) -> Instant {
    Instant(0) + Duration::from_millis(millis)
}

/// Grows a holder after those that give way have left.
fn grow(budget: &mut Budget, now: Instant, ticket: Ticket, bytes: u64) -> Result<(), Duration> {
    loop {
        match budget.grow(now, ticket, bytes) {
            Decision::Granted => return Ok(()),
            Decision::Refused(after) => return Err(after),
            Decision::Wait(yielding) => {
                assert!(!yielding.is_empty(), "waits for nobody");
                yielding.into_iter().for_each(|ticket| budget.leave(ticket));
            }
        }
    }
}

fn stalled(budget: &mut Budget, now: Instant, owner: Owner, bytes: u64) -> Ticket {
    let ticket = budget.enter(now, now + TIMEOUT, owner);
    budget.set_yields(ticket, true);
    grow(budget, now, ticket, bytes).expect("the newest body gets room");
    ticket
}

#[test]
fn newest_body_gets_room() {
    let mut budget = Budget::new(TOTAL);
    for step in 0..100 {
        stalled(&mut budget, at(step), Owner(1), 4 << 20);
        assert!(budget.held() <= TOTAL);
    }
}

#[test]
fn large_bodies_leave_small_ones_alone() {
    let mut budget = Budget::new(TOTAL);
    for step in 0..100 {
        // Complete bodies do not give way.
        let ticket = budget.enter(at(step), at(step) + TIMEOUT, Owner(1));
        let _ = grow(&mut budget, at(step), ticket, 2 << 20);
    }
    let small = budget.enter(at(200), at(200) + TIMEOUT, Owner(1));
    assert_eq!(grow(&mut budget, at(200), small, 16 * KIB), Ok(()));
}

#[test]
fn customer_that_holds_most_gives_way() {
    let mut budget = Budget::new(TOTAL);
    let other = stalled(&mut budget, at(0), Owner(2), 2 << 20);
    let crowd: Vec<Ticket> =
        (1..4).map(|step| stalled(&mut budget, at(step), Owner(1), 2 << 20)).collect();
    let asking = budget.enter(at(10), at(10) + TIMEOUT, Owner(2));
    let Decision::Wait(yielding) = budget.grow(at(10), asking, KIB << 10) else {
        panic!("there is room");
    };
    assert!(!yielding.contains(&other));
    assert_eq!(yielding[0], crowd[0]);
}

#[test]
fn connections_get_the_place_of_old_bodies() {
    let mut budget = Budget::new(TOTAL);
    let ticket = stalled(&mut budget, at(0), Owner(1), KIB);
    assert_eq!(budget.make_way(at(100)), None);
    assert_eq!(budget.make_way(at(1_000)), Some(ticket));
    assert_eq!(budget.make_way(at(1_000)), None);
}

#[test]
fn complete_body_still_gives_way() {
    let mut budget = Budget::new(TOTAL);
    let first = stalled(&mut budget, at(0), Owner(1), TOTAL / 2);
    let other = budget.enter(at(10), at(10) + TIMEOUT, Owner(1));
    assert!(matches!(budget.grow(at(10), other, KIB << 10), Decision::Wait(_)));
    // It is complete at the moment at which another one waits for its room.
    assert!(!budget.set_yields(first, false));
}

/// Returns an answer that was handed over to its caller, who last read of it now.
fn handed_over(budget: &mut Budget, now: Instant, bytes: u64) -> Ticket {
    let ticket = budget.enter(now, now + TIMEOUT, Owner(1));
    assert_eq!(budget.grow(now, ticket, bytes), Decision::Granted);
    budget.record_read(ticket, now);
    ticket
}

/// Guards against an answer that is cut while its caller reads it.
#[test]
fn answer_that_is_read_does_not_give_way() {
    let mut budget = Budget::new(TOTAL);
    let answers = [0, 1].map(|step| handed_over(&mut budget, at(step), TOTAL / 4));
    let asking = budget.enter(at(10), at(10) + TIMEOUT, Owner(2));
    budget.set_patient(asking);
    for millis in [10, 1_000, 2_500, 4_000] {
        answers.iter().for_each(|ticket| budget.record_read(*ticket, at(millis)));
        let later = at(millis + 500);
        assert_eq!(budget.grow(later, asking, KIB << 10), Decision::Wait(Yielding::new()));
        assert_eq!(budget.make_way(later), None);
        let body = budget.enter(later, later + TIMEOUT, Owner(2));
        budget.set_yields(body, true);
        assert!(matches!(budget.grow(later, body, KIB << 10), Decision::Refused(_)));
        budget.leave(body);
    }
    // The first one is not read any more.
    budget.record_read(answers[1], at(7_000));
    assert_eq!(
        budget.grow(at(7_000), asking, KIB << 10),
        Decision::Wait(Yielding::from_slice(&[answers[0]]))
    );
    budget.leave(answers[0]);
    assert_eq!(budget.grow(at(7_001), asking, KIB << 10), Decision::Granted);
}

/// Guards against answers that each get a part of the memory that one of them needs.
#[test]
fn waiting_answers_get_room_in_order() {
    let mut budget = Budget::new(TOTAL);
    let answers = [0, 1].map(|step| handed_over(&mut budget, at(step), TOTAL / 4));
    let waiting = [10, 11].map(|step| {
        let ticket = budget.enter(at(step), at(step) + TIMEOUT, Owner(2));
        budget.set_patient(ticket);
        assert_eq!(budget.grow(at(step), ticket, KIB << 10), Decision::Wait(Yielding::new()));
        ticket
    });
    budget.leave(answers[0]);
    assert_eq!(budget.grow(at(20), waiting[1], KIB << 10), Decision::Wait(Yielding::new()));
    assert_eq!(budget.grow(at(20), waiting[0], KIB << 10), Decision::Granted);
    assert_eq!(budget.grow(at(21), waiting[1], KIB << 10), Decision::Granted);
}

/// Guards against answers that wait for each other.
#[test]
fn answers_do_not_wait_for_each_other() {
    let mut budget = Budget::new(TOTAL);
    let answers = [0, 1].map(|step| {
        let ticket = budget.enter(at(step), at(step) + TIMEOUT, Owner(1));
        budget.set_patient(ticket);
        assert_eq!(budget.grow(at(step), ticket, TOTAL / 4), Decision::Granted);
        ticket
    });
    assert_eq!(budget.grow(at(10), answers[1], KIB << 10), Decision::Wait(Yielding::new()));
    assert!(matches!(budget.grow(at(11), answers[0], KIB << 10), Decision::Refused(_)));
    budget.leave(answers[0]);
    assert_eq!(budget.grow(at(12), answers[1], KIB << 10), Decision::Granted);
}

#[test]
fn refusals_name_a_time() {
    let mut budget = Budget::new(TOTAL);
    let full = budget.enter(at(0), at(1_000), Owner(1));
    assert_eq!(budget.grow(at(0), full, TOTAL / 2), Decision::Granted);
    let other = budget.enter(at(0), at(9_000), Owner(2));
    let decision = budget.grow(at(300), other, KIB << 10);
    assert_eq!(decision, Decision::Refused(Duration::from_millis(700)));
}

#[derive(Debug, Clone)]
enum Step {
    Enter { owner: u64, yields: bool },
    Grow { index: usize, bytes: u64 },
    Shrink { index: usize, bytes: u64 },
    Complete { index: usize },
    Leave { index: usize },
    MakeWay,
    Pass { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..4_u64, any::<bool>()).prop_map(|(owner, yields)| Step::Enter { owner, yields }),
        6 => (any::<usize>(), prop_oneof![1..32 * KIB, 1..4 * KIB * KIB])
            .prop_map(|(index, bytes)| Step::Grow { index, bytes }),
        1 => (any::<usize>(), 0..KIB * KIB).prop_map(|(index, bytes)| Step::Shrink { index, bytes }),
        1 => any::<usize>().prop_map(|index| Step::Complete { index }),
        2 => any::<usize>().prop_map(|index| Step::Leave { index }),
        1 => Just(Step::MakeWay),
        1 => (0..2_000_u64).prop_map(|millis| Step::Pass { millis }),
    ];
    prop::collection::vec(step, 1..200)
}

#[derive(Debug, Clone, Copy)]
struct Model {
    bytes: u64,
    is_large: bool,
    yields: bool,
    is_leaving: bool,
}

proptest! {
    #[test]
    fn drawn_orders(steps in steps()) {
        let mut budget = Budget::new(TOTAL);
        let mut holders: BTreeMap<Ticket, Model> = BTreeMap::new();
        let mut now = at(0);
        let nth = |holders: &BTreeMap<Ticket, Model>, index: usize| {
            holders.keys().nth(index % holders.len().max(1)).copied()
        };
        for step in steps {
            match step {
                Step::Enter { owner, yields } => {
                    let ticket = budget.enter(now, now + TIMEOUT, Owner(owner));
                    budget.set_yields(ticket, yields);
                    holders.insert(ticket, Model { bytes: 0, is_large: false, yields, is_leaving: false });
                }
                Step::Grow { index, bytes } => {
                    let Some(ticket) = nth(&holders, index) else { continue };
                    match budget.grow(now, ticket, bytes) {
                        Decision::Granted => {
                            let holder = holders.get_mut(&ticket).unwrap();
                            holder.bytes += bytes;
                            holder.is_large |= holder.bytes > 64 * KIB;
                        }
                        Decision::Wait(yielding) => {
                            prop_assert!(!yielding.contains(&ticket));
                            for ticket in &yielding {
                                let holder = holders.get_mut(ticket).unwrap();
                                prop_assert!(holder.yields && !holder.is_leaving);
                                holder.is_leaving = true;
                            }
                            prop_assert!(holders.values().any(|holder| holder.is_leaving));
                        }
                        Decision::Refused(after) => {
                            prop_assert!(after > Duration::ZERO && after <= TIMEOUT);
                        }
                    }
                }
                Step::Shrink { index, bytes } => {
                    let Some(ticket) = nth(&holders, index) else { continue };
                    budget.shrink(ticket, bytes);
                    let holder = holders.get_mut(&ticket).unwrap();
                    holder.bytes = holder.bytes.min(bytes);
                }
                Step::Complete { index } => {
                    let Some(ticket) = nth(&holders, index) else { continue };
                    let holder = holders.get_mut(&ticket).unwrap();
                    let is_set = budget.set_yields(ticket, false);
                    prop_assert_eq!(is_set, !holder.is_leaving);
                    holder.yields &= holder.is_leaving;
                }
                Step::Leave { index } => {
                    let Some(ticket) = nth(&holders, index) else { continue };
                    budget.leave(ticket);
                    holders.remove(&ticket);
                }
                Step::MakeWay => {
                    if let Some(ticket) = budget.make_way(now) {
                        let holder = holders.get_mut(&ticket).unwrap();
                        prop_assert!(holder.yields && !holder.is_leaving);
                        holder.is_leaving = true;
                    }
                }
                Step::Pass { millis } => now = now + Duration::from_millis(millis),
            }
            let held: u64 = holders.values().map(|holder| holder.bytes).sum();
            prop_assert_eq!(budget.held(), held);
            prop_assert!(held <= TOTAL);
            let large: u64 = holders.values().filter(|h| h.is_large).map(|h| h.bytes).sum();
            prop_assert!(large <= TOTAL / 2);
        }
        // Once those that give way and the large ones have left, a small request gets room.
        let is_gone = |holder: &Model| holder.is_leaving || holder.yields;
        let gone: Vec<Ticket> =
            holders.iter().filter(|(_, h)| is_gone(h)).map(|(ticket, _)| *ticket).collect();
        for ticket in gone {
            budget.leave(ticket);
            holders.remove(&ticket);
        }
        let small: u64 = holders.values().filter(|h| !h.is_large).map(|h| h.bytes).sum();
        let asking = budget.enter(now, now + TIMEOUT, Owner(9));
        let decision = budget.grow(now, asking, 8 * KIB);
        prop_assert_eq!(decision == Decision::Granted, small + 8 * KIB <= TOTAL / 2);
    }
}
