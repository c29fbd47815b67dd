//! A call that is retried before its settlement is read back from the log.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use goldcrestvale_base::{
    id::{Digest, Incarnation, Key, Offset},
    time::{Instant, Wall},
};
use goldcrestvale_ledger::{
    batch::{Batch, Fixed},
    claim::{OwnerAnswer, Window},
    coordinator::{Action, Call, Coordinator, Event, Settings, Ticket},
    prefix::Prefix,
    record::{Page, Sequence, View},
};
use rand::{SeedableRng, rngs::StdRng};

const START: u64 = 1_700_000_000_000;

fn coordinator() -> Coordinator<Fixed> {
    let window = Window { length: Duration::from_secs(60) };
    let settings = Settings::new("yeka-1".parse().unwrap(), window);
    let sequence = Sequence::new(Incarnation(9), 0);
    let rng = StdRng::seed_from_u64(1);
    Coordinator::new(settings, Fixed::new(Duration::ZERO), Prefix::from_start(), sequence, rng)
}

fn key() -> Key {
    Key(uuid::Uuid::from_u128(u128::from(START) << 80 | 7 << 76 | 2 << 62 | 1))
}

fn handle(coordinator: &mut Coordinator<Fixed>, event: Event<'_>) -> Vec<Action> {
    let mut out = Vec::new();
    coordinator.handle(event, Instant(0), &mut out);
    out
}

fn call(coordinator: &mut Coordinator<Fixed>, ticket: u64) -> Vec<Action> {
    let call = Call {
        ticket: Ticket(ticket),
        key: key(),
        customer: "tezeta".parse().unwrap(),
        service: "booking".parse().unwrap(),
        digest: Digest::of(b"body"),
        deadline: Instant(1_000_000),
    };
    handle(coordinator, Event::Call(call))
}

/// Reads the records of an append back, from this offset on.
fn read_back(coordinator: &mut Coordinator<Fixed>, from: u64, batch: &Batch) -> Vec<Action> {
    let views: Vec<View<'_>> = batch
        .records
        .iter()
        .zip(from..)
        .map(|(draft, offset)| View {
            offset: Offset(offset),
            id: draft.id,
            written: Wall(START),
            data: &draft.data,
        })
        .collect();
    let end = Offset(from + views.len() as u64);
    handle(coordinator, Event::Read(Page { oldest: Offset(0), end, records: &views }))
}

fn appended(actions: Vec<Action>) -> Batch {
    let batch = actions.into_iter().find_map(|action| match action {
        Action::Append(batch) => Some(batch),
        _ => None,
    });
    batch.unwrap()
}

/// Runs a call up to its answer; returns the append of its settlement, which is not read back.
fn run_to_answer(coordinator: &mut Coordinator<Fixed>) -> Batch {
    let claim = appended(call(coordinator, 1));
    let won = read_back(coordinator, 0, &claim).into_iter().find_map(|action| match action {
        Action::Dispatch { claim, .. } => Some(claim),
        _ => None,
    });
    handle(coordinator, Event::Appended(claim.number));
    let (delegated, _exchange) = won.unwrap().delegate();
    appended(handle(coordinator, Event::Settled(delegated.dispatched().settle(200))))
}

fn replayed(actions: &[Action]) -> Option<&OwnerAnswer> {
    actions.iter().find_map(|action| match action {
        Action::Replay { outcome, .. } => Some(outcome),
        _ => None,
    })
}

#[test]
fn own_settlement_is_known_immediately() {
    let mut coordinator = coordinator();
    let settlement = run_to_answer(&mut coordinator);
    assert_eq!(replayed(&call(&mut coordinator, 2)), Some(&OwnerAnswer::Ran));
    assert_eq!(coordinator.owner_answer(&key()), OwnerAnswer::Ran);
    read_back(&mut coordinator, 1, &settlement);
    assert_eq!(replayed(&call(&mut coordinator, 3)), Some(&OwnerAnswer::Ran));
}
