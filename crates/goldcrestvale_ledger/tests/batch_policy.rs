//! Delivery of queued records, and compliance of the policies with the append rate of the log.

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

fn poll_ids(queue: &mut Queue<Fixed>) -> (u64, Vec<RecordId>) {
    let batch = queue.poll(Instant(9)).expect("an append is due");
    (batch.number, batch.records.iter().map(|draft| draft.id).collect())
}

#[test]
fn lost_records_are_appended_again_first_with_the_same_identity() {
    let (mut queue, ids) = queue_of(4);
    let (first, sent) = poll_ids(&mut queue);
    assert_eq!(sent, ids[..2]);
    queue.append_lost(first, Instant(5));
    let (second, sent) = poll_ids(&mut queue);
    assert_ne!(first, second);
    assert_eq!(sent, ids[..2]);
    assert_eq!(poll_ids(&mut queue).1, ids[2..]);
}

#[test]
fn the_limits_are_enforced() {
    let (mut queue, _) = queue_of(6);
    let draft = Draft { id: Sequence::new(Incarnation(2), 0).next_id(), data: "{}".into() };
    assert_eq!(queue.try_push(draft, Instant(0)), Err(Error::Full { waiting: 6 }));
    let (first, _) = poll_ids(&mut queue);
    poll_ids(&mut queue);
    assert_eq!((queue.poll(Instant(9)), queue.due()), (None, None));
    queue.acknowledge(first);
    poll_ids(&mut queue);
}

#[test]
fn a_withdrawn_record_is_not_sent_again_and_withdraw_reports_whether_it_was_sent() {
    let (mut queue, ids) = queue_of(4);
    let (first, _) = poll_ids(&mut queue);
    assert!(queue.withdraw(ids[2]), "never sent");
    assert!(!queue.withdraw(ids[0]), "in flight");
    queue.append_lost(first, Instant(5));
    assert!(!queue.withdraw(ids[1]), "lost and waiting again");
    assert_eq!(poll_ids(&mut queue).1, ids[3..]);
    assert!(queue.poll(Instant(9)).is_none());
}

/// Runs one policy, given its name in the table of the example.
fn run_policy(name: &str, shares: Vec<f64>, rate: f64) -> model::Results {
    let count = shares.len();
    let choice =
        || choices(count).into_iter().find(|choice| choice.name == name).expect("a listed name");
    let phases = vec![Phase { from: Duration::ZERO, rate }];
    let (length, count_from) = (Duration::from_secs(40), Duration::from_secs(10));
    simulate(&Run { shares, phases, length, count_from }, choice)
}

#[test]
fn the_adaptive_interval_leaves_spare_log_capacity_at_every_load() {
    for (shares, rate) in [
        (vec![0.25; 4], 50.0),
        (vec![0.25; 4], 200.0),
        (vec![0.25; 4], 1_000.0),
        (vec![0.97, 0.01, 0.01, 0.01], 1_000.0),
        (vec![1.0 / 28.0; 28], 1_000.0),
    ] {
        let load = format!("{rate}/s from {}", shares.len());
        let results = run_policy("adaptive, 2 in flight", shares, rate);
        assert!(results.appends <= LOG_RATE * 0.8, "{load}: {} appends/s", results.appends);
        assert!(results.claims > rate * 0.95, "{load}: {} claims/s", results.claims);
        let p99 = results.percentile(0.99);
        assert!(p99 < Duration::from_millis(540), "{load}: p99 {p99:?}");
    }
}

#[test]
fn without_an_interval_the_log_is_saturated() {
    let results = run_policy("no interval", vec![0.25; 4], 1_000.0);
    assert!(results.appends > LOG_RATE * 0.99, "{} appends/s", results.appends);
}
