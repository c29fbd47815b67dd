//! Hundreds of instances that know only a few seeds find each other within seconds. One that knows
//! only a part of the others takes too large a share of what all of them share.
#![allow(clippy::unwrap_used)]

mod cluster;

use cluster::{Cluster, SECOND};
use goldcrestvale_base::{
    customer_load::ServiceHash,
    prompt::Part,
    retry_loan::{Ask, Grant},
};
use goldcrestvale_member::{
    chain_limit::{ChainLimit, ChainLimits, Demand},
    evidence::Evidence,
    in_flight::UpstreamHash,
    prelude::*,
    retry_loan::RetryLoans,
    silence::Silence,
};

/// Number of instances of the large deployment, in five failure domains.
const INSTANCES: usize = 118;

fn domains() -> Vec<String> {
    (0..INSTANCES).map(|index| format!("domain-{}", index % 5)).collect()
}

/// Settings of a gateway; one of the seeds does not exist.
fn seeded(settings: Settings) -> Settings {
    let seeds = [3, 58, 900].map(Cluster::address).to_vec();
    let heartbeat = settings.heartbeat / 2;
    settings
        .seeds(seeds)
        .heartbeat(heartbeat)
        .links(48, 48)
        .report_to_all_domains()
        .gossip(heartbeat * 4)
}

fn start(seed: u64) -> Cluster {
    let domains = domains();
    let names: Vec<&str> = domains.iter().map(String::as_str).collect();
    Cluster::start_unlisted(seed, &names, seeded)
}

fn counts(cluster: &Cluster) -> Vec<u32> {
    cluster.alive().map(|index| cluster.node(index).view().instance_count(1)).collect()
}

/// Returns whether every instance sees all others of its failure domain.
fn domains_are_complete(cluster: &Cluster) -> bool {
    let alive: Vec<usize> = cluster.alive().collect();
    alive.iter().all(|&index| {
        let members = alive.iter().filter(|&&other| other % 5 == index % 5).count();
        let position = cluster.node(index).view().position();
        let preceding = alive.iter().filter(|&&other| other % 5 == index % 5 && other < index);
        position.members == members && position.rank == preceding.count()
    })
}

#[test]
fn all_instances_find_each_other() {
    for seed in 0..3 {
        let mut cluster = start(seed);
        cluster.run(5 * SECOND);
        assert!(domains_are_complete(&cluster), "seed {seed}");
        let counts = counts(&cluster);
        assert!(counts.iter().all(|&count| count >= 112), "seed {seed}: {counts:?}");
    }
}

#[test]
fn all_find_each_other_after_restart() {
    let mut cluster = start(7);
    cluster.run(20 * SECOND);
    for index in 0..INSTANCES {
        cluster.kill(index);
        cluster.boot(index);
    }
    cluster.run(5 * SECOND);
    assert!(domains_are_complete(&cluster));
}

#[test]
fn partitioned_domain_returns() {
    let mut cluster = start(9);
    cluster.run(10 * SECOND);
    let domain: Vec<usize> = (0..INSTANCES).filter(|index| index % 5 == 2).collect();
    cluster.partition(&domain);
    cluster.run(7 * SECOND);
    cluster.partitions.clear();
    cluster.run(8 * SECOND);
    let counts = counts(&cluster);
    assert!(counts.iter().all(|&count| count >= 112), "{counts:?}");
}

#[test]
fn reports_cross_domains_once() {
    use std::{cell::RefCell, rc::Rc};

    let mut cluster = start(4);
    cluster.run(10 * SECOND);
    let sent: Rc<RefCell<Vec<(usize, usize)>>> = Rc::default();
    let record = sent.clone();
    cluster.on_send = Box::new(move |from, to, message| {
        if matches!(message, Message::Silent(_)) {
            record.borrow_mut().push((from, to));
        }
    });
    let silence = Silence { upstream: cluster::upstream("e-1"), left_ms: 4_500, refuses: false };
    cluster.feed(17, Event::Silent(silence));
    cluster.run(SECOND / 10);
    let reached: std::collections::BTreeSet<usize> =
        sent.borrow().iter().map(|(_, to)| *to).collect();
    assert!(reached.len() >= INSTANCES - 1, "{}", reached.len());
    let crossings = sent.borrow().iter().filter(|(from, to)| from % 5 != to % 5).count();
    assert!(crossings < INSTANCES, "{crossings} messages between domains");
}

