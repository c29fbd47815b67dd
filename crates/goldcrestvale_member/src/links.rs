//! Choice of the peers to connect to: all of the own failure domain, and a few of others.

use goldcrestvale_base::id::{Digest, Domain, Instance};
use smallvec::SmallVec;

use crate::identity::Seed;

/// A peer that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The peer.
    pub seed: &'a Seed,
    /// Whether it counts as dead.
    pub dead: bool,
}

/// The chosen peers.
pub type Targets = SmallVec<[Instance; 16]>;

/// Numbers of connections that an instance opens.
#[derive(Debug, Clone, Copy)]
pub struct Fanout {
    /// Maximum number of connections inside the failure domain.
    pub mesh: usize,
    /// Number of connections to other failure domains.
    pub cross_domain: usize,
}

/// Chooses the peers to connect to.
///
/// Inside the failure domain these are all peers, up to the maximum. Outside, the first peer is in
/// the next domain by name, so that the domains form a ring; the others are in distinct domains as
/// far as possible, and differ from instance to instance. Rendezvous hashing makes the choice: it
/// needs no agreement, spreads evenly, and changes little when instances come and go.
///
/// The ring keeps a domain whose instances all count as dead, so that across every partition some
/// instance keeps trying to connect and the two sides rejoin when the partition ends.
pub fn choose(own: &Seed, peers: &[Candidate<'_>], fanout: Fanout) -> Targets {
    let mut targets = Targets::new();
    let mut peers = peers.to_vec();
    peers.sort_by_cached_key(|peer| {
        (peer.dead, rendezvous_weight(&own.instance, &peer.seed.instance))
    });
    let (inner, outer): (Vec<&Seed>, Vec<&Seed>) =
        peers.iter().map(|peer| peer.seed).partition(|seed| seed.domain == own.domain);
    choose_mesh(own, inner, fanout.mesh, &mut targets);
    choose_cross_domain(own, outer, fanout.cross_domain, &mut targets);
    targets
}

fn choose_mesh(own: &Seed, inner: Vec<&Seed>, max: usize, targets: &mut Targets) {
    if inner.len() > max {
        let next = successor(&own.instance, inner.iter().map(|peer| &peer.instance));
        targets.extend(next.cloned());
    }
    for peer in inner {
        if targets.len() >= max {
            break;
        }
        add(targets, &peer.instance);
    }
}

fn choose_cross_domain(own: &Seed, mut outer: Vec<&Seed>, count: usize, targets: &mut Targets) {
    let next = successor(&own.domain, outer.iter().map(|peer| &peer.domain)).cloned();
    let ring = outer.iter().position(|peer| Some(&peer.domain) == next.as_ref());
    if let Some(ring) = ring {
        outer[..=ring].rotate_right(1);
    }
    let mut domains: SmallVec<[&Domain; 8]> = SmallVec::new();
    let (first, rest): (Vec<&Seed>, Vec<&Seed>) = outer.into_iter().partition(|peer| {
        let is_new = !domains.contains(&&peer.domain) && domains.len() < count;
        if is_new {
            domains.push(&peer.domain);
        }
        is_new
    });
    for peer in first.into_iter().chain(rest).take(count) {
        add(targets, &peer.instance);
    }
}

fn add(targets: &mut Targets, instance: &Instance) {
    if !targets.contains(instance) {
        targets.push(instance.clone());
    }
}

/// Returns the name that follows `own` in the ring of names.
fn successor<'a, T: Ord>(own: &T, names: impl Iterator<Item = &'a T> + Clone) -> Option<&'a T> {
    names.clone().filter(|&name| name > own).min().or_else(|| names.min())
}

fn rendezvous_weight(own: &Instance, peer: &Instance) -> [u8; 32] {
    Digest::of(format!("{own}\n{peer}").as_bytes()).0
}
