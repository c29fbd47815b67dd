//! The contract of the claim fold, as tables of records and their expected outcomes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use goldcrestvale_base::{
    id::{Digest, Incarnation, Key, Offset, RecordId},
    time::Wall,
};
use goldcrestvale_ledger::{
    claim::{
        Abandonment, Error, Fold, Intent, Kind, Outcome, Record, Refusal, SCHEMA, Settlement,
        Standing, Window,
    },
    prefix::{self, Continuity, Prefix},
    record::{Page, View},
};

const WINDOW: Window = Window { length: Duration::from_secs(60) };
const START: u64 = 1_700_000_000_000;

fn key_at(issued: u64, number: u128) -> Key {
    Key(uuid::Uuid::from_u128(u128::from(issued) << 80 | 7 << 76 | 2 << 62 | number))
}

fn key() -> Key {
    key_at(START, 1)
}

fn intent(key: Key) -> Intent {
    Intent {
        key,
        customer: "tezeta".parse().unwrap(),
        service: "booking".parse().unwrap(),
        digest: Digest::of(b"body"),
        instance: "yeka-1".parse().unwrap(),
    }
}

fn claim(key: Key) -> String {
    Record::new(Kind::Claim(intent(key))).to_json()
}

fn abandon(claim: u64) -> String {
    Record::new(Kind::Abandon(Abandonment { key: key(), claim: Offset(claim) })).to_json()
}

fn settle(claim: u64) -> String {
    let settlement = Settlement { key: key(), claim: Offset(claim), status: 201 };
    Record::new(Kind::Settle(settlement)).to_json()
}

fn changed(change: impl Fn(&mut Intent)) -> String {
    let mut intent = intent(key());
    change(&mut intent);
    Record::new(Kind::Claim(intent)).to_json()
}

/// A record: writer, number, milliseconds after the start, content, expected outcome.
type Row = (u128, u64, u64, String, Outcome);

fn apply(fold: &mut Fold, row: &Row, offset: u64) -> prefix::Result<Outcome> {
    let (writer, sequence, after, data, _) = row;
    let id = RecordId { incarnation: Incarnation(*writer), sequence: *sequence };
    fold.apply(View { offset: Offset(offset), id, written: Wall(START + after), data })
}

fn run(name: &str, rows: &[Row]) -> Fold {
    let mut fold = Fold::new(WINDOW, Prefix::from_start());
    for (index, row) in rows.iter().enumerate() {
        let outcome = apply(&mut fold, row, index as u64).unwrap();
        assert_eq!(outcome, row.4, "{name}, record {index}");
    }
    fold
}

