//! Several members on virtual time, joined by links that delay, lose and break.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use goldcrestvale_base::{
    id::{Incarnation, Instance, Upstream},
    time::{Instant, Wall},
};
use goldcrestvale_member::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const MS: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);

pub struct Node {
    pub member: Member,
    pub identity: Identity,
    rng: ChaCha8Rng,
}

/// Takes a copy of what a node sends.
pub type Tap = Box<dyn FnMut(usize, &Message)>;

enum Delivery {
    /// The next tick of an incarnation.
    Tick(Incarnation),
    Event(Event),
    /// A message over a link, which must still be the same one.
    Message {
        from: usize,
        link: u64,
        message: Message,
    },
    Dial(SocketAddr),
}

/// Something that a node told its daemon.
#[derive(Debug, Clone)]
pub struct Told {
    pub at: Instant,
    pub node: usize,
    pub notice: Notice,
}

pub struct Cluster {
    pub now: Instant,
    pub nodes: Vec<Option<Node>>,
    pub told: Vec<Told>,
    /// Pairs of nodes, lower first, between which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Called for every message sent.
    pub sent: Tap,
    domains: Vec<String>,
    configure: fn(Settings) -> Settings,
    links: BTreeMap<(usize, usize), u64>,
    queue: BTreeMap<(Instant, u64), (usize, Delivery)>,
    number: u64,
    rng: ChaCha8Rng,
}

pub fn upstream(name: &str) -> Upstream {
    name.parse().unwrap()
}

pub fn mark(name: &str, incarnation: Option<&str>, source: Source, as_of: Instant) -> Mark {
    let as_of = wall(as_of);
    Mark { upstream: upstream(name), incarnation: incarnation.map(Into::into), source, as_of }
}

