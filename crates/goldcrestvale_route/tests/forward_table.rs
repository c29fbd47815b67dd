//! Lookup of routes, customers and services.
#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use goldcrestvale_route::forward::{
    Bounds, Configuration, Customer, Kind, Level, Refusal, Route, Share, Table,
};
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Safe,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        target_gap: None,
        priority: 1,
        split: [Share { service: "desk".parse().unwrap(), weight: 1 }].into_iter().collect(),
        attempts: 2,
        public: false,
        resumable: false,
    }
}

fn table(routes: Vec<Route>, customers: Option<Vec<Customer>>) -> Table {
    Table::new(Configuration {
        version: 3,
        routes: routes.into_iter().map(Arc::new).collect(),
        pools: Vec::new(),
        bounds: Bounds {
            header_bytes: 1,
            body_bytes: 2,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        customers,
    })
}

fn route_name<'t>(table: &'t Table, host: &str, path: &str) -> Option<&'t str> {
    table.find(host, path).ok().map(|route| route.name.as_str())
}

#[test]
fn longest_prefix_wins() {
    let table = table(
        vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/"),
        ],
        None,
    );
    assert_eq!(route_name(&table, "a.example", "/x/y/z"), Some("long"));
    assert_eq!(route_name(&table, "a.example", "/x/z"), Some("short"));
    assert_eq!(route_name(&table, "a.example", "/x"), None);
    assert_eq!(route_name(&table, "A.Example:8080", "/x/z"), Some("short"));
    assert_eq!(route_name(&table, "b.example", "/x/z"), Some("other"));
    assert_eq!(route_name(&table, "c.example", "/x/z"), None);
}

#[test]
fn credentials_are_needed() {
    let customer =
        Customer { name: "family".into(), credentials: vec!["k".into()], priority: None };
    let open = Route { public: true, ..route("open", "a.example", "/o/") };
    let closed = route("closed", "a.example", "/c/");
    let table = table(vec![open.clone(), closed.clone()], Some(vec![customer]));
    assert_eq!(table.customer(&closed, None).unwrap_err(), Refusal::Credential);
    assert_eq!(table.customer(&closed, Some("z")).unwrap_err(), Refusal::Credential);
    assert_eq!(table.customer(&closed, Some("k")).unwrap().unwrap().name, "family");
    assert!(table.customer(&open, None).unwrap().is_none());
    // A known credential identifies its customer even where no credential is needed.
    assert_eq!(table.customer(&open, Some("k")).unwrap().unwrap().name, "family");
}

#[test]
fn no_customers_no_credentials() {
    let closed = route("closed", "a.example", "/c/");
    assert!(table(vec![closed.clone()], None).customer(&closed, None).unwrap().is_none());
    let nobody = table(vec![closed.clone()], Some(Vec::new()));
    assert!(nobody.customer(&closed, Some("k")).is_err());
}

proptest! {
    #[test]
    fn split_follows_weights(weights in prop::collection::vec(0_u32..100, 1..4), point in 0.0..1.0) {
        let mut split = route("r", "a.example", "/");
        split.split = weights
            .iter()
            .enumerate()
            .map(|(n, &weight)| Share { service: format!("s{n}").parse().unwrap(), weight })
            .collect();
        let table = table(Vec::new(), None);
        let picked = table.pick(&split, point).unwrap();
        let total: u32 = weights.iter().sum();
        let target = point * f64::from(total);
        let mut below = 0.0;
        for share in &split.split {
            let end = below + f64::from(share.weight);
            if total > 0 && (below..end).contains(&target) {
                prop_assert_eq!(picked, &share.service);
            }
            below = end;
        }
    }
}

#[test]
fn service_levels_differ() {
    // Guards against parts for several service levels acting where all streams are alike.
    let stream = |name: &str, priority, target_ms| Route {
        kind: Kind::Stream,
        priority,
        target: Duration::from_millis(target_ms),
        ..route(name, "a.example", &format!("/{name}/"))
    };
    let desk = "desk".parse().unwrap();
    let alike = table(vec![stream("a", 1, 500), stream("b", 1, 500)], None);
    assert_eq!(alike.service_levels(&desk).len(), 1);
    // Routes of another kind are no service level of the streams.
    let beside = table(vec![stream("a", 1, 500), route("calls", "a.example", "/c/")], None);
    assert_eq!(beside.service_levels(&desk).len(), 1);
    let routes = vec![stream("a", 2, 1_000), stream("b", 0, 500), stream("c", 200, 500)];
    let levels: Vec<u8> = table(routes, None)
        .service_levels(&desk)
        .iter()
        .map(|level: &Level| level.priority)
        .collect();
    assert_eq!(levels, [0, 2, 9]);
    assert!(Table::default().service_levels(&desk).is_empty());
}

#[test]
fn customers_rank_before_routes() {
    // Guards against route priorities without effect where all customers have the same priority.
    let stream = |name: &str, priority| Route {
        kind: Kind::Stream,
        priority,
        ..route(name, "a.example", &format!("/{name}/"))
    };
    let (urgent, middle) = (stream("urgent", 0), stream("middle", 2));
    let customer = |name: &str, priority| Customer {
        name: name.into(),
        credentials: vec![name.into()],
        priority,
    };
    let (first, equal, plain) =
        (customer("first", Some(0)), customer("equal", Some(1)), customer("plain", None));
    let customers = vec![first.clone(), equal.clone(), plain.clone()];
    let table = table(vec![urgent.clone(), middle.clone()], Some(customers));
    let desk = "desk".parse().unwrap();
    let rank = |customer, route| table.rank(&desk, customer, route);
    assert!(rank(Some(&first), &middle) < rank(Some(&equal), &urgent));
    assert!(rank(Some(&equal), &urgent) < rank(Some(&equal), &middle));
    assert!(rank(Some(&equal), &middle) < rank(Some(&plain), &middle));
    assert_eq!(rank(Some(&plain), &urgent), rank(None, &urgent));
    assert_eq!(rank(Some(&first), &urgent), 0);
}
