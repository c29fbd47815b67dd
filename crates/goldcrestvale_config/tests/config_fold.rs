//! The fold is a pure, deterministic function of the log.

mod support;

use std::sync::Arc;

use goldcrestvale_base::id::Offset;
use goldcrestvale_config::{
    fold::{Fold, Outcome, Stop},
    outcome::WINDOW_RECORDS,
    prelude::*,
    schema::Table,
};
use proptest::{prelude::*, test_runner::RngSeed};
use serde_json::{Value, json};
use support::*;

/// The expected outcome of a record, with parts of the reason of a rejection.
enum Expected {
    Accepted,
    Rejected(&'static [&'static str]),
    Conflict(Option<u64>),
}
use Expected::{Accepted, Conflict, Rejected};

#[test]
fn rules_in_order() {
    let none = || Value::Null;
    let (c, m, s, b) = (Kind::Customer, Kind::Model, Kind::Service, Kind::Binding);
    // Offsets count from 0, one row per record.
    let table: Vec<(Kind, &str, Option<u64>, Value, Expected)> = vec![
        (c.clone(), "a", None, customer(1), Accepted),
        (c.clone(), "a", None, customer(2), Conflict(Some(0))),
        (c.clone(), "b", Some(0), customer(2), Conflict(None)),
        (c.clone(), "b", None, customer(1), Rejected(&["customer \"b\"", "customer \"a\""])),
        (c.clone(), "b", None, customer(2), Accepted),
        (c.clone(), "d", None, json!({"weight": 1}), Rejected(&["credential"])),
        (c.clone(), "no name", None, customer(3), Rejected(&["no name"])),
        (c.clone(), "a", Some(0), json!({"weight": 0}), Rejected(&["credential"])),
        (b.clone(), "x", None, binding("a", "s"), Rejected(&["binding \"x\"", "service \"s\""])),
        (s.clone(), "s", None, service(0), Rejected(&["timeout_ms"])),
        (s.clone(), "s", None, service(5), Accepted),
        (b.clone(), "x", None, binding("a", "s"), Accepted),
        (b.clone(), "y", None, binding("a", "s"), Rejected(&["binding \"y\"", "binding \"x\""])),
        (b.clone(), "y", None, binding("b", "s"), Accepted),
        (s.clone(), "s", Some(10), none(), Rejected(&["service \"s\"", "binding \"x\""])),
        (c.clone(), "a", Some(0), none(), Rejected(&["customer \"a\"", "binding \"x\""])),
        (b.clone(), "x", Some(3), none(), Conflict(Some(11))),
        (b.clone(), "x", Some(11), none(), Accepted),
        (c.clone(), "a", Some(0), none(), Accepted),
        (c.clone(), "a", None, none(), Rejected(&["does not exist"])),
        (s.clone(), "s", Some(10), none(), Rejected(&["binding \"y\""])),
        (c.clone(), "a", None, customer(1), Accepted),
        (Kind::Placement, "e1", None, placement("m"), Rejected(&["model \"m\""])),
        (m.clone(), "m", None, model(0), Rejected(&["layers"])),
        (m.clone(), "m", None, model(4), Accepted),
        (Kind::Placement, "e1", None, placement("m"), Accepted),
        (Kind::Trait, "large", None, engine_trait(10), Accepted),
        (Kind::Limit, "l", None, limit("b", "m"), Accepted),
        (m.clone(), "m", Some(24), none(), Rejected(&["model \"m\"", "placement \"e1\""])),
    ];
    let mut fold = Fold::new();
    for (row, (kind, name, base, body, expected)) in table.into_iter().enumerate() {
        let offset = row as u64;
        let got = fold.apply(Offset(offset), id(1, offset), &put(kind, name, base, body));
        let got = got.expect("an outcome");
        match (&expected, &got) {
            (Accepted, Outcome::Accepted { version }) => assert_eq!(version.0, offset),
            (Conflict(now), Outcome::Conflict { now: got }) => assert_eq!(got.map(|v| v.0), *now),
            (Rejected(parts), Outcome::Rejected { reason }) => {
                assert!(parts.iter().all(|part| reason.contains(part)), "row {row}: {reason}");
            }
            _ => panic!("row {row}: {got:?}"),
        }
    }
    let snapshot = fold.snapshot();
    let found = snapshot.customer_by_credential(&snapshot.customers["b"].body.credential);
    assert_eq!(found.map(|(name, _)| name.as_str()), Some("b"));
    let target = Target::Service("s".parse().expect("a name"));
    assert!(snapshot.binding(&"b".parse().expect("a name"), &target).is_some());
    assert!(snapshot.binding(&"a".parse().expect("a name"), &target).is_none());
}