pub fn wall(now: Instant) -> Wall {
    Wall(now.0 / 1_000)
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Cluster {
    /// Starts one node for each named domain; they learn of each other by the platform's list.
    pub fn start(seed: u64, domains: &[&str], configure: fn(Settings) -> Settings) -> Self {
        let mut cluster = Self {
            now: Instant(1_000_000),
            nodes: Vec::new(),
            told: Vec::new(),
            cut: BTreeSet::new(),
            loss: 0.0,
            sent: Box::new(|_, _| {}),
            domains: domains.iter().map(|&domain| domain.to_owned()).collect(),
            configure,
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for place in 0..domains.len() {
            cluster.nodes.push(None);
            cluster.boot(place);
        }
        let listed: Vec<usize> = (0..domains.len()).collect();
        for place in 0..domains.len() {
            cluster.list(place, &listed);
        }
        cluster
    }

    pub fn name(&self, place: usize) -> Instance {
        format!("entry-{place:03}").parse().unwrap()
    }

    fn address(place: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, 0, 1], u16::try_from(place + 1).unwrap()))
    }

    /// Starts a process in a place, with a new incarnation.
    pub fn boot(&mut self, place: usize) {
        let identity = Identity {
            instance: self.name(place),
            incarnation: Incarnation::random(&mut self.rng),
            domain: self.domains[place].parse().unwrap(),
            address: Self::address(place),
        };
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        let count = u32::try_from(self.domains.len()).unwrap();
        let settings = (self.configure)(Settings::new(identity.clone()).instances(count));
        self.links.retain(|&(a, b), _| a != place && b != place);
        let member = Member::new(settings);
        let first = MS * self.rng.random_range(0..250);
        self.after(first, place, Delivery::Tick(identity.incarnation));
        self.nodes[place] = Some(Node { member, identity, rng });
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, place: usize) {
        self.nodes[place] = None;
    }

    /// Ends a process that says goodbye.
    pub fn stop(&mut self, place: usize) {
        self.feed(place, Event::Stop);
        self.nodes[place] = None;
    }

    /// Lets a node read the platform's list.
    pub fn list(&mut self, place: usize, listed: &[usize]) {
        let seed = |&other: &usize| Seed {
            instance: self.name(other),
            domain: self.domains[other].parse().unwrap(),
            address: Self::address(other),
        };
        let seeds = listed.iter().map(seed).collect();
        self.feed(place, Event::Listed(seeds));
    }

    /// Cuts a group of nodes off from the others.
    pub fn cut_off(&mut self, group: &[usize]) {
        for &inside in group {
            let outside = (0..self.nodes.len()).filter(|place| !group.contains(place));
            self.cut.extend(outside.map(|place| pair(inside, place)));
        }
    }

    pub fn node(&self, place: usize) -> &Member {
        &self.nodes[place].as_ref().unwrap().member
    }

    pub fn alive(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes.len()).filter(|&place| self.nodes[place].is_some())
    }

    pub fn is_leaving(&self, place: usize, name: &str) -> bool {
        self.node(place).leaving().contains(&upstream(name))
    }

    pub fn state(&self, place: usize, of: usize) -> Option<goldcrestvale_member::view::State> {
        self.node(place).view().peer(&self.name(of)).map(|peer| peer.state)
    }

    pub fn links_of(&self, place: usize) -> usize {
        self.node(place).view().linked().count()
    }

    /// Feeds an event to a node now.
    pub fn feed(&mut self, place: usize, event: Event) {
        let Some(node) = &mut self.nodes[place] else { return };
        for action in node.member.handle(self.now, event, &mut node.rng) {
            self.act(place, action);
        }
    }

    /// Runs until a time has passed.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(next) = self.queue.first_entry().filter(|next| next.key().0 <= end) {
            let ((at, _), (place, delivery)) = next.remove_entry();
            self.now = at;
            self.deliver(place, delivery);
        }
        self.now = end;
    }

    /// Runs until something holds, and returns the time that took.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(self.now.since(start) < limit, "does not hold after {limit:?}");
            self.run(10 * MS);
        }
        self.now.since(start)
    }

    fn tick(&mut self, place: usize, incarnation: Incarnation) {
        let lives = |node: &&Node| node.identity.incarnation == incarnation;
        if let Some(node) = self.nodes[place].as_ref().filter(lives) {
            let pause = node.member.tick_interval();
            self.after(pause, place, Delivery::Tick(incarnation));
            self.feed(place, Event::Tick);
        }
    }

    fn later(&mut self, place: usize, delivery: Delivery) {
        let delay = MS / 10 * self.rng.random_range(2..10);
        self.after(delay, place, delivery);
    }

    fn after(&mut self, delay: Duration, place: usize, delivery: Delivery) {
        self.number += 1;
        self.queue.insert((self.now + delay, self.number), (place, delivery));
    }

    fn place_of(&self, name: &Instance) -> usize {
        name.as_str()["entry-".len()..].parse().unwrap()
    }

    fn act(&mut self, place: usize, action: Action) {
        match action {
            Action::Connect(address) => self.later(place, Delivery::Dial(address)),
            Action::Close(instance) => {
                let other = self.place_of(&instance);
                self.break_link(place, other);
            }
            Action::Send { to, message } => {
                (self.sent)(place, &message);
                let to = self.place_of(&to);
                let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
                if let Some(&link) = self.links.get(&pair(place, to)).filter(|_| !lost) {
                    self.later(to, Delivery::Message { from: place, link, message });
                }
            }
            Action::Notify(notice) => self.told.push(Told { at: self.now, node: place, notice }),
        }
    }

    /// Lets one side close its connection; the other side learns of it unless it is cut off.
    fn break_link(&mut self, a: usize, b: usize) {
        let held = self.links.remove(&pair(a, b)).is_some();
        for (place, other) in [(a, b), (b, a)] {
            if place == b && (!held || self.cut.contains(&pair(a, b))) {
                continue;
            }
            if let Some(node) = &self.nodes[other] {
                let Identity { instance, incarnation, .. } = node.identity.clone();
                let ended = Event::Disconnected { instance, incarnation };
                self.after(MS / 2, place, Delivery::Event(ended));
            }
        }
    }

    fn deliver(&mut self, place: usize, delivery: Delivery) {
        match delivery {
            Delivery::Tick(incarnation) => self.tick(place, incarnation),
            Delivery::Event(event) => self.feed(place, event),
            Delivery::Message { from, link, message } => {
                let ends = pair(from, place);
                let holds = self.links.get(&ends) == Some(&link) && !self.cut.contains(&ends);
                if holds {
                    let from = self.name(from);
                    self.feed(place, Event::Received { from, message });
                }
            }
            Delivery::Dial(address) => self.dial(place, address),
        }
    }

    fn dial(&mut self, place: usize, address: SocketAddr) {
        let other = usize::from(address.port()) - 1;
        let ends = pair(place, other);
        let there =
            self.nodes.get(other).and_then(Option::as_ref).map(|node| node.identity.clone());
        match there.filter(|_| !self.cut.contains(&ends)) {
            Some(there) => {
                self.number += 1;
                self.links.insert(ends, self.number);
                let here = self.nodes[place].as_ref().map(|node| node.identity.clone());
                if let Some(here) = here {
                    self.feed(other, Event::Connected(here));
                    self.feed(place, Event::Connected(there));
                }
            }
            None => self.after(100 * MS, place, Delivery::Event(Event::DialFailed(address))),
        }
    }
}
