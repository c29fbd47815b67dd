//! Joins, restarts, departures and merges in the catalog of upstreams.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use goldcrestvale_base::{
    engine::Layers,
    id::{Offset, Upstream},
    time::Instant,
};
use goldcrestvale_gateway::{
    Catalog, CatalogChange, Listing,
    port::{Change, Holding, Page, Presence, Registration},
};
use proptest::prelude::*;

fn registration(name: &str, port: u16, revision: u64) -> Registration {
    Registration {
        upstream: name.parse().unwrap(),
        service: "model".parse().unwrap(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "bole".parse().unwrap(),
        ready: true,
        slots: 8,
        born_ms: Some(1),
        revision,
        holding: Some(Holding { card: "card".to_owned(), layers: None }),
        amended: 0,
    }
}

fn presence(name: &str, revision: u64, listed_to: u64) -> Presence {
    let registration = registration(name, 1, revision);
    Presence { registration, listed_to: Offset(listed_to) }
}

fn page(changes: Vec<Change>, next: u64) -> Page {
    Page { changes, next: Offset(next) }
}

fn apply(catalog: &mut Catalog, registration: &Registration) -> Option<CatalogChange> {
    catalog.apply(&Change::Registered(registration.clone()), Instant(0), None)
}

#[test]
fn heartbeat_is_no_change() {
    let mut catalog = Catalog::default();
    let first = registration("i-1", 1, 1);
    assert_eq!(apply(&mut catalog, &first), Some(CatalogChange::Joined(first.upstream.clone())));
    assert_eq!(apply(&mut catalog, &registration("i-1", 1, 2)), None);
}

#[test]
fn restarted_upstream_joins_again() {
    let mut catalog = Catalog::default();
    let previous = Registration { ready: false, ..registration("i-1", 1, 9) };
    apply(&mut catalog, &previous);
    let restarted = Registration { born_ms: Some(2), ..registration("i-1", 1, 1) };
    assert_eq!(
        apply(&mut catalog, &restarted),
        Some(CatalogChange::Joined(restarted.upstream.clone()))
    );
    assert!(catalog.get(&restarted.upstream).unwrap().ready);
}

#[test]
fn address_has_one_owner() {
    // A restarted engine registers with a new name while its old record still exists.
    let mut catalog = Catalog::default();
    apply(&mut catalog, &registration("i-1", 1, 1));
    apply(&mut catalog, &registration("i-2", 1, 1));
    assert!(!catalog.contains(&"i-1".parse().unwrap()));
}

// The record of another writer took the upstream away that listens on the address in it.
#[test]
fn other_service_does_not_take_an_address() {
    let known = registration("i-1", 1, 1);
    let service = "probe".parse().unwrap();
    let foreign = Registration { service, born_ms: Some(9), ..registration("probe-1", 1, 1) };
    for records in [[&known, &foreign], [&foreign, &known]] {
        let mut catalog = Catalog::default();
        records.iter().for_each(|record| drop(apply(&mut catalog, record)));
        assert!(catalog.contains(&known.upstream));
    }
}

#[test]
fn superseded_upstream_returns_with_its_address() {
    let mut catalog = Catalog::default();
    let known = registration("i-1", 1, 1);
    apply(&mut catalog, &known);
    apply(&mut catalog, &Registration { born_ms: Some(2), ..registration("i-2", 1, 1) });
    assert!(!catalog.contains(&known.upstream));
    catalog.apply(&Change::Gone("i-2".to_owned()), Instant(0), None);
    assert!(catalog.contains(&known.upstream));
}

#[test]
fn upstream_is_gone_after_grace_period() {
    let mut catalog = Catalog::default();
    let expired = registration("i-1", 1, 1);
    apply(&mut catalog, &expired);
    let gone = Change::Gone("i-1".to_owned());
    let grace = Some(Duration::from_secs(2));
    assert_eq!(catalog.apply(&gone, Instant(0), grace), None);
    assert!(catalog.expire(Instant(1_000_000)).is_empty());
    assert_eq!(catalog.expire(Instant(2_000_001)), [CatalogChange::Gone(expired.upstream)]);
}

#[test]
fn older_registration_of_peer_is_ignored() {
    let layers = Some(Layers { from: 0, to: 4 });
    let mut catalog = Catalog::default();
    let known = registration("i-1", 1, 5);
    apply(&mut catalog, &known);
    assert!(catalog.set_layers(&known.upstream, layers, Instant(0)));
    // A peer that has not learned of the order yet sends the previous layers.
    assert!(catalog.merge(&[presence("i-1", 5, 0)], Instant(0)).is_empty());
    assert_eq!(catalog.get(&known.upstream).unwrap().holding.as_ref().unwrap().layers, layers);
    assert_eq!(catalog.merge(&[presence("i-1", 6, 0)], Instant(0)).len(), 1);
}

#[test]
fn merge_removes_nothing() {
    let mut catalog = Catalog::default();
    let known = registration("i-1", 1, 1);
    apply(&mut catalog, &known);
    let other = Presence { registration: registration("i-2", 2, 1), listed_to: Offset(0) };
    catalog.merge(&[other], Instant(0));
    assert!(catalog.contains(&known.upstream));
}

#[test]
fn leaving_applies_to_one_incarnation() {
    let mut catalog = Catalog::default();
    let known = registration("i-1", 1, 1);
    apply(&mut catalog, &known);
    assert!(!catalog.set_leaving(&known.upstream, Some("7"), Instant(0)));
    assert!(catalog.set_leaving(&known.upstream, Some("1"), Instant(0)));
    assert!(!catalog.get(&known.upstream).unwrap().ready);
}

/// Guards against a leaving upstream that gets work again: the directory marked it first, its own mark
/// then changed nothing, and an older copy of the directory undid both.
#[test]
fn own_mark_outlives_that_of_the_directory() {
    let mut catalog = Catalog::default();
    let known = registration("i-1", 1, 1);
    let leaving = Registration { ready: false, ..registration("i-1", 1, 2) };
    apply(&mut catalog, &known);
    apply(&mut catalog, &leaving);
    assert!(!catalog.set_said_leaving(&known.upstream, Some("7"), Instant(0)));
    assert!(catalog.set_said_leaving(&known.upstream, Some("1"), Instant(0)));
    assert!(!catalog.set_said_leaving(&known.upstream, Some("1"), Instant(0)));
    let restored = page(vec![Change::Registered(known.clone())], 1 << 40);
    catalog.replace(&restored, Instant(1), None);
    assert!(!catalog.get(&known.upstream).unwrap().ready);
    // A restart is no longer leaving.
    apply(&mut catalog, &Registration { born_ms: Some(2), ..known.clone() });
    assert!(catalog.get(&known.upstream).unwrap().ready);
}

// A peer's older list brought back an upstream whose removal had been read.
#[test]
fn removal_wins_over_older_presence() {
    let mut catalog = Catalog::default();
    let known = registration("i-1", 1, 1);
    catalog.replace(&page(vec![Change::Registered(known.clone())], 8), Instant(0), None);
    catalog.apply_page(&page(vec![Change::Gone("i-1".to_owned())], 9), Instant(0), None);
    for listed_to in [0, 8, 9] {
        let older = [presence("i-1", 7, listed_to)];
        assert!(catalog.merge(&older, Instant(0)).is_empty());
        assert!(catalog.merge_list(&older, Offset(listed_to), Instant(0), None).is_empty());
    }
    // It registered again.
    assert_eq!(catalog.merge(&[presence("i-1", 1, 10)], Instant(0)).len(), 1);
}

#[test]
fn grace_period_survives_older_presence() {
    let mut catalog = Catalog::default();
    let known = registration("i-1", 1, 1);
    catalog.replace(&page(vec![Change::Registered(known.clone())], 8), Instant(0), None);
    let grace = Some(Duration::from_secs(2));
    catalog.apply_page(&page(vec![Change::Gone("i-1".to_owned())], 9), Instant(0), grace);
    catalog.merge(&[presence("i-1", 7, 9)], Instant(0));
    assert_eq!(catalog.expire(Instant(2_000_001)), [CatalogChange::Gone(known.upstream)]);
}

#[test]
fn newer_list_removes_what_it_lacks() {
    let mut catalog = Catalog::default();
    // An instance that has just started hears from a peer that is cut off, then from one in touch.
    catalog.merge_list(&[presence("i-1", 1, 8)], Offset(8), Instant(0), None);
    let gone = CatalogChange::Gone("i-1".parse().unwrap());
    assert_eq!(catalog.merge_list(&[], Offset(9), Instant(0), None), [gone]);
    assert!(catalog.merge_list(&[presence("i-1", 1, 8)], Offset(8), Instant(0), None).is_empty());
}

#[test]
fn lists_of_earlier_versions_are_merged() {
    let mut catalog = Catalog::default();
    catalog.merge_list(&[presence("i-1", 1, 0)], Offset(0), Instant(0), None);
    let other = Presence { registration: registration("i-2", 2, 1), listed_to: Offset(0) };
    catalog.merge_list(&[other], Offset(0), Instant(0), None);
    assert!(catalog.contains(&"i-1".parse().unwrap()));
    assert!(catalog.contains(&"i-2".parse().unwrap()));
}

proptest! {
    // The reader of the directory applies each heartbeat, its neighbours only changes, and a list
    // has an order of its own: the upstreams in use depend on the records alone.
    #[test]
    fn order_of_records_does_not_matter(
        records in prop::collection::vec((0_u16..5, 0_u16..2, 0_u64..3, 0_u8..2), 1..8),
        order in Just((0..16).collect::<Vec<usize>>()).prop_shuffle(),
    ) {
        let mut records: Vec<Registration> = records
            .iter()
            .map(|(name, port, born, service)| Registration {
                service: format!("service-{service}").parse().unwrap(),
                born_ms: Some(*born),
                ..registration(&format!("i-{name}"), 1 + port, 1)
            })
            .collect();
        records.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        records.dedup_by(|a, b| a.upstream == b.upstream);
        let mut direct = Catalog::default();
        records.iter().for_each(|record| drop(apply(&mut direct, record)));
        let mut shuffled = Catalog::default();
        for index in order {
            if let Some(record) = records.get(index % records.len()) {
                apply(&mut shuffled, &Registration { revision: index as u64, ..record.clone() });
            }
        }
        for record in &records {
            let upstream = &record.upstream;
            prop_assert_eq!(direct.contains(upstream), shuffled.contains(upstream));
        }
        let in_use: Vec<_> = direct.iter().map(|(r, _)| (r.service.clone(), r.address)).collect();
        for record in &records {
            let place = (record.service.clone(), record.address);
            prop_assert_eq!(in_use.iter().filter(|used| **used == place).count(), 1);
        }
    }
}

/// What an instance of the test does.
#[derive(Debug, Clone)]
enum Step {
    Read { instance: usize, records: usize },
    SendList { from: usize, to: usize },
    Restart { instance: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_usize..3, 1_usize..8).prop_map(|(instance, records)| Step::Read { instance, records }),
        (0_usize..3, 0_usize..3).prop_map(|(from, to)| Step::SendList { from, to }),
        (0_usize..3).prop_map(|instance| Step::Restart { instance }),
    ]
}

