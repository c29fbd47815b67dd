//! Old and new schema versions coexist while software is rolled out and rolled back.

mod support;

use std::{collections::BTreeMap, sync::Arc};

use goldcrestvale_base::id::Offset;
use goldcrestvale_config::{
    fold::{Fold, Outcome, Stop},
    prelude::*,
    schema::{Result as Converted, Table},
    upgrade,
};
use serde_json::{Map, Value, json};
use support::*;

/// Converts major version 2 of services, in which the timeout is in seconds.
fn seconds(mut body: Map<String, Value>) -> Converted<Map<String, Value>> {
    let seconds = body.remove("timeout_s").and_then(|seconds| seconds.as_u64());
    let seconds = seconds.ok_or("timeout_s is missing")?;
    body.insert("timeout_ms".to_owned(), json!(seconds * 1_000));
    Ok(body)
}

fn newer() -> Table {
    Table::default().with(Kind::Service, 2, seconds)
}

fn put_v2(name: &str, base: Option<u64>, body: Value) -> String {
    to_json(&Change { schema: V2, ..change(Kind::Service, name, base, body) })
}

fn folds() -> [Fold; 2] {
    [Fold::new(), Fold::with_table(newer())]
}

fn timeout(fold: &Fold, name: &str) -> Option<u64> {
    fold.snapshot().services.get(name).map(|service| service.body.timeout_ms)
}

/// Applies a record to every fold and checks that all agree.
fn apply(folds: &mut [Fold], id_sequence: u64, data: &str) -> Option<Outcome> {
    let offset = folds[0].version();
    let outcomes: Vec<_> =
        folds.iter_mut().map(|fold| fold.apply(offset, id(1, id_sequence), data)).collect();
    for (fold, outcome) in folds.iter().zip(&outcomes) {
        assert_eq!(outcome, &outcomes[0], "the same outcome everywhere");
        assert_eq!(fold.checkpoint(), folds[0].checkpoint(), "the same state everywhere");
    }
    outcomes.into_iter().next().flatten()
}

fn is_accepted(outcome: &Option<Outcome>) -> bool {
    matches!(outcome, Some(Outcome::Accepted { .. }))
}