// A report that came back over slow links counted as a new one, and was passed on without end.
#[test]
fn reports_end_on_slow_links() {
    use std::{cell::RefCell, rc::Rc};

    let mut cluster = start(4);
    cluster.run(10 * SECOND);
    cluster.latency = 7 * SECOND / 10;
    let last: Rc<RefCell<usize>> = Rc::default();
    let count = last.clone();
    cluster.on_send = Box::new(move |_, _, message| {
        *count.borrow_mut() += usize::from(matches!(message, Message::Silent(_)));
    });
    let silence = Silence { upstream: cluster::upstream("e-1"), left_ms: 4_500, refuses: true };
    cluster.feed(17, Event::Silent(silence));
    cluster.run(15 * SECOND);
    *last.borrow_mut() = 0;
    cluster.run(10 * SECOND);
    assert_eq!(*last.borrow(), 0, "reports are sent 15 s after one of 4.5 s");
}

#[test]
fn evidence_reaches_all_instances() {
    use std::{cell::RefCell, rc::Rc};

    let mut cluster = start(4);
    cluster.run(10 * SECOND);
    let sent: Rc<RefCell<Vec<(usize, usize)>>> = Rc::default();
    let record = sent.clone();
    cluster.on_send = Box::new(move |from, to, message| {
        if matches!(message, Message::Evidence(_)) {
            record.borrow_mut().push((from, to));
        }
    });
    cluster.feed(17, Event::Evidence(Evidence { sound: vec![Part(7)], ..Evidence::default() }));
    cluster.run(SECOND / 10);
    let reached: std::collections::BTreeSet<usize> =
        sent.borrow().iter().map(|(_, to)| *to).collect();
    assert!(reached.len() >= INSTANCES - 1, "{}", reached.len());
    let crossings = sent.borrow().iter().filter(|(from, to)| from % 5 != to % 5).count();
    assert!(crossings < INSTANCES, "{crossings} messages between domains");
}

/// Guards against limits that are forwarded without end, and against those too old to apply.
#[test]
fn chain_limits_go_to_connected_peers_once() {
    use std::{cell::RefCell, rc::Rc};

    let mut cluster = start(4);
    cluster.run(10 * SECOND);
    let sent: Rc<RefCell<Vec<(usize, usize)>>> = Rc::default();
    let record = sent.clone();
    cluster.on_send = Box::new(move |from, to, message| {
        if matches!(message, Message::ChainLimits(_)) {
            record.borrow_mut().push((from, to));
        }
    });
    let limit = |age_ms| ChainLimit {
        upstream: UpstreamHash(1),
        streams: 60,
        token_capacity: 80_000,
        age_ms,
    };
    let demands = vec![Demand { service: ServiceHash(7), milli_streams: 500 }];
    let limits = ChainLimits { limits: vec![limit(40), limit(6_000)], demands: demands.clone() };
    let notices_before = cluster.notices.len();
    cluster.feed(17, Event::ChainLimits(limits));
    cluster.run(SECOND / 10);
    let sent = sent.borrow();
    assert!(!sent.is_empty() && sent.iter().all(|(from, _)| *from == 17), "{sent:?}");
    let expected = ChainLimits { limits: vec![limit(40)], demands };
    let received = cluster.notices[notices_before..].iter().filter(
        |emitted| matches!(&emitted.notice, Notice::ChainLimits { limits, .. } if *limits == expected),
    );
    assert_eq!(received.count(), sent.len());
}

