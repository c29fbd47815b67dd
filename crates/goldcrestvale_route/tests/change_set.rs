//! Changes between versions of the configuration.
#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use goldcrestvale_route::forward::{
    Bounds, ChangeSet, Configuration, Customer, Error, Kind, Pool, Route, Segment, Share,
};
use proptest::prelude::*;

fn route(number: u16) -> Arc<Route> {
    Arc::new(Route {
        name: format!("route-{number}"),
        host: "a.example".to_owned(),
        prefix: format!("/{number}/"),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        target_gap: None,
        priority: 1,
        split: [Share { service: "desk".parse().unwrap(), weight: 1 }].into_iter().collect(),
        attempts: 2,
        public: false,
        resumable: false,
    })
}

fn customer(number: u16) -> Customer {
    let credentials = vec![format!("key-{number}")];
    Customer { name: format!("customer-{}", number % 5), credentials, priority: None }
}

fn configuration(version: u64, routes: &[u16], customers: Option<&[u16]>) -> Configuration {
    Configuration {
        version,
        routes: routes.iter().map(|number| route(*number)).collect(),
        pools: vec![Pool {
            service: "desk".parse().unwrap(),
            connections: version as u32,
            model: None,
        }],
        bounds: Bounds {
            header_bytes: version as u32,
            body_bytes: 2,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        customers: customers
            .map(|customers| customers.iter().map(|number| customer(*number)).collect()),
    }
}

#[test]
fn added_routes_alone_are_sent() {
    let old: Vec<u16> = (0..4_200).collect();
    let new: Vec<u16> = (0..5_600).collect();
    let (old, new) = (configuration(1, &old, None), configuration(2, &new, None));
    let changes = ChangeSet::between(&old, &new);
    let [Segment::Keep { from: 0, count: 4_200 }, Segment::Insert(added)] = &changes.routes[..]
    else {
        panic!("{} segments", changes.routes.len())
    };
    assert_eq!(added.len(), 1_400);
    assert_eq!(changes.apply(&old).unwrap(), new);
}

#[test]
fn unchanged_routes_are_shared() {
    let old = configuration(1, &[1, 2, 3], None);
    let new = configuration(2, &[1, 3], None);
    let applied = ChangeSet::between(&old, &new).apply(&old).unwrap();
    assert!(Arc::ptr_eq(&applied.routes[1], &old.routes[2]));
}

#[test]
fn other_bases_are_rejected() {
    let (old, new) = (configuration(1, &[1, 2, 3], None), configuration(3, &[1, 2, 3, 4], None));
    let changes = ChangeSet::between(&old, &new);
    let between = configuration(2, &[1, 2, 3], None);
    assert_eq!(changes.apply(&between), Err(Error::Base { base: 1, found: 2 }));
    let shorter = configuration(1, &[1, 2], None);
    assert_eq!(changes.apply(&shorter), Err(Error::Range { from: 0, count: 3, found: 2 }));
}

proptest! {
    // Routes and customers may be moved, doubled, dropped and added at any place.
    #[test]
    fn any_changes_lead_to_the_version(
        old in prop::collection::vec(0_u16..20, 0..30),
        new in prop::collection::vec(0_u16..25, 0..30),
        old_customers in prop::option::of(prop::collection::vec(0_u16..8, 0..10)),
        new_customers in prop::option::of(prop::collection::vec(0_u16..9, 0..10)),
    ) {
        let old = configuration(4, &old, old_customers.as_deref());
        let new = configuration(9, &new, new_customers.as_deref());
        let changes = ChangeSet::between(&old, &new);
        let sent = serde_json::to_vec(&changes).unwrap();
        let received: ChangeSet = serde_json::from_slice(&sent).unwrap();
        prop_assert_eq!(received.apply(&old).unwrap(), new);
    }
}