#[test]
fn malformed_records_are_rejected_alike() {
    for data in ["", "[]", "{}", "null", r#"{"raise": 4}"#, r#"{"kind": "customer"}"#] {
        let mut fold = Fold::new();
        let outcome = fold.apply(Offset(0), id(1, 1), data);
        assert!(matches!(outcome, Some(Outcome::Rejected { .. })), "{data}: {outcome:?}");
        assert_eq!(fold.version(), Offset(1));
    }
    let body = json!({"pool": "x".repeat(70_000), "timeout_ms": 1});
    let outcome = Fold::new().apply(Offset(0), id(1, 1), &put(Kind::Service, "s", None, body));
    assert!(matches!(outcome, Some(Outcome::Rejected { .. })));
}

#[test]
fn duplicates_have_no_effect_and_ids_are_bounded() {
    let mut fold = Fold::new();
    let create = put(Kind::Service, "s", None, service(1));
    assert!(fold.apply(Offset(0), id(1, 1), &create).is_some());
    assert!(
        fold.apply(Offset(1), id(1, 2), &put(Kind::Service, "s", Some(0), json!(null))).is_some()
    );
    // Without the id, the duplicate would create the service again.
    assert_eq!(fold.apply(Offset(2), id(1, 1), &create), None);
    assert!(fold.snapshot().services.is_empty());
    assert_eq!(fold.outcome(&id(1, 1)), Some(&Outcome::Accepted { version: Offset(0) }));
    let window = WINDOW_RECORDS as u64;
    for offset in 3..window + 3 {
        fold.apply(Offset(offset), id(2, offset), "{}");
    }
    assert_eq!(fold.outcome(&id(1, 2)), None, "the oldest ids are evicted");
    assert!(fold.outcome(&id(2, 3)).is_some());
}

#[test]
fn gaps_stop_and_other_records_at_old_offsets_alarm() {
    let mut log = Log::default();
    let mut fold = seeded(&mut log);
    let digest = fold.digest();
    fold.apply(Offset(5), id(1, 1), "{}");
    assert_eq!(fold.stop(), Some(&Stop::Gap { found: Offset(5) }));
    assert_eq!((fold.version(), fold.digest()), (Offset(3), digest));
    fold.apply(Offset(1), id(9, 2), "{}");
    assert!(!fold.alarms().any(), "a record may be read twice");
    fold.apply(Offset(1), id(4, 4), "{}");
    fold.check_end(Offset(2));
    assert_eq!((fold.alarms().regressions, fold.digest()), (2, digest));
    fold.apply(Offset(3), id(1, 2), "{}");
    assert_eq!((fold.stop(), fold.version()), (None, Offset(4)));
}

#[test]
fn order_of_fields_and_unknown_fields() {
    let texts = [
        r#"{"pool": "p", "timeout_ms": 1, "later": {"b": 1, "a": [1, {"d": 0, "c": 0}]}}"#,
        r#"{"later": {"a": [1, {"c": 0, "d": 0}], "b": 1}, "timeout_ms": 1, "pool": "p"}"#,
    ];
    let digests = texts.map(|body| {
        let body = serde_json::from_str(body).expect("JSON");
        let mut fold = Fold::new();
        fold.apply(Offset(0), id(1, 1), &put(Kind::Service, "s", None, body));
        assert!(fold.snapshot().services["s"].body.rest.contains_key("later"));
        assert!(fold.body_json(&Kind::Service, "s").expect("a body").contains("later"));
        fold.digest()
    });
    assert_eq!(digests[0], digests[1]);
}

#[derive(Debug, Clone)]
enum Op {
    Put { kind: usize, name: usize, variant: u64, stale: bool, schema: Schema },
    Delete { kind: usize, name: usize, stale: bool },
    Duplicate { back: usize },
    Upgrade { kind: usize },
    Unrelated,
}