/// Guards against requests for retries that go to all peers, and loans that reach another one.
#[test]
fn retry_loans_go_to_few_peers() {
    use std::{cell::RefCell, rc::Rc};

    let mut cluster = start(4);
    cluster.run(10 * SECOND);
    let sent: Rc<RefCell<Vec<(usize, usize)>>> = Rc::default();
    let record = sent.clone();
    cluster.on_send = Box::new(move |from, to, message| {
        if matches!(message, Message::RetryLoans(_)) {
            record.borrow_mut().push((from, to));
        }
    });
    let notices_before = cluster.notices.len();
    let ask = Ask { service: ServiceHash(7), sequence: 9, milli_retries: 2_000 };
    cluster.feed(17, Event::RetryAsk { ask, peers: 3 });
    cluster.run(SECOND / 10);
    let asked = sent.take();
    assert!(asked.len() == 3 && asked.iter().all(|(from, _)| *from == 17), "{asked:?}");
    let grant = Grant { service: ServiceHash(7), sequence: 9, milli_retries: 900, hold_ms: 1_000 };
    let lent = RetryLoans { grants: vec![grant], ..RetryLoans::default() };
    let to = cluster.name(17);
    cluster.feed(asked[0].1, Event::RetryLoans { to, loans: lent.clone() });
    cluster.run(SECOND / 10);
    assert_eq!(sent.take(), [(asked[0].1, 17)]);
    let received =
        cluster.notices[notices_before..].iter().filter_map(|emitted| match &emitted.notice {
            Notice::RetryLoans { loans, .. } => Some(loans.clone()),
            _ => None,
        });
    let received: Vec<RetryLoans> = received.collect();
    assert_eq!(received.len(), 4);
    assert!(received[..3].iter().all(|loans| loans.asks == [ask] && loans.grants.is_empty()));
    assert_eq!(received[3], lent);
}

#[test]
fn restarted_instance_learns_leaving_upstreams_from_its_domain() {
    use std::{cell::RefCell, rc::Rc};

    let mut cluster = start(6);
    cluster.run(10 * SECOND);
    for number in 0..100 {
        let mark = cluster::mark(&format!("e-{number}"), Some("1"), Source::List, cluster.now);
        cluster.feed(0, Event::Leaving(mark));
    }
    cluster.run(SECOND);
    let crossed: Rc<RefCell<usize>> = Rc::default();
    let record = crossed.clone();
    cluster.on_send = Box::new(move |from, to, message| {
        if let Message::Leaving(marks) = message
            && from % 5 != to % 5
        {
            *record.borrow_mut() += marks.len();
        }
    });
    cluster.kill(50);
    cluster.run(SECOND);
    cluster.boot(50);
    cluster.run(2 * SECOND);
    assert!((0..100).all(|number| cluster.is_leaving(50, &format!("e-{number}"))));
    // It may send the set itself to those that it knows no neighbours of yet.
    assert!(*crossed.borrow() <= 48 * 100, "{} marks between domains", crossed.borrow());
}

#[test]
fn peers_with_upstreams_take_requests() {
    let mut cluster = start(3);
    cluster.run(10 * SECOND);
    // The first one reaches no upstream, and the second one takes no new requests.
    let port = |index: usize| u16::try_from(8_000 + index).unwrap();
    for index in 0..INSTANCES {
        let relay_port = (index > 0).then(|| port(index));
        let status = Status { relay_port, draining: index == 1, ..Status::default() };
        cluster.feed(index, Event::Status(status));
    }
    cluster.run(2 * SECOND);
    let relays = cluster.node(10).view().relays();
    assert!(relays.near.len() >= 20, "{relays:?}");
    assert!(!relays.far.is_empty());
    assert!(relays.near.iter().all(|address| address.port() % 5 == port(10) % 5));
    let excluded = [0, 1, 10].map(port);
    let mut all = relays.near.iter().chain(&relays.far);
    assert!(all.all(|address| !excluded.contains(&address.port())), "{relays:?}");
}
