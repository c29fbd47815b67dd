//! Operators change the same and related records through different instances.

mod support;

use std::time::Duration;

use goldcrestvale_base::{id::Offset, time::Instant};
use goldcrestvale_config::{
    outcome::WINDOW_RECORDS,
    prelude::*,
    submission::{Action, Answer, AppendResult, MAX_PENDING, MAX_RETRY_TIME, Origin, Queue},
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use support::{
    cluster::{Cluster, Fault},
    *,
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn random_fault(rng: &mut ChaCha8Rng) -> Fault {
    let late = Fault::Late(Duration::from_millis(rng.random_range(0..9_000)));
    *[Fault::None, Fault::LostAfter, Fault::LostBefore, late].choose(rng).expect("four faults")
}

#[test]
fn one_of_two_conflicting_changes_is_accepted_despite_lost_answers() {
    let pairs: [(&str, [Change; 2]); 4] = [
        ("create twice", [1, 2].map(|t| change(Kind::Service, "t", None, service(t)))),
        ("update twice", [1, 2].map(|t| change(Kind::Service, "s", Some(2), service(t)))),
        (
            "delete and update",
            [Value::Null, service(5)].map(|body| change(Kind::Service, "s", Some(2), body)),
        ),
        (
            "delete and refer to",
            [
                change(Kind::Customer, "a", Some(0), Value::Null),
                change(Kind::Binding, "x", None, binding("a", "s")),
            ],
        ),
    ];
    for (name, changes) in &pairs {
        for seed in 0..60 {
            let mut cluster = Cluster::new(2, seed);
            seeded(&mut cluster.log);
            cluster.run(Duration::from_secs(1), &mut random_fault);
            let ids = [id(1, seed), id(2, seed)];
            for (instance, change) in changes.iter().enumerate() {
                cluster.submit(
                    instance,
                    ids[instance],
                    change,
                    Origin::New,
                    TIMEOUT,
                    &mut random_fault,
                );
            }
            cluster.run(TIMEOUT + Duration::from_secs(10), &mut random_fault);
            cluster.check();
            let answers = ids.map(|id| cluster.answer(&id).cloned());
            let accepted =
                |answer: &&Option<Answer>| matches!(answer, Some(Answer::Accepted { .. }));
            assert_eq!(answers.iter().filter(accepted).count(), 1, "{name} {seed}: {answers:?}");
        }
    }
}

#[test]
fn answers_agree_with_the_log_despite_faults() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(4, seed);
        seeded(&mut cluster.log);
        cluster.run(Duration::from_secs(1), &mut random_fault);
        for sequence in 0..120 {
            let instance = cluster.rng.random_range(0..4);
            let kind = Kind::KNOWN.choose(&mut cluster.rng).expect("kinds").clone();
            let name = *["a", "m", "s", "z"].choose(&mut cluster.rng).expect("names");
            let body = match cluster.rng.random_bool(0.3) {
                true => Value::Null,
                false => valid(&kind, cluster.rng.random_range(0..4)),
            };
            let base = cluster.instances[instance].fold.head(&kind, name).map(|version| version.0);
            let change = change(kind, name, base, body);
            let id = id(instance as u128 + 1, sequence);
            cluster.submit(instance, id, &change, Origin::New, TIMEOUT, &mut random_fault);
            // An operator whose answer is lost retries the change through another instance.
            let other = cluster.rng.random_range(0..4);
            let origin = Origin::Repeat { age: Duration::ZERO };
            cluster.submit(other, id, &change, origin, TIMEOUT, &mut random_fault);
            cluster.run(Duration::from_millis(200), &mut random_fault);
        }
        cluster.run(TIMEOUT + Duration::from_secs(10), &mut random_fault);
        cluster.check();
        let answered: usize = cluster.instances.iter().map(|instance| instance.answers.len()).sum();
        assert!(answered >= 120, "every change is answered: {answered}");
    }
}

#[test]
fn an_unknown_change_is_found_or_retried_by_its_id() {
    for (fault, stored) in [(Fault::LostBefore, false), (Fault::LostAfter, true)] {
        let mut cluster = Cluster::new(2, 3);
        let id = id(1, 1);
        let change = change(Kind::Service, "s", None, service(9));
        cluster.readable = false;
        let mut always = |_: &mut ChaCha8Rng| fault;
        cluster.submit(0, id, &change, Origin::New, TIMEOUT, &mut always);
        cluster.run(TIMEOUT, &mut always);
        assert_eq!(cluster.answer(&id), Some(&Answer::Unknown { id }));
        assert_eq!(cluster::end(&cluster.log) > 0, stored);
        cluster.readable = true;
        let mut none = |_: &mut ChaCha8Rng| Fault::None;
        let origin = Origin::Repeat { age: TIMEOUT };
        cluster.submit(1, id, &change, origin, TIMEOUT, &mut none);
        cluster.run(Duration::from_secs(1), &mut none);
        assert_eq!(cluster.answer(&id), Some(&Answer::Accepted { version: Offset(0) }));
        cluster.check();
    }
}

