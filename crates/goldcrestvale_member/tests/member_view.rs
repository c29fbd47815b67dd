//! The membership view: liveness of instances, and the links between them.
#![allow(clippy::unwrap_used)]

mod cluster;

use std::{collections::BTreeSet, time::Duration};

use cluster::{Cluster, MS, SECOND};
use goldcrestvale_member::{
    links::{self, Candidate, Fanout},
    prelude::*,
    view::State,
};

const DOMAINS: [&str; 4] = ["bole", "bole", "kirkos", "yeka"];

/// Maximum time from a crash to its notice, as the operators require it.
const MAX_DETECTION: Duration = Duration::from_secs(5);

fn default_settings(settings: Settings) -> Settings {
    settings
}

fn domains(count: usize, of: usize) -> Vec<String> {
    (0..of).map(|index| format!("domain-{:02}", index % count)).collect()
}

fn all_live(cluster: &Cluster) -> bool {
    let alive: Vec<usize> = cluster.alive().collect();
    alive.iter().all(|&index| {
        let others = alive.iter().filter(|&&other| other != index);
        let mut states = others.map(|&other| cluster.state(index, other));
        states.all(|state| state == Some(State::Live))
    })
}

fn dead_notices(cluster: &Cluster) -> usize {
    cluster.notices.iter().filter(|sent| matches!(sent.notice, Notice::Dead(_))).count()
}

#[test]
fn four_instances_see_each_other() {
    let mut cluster = Cluster::start(1, &DOMAINS, default_settings);
    cluster.run_until(2 * SECOND, all_live);
    cluster.run(60 * SECOND);
    assert!(all_live(&cluster));
    assert_eq!(dead_notices(&cluster), 0);
    assert!((0..4).all(|index| cluster.node(index).view().instance_count(4) == 4));
}

#[test]
fn occasional_heartbeat_loss_declares_no_instance_dead() {
    let mut cluster = Cluster::start(2, &DOMAINS, default_settings);
    cluster.run(5 * SECOND);
    cluster.loss = 0.02;
    cluster.run(300 * SECOND);
    assert_eq!(dead_notices(&cluster), 0);
}

#[test]
fn crash_is_detected_by_every_instance() {
    let mut cluster = Cluster::start(3, &DOMAINS, default_settings);
    cluster.run(10 * SECOND);
    cluster.kill(3);
    let took = cluster.run_until(MAX_DETECTION, |cluster| {
        (0..3).all(|index| cluster.state(index, 3) == Some(State::Dead))
    });
    assert!(took > 2 * SECOND, "detected too early: {took:?}");
    // Its part of each limit stays reserved as long as the platform lists it.
    assert_eq!(cluster.node(0).view().instance_count(4), 4);
    cluster.list(0, &[0, 1, 2]);
    cluster.run(SECOND);
    assert_eq!(cluster.node(0).view().instance_count(4), 3);
}

#[test]
fn goodbye_takes_effect_at_once_and_is_final() {
    let mut cluster = Cluster::start(4, &DOMAINS, default_settings);
    cluster.run(10 * SECOND);
    cluster.stop(3);
    cluster.run(5 * MS);
    let gone = |cluster: &Cluster| (0..3).all(|at| cluster.state(at, 3) == Some(State::Gone));
    assert!(gone(&cluster));
    assert_eq!(cluster.node(0).view().instance_count(4), 3);
    // The list lags by half a minute and still names it.
    for _ in 0..30 {
        (0..3).for_each(|index| cluster.list(index, &[0, 1, 2, 3]));
        cluster.run(SECOND);
        assert!(gone(&cluster));
    }
}

#[test]
fn restart_is_a_new_incarnation_that_gossip_cannot_undo() {
    let mut cluster = Cluster::start(5, &DOMAINS, default_settings);
    cluster.run(10 * SECOND);
    let old = cluster.nodes[3].as_ref().unwrap().identity.clone();
    cluster.boot(3);
    cluster.list(3, &[0, 1, 2, 3]);
    let gone = Notice::Gone { instance: old.instance.clone(), incarnation: old.incarnation };
    cluster.run_until(2 * SECOND, |cluster| {
        cluster.notices.iter().any(|sent| sent.notice == gone) && all_live(cluster)
    });
    cluster.run(60 * SECOND);
    let count = cluster.notices.iter().filter(|sent| sent.notice == gone).count();
    assert_eq!(count, 3, "each of the others reports it once");
    let stale =
        goldcrestvale_member::message::MemberRecord { who: old.clone(), age_ms: 0, gone: false };
    let from = cluster.name(1);
    cluster.feed(0, Event::Received { from, message: Message::Members(vec![stale]) });
    let known = cluster.node(0).view().peer(&old.instance).unwrap().incarnation;
    assert_ne!(known, Some(old.incarnation));
    // A connection left over from the old incarnation does not undo it either.
    cluster.feed(0, Event::Connected(old.clone()));
    cluster.run(SECOND);
    let peer = cluster.node(0).view().peer(&old.instance).unwrap();
    assert_ne!(peer.incarnation, Some(old.incarnation));
}

