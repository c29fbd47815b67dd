//! The peers that a configuration is sent to at the same time, on virtual time.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use goldcrestvale_base::{id::Instance, time::Instant};
use goldcrestvale_member::upload::{MAX_PARALLEL, STALL, Uploads};

fn peer(number: usize) -> Instance {
    format!("bole-{number}").parse().unwrap()
}

fn requested(count: usize) -> Uploads {
    let mut uploads = Uploads::default();
    (0..count).for_each(|number| uploads.request(peer(number)));
    uploads
}

/// Guards against peers that all share the link of one sender, so that none of them serves others
/// before the last one is served.
#[test]
fn few_peers_receive_at_the_same_time() {
    let mut uploads = requested(28);
    assert_eq!(uploads.start(Instant(0)).len(), MAX_PARALLEL);
    assert!(uploads.start(Instant(0)).is_empty());
    uploads.record_part(&peer(2), false, Instant(10));
    assert!(uploads.start(Instant(10)).is_empty());
    uploads.record_part(&peer(2), true, Instant(20));
    assert_eq!(uploads.start(Instant(20))[..], [peer(MAX_PARALLEL)]);
}

/// Guards against transfers to peers without power that keep all others waiting.
#[test]
fn stalled_peers_keep_nobody_waiting() {
    let mut uploads = requested(8);
    uploads.start(Instant(0));
    let later = Instant(0) + STALL;
    uploads.record_part(&peer(0), false, Instant(0) + STALL / 2);
    let started = uploads.start(later);
    assert_eq!(started.len(), MAX_PARALLEL - 1);
    assert!(!started.contains(&peer(0)));
}

#[test]
fn repeated_requests_are_one() {
    let mut uploads = requested(3);
    (0..3).for_each(|number| uploads.request(peer(number)));
    assert_eq!(uploads.start(Instant(0)).len(), 3);
    uploads.request(peer(1));
    // The peer still receives the earlier answer.
    assert!(uploads.start(Instant(0)).is_empty());
    uploads.record_part(&peer(1), true, Instant(5));
    assert_eq!(uploads.start(Instant(5))[..], [peer(1)]);
}

#[test]
fn disconnected_peers_are_forgotten() {
    let mut uploads = requested(6);
    uploads.start(Instant(0));
    uploads.remove(&peer(0));
    uploads.remove(&peer(4));
    assert_eq!(uploads.start(Instant(0) + Duration::from_millis(1))[..], [peer(5)]);
}
