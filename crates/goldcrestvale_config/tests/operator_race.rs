//! Operators that change the same and related records through different instances.

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
    office::{Fault, Office},
    *,
};

const PATIENCE: Duration = Duration::from_secs(20);

fn faulty(rng: &mut ChaCha8Rng) -> Fault {
    let late = Fault::Late(Duration::from_millis(rng.random_range(0..9_000)));
    *[Fault::None, Fault::LostAfter, Fault::LostBefore, late].choose(rng).expect("four faults")
}

#[test]
fn one_of_two_wins_whatever_answers_are_lost() {
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
            let mut office = Office::new(2, seed);
            seeded(&mut office.log);
            office.run(Duration::from_secs(1), &mut faulty);
            let ids = [id(1, seed), id(2, seed)];
            for (clerk, change) in changes.iter().enumerate() {
                office.submit(clerk, ids[clerk], change, Origin::New, PATIENCE, &mut faulty);
            }
            office.run(PATIENCE + Duration::from_secs(10), &mut faulty);
            office.check();
            let answers = ids.map(|id| office.answer(&id).cloned());
            let accepted =
                |answer: &&Option<Answer>| matches!(answer, Some(Answer::Accepted { .. }));
            assert_eq!(answers.iter().filter(accepted).count(), 1, "{name} {seed}: {answers:?}");
        }
    }
}

#[test]
fn many_changes_with_faults_keep_every_answer_true() {
    for seed in 0..20 {
        let mut office = Office::new(4, seed);
        seeded(&mut office.log);
        office.run(Duration::from_secs(1), &mut faulty);
        for sequence in 0..120 {
            let clerk = office.rng.random_range(0..4);
            let kind = Kind::KNOWN.choose(&mut office.rng).expect("kinds").clone();
            let name = *["a", "m", "s", "z"].choose(&mut office.rng).expect("names");
            let body = match office.rng.random_bool(0.3) {
                true => Value::Null,
                false => valid(&kind, office.rng.random_range(0..4)),
            };
            let base = office.clerks[clerk].fold.head(&kind, name).map(|version| version.0);
            let change = change(kind, name, base, body);
            let id = id(clerk as u128 + 1, sequence);
            office.submit(clerk, id, &change, Origin::New, PATIENCE, &mut faulty);
            // An operator whose answer is lost sends the change again, through another instance.
            let other = office.rng.random_range(0..4);
            let origin = Origin::Repeat { age: Duration::ZERO };
            office.submit(other, id, &change, origin, PATIENCE, &mut faulty);
            office.run(Duration::from_millis(200), &mut faulty);
        }
        office.run(PATIENCE + Duration::from_secs(10), &mut faulty);
        office.check();
        let answered: usize = office.clerks.iter().map(|clerk| clerk.answers.len()).sum();
        assert!(answered >= 120, "every change is answered: {answered}");
    }
}

#[test]
fn an_unknown_change_is_found_or_repeated_by_its_id() {
    for (fault, stands) in [(Fault::LostBefore, false), (Fault::LostAfter, true)] {
        let mut office = Office::new(2, 3);
        let id = id(1, 1);
        let change = change(Kind::Service, "s", None, service(9));
        office.readable = false;
        let mut always = |_: &mut ChaCha8Rng| fault;
        office.submit(0, id, &change, Origin::New, PATIENCE, &mut always);
        office.run(PATIENCE, &mut always);
        assert_eq!(office.answer(&id), Some(&Answer::Unknown { id }));
        assert_eq!(office::end(&office.log) > 0, stands);
        office.readable = true;
        let mut none = |_: &mut ChaCha8Rng| Fault::None;
        let origin = Origin::Repeat { age: PATIENCE };
        office.submit(1, id, &change, origin, PATIENCE, &mut none);
        office.run(Duration::from_secs(1), &mut none);
        assert_eq!(office.answer(&id), Some(&Answer::Accepted { version: Offset(0) }));
        office.check();
    }
}

