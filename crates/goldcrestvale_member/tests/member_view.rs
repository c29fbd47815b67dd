//! The view: who is live, who is dead, who is connected to whom.
#![allow(clippy::unwrap_used)]

mod cluster;

use std::{collections::BTreeSet, time::Duration};

use cluster::{Cluster, MS, SECOND};
use goldcrestvale_member::{
    links::{self, Candidate, Fanout},
    prelude::*,
    view::State,
};

const FOUR: [&str; 4] = ["bole", "bole", "kirkos", "yeka"];

/// Longest time from a death to its notice, from the needs of the operators.
const DETECTION: Duration = Duration::from_secs(5);

fn same(settings: Settings) -> Settings {
    settings
}

fn domains(count: usize, of: usize) -> Vec<String> {
    (0..of).map(|place| format!("domain-{:02}", place % count)).collect()
}

fn all_live(cluster: &Cluster) -> bool {
    let alive: Vec<usize> = cluster.alive().collect();
    alive.iter().all(|&place| {
        let others = alive.iter().filter(|&&other| other != place);
        let mut states = others.map(|&other| cluster.state(place, other));
        states.all(|state| state == Some(State::Live))
    })
}

fn deaths(cluster: &Cluster) -> usize {
    cluster.told.iter().filter(|told| matches!(told.notice, Notice::Dead(_))).count()
}

#[test]
fn four_instances_see_each_other() {
    let mut cluster = Cluster::start(1, &FOUR, same);
    cluster.run_until(2 * SECOND, all_live);
    cluster.run(60 * SECOND);
    assert!(all_live(&cluster));
    assert_eq!(deaths(&cluster), 0);
    assert!((0..4).all(|place| cluster.node(place).view().instance_count(4) == 4));
}

#[test]
fn lost_heartbeats_now_and_then_declare_nobody_dead() {
    let mut cluster = Cluster::start(2, &FOUR, same);
    cluster.run(5 * SECOND);
    cluster.loss = 0.02;
    cluster.run(300 * SECOND);
    assert_eq!(deaths(&cluster), 0);
}

#[test]
fn a_silent_death_is_noticed_by_every_instance() {
    let mut cluster = Cluster::start(3, &FOUR, same);
    cluster.run(10 * SECOND);
    cluster.kill(3);
    let took = cluster.run_until(DETECTION, |cluster| {
        (0..3).all(|place| cluster.state(place, 3) == Some(State::Dead))
    });
    assert!(took > 2 * SECOND, "too hasty: {took:?}");
    // Its part of each limit stays reserved while the platform lists it.
    assert_eq!(cluster.node(0).view().instance_count(4), 4);
    cluster.list(0, &[0, 1, 2]);
    cluster.run(SECOND);
    assert_eq!(cluster.node(0).view().instance_count(4), 3);
}

#[test]
fn a_goodbye_is_noticed_at_once_and_stays() {
    let mut cluster = Cluster::start(4, &FOUR, same);
    cluster.run(10 * SECOND);
    cluster.stop(3);
    cluster.run(5 * MS);
    let gone = |cluster: &Cluster| (0..3).all(|at| cluster.state(at, 3) == Some(State::Gone));
    assert!(gone(&cluster));
    assert_eq!(cluster.node(0).view().instance_count(4), 3);
    // The list lags by half a minute and still names it.
    for _ in 0..30 {
        (0..3).for_each(|place| cluster.list(place, &[0, 1, 2, 3]));
        cluster.run(SECOND);
        assert!(gone(&cluster));
    }
}

#[test]
fn a_restart_is_a_new_incarnation_that_hearsay_cannot_undo() {
    let mut cluster = Cluster::start(5, &FOUR, same);
    cluster.run(10 * SECOND);
    let old = cluster.nodes[3].as_ref().unwrap().identity.clone();
    cluster.boot(3);
    cluster.list(3, &[0, 1, 2, 3]);
    let gone = Notice::Gone { instance: old.instance.clone(), incarnation: old.incarnation };
    cluster.run_until(2 * SECOND, |cluster| {
        cluster.told.iter().any(|told| told.notice == gone) && all_live(cluster)
    });
    cluster.run(60 * SECOND);
    let told = cluster.told.iter().filter(|told| told.notice == gone).count();
    assert_eq!(told, 3, "each of the others tells it once");
    let stale =
        goldcrestvale_member::message::MemberRecord { who: old.clone(), age_ms: 0, gone: false };
    let from = cluster.name(1);
    cluster.feed(0, Event::Received { from, message: Message::Members(vec![stale]) });
    let known = cluster.node(0).view().peer(&old.instance).unwrap().incarnation;
    assert_ne!(known, Some(old.incarnation));
    // Nor does a connection that it left behind.
    cluster.feed(0, Event::Connected(old.clone()));
    cluster.run(SECOND);
    let peer = cluster.node(0).view().peer(&old.instance).unwrap();
    assert_ne!(peer.incarnation, Some(old.incarnation));
}

