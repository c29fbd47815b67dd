//! What instances share of customers and upstreams while instances come and go.
#![allow(clippy::unwrap_used)]

mod cluster;

use std::time::Duration;

use cluster::{Cluster, MS, SECOND, upstream};
use goldcrestvale_base::{id::Customer, time::Instant};
use goldcrestvale_member::{
    in_flight::UpstreamWork,
    limit::{FULL_LIMIT, Parts},
    prelude::*,
};

const HOLD: Duration = Duration::from_secs(3);
const DOMAINS: [&str; 4] = ["bole", "bole", "kirkos", "yeka"];
const ALL: [usize; 4] = [0, 1, 2, 3];

fn same(settings: Settings) -> Settings {
    settings
}

fn customer() -> Customer {
    "label-1".parse().unwrap()
}

fn demand(cluster: &mut Cluster, place: usize, parts: u32) {
    cluster.feed(place, Event::Demand { customer: customer(), parts: Parts(parts) });
}

fn share(cluster: &Cluster, place: usize) -> u32 {
    cluster.node(place).sharing().share(cluster.now, &customer()).0
}

fn sum(cluster: &Cluster) -> u32 {
    cluster.alive().map(|place| share(cluster, place)).sum()
}

/// Starts four instances of which the first is busy.
fn busy(seed: u64) -> Cluster {
    let mut cluster = Cluster::start(seed, &DOMAINS, same);
    demand(&mut cluster, 0, FULL_LIMIT);
    cluster.run(10 * SECOND);
    assert!(share(&cluster, 0) > FULL_LIMIT * 9 / 10, "{}", share(&cluster, 0));
    cluster
}

/// Runs, and checks the sum of the parts in use at each step.
fn run(cluster: &mut Cluster, span: Duration, most: u32) {
    for _ in 0..span.as_millis() / 50 {
        cluster.run(50 * MS);
        let sum = sum(cluster);
        assert!(sum <= most, "{sum} parts in use at {:?}, at most {most}", cluster.now);
    }
}

#[test]
fn a_goodbye_gives_its_part_to_the_others_within_the_stated_slack() {
    let mut cluster = busy(1);
    cluster.stop(3);
    // The others split its part anew while its last loan runs.
    run(&mut cluster, HOLD + SECOND, FULL_LIMIT + FULL_LIMIT / 4 * 7 / 8);
    run(&mut cluster, 30 * SECOND, FULL_LIMIT);
    assert!(share(&cluster, 0) > FULL_LIMIT * 9 / 10, "{}", share(&cluster, 0));
}

#[test]
fn a_restart_stays_within_the_stated_slack() {
    for seed in 0..8 {
        let mut cluster = busy(10 + seed);
        cluster.stop(2);
        run(&mut cluster, SECOND * (seed as u32 % 4), FULL_LIMIT + FULL_LIMIT / 4 * 7 / 8);
        cluster.boot(2);
        cluster.list(2, &ALL);
        // The last loans of its earlier life, and the part of an instance that joins.
        run(&mut cluster, HOLD + SECOND, FULL_LIMIT + FULL_LIMIT / 4 * 7 / 8 + FULL_LIMIT / 4);
        run(&mut cluster, 20 * SECOND, FULL_LIMIT);
    }
}

#[test]
fn a_silent_death_and_a_cut_never_exceed_the_limit() {
    let mut cluster = busy(30);
    cluster.kill(1);
    run(&mut cluster, 20 * SECOND, FULL_LIMIT);
    cluster.cut_off(&[0]);
    demand(&mut cluster, 2, FULL_LIMIT);
    run(&mut cluster, 20 * SECOND, FULL_LIMIT);
    assert_eq!(share(&cluster, 0), FULL_LIMIT / 4);
    cluster.cut.clear();
    run(&mut cluster, 20 * SECOND, FULL_LIMIT);
}

#[test]
fn work_of_others_since_a_report_is_known_within_their_failure_domain() {
    let mut cluster = Cluster::start(40, &DOMAINS, same);
    cluster.run(5 * SECOND);
    let tell = |cluster: &mut Cluster, units| {
        let sent = vec![UpstreamWork { upstream: upstream("engine-1"), units }];
        cluster.feed(1, Event::WorkInProgress(sent));
        cluster.run(2 * SECOND);
    };
    tell(&mut cluster, 5);
    let report = cluster.now;
    let since = |cluster: &Cluster, place: usize, at: Instant| {
        cluster.node(place).peer_work().growth_since(&upstream("engine-1"), at)
    };
    assert_eq!(since(&cluster, 0, report), 0);
    tell(&mut cluster, 12);
    assert_eq!(since(&cluster, 0, report), 7);
    assert_eq!(since(&cluster, 3, report), 0, "another failure domain");
    tell(&mut cluster, 2);
    assert_eq!(since(&cluster, 0, report), -3);
    // The work of an instance ends with it.
    cluster.stop(1);
    cluster.run(SECOND);
    assert_eq!(since(&cluster, 0, report), 0);
}

#[test]
fn work_is_told_to_all_domains_where_upstreams_take_it_from_all() {
    let mut cluster = Cluster::start(41, &DOMAINS, Settings::report_to_all_domains);
    cluster.run(5 * SECOND);
    for place in ALL {
        let sent = vec![UpstreamWork { upstream: upstream("engine-1"), units: 10 + place as u32 }];
        cluster.feed(place, Event::WorkInProgress(sent));
    }
    cluster.run(2 * SECOND);
    let total = |cluster: &Cluster, place: usize| {
        cluster.node(place).peer_work().total(&upstream("engine-1"))
    };
    for place in ALL {
        assert_eq!(total(&cluster, place), 36 - place as u32);
    }
    // One that starts anew hears what has not changed since.
    cluster.kill(3);
    cluster.run(10 * SECOND);
    cluster.boot(3);
    cluster.list(3, &ALL);
    cluster.run(5 * SECOND);
    assert_eq!(total(&cluster, 3), 33);
}
