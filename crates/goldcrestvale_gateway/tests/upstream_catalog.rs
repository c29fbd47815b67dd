//! Joins, restarts, departures and merges in the catalog of upstreams.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use goldcrestvale_base::{engine::Layers, time::Instant};
use goldcrestvale_gateway::{
    Catalog, CatalogChange,
    port::{Change, Holding, Registration},
};

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
    assert!(catalog.merge(&[registration("i-1", 1, 5)], Instant(0)).is_empty());
    assert_eq!(catalog.get(&known.upstream).unwrap().holding.as_ref().unwrap().layers, layers);
    assert_eq!(catalog.merge(&[registration("i-1", 1, 6)], Instant(0)).len(), 1);
}

#[test]
fn merge_removes_nothing() {
    let mut catalog = Catalog::default();
    let known = registration("i-1", 1, 1);
    apply(&mut catalog, &known);
    catalog.merge(&[registration("i-2", 2, 1)], Instant(0));
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