fn op() -> impl Strategy<Value = Op> {
    let schema = prop_oneof![4 => Just(V1), 1 => Just(V2)];
    prop_oneof![
        8 => (0..7_usize, 0..4_usize, 0..5_u64, any::<bool>(), schema).prop_map(
            |(kind, name, variant, stale, schema)| Op::Put { kind, name, variant, stale, schema }
        ),
        3 => (0..7_usize, 0..4_usize, any::<bool>())
            .prop_map(|(kind, name, stale)| Op::Delete { kind, name, stale }),
        2 => (1..9_usize).prop_map(|back| Op::Duplicate { back }),
        1 => (0..7_usize).prop_map(|kind| Op::Upgrade { kind }),
        1 => Just(Op::Unrelated),
    ]
}

const NAMES: [&str; 4] = ["a", "m", "s", "z"];

fn table() -> Table {
    let kinds = Kind::KNOWN.into_iter();
    kinds.fold(Table::default(), |table, kind| table.with(kind, 2, Ok))
}

fn record(fold: &Fold, log: &Log, op: &Op) -> String {
    let base = |kind: &Kind, name: usize, stale: bool| {
        let head = fold.head(kind, NAMES[name]).map(|version| version.0);
        if stale { head.map(|version| version.wrapping_sub(1)) } else { head }
    };
    match op {
        Op::Put { kind, name, variant, stale, schema } => {
            let kind = &Kind::KNOWN[*kind];
            let body = valid(kind, *variant);
            let base = base(kind, *name, *stale && *variant == 0);
            let change = change(kind.clone(), NAMES[*name], base, body);
            to_json(&Change { schema: *schema, ..change })
        }
        Op::Delete { kind, name, stale } => {
            let kind = &Kind::KNOWN[*kind];
            put(kind.clone(), NAMES[*name], base(kind, *name, *stale), Value::Null)
        }
        Op::Duplicate { back } => {
            let index = log.records.len().saturating_sub(*back);
            log.records.get(index).map_or_else(String::new, |(_, data)| data.clone())
        }
        Op::Upgrade { kind } => upgrade_to(Kind::KNOWN[*kind].clone(), 2),
        Op::Unrelated => "{\"noise\": 1}".to_owned(),
    }
}

fn check_references(snapshot: &Snapshot) {
    let has = |target: &Target| match target {
        Target::Model(name) => snapshot.models.contains_key(name),
        Target::Service(name) => snapshot.services.contains_key(name),
    };
    for binding in snapshot.bindings.values() {
        assert!(snapshot.customers.contains_key(&binding.body.customer));
        assert!(has(&binding.body.target));
        assert!(snapshot.binding(&binding.body.customer, &binding.body.target).is_some());
    }
    for limit in snapshot.limits.values() {
        assert!(snapshot.customers.contains_key(&limit.body.customer) && has(&limit.body.target));
    }
    for placement in snapshot.placements.values() {
        assert!(snapshot.models.contains_key(&placement.body.model));
    }
    for (name, customer) in &snapshot.customers {
        let found = snapshot.customer_by_credential(&customer.body.credential);
        assert_eq!(found.map(|(name, _)| name), Some(name));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn folds_of_one_prefix_are_equal(
        ops in prop::collection::vec((op(), any::<bool>()), 1..120),
    ) {
        let mut log = Log::default();
        let mut continuous = Fold::with_table(table());
        let mut restarted = Fold::with_table(table());
        for (sequence, (op, restart)) in (0..).zip(ops) {
            let data = record(&continuous, &log, &op);
            let id = match op {
                Op::Duplicate { back } => {
                    let index = log.records.len().saturating_sub(back);
                    log.records.get(index).map_or(id(1, sequence), |(id, _)| *id)
                }
                _ => id(1, sequence),
            };
            let offset = log.append(id, &data);
            let outcome = continuous.apply(offset, id, &data);
            prop_assert_eq!(restarted.apply(offset, id, &data), outcome);
            prop_assert_eq!(continuous.stop(), None);
            check_references(&continuous.snapshot());
            if restart {
                let checkpoint = restarted.checkpoint();
                prop_assert_eq!(&checkpoint, &continuous.checkpoint());
                restarted = checkpoint.try_restore(Arc::new(table())).expect("restores");
                prop_assert_eq!(restarted.snapshot(), continuous.snapshot());
            }
        }
        prop_assert_eq!(restarted.checkpoint(), continuous.checkpoint());
        let mut again = Fold::with_table(table());
        log.read_into(&mut again);
        prop_assert_eq!(again.checkpoint(), continuous.checkpoint());
    }
}
