//! Requests for newer versions of the configuration, on virtual time.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use goldcrestvale_base::{id::Instance, time::Instant};
use goldcrestvale_member::config_request::{Offer, Request, Requests};
use proptest::prelude::*;

const START: Instant = Instant(1_000_000);
const BOUND: Duration = Duration::from_secs(3);

fn peer(number: usize) -> Instance {
    format!("bole-{number}").parse().unwrap()
}

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

/// The requests of one instance.
struct Receiver(Requests);

impl Receiver {
    fn new() -> Self {
        Self(Requests::new(BOUND, 0))
    }

    /// Receives an offer and returns the number of the peer that the request goes to.
    fn offer(&mut self, from: usize, version: u64, millis: u64) -> Option<usize> {
        self.receive(from, version, true, millis)
    }

    fn far_offer(&mut self, from: usize, version: u64, millis: u64) -> Option<usize> {
        self.receive(from, version, false, millis)
    }

    fn receive(&mut self, from: usize, version: u64, is_near: bool, millis: u64) -> Option<usize> {
        let offer = Offer { from: &peer(from), version, is_near };
        self.0.receive(offer, at(millis)).as_ref().map(number)
    }
}

fn number(request: &Request) -> usize {
    request.to.as_str().strip_prefix("bole-").unwrap().parse().unwrap()
}

#[test]
fn each_version_is_requested_once() {
    // Thirty peers offer each of ten versions within a heartbeat; each answer takes 20 ms.
    let mut receiver = Receiver::new();
    let mut requests = Vec::new();
    for offer in 0..300_u64 {
        let version = 1 + offer / 30;
        if receiver.offer(offer as usize % 30, version, offer).is_some() {
            requests.push((version, offer));
        }
        if requests.last().is_some_and(|(_, since)| offer - since == 20) {
            receiver.0.record_held(version, at(offer));
        }
    }
    assert_eq!(requests.len(), 10);
}

/// Guards against a second copy of a long answer that is on its way, which slows the first one down.
#[test]
fn arriving_answer_is_not_requested_again() {
    let mut receiver = Receiver::new();
    assert_eq!(receiver.offer(1, 7, 0), Some(1));
    for millis in (100..20_000).step_by(100) {
        receiver.0.record_part(&peer(1), at(millis));
        assert_eq!(receiver.offer(2, 7, millis + 50), None, "after {millis} ms");
    }
    assert_eq!(receiver.0.record_answer(&peer(1), 7, at(20_000)), None);
}

#[test]
fn lost_answer_is_requested_from_another_peer() {
    let mut receiver = Receiver::new();
    assert_eq!(receiver.offer(1, 7, 0), Some(1));
    assert_eq!(receiver.offer(2, 7, 300), None);
    assert_eq!(receiver.offer(1, 7, 500), Some(2));
    // Parts of the first answer are no progress of the second one.
    receiver.0.record_part(&peer(1), at(800));
    assert_eq!(receiver.offer(2, 7, 1_000), Some(1));
}

#[test]
fn only_peer_is_requested_again() {
    let mut receiver = Receiver::new();
    assert_eq!(receiver.offer(1, 7, 0), Some(1));
    assert_eq!(receiver.offer(1, 7, 500), Some(1));
}

/// Guards against a version that is offered while an older one arrives and then waits for the next
/// heartbeat.
#[test]
fn newer_version_follows_the_answer() {
    let mut receiver = Receiver::new();
    assert_eq!(receiver.offer(1, 7, 0), Some(1));
    assert_eq!(receiver.offer(2, 9, 10), None);
    let next = receiver.0.record_answer(&peer(1), 7, at(20)).unwrap();
    assert_eq!(next, Request { to: peer(2), version: 9 });
}

#[test]
fn older_versions_are_not_requested() {
    let mut receiver = Receiver::new();
    assert_eq!(receiver.0.record_held(5, START), None);
    assert_eq!(receiver.offer(1, 4, 10), None);
    assert_eq!(receiver.offer(1, 5, 20), None);
}

#[test]
fn own_domain_is_preferred() {
    let mut receiver = Receiver::new();
    assert_eq!(receiver.far_offer(8, 1, 0), None);
    assert_eq!(receiver.offer(1, 1, 300), Some(1));
    receiver.0.record_answer(&peer(1), 1, at(310));
    // Nobody of the own domain offers the next version.
    assert_eq!(receiver.far_offer(8, 2, 600), None);
    assert_eq!(receiver.far_offer(8, 2, 1_000), None);
    assert_eq!(receiver.far_offer(8, 2, 1_100), Some(8));
}

/// Guards against versions in quick succession that each restart the wait for the own domain.
#[test]
fn far_versions_in_succession_are_requested() {
    let mut receiver = Receiver::new();
    let requests = (0..10).filter(|n| receiver.far_offer(8, 2 + n, n * 200).is_some());
    // The first one after a sixth of the bound, the others after an eighth without an answer.
    assert_eq!(requests.collect::<Vec<_>>(), [3, 5, 7, 9]);
}

/// Guards against an instance that rejects what its own domain offers because another one is ahead.
#[test]
fn near_versions_behind_far_ones_are_requested() {
    let mut receiver = Receiver::new();
    assert_eq!(receiver.far_offer(8, 9, 0), None);
    assert_eq!(receiver.offer(1, 7, 100), Some(1));
}

/// Guards against all instances that read the configuration themselves while a new version is sent to
/// one after the other.
#[test]
fn versions_are_unknown_until_they_are_offered() {
    let mut receiver = Receiver::new();
    assert!(receiver.0.is_unknown(7));
    receiver.far_offer(8, 9, 0);
    assert!(receiver.0.is_unknown(7));
    receiver.offer(1, 7, 10);
    assert!(!receiver.0.is_unknown(7) && receiver.0.is_unknown(8));
    receiver.0.record_held(9, at(20));
    assert!(!receiver.0.is_unknown(9));
}

proptest! {
    // Whatever is lost, an instance whose peers go on offering a version requests it again within the
    // delay for other domains and a sixth of the bound, in one piece of time after another.
    #[test]
    fn offers_are_followed_by_requests(
        offers in prop::collection::vec((0_usize..6, 1_u64..9, any::<bool>(), 1_u64..400), 1..80),
    ) {
        let mut receiver = Receiver::new();
        let (mut millis, mut last) = (0, None);
        for (from, version, is_near, pause) in offers {
            millis += pause;
            if receiver.receive(from, version, is_near, millis).is_some() {
                last = Some(millis);
            }
        }
        for _ in 0..10 {
            millis += 200;
            if receiver.receive(7, 9, false, millis).is_some() {
                last = Some(millis);
            }
        }
        prop_assert!(last.is_some_and(|last| millis - last <= 600), "{last:?} of {millis}");
    }
}