#[test]
fn links_leave_the_dead_but_for_one_on_the_ring() {
    let seed = |domain: usize, place: usize| Seed {
        instance: format!("entry-{domain}-{place}").parse().unwrap(),
        domain: format!("domain-{domain}").parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
    };
    // Of domains 1 to 8, those up to 4 count as dead; 1 is next on the ring.
    let peers: Vec<Seed> = (1..9).flat_map(|domain| (0..3).map(move |n| seed(domain, n))).collect();
    let is_dead = |peer: &Seed| peer.domain.as_str() < "domain-5";
    for place in 0..12 {
        let candidates: Vec<Candidate<'_>> =
            peers.iter().map(|peer| Candidate { seed: peer, dead: is_dead(peer) }).collect();
        let chosen =
            links::choose(&seed(0, place), &candidates, Fanout { mesh: 16, cross_domain: 3 });
        let domains = chosen.iter().map(|name| &name.as_str()[..7]);
        let domains: Vec<&str> = domains.collect();
        assert_eq!(domains[0], "entry-1", "the ring goes on across a cut");
        assert!(domains[1..].iter().all(|domain| *domain >= "entry-5"), "{domains:?}");
        assert_eq!(domains.len(), 3);
    }
}

#[test]
fn a_cut_is_seen_from_both_sides_and_heals() {
    let mut cluster = Cluster::start(6, &FOUR, same);
    cluster.run(10 * SECOND);
    cluster.cut_off(&[0, 1]);
    cluster.run_until(DETECTION, |cluster| {
        cluster.state(0, 2) == Some(State::Dead) && cluster.state(3, 1) == Some(State::Dead)
    });
    assert_eq!(cluster.state(0, 1), Some(State::Live));
    cluster.run(600 * SECOND);
    cluster.cut.clear();
    cluster.run_until(15 * SECOND, all_live);
}

#[test]
fn an_instance_that_knows_one_seed_finds_all() {
    fn seeded(settings: Settings) -> Settings {
        settings.seeds(vec!["10.0.0.1:1".parse().unwrap()])
    }
    let mut cluster = Cluster::start(7, &FOUR, seeded);
    for place in 0..4 {
        cluster.boot(place);
    }
    cluster.run_until(30 * SECOND, all_live);
}

fn large(seed: u64) -> Cluster {
    let names = domains(28, 340);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    Cluster::start(seed, &names, same)
}

/// Returns the nodes that a flood over the links reaches.
fn reached(cluster: &Cluster, from: usize) -> usize {
    let mut seen = BTreeSet::from([cluster.name(from)]);
    let mut open = vec![from];
    while let Some(place) = open.pop() {
        for peer in cluster.node(place).view().linked() {
            if seen.insert(peer.seed.instance.clone()) {
                open.push(peer.seed.instance.as_str()["entry-".len()..].parse().unwrap());
            }
        }
    }
    seen.len()
}

#[test]
fn links_are_bounded_and_connect_all_at_340_instances() {
    let mut cluster = large(8);
    cluster.run(5 * SECOND);
    let links: Vec<usize> = (0..340).map(|place| cluster.links_of(place)).collect();
    // 11 or 12 peers of the own domain, 3 links opened and 3 accepted on average.
    assert!(links.iter().all(|&links| links <= 32), "{links:?}");
    assert!(links.iter().sum::<usize>() <= 340 * 18, "{links:?}");
    assert_eq!(reached(&cluster, 0), 340);
    for place in 0..340 {
        let domain = place % 28;
        let inner = (0..340).filter(|&other| other % 28 == domain && other != place);
        let mut states = inner.map(|other| cluster.state(place, other));
        assert!(states.all(|state| state == Some(State::Live)));
    }
}

#[test]
fn a_cut_between_halves_of_340_instances_heals() {
    let mut cluster = large(9);
    cluster.run(5 * SECOND);
    let half: Vec<usize> = (0..340).filter(|place| place % 28 < 14).collect();
    cluster.cut_off(&half);
    cluster.run(10 * SECOND);
    assert_eq!(reached(&cluster, 0), half.len());
    cluster.cut.clear();
    cluster.run(20 * SECOND);
    assert_eq!(reached(&cluster, 0), 340);
}
