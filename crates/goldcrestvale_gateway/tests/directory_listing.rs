//! The records of the directory that instances send each other changes of.
#![allow(clippy::unwrap_used)]

use goldcrestvale_base::{engine::Layers, id::Offset};
use goldcrestvale_gateway::{
    Listing, RecentReads,
    port::{Change, Holding, Page, Registration},
};
use proptest::prelude::*;

fn registration(name: &str, revision: u64, to: u32) -> Registration {
    Registration {
        upstream: name.parse().unwrap(),
        service: "model".parse().unwrap(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: "bole".parse().unwrap(),
        ready: true,
        slots: 8,
        born_ms: Some(1),
        revision,
        holding: Some(Holding {
            card: "card".to_owned(),
            layers: (to > 0).then_some(Layers { from: 0, to }),
        }),
        amended: 0,
    }
}

fn page(changes: Vec<Change>, next: u64) -> Page {
    Page { changes, next: Offset(next) }
}

#[test]
fn heartbeats_are_no_changes() {
    let mut listing = Listing::default();
    let first = Change::Registered(registration("e-1", 1, 4));
    assert_eq!(listing.apply(&page(vec![first.clone()], 1), true), Some(vec![first]));
    let heartbeat = Change::Registered(registration("e-1", 2, 4));
    assert_eq!(listing.apply(&page(vec![heartbeat], 2), false), Some(vec![]));
    let changed = Change::Registered(registration("e-1", 3, 8));
    assert_eq!(listing.apply(&page(vec![changed.clone()], 3), false), Some(vec![changed]));
}

#[test]
fn list_removes_absent_records() {
    let mut listing = Listing::default();
    let records = vec![
        Change::Registered(registration("e-1", 1, 4)),
        Change::Registered(registration("e-2", 1, 4)),
    ];
    listing.apply(&page(records.clone(), 1), true);
    listing.restart();
    let changes = listing.apply(&page(records[..1].to_vec(), 9), true);
    assert_eq!(changes, Some(vec![Change::Gone("e-2".to_owned())]));
}

#[test]
fn late_page_is_discarded() {
    // A page that was requested before a peer sent newer changes.
    let mut listing = Listing::default();
    listing.apply(&page(vec![], 5), true);
    listing.apply(&page(vec![Change::Registered(registration("e-1", 2, 8))], 9), false);
    let late = page(vec![Change::Registered(registration("e-1", 1, 4))], 7);
    assert_eq!(listing.apply(&late, false), None);
    assert_eq!(listing.get("e-1").unwrap().revision, 2);
}

fn gone(names: std::ops::Range<u32>) -> Vec<Change> {
    names.map(|name| Change::Gone(format!("e-{name}"))).collect()
}

#[test]
fn recent_reads_are_repeated() {
    let mut recent = RecentReads::default();
    for read in 0..6 {
        recent.insert(Offset(read * 10), vec![Change::Registered(registration("e-1", read, 4))]);
    }
    let (from, changes) = recent.changes();
    assert_eq!(from, Some(Offset(20)));
    assert_eq!(changes, [Change::Registered(registration("e-1", 5, 4))]);
}

#[test]
fn many_changes_are_sent_once() {
    // All engines of a large deployment load their layers, over several reads.
    let mut recent = RecentReads::default();
    recent.insert(Offset(0), gone(0..1_000));
    recent.insert(Offset(10), gone(1_000..2_000));
    let (from, changes) = recent.changes();
    assert_eq!((from, changes.len()), (Some(Offset(10)), 1_000));
    recent.insert(Offset(20), gone(0..1));
    let (from, changes) = recent.changes();
    assert_eq!((from, changes.len()), (Some(Offset(20)), 1));
}

proptest! {
    // An instance that receives the changes of a reader ends with the same records, also if it
    // receives some of them twice or from readers that read different ranges.
    #[test]
    fn listener_follows_any_reader(
        log in prop::collection::vec((0_u8..4, 0_u32..4), 1..60),
        cuts in prop::collection::vec((0_usize..2, 1_usize..8), 1..30),
    ) {
        let log: Vec<Change> = log
            .iter()
            .enumerate()
            .map(|(index, (name, to))| match to {
                0 => Change::Gone(format!("e-{name}")),
                _ => Change::Registered(registration(&format!("e-{name}"), index as u64, *to)),
            })
            .collect();
        let mut listener = Listing::default();
        let mut readers = [Listing::default(), Listing::default()];
        for listing in readers.iter_mut().chain([&mut listener]) {
            listing.apply(&page(vec![], 0), true);
        }
        for (reader, length) in cuts {
            let listing = &mut readers[reader];
            let from = listing.next().unwrap().0;
            let to = (from as usize + length).min(log.len());
            let changes = listing.apply(&page(log[from as usize..to].to_vec(), to as u64), false);
            if listener.next().unwrap().0 >= from {
                listener.apply(&page(changes.unwrap(), to as u64), false);
            }
        }
        let mut direct = Listing::default();
        let next = listener.next().unwrap().0;
        direct.apply(&page(vec![], 0), true);
        direct.apply(&page(log[..next as usize].to_vec(), next), false);
        for name in 0..4 {
            let key = format!("e-{name}");
            let content = |listing: &Listing| {
                listing.get(&key).map(|known| Registration { revision: 0, ..known.clone() })
            };
            prop_assert_eq!(content(&listener), content(&direct));
        }
    }
}