#[test]
fn links_avoid_dead_domains_except_the_next_on_the_ring() {
    let seed = |domain: usize, index: usize| Seed {
        instance: format!("entry-{domain}-{index}").parse().unwrap(),
        domain: format!("domain-{domain}").parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
    };
    // Of domains 1 to 8, those up to 4 count as dead; 1 is next on the ring.
    let peers: Vec<Seed> = (1..9).flat_map(|domain| (0..3).map(move |n| seed(domain, n))).collect();
    let is_dead = |peer: &Seed| peer.domain.as_str() < "domain-5";
    for index in 0..12 {
        let candidates: Vec<Candidate<'_>> =
            peers.iter().map(|peer| Candidate { seed: peer, dead: is_dead(peer) }).collect();
        let chosen =
            links::choose(&seed(0, index), &candidates, Fanout { mesh: 16, cross_domain: 3 });
        let domains = chosen.iter().map(|name| &name.as_str()[..7]);
        let domains: Vec<&str> = domains.collect();
        assert_eq!(domains[0], "entry-1", "the ring keeps a domain that counts as dead");
        assert!(domains[1..].iter().all(|domain| *domain >= "entry-5"), "{domains:?}");
        assert_eq!(domains.len(), 3);
    }
}

#[test]
fn both_sides_detect_a_partition_and_rejoin_after_it() {
    let mut cluster = Cluster::start(6, &DOMAINS, default_settings);
    cluster.run(10 * SECOND);
    cluster.partition(&[0, 1]);
    cluster.run_until(MAX_DETECTION, |cluster| {
        cluster.state(0, 2) == Some(State::Dead) && cluster.state(3, 1) == Some(State::Dead)
    });
    assert_eq!(cluster.state(0, 1), Some(State::Live));
    cluster.run(600 * SECOND);
    cluster.partitions.clear();
    cluster.run_until(15 * SECOND, all_live);
}

#[test]
fn one_seed_suffices_to_find_all_instances() {
    fn seeded(settings: Settings) -> Settings {
        settings.seeds(vec!["10.0.0.1:1".parse().unwrap()])
    }
    let mut cluster = Cluster::start(7, &DOMAINS, seeded);
    for index in 0..4 {
        cluster.boot(index);
    }
    cluster.run_until(30 * SECOND, all_live);
}

fn large(seed: u64) -> Cluster {
    let names = domains(28, 340);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    Cluster::start(seed, &names, default_settings)
}

/// Returns the number of nodes that a flood over the links reaches.
fn reachable_count(cluster: &Cluster, from: usize) -> usize {
    let mut seen = BTreeSet::from([cluster.name(from)]);
    let mut pending = vec![from];
    while let Some(index) = pending.pop() {
        for peer in cluster.node(index).view().linked() {
            if seen.insert(peer.seed.instance.clone()) {
                pending.push(peer.seed.instance.as_str()["entry-".len()..].parse().unwrap());
            }
        }
    }
    seen.len()
}

#[test]
fn links_are_bounded_and_connect_all_of_340_instances() {
    let mut cluster = large(8);
    cluster.run(5 * SECOND);
    let links: Vec<usize> = (0..340).map(|index| cluster.links_of(index)).collect();
    // 11 or 12 peers in the own domain; 3 links opened and 3 accepted on average.
    assert!(links.iter().all(|&links| links <= 32), "{links:?}");
    assert!(links.iter().sum::<usize>() <= 340 * 18, "{links:?}");
    assert_eq!(reachable_count(&cluster, 0), 340);
    for index in 0..340 {
        let domain = index % 28;
        let inner = (0..340).filter(|&other| other % 28 == domain && other != index);
        let mut states = inner.map(|other| cluster.state(index, other));
        assert!(states.all(|state| state == Some(State::Live)));
    }
}

#[test]
fn halves_of_340_instances_rejoin_after_a_partition() {
    let mut cluster = large(9);
    cluster.run(5 * SECOND);
    let half: Vec<usize> = (0..340).filter(|index| index % 28 < 14).collect();
    cluster.partition(&half);
    cluster.run(10 * SECOND);
    assert_eq!(reachable_count(&cluster, 0), half.len());
    cluster.partitions.clear();
    cluster.run(20 * SECOND);
    assert_eq!(reachable_count(&cluster, 0), 340);
}
