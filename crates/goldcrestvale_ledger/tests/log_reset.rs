//! A coordinator whose log shows an older state: an outdated page or a log that was reset.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use goldcrestvale_base::{
    id::{Digest, Incarnation, Key, Offset, RecordId},
    time::{Instant, Wall},
};
use goldcrestvale_ledger::{
    batch::Fixed,
    claim::{Kind, Record, Window},
    coordinator::{Action, Call, Cause, Coordinator, Event, Settings, Ticket},
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

/// Reads a page with marks by these writers, from this offset on.
fn read(coordinator: &mut Coordinator<Fixed>, from: u64, writers: &[u128]) -> Vec<Action> {
    let data = Record::new(Kind::Mark).to_json();
    let view = |(index, writer): (usize, &u128)| View {
        offset: Offset(from + index as u64),
        id: RecordId { incarnation: Incarnation(*writer), sequence: 0 },
        written: Wall(START),
        data: &data,
    };
    let records: Vec<_> = writers.iter().enumerate().map(view).collect();
    let end = Offset(from + records.len() as u64);
    let mut out = Vec::new();
    let page = Page { oldest: Offset(0), end, records: &records };
    coordinator.handle(Event::Read(page), Instant(0), &mut out);
    out
}

fn call(coordinator: &mut Coordinator<Fixed>) -> Vec<Action> {
    let bits = u128::from(START) << 80 | 7 << 76 | 2 << 62 | 1;
    let call = Call {
        ticket: Ticket(1),
        key: Key(uuid::Uuid::from_u128(bits)),
        customer: "tezeta".parse().unwrap(),
        service: "booking".parse().unwrap(),
        digest: Digest::of(b"body"),
        deadline: Instant(1_000_000),
    };
    let mut out = Vec::new();
    coordinator.handle(Event::Call(call), Instant(0), &mut out);
    out
}

#[test]
fn an_outdated_page_raises_an_alarm_and_the_newer_state_stays() {
    let mut coordinator = coordinator();
    read(&mut coordinator, 0, &[1, 2, 3]);
    read(&mut coordinator, 0, &[1]);
    assert_eq!((coordinator.alarms(), coordinator.is_log_suspect()), (1, true));
    assert_eq!(coordinator.fold().next(), Offset(3));
    read(&mut coordinator, 3, &[4]);
    assert_eq!(coordinator.fold().next(), Offset(3), "nothing is read while the log is suspect");
    read(&mut coordinator, 2, &[3, 4]);
    assert_eq!((coordinator.is_log_suspect(), coordinator.is_log_reset()), (false, false));
    assert_eq!(coordinator.fold().next(), Offset(4));
    assert!(matches!(call(&mut coordinator)[..], [Action::Append(_)]));
}

#[test]
fn a_log_that_was_reset_stops_every_keyed_call() {
    let mut coordinator = coordinator();
    read(&mut coordinator, 0, &[1, 2, 3]);
    read(&mut coordinator, 0, &[1]);
    assert!(matches!(call(&mut coordinator)[..], [Action::Append(_)]));
    let refused = read(&mut coordinator, 2, &[7, 8, 9]);
    let reset = |action: &Action| {
        matches!(action, Action::Refuse { refused, .. }
            if refused.cause == Cause::LogReset && refused.verdict.is_not_run())
    };
    assert!(refused.len() == 1 && reset(&refused[0]), "{refused:?}");
    assert!(coordinator.is_log_reset());
    assert_eq!(coordinator.fold().next(), Offset(3), "the newer state stays");
    let later = call(&mut coordinator);
    assert!(later.len() == 1 && reset(&later[0]), "{later:?}");
}