#[test]
fn outcomes_follow_the_contract() {
    use Outcome::{Abandoned, Duplicate, Ignored, Lost, Refused, Settled, Won};
    let k = key();
    let mismatch = Refused(k, Refusal::Mismatch);
    let later = format!(r#"{{"schema":{},"kind":"merge"}}"#, SCHEMA + 1);
    let v4 = Key(uuid::Uuid::from_u128(4 << 76 | 2 << 62));
    let old = key_at(START - 60_001, 1);
    let new = key_at(START + 5_001, 1);
    let table: Vec<(&str, Vec<Row>)> = vec![
        ("the first wins", vec![(1, 0, 0, claim(k), Won(k)), (2, 0, 0, claim(k), Lost(k))]),
        ("a retried append", vec![(1, 0, 0, claim(k), Won(k)), (1, 0, 9, claim(k), Duplicate)]),
        (
            "a claim retried after it was abandoned",
            vec![
                (1, 0, 0, claim(k), Won(k)),
                (2, 0, 0, claim(k), Lost(k)),
                (1, 1, 1, abandon(0), Abandoned(k)),
                (1, 0, 2, claim(k), Duplicate),
                (2, 0, 2, claim(k), Duplicate),
                (2, 1, 3, claim(k), Won(k)),
            ],
        ),
        (
            "only the owner abandons, only its own claim, only once",
            vec![
                (1, 0, 0, claim(k), Won(k)),
                (2, 0, 0, abandon(0), Ignored),
                (1, 1, 0, abandon(1), Ignored),
                (1, 2, 0, abandon(0), Abandoned(k)),
                (1, 3, 0, abandon(0), Ignored),
            ],
        ),
        (
            "a settled claim stays",
            vec![
                (1, 0, 0, claim(k), Won(k)),
                (2, 0, 0, settle(0), Ignored),
                (1, 1, 0, settle(0), Settled(k)),
                (1, 2, 0, abandon(0), Ignored),
                (1, 3, 0, settle(0), Ignored),
                (2, 1, 0, claim(k), Lost(k)),
            ],
        ),
        (
            "another request under the same key",
            vec![
                (1, 0, 0, claim(k), Won(k)),
                (2, 0, 0, changed(|it| it.digest = Digest::of(b"other")), mismatch),
                (2, 1, 0, changed(|it| it.customer = "kauri".parse().unwrap()), mismatch),
                (2, 2, 0, changed(|it| it.service = "desk".parse().unwrap()), mismatch),
                (2, 3, 0, changed(|it| it.instance = "bole-1".parse().unwrap()), Lost(k)),
            ],
        ),
        (
            "keys outside the window",
            vec![
                (1, 0, 0, claim(v4), Refused(v4, Refusal::Malformed)),
                (1, 1, 0, claim(old), Refused(old, Refusal::TooOld)),
                (1, 2, 0, claim(new), Refused(new, Refusal::TooNew)),
                (1, 3, 1, claim(new), Won(new)),
            ],
        ),
        (
            "a key older than the window is refused, not won again",
            vec![
                (1, 0, 0, claim(k), Won(k)),
                (2, 0, 60_000, claim(k), Lost(k)),
                (2, 1, 60_001, claim(k), Refused(k, Refusal::TooOld)),
                (2, 2, 0, claim(k), Refused(k, Refusal::TooOld)),
            ],
        ),
        (
            "a record of a newer schema may be a claim",
            vec![
                (1, 0, 0, later.clone(), Ignored),
                (1, 1, 0, claim(k), Refused(k, Refusal::Unproven)),
                (1, 2, 9_000, claim(key_at(START + 10_001, 2)), Won(key_at(START + 10_001, 2))),
            ],
        ),
        (
            "data that is no record has no effect",
            vec![
                (1, 0, 0, "{}".into(), Ignored),
                (1, 1, 0, "[1]".into(), Ignored),
                (1, 2, 0, r#"{"schema":1,"kind":"unknown"}"#.into(), Ignored),
                (1, 3, 0, claim(k).replace("\"kind\"", "\"new-field\":7,\"kind\""), Won(k)),
            ],
        ),
    ];
    for (name, rows) in &table {
        run(name, rows);
    }
}

#[test]
fn the_state_expires_by_the_time_of_the_log() {
    let rows: Vec<Row> = (0..50)
        .map(|n| {
            let key = key_at(START + n * 100, n.into());
            (u128::from(n % 3), n, n * 100, claim(key), Outcome::Won(key))
        })
        .collect();
    let mut fold = run("fifty claims", &rows);
    assert_eq!(fold.len(), 50);
    let mark = Record::new(Kind::Mark).to_json();
    apply(&mut fold, &(9, 0, 62_450, mark, Outcome::Ignored), 50).unwrap();
    assert_eq!(fold.len(), 25);
}

#[test]
fn a_trimmed_prefix_proves_nothing_until_the_window_has_passed() {
    let mut fold = Fold::new(WINDOW, Prefix::trimmed(Offset(7)));
    let first = (1, 0, 0, claim(key()), Outcome::Ignored);
    assert_eq!(apply(&mut fold, &first, 7).unwrap(), Outcome::Refused(key(), Refusal::Unproven));
    for (issued, expected) in [(10_000, Err(Refusal::Unproven)), (10_001, Ok(()))] {
        assert_eq!(fold.check(&key_at(START + issued, 3)), expected, "issued after {issued} ms");
    }
    let mark = |n, after| (1, n, after, Record::new(Kind::Mark).to_json(), Outcome::Ignored);
    apply(&mut fold, &mark(1, 70_000), 8).unwrap();
    assert!(!fold.proves_all());
    apply(&mut fold, &mark(2, 70_001), 9).unwrap();
    assert!(fold.proves_all());
}

#[test]
fn a_stream_with_a_gap_or_an_earlier_offset_is_not_read() {
    let mut fold = run("one", &[(1, 0, 0, claim(key()), Outcome::Won(key()))]);
    let before = fold.digest();
    let next = (1, 1, 0, claim(key()), Outcome::Ignored);
    let (expected, found) = (Offset(1), Offset(3));
    assert_eq!(apply(&mut fold, &next, 3), Err(prefix::Error::Gap { expected, found }));
    let found = Offset(0);
    assert_eq!(apply(&mut fold, &next, 0), Err(prefix::Error::Backwards { expected, found }));
    let id = RecordId { incarnation: Incarnation(1), sequence: 0 };
    let other = RecordId { sequence: 7, ..id };
    let table = [
        (0, vec![], Continuity::Behind),
        (1, vec![], Continuity::Unknown),
        (1, vec![(0, id)], Continuity::Same),
        (2, vec![(0, other), (1, id)], Continuity::Reset),
    ];
    for (end, records, expected) in table {
        let view = |&(offset, id)| View { offset: Offset(offset), id, written: Wall(0), data: "" };
        let views: Vec<_> = records.iter().map(view).collect();
        let page = Page { oldest: Offset(0), end: Offset(end), records: &views };
        assert_eq!(fold.prefix().compare(&page), expected, "end {end}, {records:?}");
    }
    assert_eq!(fold.digest(), before);
}

#[test]
fn a_checkpoint_restores_the_same_state() {
    let rows = [
        (1, 0, 0, claim(key()), Outcome::Won(key())),
        (2, 0, 5, claim(key_at(START, 9)), Outcome::Won(key_at(START, 9))),
        (1, 1, 9, settle(0), Outcome::Settled(key())),
    ];
    let mut fold = run("three", &rows);
    let text = serde_json::to_string(&fold.checkpoint()).unwrap();
    let checkpoint = serde_json::from_str(&text).unwrap();
    let mut restored = Fold::restore(WINDOW, &checkpoint).unwrap();
    assert_eq!(restored.digest(), fold.digest());
    assert_eq!(restored.get(&key()).unwrap().standing, Standing::Settled(201));
    let again = (2, 0, 9, claim(key_at(START, 9)), Outcome::Duplicate);
    for fold in [&mut fold, &mut restored] {
        assert_eq!(apply(fold, &again, 3).unwrap(), Outcome::Duplicate);
    }
    assert_eq!(serde_json::to_value(fold.checkpoint()).unwrap(), {
        serde_json::to_value(restored.checkpoint()).unwrap()
    });
}

#[test]
fn an_invalid_checkpoint_is_refused() {
    let fold = run("one", &[(1, 0, 0, claim(key()), Outcome::Won(key()))]);
    let good = serde_json::to_value(fold.checkpoint()).unwrap();
    type Damage = (&'static str, serde_json::Value, fn(&Error) -> bool);
    let table: [Damage; 4] = [
        ("/schema", 9.into(), |error| matches!(error, Error::Schema { found: 9 })),
        ("/window/length/secs", 1.into(), |error| matches!(error, Error::OtherWindow { .. })),
        ("/claims/0/owner", 4.into(), |error| matches!(error, Error::UnknownOwner { .. })),
        ("/claims/0/claim", 4.into(), |error| matches!(error, Error::Damaged { .. })),
    ];
    for (path, value, expected) in table {
        let mut bad = good.clone();
        *bad.pointer_mut(path).unwrap() = value;
        let error = Fold::restore(WINDOW, &serde_json::from_value(bad).unwrap()).unwrap_err();
        assert!(expected(&error), "{path}: {error}");
    }
}