#[test]
fn every_kind_and_schema_version() {
    let later = Schema { major: 1, minor: 7 };
    let none = Schema { major: 0, minor: 1 };
    // Schema version, whether it is accepted, whether it is in force immediately with unknown
    // fields preserved.
    let versions = [(V1, true, true), (later, true, true), (V2, true, false), (none, false, false)];
    let other = Kind::Other("quota".into());
    for kind in Kind::KNOWN.into_iter().chain([other]) {
        for (schema, accepted, in_force) in versions {
            let mut log = Log::default();
            let mut fold = seeded(&mut log);
            let mut body = valid(&kind, 3);
            body["later"] = json!({"kept": [1, 2]});
            let change = Change { schema, ..change(kind.clone(), "n", None, body) };
            let outcome = fold.apply(Offset(3), id(1, 1), &to_json(&change));
            assert_eq!(is_accepted(&outcome), accepted, "{kind} {schema:?}: {outcome:?}");
            let known = !matches!(kind, Kind::Other(_));
            let text = fold.body_json(&kind, "n");
            assert_eq!(text.is_some(), in_force && known, "{kind} {schema:?}");
            assert!(text.is_none_or(|text| text.contains(r#""later":{"kept":[1,2]}"#)));
            assert_eq!(fold.pending().count() == 1, accepted && !(in_force && known));
        }
    }
}

#[test]
fn unknown_fields_survive_a_rewrite_by_older_software() {
    let mut body = customer(4);
    body["billing"] = json!("monthly");
    let mut fold = Fold::new();
    fold.apply(Offset(0), id(1, 1), &put(Kind::Customer, "a", None, body));
    let mut read = fold.snapshot().customers["a"].body.clone();
    read.weight = 9;
    let rewritten = serde_json::to_value(&read).expect("JSON");
    fold.apply(Offset(1), id(1, 2), &put(Kind::Customer, "a", Some(0), rewritten));
    let snapshot = fold.snapshot();
    assert_eq!(snapshot.customers["a"].body.weight, 9);
    assert_eq!(snapshot.customers["a"].body.rest["billing"], "monthly");
}

#[test]
fn a_new_major_waits_for_the_upgrade_and_then_takes_effect() {
    let mut folds = folds();
    assert!(is_accepted(&apply(&mut folds, 0, &put(Kind::Service, "s", None, service(700)))));
    let body = json!({"pool": "desk", "timeout_s": 3});
    assert!(is_accepted(&apply(&mut folds, 1, &put_v2("s", Some(0), body.clone()))));
    let conflict = apply(&mut folds, 2, &put(Kind::Service, "s", Some(0), service(5)));
    assert_eq!(conflict, Some(Outcome::Conflict { now: Some(Offset(1)) }));
    // A change in the old version that is based on a pending one is queued after it.
    assert!(is_accepted(&apply(&mut folds, 3, &put(Kind::Service, "s", Some(1), service(40)))));
    assert!(is_accepted(&apply(&mut folds, 4, &put_v2("t", None, body.clone()))));
    // References to entities that are not in force are rejected, and entities to which a pending
    // change refers cannot be deleted.
    assert!(is_accepted(&apply(&mut folds, 5, &put(Kind::Customer, "a", None, customer(1)))));
    let rejected = apply(&mut folds, 6, &put(Kind::Binding, "x", None, binding("a", "t")));
    assert!(matches!(rejected, Some(Outcome::Rejected { .. })), "{rejected:?}");
    assert!(folds.iter().all(|fold| timeout(fold, "s") == Some(700)));
    assert!(folds.iter().all(|fold| timeout(fold, "t").is_none()));
    let before = folds[0].checkpoint();

    // Without support by all instances there is no upgrade. With it, every fold requests the
    // same one, once.
    let mixed = upgrade::common_majors([Table::default().majors(), newer().majors()]);
    let all = upgrade::common_majors([newer().majors(), newer().majors()]);
    for fold in &folds {
        assert_eq!(fold.upgrades(&mixed), []);
        let upgrades = fold.upgrades(&all);
        assert_eq!(upgrades.iter().map(|upgrade| upgrade.major).collect::<Vec<_>>(), [2]);
    }
    let [mut old, mut new] = folds;
    new.apply(Offset(7), id(1, 7), &upgrade_to(Kind::Service, 2));
    assert_eq!((timeout(&new, "s"), timeout(&new, "t")), (Some(40), Some(3_000)));
    assert_eq!(new.upgrades(&all), []);
    assert_eq!(new.outcome(&id(1, 1)), Some(&Outcome::Accepted { version: Offset(1) }));

    // Old software stops at the upgrade, and keeps the complete state before it.
    old.apply(Offset(7), id(1, 7), &upgrade_to(Kind::Service, 2));
    old.apply(Offset(8), id(1, 8), &put(Kind::Service, "u", None, service(1)));
    assert_eq!(old.stop(), Some(&Stop::Unread { kind: Kind::Service, major: 2 }));
    assert_eq!(old.checkpoint(), before);

    // New software that replaces it continues from its checkpoint.
    let mut replaced = before.try_restore(Arc::new(newer())).expect("restores");
    replaced.apply(Offset(7), id(1, 7), &upgrade_to(Kind::Service, 2));
    assert_eq!(replaced.checkpoint(), new.checkpoint());
    assert_eq!(replaced.snapshot(), new.snapshot());
    // Old software that replaces the new one rejects the state.
    assert!(new.checkpoint().try_restore(Arc::new(Table::default())).is_err());
}

#[test]
fn records_of_the_old_major_are_accepted_after_the_upgrade() {
    let mut new = [Fold::with_table(newer()), Fold::with_table(newer())];
    apply(&mut new, 0, &upgrade_to(Kind::Service, 2));
    assert!(is_accepted(&apply(&mut new, 1, &put(Kind::Service, "s", None, service(5)))));
    let body = json!({"pool": "desk", "timeout_s": 2});
    assert!(is_accepted(&apply(&mut new, 2, &put_v2("s", Some(1), body))));
    assert_eq!(timeout(&new[0], "s"), Some(2_000));
    assert!(is_accepted(&apply(&mut new, 3, &put(Kind::Service, "s", Some(2), service(6)))));
    assert_eq!(timeout(&new[0], "s"), Some(6));
    // A repeated or lower upgrade changes nothing.
    let before = new[0].digest_at(new[0].version());
    apply(&mut new, 4, &upgrade_to(Kind::Service, 2));
    apply(&mut new, 5, &upgrade_to(Kind::Service, 1));
    assert_eq!(timeout(&new[0], "s"), Some(6));
    assert!(before.is_some() && new[0].stop().is_none());
}

#[test]
fn a_pending_body_that_cannot_be_parsed_is_rejected() {
    let mut new = [Fold::with_table(newer()), Fold::with_table(newer())];
    apply(&mut new, 0, &put(Kind::Service, "s", None, service(5)));
    assert!(is_accepted(&apply(&mut new, 1, &put_v2("s", Some(0), json!({"pool": "p"})))));
    apply(&mut new, 2, &upgrade_to(Kind::Service, 2));
    assert!(matches!(new[0].outcome(&id(1, 1)), Some(Outcome::Rejected { .. })));
    assert_eq!(timeout(&new[0], "s"), Some(5));
    assert_eq!(new[0].head(&Kind::Service, "s"), Some(Offset(0)));
}

#[test]
fn pending_deletions_and_creations_take_effect_in_order() {
    let mut folds = folds();
    let body = json!({"pool": "desk", "timeout_s": 3});
    apply(&mut folds, 0, &put(Kind::Service, "s", None, service(5)));
    assert!(is_accepted(&apply(&mut folds, 1, &put_v2("s", Some(0), body.clone()))));
    assert!(is_accepted(&apply(&mut folds, 2, &put(Kind::Service, "s", Some(1), Value::Null))));
    apply(&mut folds, 3, &put(Kind::Customer, "a", None, customer(1)));
    let rejected = apply(&mut folds, 4, &put(Kind::Binding, "x", None, binding("a", "s")));
    assert!(
        matches!(rejected, Some(Outcome::Rejected { .. })),
        "a deletion is pending: {rejected:?}"
    );
    assert!(is_accepted(&apply(&mut folds, 5, &put_v2("s", None, body))));
    let [_, mut new] = folds;
    new.apply(Offset(6), id(1, 6), &upgrade_to(Kind::Service, 2));
    assert_eq!(timeout(&new, "s"), Some(3_000));
    assert_eq!(new.head(&Kind::Service, "s"), Some(Offset(5)));
    assert_eq!(new.pending().count(), 0);
}

#[test]
fn pending_changes_are_bounded() {
    let mut fold = Fold::new();
    let mut rejected = 0;
    for offset in 0..goldcrestvale_config::evaluate::MAX_PENDING as u64 + 5 {
        let base = fold.head(&Kind::Service, "s").map(|version| version.0);
        let outcome = fold.apply(Offset(offset), id(1, offset), &put_v2("s", base, json!({})));
        rejected += u64::from(!is_accepted(&outcome));
    }
    assert_eq!(rejected, 5);
}

#[test]
fn only_majors_without_a_gap_count() {
    let gap = Table::default().with(Kind::Service, 3, Ok).majors();
    assert_eq!(gap[&Kind::Service], 1);
    let quota = Kind::Other("quota".into());
    let extended = Table::default().with(quota.clone(), 1, Ok).majors();
    assert_eq!(upgrade::common_majors([extended.clone(), extended.clone()])[&quota], 1);
    assert!(!upgrade::common_majors([extended, Table::default().majors()]).contains_key(&quota));
    assert_eq!(upgrade::common_majors([]), BTreeMap::new());
}
