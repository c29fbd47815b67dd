//! What becomes of queued records, and how policies keep within the log's rate.

#[path = "../examples/batching/model.rs"]
#[allow(dead_code, reason = "the example uses the rest")]
mod model;

use std::time::Duration;

use goldcrestvale_base::{
    id::{Incarnation, RecordId},
    time::Instant,
};
use goldcrestvale_ledger::{
    batch::{Error, Fixed, Limits, Queue},
    record::{Draft, Sequence},
};
use model::{LOG_RATE, Phase, Run, choices, simulate};

const LIMITS: Limits = Limits { max_waiting: 5, max_records: 2, max_in_flight: 2 };

fn queue_of(count: usize) -> (Queue<Fixed>, Vec<RecordId>) {
    let mut sequence = Sequence::new(Incarnation(1), 0);
    let mut queue = Queue::new(Fixed::new(Duration::ZERO), LIMITS);
    let ids: Vec<_> = (0..count).map(|_| sequence.next_id()).collect();
    for &id in &ids {
        queue.push(Draft { id, data: "{}".into() }, Instant(0));
    }
    (queue, ids)
}

fn ids_of(queue: &mut Queue<Fixed>) -> (u64, Vec<RecordId>) {
    let batch = queue.poll(Instant(9)).expect("an append is due");
    (batch.number, batch.records.iter().map(|draft| draft.id).collect())
}

#[test]
fn lost_records_go_again_first_and_under_the_same_identity() {
    let (mut queue, ids) = queue_of(4);
    let (first, sent) = ids_of(&mut queue);
    assert_eq!(sent, ids[..2]);
    queue.append_lost(first, Instant(5));
    let (second, sent) = ids_of(&mut queue);
    assert_ne!(first, second);
    assert_eq!(sent, ids[..2]);
    assert_eq!(ids_of(&mut queue).1, ids[2..]);
}

#[test]
fn the_bounds_hold() {
    let (mut queue, _) = queue_of(6);
    let draft = Draft { id: Sequence::new(Incarnation(2), 0).next_id(), data: "{}".into() };
    assert_eq!(queue.try_push(draft, Instant(0)), Err(Error::Full { waiting: 6 }));
    let (first, _) = ids_of(&mut queue);
    ids_of(&mut queue);
    assert_eq!((queue.poll(Instant(9)), queue.due()), (None, None));
    queue.acknowledge(first);
    ids_of(&mut queue);
}

#[test]
fn a_withdrawn_record_is_not_sent_again_and_tells_whether_it_was_sent() {
    let (mut queue, ids) = queue_of(4);
    let (first, _) = ids_of(&mut queue);
    assert!(queue.withdraw(ids[2]), "never handed out");
    assert!(!queue.withdraw(ids[0]), "in flight");
    queue.append_lost(first, Instant(5));
    assert!(!queue.withdraw(ids[1]), "lost and waiting again");
    assert_eq!(ids_of(&mut queue).1, ids[3..]);
    assert!(queue.poll(Instant(9)).is_none());
}

/// Runs one policy by its name in the table of the example.
fn figures(name: &str, shares: Vec<f64>, rate: f64) -> model::Figures {
    let count = shares.len();
    let choice =
        || choices(count).into_iter().find(|choice| choice.name == name).expect("a listed name");
    let phases = vec![Phase { from: Duration::ZERO, rate }];
    let (length, count_from) = (Duration::from_secs(40), Duration::from_secs(10));
    simulate(&Run { shares, phases, length, count_from }, choice)
}

#[test]
fn the_adaptive_interval_leaves_room_in_the_log_at_every_load() {
    for (shares, rate) in [
        (vec![0.25; 4], 50.0),
        (vec![0.25; 4], 200.0),
        (vec![0.25; 4], 1_000.0),
        (vec![0.97, 0.01, 0.01, 0.01], 1_000.0),
        (vec![1.0 / 28.0; 28], 1_000.0),
    ] {
        let load = format!("{rate}/s from {}", shares.len());
        let figures = figures("adaptive, 2 in flight", shares, rate);
        assert!(figures.appends <= LOG_RATE * 0.8, "{load}: {} appends/s", figures.appends);
        assert!(figures.claims > rate * 0.95, "{load}: {} claims/s", figures.claims);
        let late = figures.percentile(0.99);
        assert!(late < Duration::from_millis(540), "{load}: p99 {late:?}");
    }
}

#[test]
fn without_an_interval_the_log_has_no_room_left() {
    let figures = figures("no interval", vec![0.25; 4], 1_000.0);
    assert!(figures.appends > LOG_RATE * 0.99, "{} appends/s", figures.appends);
}