#[test]
fn a_forgotten_change_is_not_judged_anew() {
    let mut office = Office::new(1, 4);
    let mut none = |_: &mut ChaCha8Rng| Fault::None;
    let (id, change) = (id(1, 1), change(Kind::Service, "s", None, service(9)));
    office.submit(0, id, &change, Origin::New, PATIENCE, &mut none);
    office.run(Duration::from_secs(1), &mut none);
    assert_eq!(office.answer(&id), Some(&Answer::Accepted { version: Offset(0) }));
    for sequence in 0..WINDOW_RECORDS as u64 {
        office.log.append(support::id(2, sequence), "{}");
    }
    office.run(Duration::from_secs(1), &mut none);
    assert_eq!(office.clerks[0].fold.outcome(&id), None);
    let before = office.log.end();
    let origin = Origin::Repeat { age: MAX_RETRY_TIME + Duration::from_secs(1) };
    office.submit(0, id, &change, origin, PATIENCE, &mut none);
    office.run(PATIENCE, &mut none);
    assert_eq!(office.answer(&id), Some(&Answer::Unknown { id }));
    assert_eq!(office.log.end(), before, "nothing is appended");
}

#[test]
fn what_may_stand_is_never_called_rejected() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let fold = Fold::new();
    let good = change(Kind::Service, "s", None, service(1));
    let bad = change(Kind::Service, "s", None, json!({}));
    let refused = AppendResult::Refused("too large".to_owned());
    let young = Origin::Repeat { age: Duration::ZERO };
    let old = Origin::Repeat { age: MAX_RETRY_TIME + Duration::from_secs(1) };
    let late = [refused.clone(), AppendResult::Lost, refused.clone()];
    // Origin, change, results of the appends in turn, the last answer.
    type Row<'a> = (&'a str, Origin, &'a Change, &'a [AppendResult], Verdict);
    let table: [Row; 9] = [
        ("new, unreadable", Origin::New, &bad, &[], Verdict::Rejected),
        ("repeat, unreadable", young.clone(), &bad, &[], Verdict::Unknown),
        ("repeat, old", old, &good, &[], Verdict::Unknown),
        ("new, refused", Origin::New, &good, &late[..1], Verdict::NotTaken),
        ("new, no result", Origin::New, &good, &[], Verdict::Unknown),
        ("repeat, refused", young, &good, &late[..1], Verdict::Unknown),
        ("lost, then refused", Origin::New, &good, &late[1..], Verdict::Unknown),
        ("refused, lost, refused", Origin::New, &good, &late, Verdict::Unknown),
        ("stored, not read", Origin::New, &good, &[AppendResult::Stored], Verdict::Unknown),
    ];
    for (name, origin, change, appends, verdict) in table {
        let (id, mut desk) = (id(1, 1), Queue::default());
        let deadline = Instant(0) + PATIENCE;
        let mut actions = desk.submit(Instant(0), id, change, origin, deadline, &fold);
        for append in appends {
            desk.record_append(Instant(0), &id, append, &mut rng);
        }
        actions.extend(desk.tick(deadline));
        let answers: Vec<_> = actions.into_iter().filter_map(answer_of).collect();
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

fn answer_of(action: Action) -> Option<Answer> {
    match action {
        Action::Answer { answer, .. } => Some(answer),
        Action::Append { .. } => None,
    }
}

#[test]
fn a_full_desk_takes_nothing() {
    let (mut desk, fold) = (Queue::default(), Fold::new());
    let change = change(Kind::Service, "s", None, service(1));
    for sequence in 0..=MAX_PENDING as u64 {
        let (id, deadline) = (id(1, sequence), Instant(0) + PATIENCE);
        let actions = desk.submit(Instant(0), id, &change, Origin::New, deadline, &fold);
        let answer = actions.into_iter().find_map(answer_of);
        let full = matches!(answer, Some(Answer::NotTaken { .. }));
        assert_eq!(full, sequence == MAX_PENDING as u64);
    }
}
