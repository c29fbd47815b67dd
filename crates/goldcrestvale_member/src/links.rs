//! Which peers an instance connects to: all of its failure domain, and a few of others.

use goldcrestvale_base::id::{Digest, Domain, Instance};
use smallvec::SmallVec;

use crate::identity::Seed;

/// A peer that may be connected to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The peer.
    pub seed: &'a Seed,
    /// Whether it counts as dead.
    pub dead: bool,
}

/// The peers to connect to.
pub type Targets = SmallVec<[Instance; 16]>;

/// How many connections an instance opens.
#[derive(Debug, Clone, Copy)]
pub struct Fanout {
    /// Most connections inside the failure domain.
    pub mesh: usize,
    /// Connections to other failure domains.
    pub outer: usize,
}

/// Chooses the peers to connect to.
///
/// Inside the failure domain that is every peer, up to the bound. Outside, the first is in the
/// next domain by name, so that the domains form a ring; the others are in distinct domains, as
/// long as there are, that differ from instance to instance. The choice is by rendezvous hashing: it needs no agreement,
/// spreads evenly, and changes little when instances come and go.
///
/// The ring keeps a domain whose instances all count as dead, so that some instance goes on
/// trying across every cut and the two sides meet when it heals.
pub fn choose(own: &Seed, peers: &[Candidate<'_>], fanout: Fanout) -> Targets {
    let mut targets = Targets::new();
    let mut peers = peers.to_vec();
    peers.sort_by_cached_key(|peer| (peer.dead, weight(&own.instance, &peer.seed.instance)));
    let (inner, outer): (Vec<&Seed>, Vec<&Seed>) =
        peers.iter().map(|peer| peer.seed).partition(|seed| seed.domain == own.domain);
    choose_inner(own, inner, fanout.mesh, &mut targets);
    choose_outer(own, outer, fanout.outer, &mut targets);
    targets
}

fn choose_inner(own: &Seed, inner: Vec<&Seed>, bound: usize, targets: &mut Targets) {
    if inner.len() > bound {
        let next = successor(&own.instance, inner.iter().map(|peer| &peer.instance));
        targets.extend(next.cloned());
    }
    for peer in inner {
        if targets.len() >= bound {
            break;
        }
        add(targets, &peer.instance);
    }
}

fn choose_outer(own: &Seed, mut outer: Vec<&Seed>, count: usize, targets: &mut Targets) {
    let next = successor(&own.domain, outer.iter().map(|peer| &peer.domain)).cloned();
    let ring = outer.iter().position(|peer| Some(&peer.domain) == next.as_ref());
    if let Some(ring) = ring {
        outer[..=ring].rotate_right(1);
    }
    let mut domains: SmallVec<[&Domain; 8]> = SmallVec::new();
    let (first, more): (Vec<&Seed>, Vec<&Seed>) = outer.into_iter().partition(|peer| {
        let new = !domains.contains(&&peer.domain) && domains.len() < count;
        if new {
            domains.push(&peer.domain);
        }
        new
    });
    for peer in first.into_iter().chain(more).take(count) {
        add(targets, &peer.instance);
    }
}

fn add(targets: &mut Targets, instance: &Instance) {
    if !targets.contains(instance) {
        targets.push(instance.clone());
    }
}

/// Returns the next of some names after an own one, around the ring.
fn successor<'a, T: Ord>(own: &T, names: impl Iterator<Item = &'a T> + Clone) -> Option<&'a T> {
    names.clone().filter(|&name| name > own).min().or_else(|| names.min())
}

fn weight(own: &Instance, peer: &Instance) -> [u8; 32] {
    Digest::of(format!("{own}\n{peer}").as_bytes()).0
}