#[test]
fn a_change_older_than_the_window_is_not_evaluated_again() {
    let mut cluster = Cluster::new(1, 4);
    let mut none = |_: &mut ChaCha8Rng| Fault::None;
    let (id, change) = (id(1, 1), change(Kind::Service, "s", None, service(9)));
    cluster.submit(0, id, &change, Origin::New, TIMEOUT, &mut none);
    cluster.run(Duration::from_secs(1), &mut none);
    assert_eq!(cluster.answer(&id), Some(&Answer::Accepted { version: Offset(0) }));
    for sequence in 0..WINDOW_RECORDS as u64 {
        cluster.log.append(support::id(2, sequence), "{}");
    }
    cluster.run(Duration::from_secs(1), &mut none);
    assert_eq!(cluster.instances[0].fold.outcome(&id), None);
    let before = cluster.log.end();
    let origin = Origin::Repeat { age: MAX_RETRY_TIME + Duration::from_secs(1) };
    cluster.submit(0, id, &change, origin, TIMEOUT, &mut none);
    cluster.run(TIMEOUT, &mut none);
    assert_eq!(cluster.answer(&id), Some(&Answer::Unknown { id }));
    assert_eq!(cluster.log.end(), before, "nothing is appended");
}

#[test]
fn a_change_that_may_be_stored_is_never_reported_as_rejected() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let fold = Fold::new();
    let good = change(Kind::Service, "s", None, service(1));
    let bad = change(Kind::Service, "s", None, json!({}));
    let refused = AppendResult::Refused("too large".to_owned());
    let recent = Origin::Repeat { age: Duration::ZERO };
    let old = Origin::Repeat { age: MAX_RETRY_TIME + Duration::from_secs(1) };
    let late = [refused.clone(), AppendResult::Lost, refused.clone()];
    // Origin, change, results of the appends in order, expected answer.
    type Row<'a> = (&'a str, Origin, &'a Change, &'a [AppendResult], Verdict);
    let table: [Row; 9] = [
        ("new, unreadable", Origin::New, &bad, &[], Verdict::Rejected),
        ("repeat, unreadable", recent.clone(), &bad, &[], Verdict::Unknown),
        ("repeat, old", old, &good, &[], Verdict::Unknown),
        ("new, refused", Origin::New, &good, &late[..1], Verdict::NotTaken),
        ("new, no result", Origin::New, &good, &[], Verdict::Unknown),
        ("repeat, refused", recent, &good, &late[..1], Verdict::Unknown),
        ("lost, then refused", Origin::New, &good, &late[1..], Verdict::Unknown),
        ("refused, lost, refused", Origin::New, &good, &late, Verdict::Unknown),
        ("stored, not read", Origin::New, &good, &[AppendResult::Stored], Verdict::Unknown),
    ];
    for (name, origin, change, appends, verdict) in table {
        let (id, mut queue) = (id(1, 1), Queue::default());
        let deadline = Instant(0) + TIMEOUT;
        let mut actions = queue.submit(Instant(0), id, change, origin, deadline, &fold);
        for append in appends {
            queue.record_append(Instant(0), &id, append, &mut rng);
        }
        actions.extend(queue.tick(deadline));
        let answers: Vec<_> = actions.into_iter().filter_map(to_answer).collect();
        let [answer] = &answers[..] else { panic!("{name}: {answers:?}") };
        let got = match answer {
            Answer::Rejected { .. } => Verdict::Rejected,
            Answer::NotTaken { .. } => Verdict::NotTaken,
            Answer::Unknown { .. } => Verdict::Unknown,
            _ => panic!("{name}: {answer:?}"),
        };
        assert_eq!(got, verdict, "{name}");
    }
}

#[derive(Debug, PartialEq)]
enum Verdict {
    Rejected,
    NotTaken,
    Unknown,
}

fn to_answer(action: Action) -> Option<Answer> {
    match action {
        Action::Answer { answer, .. } => Some(answer),
        Action::Append { .. } => None,
    }
}

#[test]
fn a_full_queue_accepts_nothing() {
    let (mut queue, fold) = (Queue::default(), Fold::new());
    let change = change(Kind::Service, "s", None, service(1));
    for sequence in 0..=MAX_PENDING as u64 {
        let (id, deadline) = (id(1, sequence), Instant(0) + TIMEOUT);
        let actions = queue.submit(Instant(0), id, &change, Origin::New, deadline, &fold);
        let answer = actions.into_iter().find_map(to_answer);
        let full = matches!(answer, Some(Answer::NotTaken { .. }));
        assert_eq!(full, sequence == MAX_PENDING as u64);
    }
}
