//! The way of large configurations from the store to all instances of a deployment, on virtual time:
//! reads, requests and transfers over slow links, with readers that are lost.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeSet, time::Duration};

use goldcrestvale_base::{id::Instance, time::Instant};
use goldcrestvale_member::{
    config_request::{Offer, Request, Requests},
    read_schedule::{Pace, Position, ReadSchedule},
    upload::Uploads,
};

const BOUND: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time without heartbeats after which an instance no longer counts among those that read.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_250);
const DOMAINS: usize = 3;
const READERS: usize = 2;
/// Bytes per second of a link of 20 Mbit/s.
const LINK: f64 = 2_500_000.0;
const PART: f64 = 32_768.0;
/// Bytes of a route in the store.
const ROUTE: f64 = 360.0;
/// Bytes of a route in a compressed document.
const SENT_ROUTE: f64 = 24.0;

/// A request that waits at a peer.
#[derive(Debug, Clone, Copy)]
struct Ask {
    from: usize,
    to: usize,
    held: u64,
}

/// A transfer to an instance, from a peer or from the store.
#[derive(Debug, Clone)]
struct Transfer {
    from: Option<usize>,
    to: usize,
    /// Version that the receiver held when it requested the newer one.
    base: u64,
    version: u64,
    left: f64,
    /// Bytes since the last part.
    part: f64,
}

struct Node {
    schedule: ReadSchedule,
    requests: Requests,
    uploads: Uploads,
    held: u64,
    /// The version that the last heartbeat offered.
    reported: u64,
    is_live: bool,
    is_reading: bool,
    started: Instant,
    heartbeat: Instant,
}

struct Fleet {
    members: usize,
    nodes: Vec<Node>,
    asks: Vec<Ask>,
    transfers: Vec<Transfer>,
    /// Number of routes of each version in the store, from version 1 on.
    routes: Vec<usize>,
    lost: Vec<(usize, Instant)>,
    now: Instant,
    /// The instances that read since the start of a test.
    readers: BTreeSet<usize>,
    sent: f64,
}

fn name(node: usize) -> Instance {
    format!("node-{node:03}").parse().unwrap()
}

fn index(name: &Instance) -> usize {
    name.as_str()[5..].parse().unwrap()
}

impl Fleet {
    /// Creates domains of `members` instances each, which have version 1 in force.
    fn new(members: usize) -> Self {
        let now = Instant(1_000_000);
        let nodes = (0..members * DOMAINS).map(|number| Node {
            schedule: ReadSchedule::with_readers(READERS),
            requests: Requests::new(BOUND, number * 7919),
            uploads: Uploads::default(),
            held: 1,
            reported: 1,
            is_live: true,
            is_reading: false,
            started: now,
            heartbeat: now + HEARTBEAT.mul_f64(number as f64 * 0.37 % 1.0),
        });
        let mut fleet = Self {
            members,
            nodes: nodes.collect(),
            asks: Vec::new(),
            transfers: Vec::new(),
            routes: vec![10],
            lost: Vec::new(),
            now,
            readers: BTreeSet::new(),
            sent: 0.0,
        };
        // Every instance reads once when it starts.
        fleet.run(Duration::from_secs(5));
        fleet.readers.clear();
        fleet
    }

    fn pace() -> Pace {
        Pace { interval: Duration::ZERO, update_interval: BOUND / 5 }
    }

    fn add_routes(&mut self, count: usize) {
        let routes = self.routes.last().unwrap() + count;
        self.routes.push(routes);
    }

    /// Takes the power of the instances that read in the given domains.
    fn lose_readers(&mut self, domains: impl Iterator<Item = usize>) {
        for domain in domains {
            let live = self.live(domain).take(READERS).collect::<Vec<_>>();
            for node in live {
                self.nodes[node].is_live = false;
                self.lost.push((node, self.now));
                self.transfers.retain(|it| it.to != node && it.from != Some(node));
            }
        }
    }