/// An instance of the test: its position in the log, and up to where it knows the log.
#[derive(Debug, Default)]
struct Known {
    catalog: Catalog,
    position: usize,
    known_to: usize,
}

proptest! {
    // Whatever instances read and send each other, and whenever they restart, each one holds just
    // the upstreams that the directory lists at the newest offset it has heard of.
    #[test]
    fn instances_hold_what_the_newest_offset_lists(
        log in prop::collection::vec((0_u16..4, 0_u64..4), 1..40),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let log: Vec<Change> = log
            .iter()
            .enumerate()
            .map(|(index, (name, born))| match born {
                0 => Change::Gone(format!("i-{name}")),
                _ => {
                    let known = registration(&format!("i-{name}"), *name, index as u64);
                    Change::Registered(Registration { born_ms: Some(*born), ..known })
                }
            })
            .collect();
        let mut instances = [Known::default(), Known::default(), Known::default()];
        for step in steps {
            match step {
                Step::Read { instance, records } => {
                    let Known { catalog, position, known_to } = &mut instances[instance];
                    let to = (*position + records).min(log.len());
                    let read = page(log[*position..to].to_vec(), to as u64).newest();
                    catalog.apply_page(&read, Instant(0), None);
                    *position = to;
                    *known_to = (*known_to).max(to);
                }
                Step::SendList { from, to } => {
                    let sent: Vec<Presence> = instances[from].catalog.presences().collect();
                    let known_to = instances[from].known_to;
                    let receiver = &mut instances[to];
                    receiver.catalog.merge_list(&sent, Offset(known_to as u64), Instant(0), None);
                    receiver.known_to = receiver.known_to.max(known_to);
                }
                Step::Restart { instance } => instances[instance] = Known::default(),
            }
            for Known { catalog, known_to, .. } in &instances {
                let mut expected = Listing::default();
                expected.apply(&page(vec![], 0), true);
                expected.apply(&page(log[..*known_to].to_vec(), *known_to as u64), false);
                for name in 0..4 {
                    let key = format!("i-{name}");
                    let upstream: Upstream = key.parse().unwrap();
                    let born = |known: Option<&Registration>| known.map(|known| known.born_ms);
                    prop_assert_eq!(born(catalog.get(&upstream)), born(expected.get(&key)));
                }
            }
        }
    }
}
