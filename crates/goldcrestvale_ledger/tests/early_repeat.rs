//! A call that is repeated before its end is read back from the log.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use goldcrestvale_base::{
    id::{Digest, Incarnation, Key, Offset},
    time::{Instant, Wall},
};
use goldcrestvale_ledger::{
    batch::{Batch, Fixed},
    claim::{OwnerAnswer, Window},
    coordinator::{Action, Call, Desk, Event, Settings, Ticket},
    prefix::Prefix,
    record::{Page, Sequence, View},
};
use rand::{SeedableRng, rngs::StdRng};

const START: u64 = 1_700_000_000_000;

fn desk() -> Desk<Fixed> {
    let window = Window { length: Duration::from_secs(60) };
    let settings = Settings::new("yeka-1".parse().unwrap(), window);
    let sequence = Sequence::new(Incarnation(9), 0);
    let rng = StdRng::seed_from_u64(1);
    Desk::new(settings, Fixed::new(Duration::ZERO), Prefix::whole(), sequence, rng)
}

fn key() -> Key {
    Key(uuid::Uuid::from_u128(u128::from(START) << 80 | 7 << 76 | 2 << 62 | 1))
}

fn handle(desk: &mut Desk<Fixed>, event: Event<'_>) -> Vec<Action> {
    let mut out = Vec::new();
    desk.handle(event, Instant(0), &mut out);
    out
}

fn call(desk: &mut Desk<Fixed>, ticket: u64) -> Vec<Action> {
    let call = Call {
        ticket: Ticket(ticket),
        key: key(),
        customer: "tezeta".parse().unwrap(),
        service: "booking".parse().unwrap(),
        digest: Digest::of(b"body"),
        deadline: Instant(1_000_000),
    };
    handle(desk, Event::Call(call))
}

/// Hands the records of an append back, from this offset on.
fn read_back(desk: &mut Desk<Fixed>, from: u64, batch: &Batch) -> Vec<Action> {
    let views: Vec<View<'_>> = batch
        .records
        .iter()
        .zip(from..)
        .map(|(draft, at)| View {
            offset: Offset(at),
            id: draft.id,
            written: Wall(START),
            data: &draft.data,
        })
        .collect();
    let end = Offset(from + views.len() as u64);
    handle(desk, Event::Read(Page { oldest: Offset(0), end, records: &views }))
}

fn appended(actions: Vec<Action>) -> Batch {
    let batch = actions.into_iter().find_map(|action| match action {
        Action::Append(batch) => Some(batch),
        _ => None,
    });
    batch.unwrap()
}

/// Plays a call up to its answer; returns the append of its end, which is not read back.
fn answered(desk: &mut Desk<Fixed>) -> Batch {
    let claim = appended(call(desk, 1));
    let won = read_back(desk, 0, &claim).into_iter().find_map(|action| match action {
        Action::Dispatch { claim, .. } => Some(claim),
        _ => None,
    });
    handle(desk, Event::Appended(claim.number));
    let (lent, _exchange) = won.unwrap().lend();
    appended(handle(desk, Event::Settled(lent.dispatched().settle(200))))
}

fn replayed(actions: &[Action]) -> Option<&OwnerAnswer> {
    actions.iter().find_map(|action| match action {
        Action::Replay { outcome, .. } => Some(outcome),
        _ => None,
    })
}

#[test]
fn own_end_is_known_at_once() {
    let mut desk = desk();
    let end = answered(&mut desk);
    assert_eq!(replayed(&call(&mut desk, 2)), Some(&OwnerAnswer::Ran));
    assert_eq!(desk.ask(&key()), OwnerAnswer::Ran);
    read_back(&mut desk, 1, &end);
    assert_eq!(replayed(&call(&mut desk, 3)), Some(&OwnerAnswer::Ran));
}