    fn live(&self, domain: usize) -> impl Iterator<Item = usize> + '_ {
        let range = domain * self.members..(domain + 1) * self.members;
        range.filter(|node| self.nodes[*node].is_live)
    }

    /// Runs until all live instances have the newest version in force; returns the time it took.
    fn spread(&mut self) -> Duration {
        let start = self.now;
        let version = self.routes.len() as u64;
        while self.nodes.iter().any(|node| node.is_live && node.held < version) {
            assert!(self.now.since(start) < Duration::from_secs(30), "version {version} is lost");
            self.step();
        }
        self.now.since(start)
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for domain in 0..DOMAINS {
            self.read(domain);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].is_live && self.nodes[node].heartbeat <= self.now {
                self.nodes[node].heartbeat = self.now + HEARTBEAT;
                self.offer(node);
            }
        }
        self.transfer();
    }

    /// Starts and ends the reads of a domain.
    fn read(&mut self, domain: usize) {
        let now = self.now;
        // Lost instances keep their rank until their heartbeats are missed.
        let is_counted = |node: &usize| {
            let lost = self.lost.iter().find(|(lost, _)| lost == node);
            lost.is_none_or(|(_, at)| now.since(*at) < SUSPECT_AFTER)
        };
        let range = domain * self.members..(domain + 1) * self.members;
        let counted: Vec<usize> = range.filter(is_counted).collect();
        for (rank, &number) in counted.iter().enumerate() {
            let newest = self.routes.len() as u64;
            let node = &mut self.nodes[number];
            node.schedule.set_position(Position { rank, members: counted.len() });
            if !node.is_live {
                continue;
            }
            if !node.is_reading && node.schedule.due(Self::pace()) <= now {
                node.is_reading = true;
                node.started = now;
                self.readers.insert(number);
            }
            if !node.is_reading
                || self.transfers.iter().any(|it| it.to == number && it.from.is_none())
            {
                continue;
            }
            if newest > node.held {
                let left = ROUTE * self.routes[newest as usize - 1] as f64;
                let version = newest;
                let (from, to, base) = (None, number, node.held);
                self.transfers.push(Transfer { from, to, base, version, left, part: 0.0 });
            } else if now.since(node.started) >= Self::pace().update_interval {
                self.end_read(number);
            }
        }
    }

    fn end_read(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        node.is_reading = false;
        node.schedule.record_read(node.started, now);
        let version = node.held;
        for other in
            self.live(number / self.members).filter(|other| *other != number).collect::<Vec<_>>()
        {
            let is_first = self.nodes[other].requests.is_unknown(version);
            self.receive(other, number, version);
            let node = &mut self.nodes[other];
            if version == node.held || is_first || node.requests.is_receiving(now) {
                node.schedule.record_update(now, number < other);
            }
        }
    }

    /// Sends a heartbeat with the version in force to all instances.
    fn offer(&mut self, number: usize) {
        let version = self.nodes[number].held;
        self.nodes[number].reported = version;
        for other in 0..self.nodes.len() {
            if other != number && self.nodes[other].is_live {
                self.receive(other, number, version);
            }
        }
    }

    fn receive(&mut self, to: usize, from: usize, version: u64) {
        let is_near = to / self.members == from / self.members;
        let offer = Offer { from: &name(from), version, is_near };
        let request = self.nodes[to].requests.receive(offer, self.now);
        self.request(to, request);
    }

    fn request(&mut self, from: usize, request: Option<Request>) {
        let Some(Request { to, .. }) = request else { return };
        let to = index(&to);
        if self.nodes[to].is_live {
            self.asks.retain(|ask| (ask.from, ask.to) != (from, to));
            self.asks.push(Ask { from, to, held: self.nodes[from].held });
            self.nodes[to].uploads.request(name(from));
            self.start_uploads(to);
        }
    }

    fn start_uploads(&mut self, from: usize) {
        let version = self.nodes[from].held;
        for to in self.nodes[from].uploads.start(self.now) {
            let to = index(&to);
            let ask = self.asks.iter().position(|ask| (ask.from, ask.to) == (to, from));
            let ask = ask.map(|ask| self.asks.swap_remove(ask));
            let held = ask.map(|ask| ask.held).filter(|held| self.nodes[to].reported <= *held);
            let Some(base) = held.filter(|held| self.nodes[to].is_live && *held < version) else {
                self.nodes[from].uploads.remove(&name(to));
                continue;
            };
            let added = self.routes[version as usize - 1] - self.routes[base as usize - 1];
            let left = 500.0 + SENT_ROUTE * added as f64;
            self.transfers.push(Transfer { from: Some(from), to, base, version, left, part: 0.0 });
        }
    }

    /// Moves the bytes of a step. The transfers of an instance share its link in each direction.
    fn transfer(&mut self) {
        let shares: Vec<f64> = self
            .transfers
            .iter()
            .map(|transfer| {
                let outgoing = |it: &&Transfer| it.from.is_some() && it.from == transfer.from;
                let sent = self.transfers.iter().filter(outgoing).count();
                let received = self.transfers.iter().filter(|it| it.to == transfer.to).count();
                LINK * STEP.as_secs_f64() / sent.max(received) as f64
            })
            .collect();
        let now = self.now;
        let mut ended = Vec::new();
        for (transfer, share) in self.transfers.iter_mut().zip(shares) {
            transfer.left -= share;
            transfer.part += share;
            let Some(from) = transfer.from else {
                if transfer.left <= 0.0 {
                    ended.push(transfer.clone());
                }
                continue;
            };
            self.sent += share;
            if transfer.part >= PART || transfer.left <= 0.0 {
                transfer.part = 0.0;
                self.nodes[transfer.to].requests.record_part(&name(from), now);
                let is_last = transfer.left <= 0.0;
                self.nodes[from].uploads.record_part(&name(transfer.to), is_last, now);
                if is_last {
                    ended.push(transfer.clone());
                }
            }
        }
        self.transfers.retain(|transfer| transfer.left > 0.0);
        for Transfer { from, to, base, version, .. } in ended {
            let node = &mut self.nodes[to];
            if from.is_none() || node.held == base {
                node.held = node.held.max(version);
            }
            let held = node.held;
            let request = match from {
                Some(from) => node.requests.record_answer(&name(from), held, now),
                None => node.requests.record_held(held, now),
            };
            self.request(to, request);
            match from {
                Some(from) => self.start_uploads(from),
                None => self.end_read(to),
            }
        }
    }
}

/// Guards against large configurations that fill the links of their readers: the last instance had one
/// 4 to 25 s after the first one.
#[test]
fn large_changes_reach_all_instances() {
    let mut fleet = Fleet::new(28);
    for _ in 0..3 {
        fleet.add_routes(1_400);
        let took = fleet.spread();
        assert!(took < BOUND * 2 / 3, "{took:?}");
        fleet.run(Duration::from_millis(300));
    }
}

/// Guards against a change of a few routes that costs as much as the whole configuration.
#[test]
fn bytes_follow_the_change() {
    for routes in [100, 6_000] {
        let mut fleet = Fleet::new(28);
        fleet.add_routes(routes);
        fleet.spread();
        fleet.run(Duration::from_secs(1));
        fleet.sent = 0.0;
        fleet.add_routes(1);
        fleet.spread();
        // A step moves more bytes than such a change has.
        let per_instance = fleet.sent / fleet.nodes.len() as f64;
        assert!(per_instance < 13_000.0, "{per_instance} bytes with {routes} routes");
    }
}

/// Guards against changes that wait until the loss of their readers is noticed.
#[test]
fn lost_readers_delay_no_large_change() {
    for domains in 1..=DOMAINS {
        let mut fleet = Fleet::new(28);
        for _ in 0..2 {
            fleet.add_routes(1_400);
            fleet.spread();
            fleet.run(Duration::from_millis(700));
        }
        fleet.lose_readers(0..domains);
        fleet.add_routes(1_400);
        let took = fleet.spread();
        assert!(took < BOUND * 2 / 3, "{took:?} with the readers of {domains} domains lost");
    }
}

/// Guards against a deployment that exceeds the bound as it grows.
#[test]
fn spread_grows_slowly_with_instances() {
    let mut fleet = Fleet::new(96);
    fleet.add_routes(4_200);
    let took = fleet.spread();
    assert!(took < BOUND * 2 / 3, "{took:?}");
    // The readers, and those that would replace them next while a large version arrives.
    let replacements = 8;
    let most = DOMAINS * (READERS + replacements);
    assert!(fleet.readers.len() <= most, "{} instances read", fleet.readers.len());
}
