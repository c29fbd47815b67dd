//! Which entry instances exist, and which of them are live.

mod peer;

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use goldcrestvale_base::{
    id::{Incarnation, Instance},
    time::Instant,
};
use indexmap::IndexMap;
use rand::Rng;
use serde::Serialize;
use smallvec::SmallVec;

pub use self::peer::{Peer, State};
use crate::{
    action::Notice,
    identity::{Identity, Seed},
    links::{self, Candidate, Fanout, Targets},
    message::{MemberRecord, Status},
    settings::Settings,
};

/// Most instances of one gossip message.
pub const MAX_GOSSIPED: usize = 8;

/// Most instances that are kept.
const MAX_INSTANCES: usize = 4_096;

/// Ended incarnations that are remembered.
const MAX_ENDED: usize = 4_096;

/// Notices of one step.
pub type Notices = SmallVec<[Notice; 2]>;

/// Silences after which the state of a peer changes.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Timeouts {
    /// A peer is suspected.
    pub suspect: Duration,
    /// A peer counts as dead.
    pub dead: Duration,
    /// Hearsay about an instance no longer counts.
    #[serde(rename = "hearsay")]
    pub gossip_expiry: Duration,
    /// An instance that is not listed is forgotten.
    pub forget: Duration,
}

/// The view of one instance.
#[derive(Debug, Clone, Serialize)]
pub struct View {
    own: Identity,
    #[serde(rename = "silence")]
    timeouts: Timeouts,
    #[serde(skip)]
    fanout: Fanout,
    peers: IndexMap<Instance, Peer>,
    /// Incarnations that ended; no hearsay brings one back.
    #[serde(skip)]
    ended: HashSet<Incarnation>,
    #[serde(skip)]
    ended_order: VecDeque<Incarnation>,
    /// Whether the platform's list was ever read.
    listed: bool,
    targets: Targets,
    #[serde(skip)]
    stale: bool,
}

impl View {
    /// Starts with no peer.
    pub fn new(settings: &Settings) -> Self {
        Self {
            own: settings.own.clone(),
            timeouts: Timeouts {
                suspect: settings.suspect_after(),
                dead: settings.dead_after(),
                gossip_expiry: settings.gossip_expires_after(),
                forget: settings.forget_after(),
            },
            fanout: Fanout { mesh: settings.mesh_links, outer: settings.cross_domain_links },
            peers: IndexMap::new(),
            ended: HashSet::new(),
            ended_order: VecDeque::new(),
            listed: false,
            targets: Targets::new(),
            stale: true,
        }
    }

    /// Returns the peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns one peer.
    pub fn peer(&self, instance: &Instance) -> Option<&Peer> {
        self.peers.get(instance)
    }

    /// Returns whether an incarnation is known to have ended.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.ended.contains(&incarnation)
    }

    /// Returns whether a peer was heard from, or none is known that could be running.
    pub fn is_synced(&self) -> bool {
        let heard = self.peers().any(|peer| peer.spoke);
        heard || !self.peers().any(|peer| peer.listed && peer.state != State::Gone)
    }

    /// Returns whether a connection to an instance is wanted.
    pub fn is_target(&self, instance: &Instance) -> bool {
        self.targets.contains(instance)
    }

    /// Returns the peers with a connection.
    pub fn linked(&self) -> impl Iterator<Item = &Peer> {
        self.peers().filter(|peer| peer.linked)
    }

    /// Returns how many instances may be using a part of a limit, this one included.
    ///
    /// A silent instance counts while the platform lists it, since it may be cut off and
    /// serving. Before the list was read, the configured number is the least.
    pub fn instance_count(&self, configured: u32) -> u32 {
        let counted = 1 + self.peers().filter(|peer| peer.is_counted()).count();
        let counted = u32::try_from(counted).unwrap_or(u32::MAX);
        if self.listed { counted } else { counted.max(configured) }
    }

    /// Returns the lowest schema version that this instance and its live peers read.
    pub fn min_schema(&self, own: u32) -> u32 {
        let live = self.peers().filter(|peer| peer.state == State::Live);
        live.map(|peer| peer.status.schema).fold(own, u32::min)
    }

    /// Returns whether a live peer says that it has the duty of placing layers.
    pub fn has_placement_leader(&self) -> bool {
        self.peers().any(|peer| peer.state == State::Live && peer.status.leads)
    }

    /// Returns how many instances that live and stay come before this one by name.
    ///
    /// Hearsay does not count: it outlives an instance that was replaced, and then nobody would be
    /// the first.
    pub fn rank(&self) -> usize {
        let staying =
            self.peers().filter(|peer| peer.state == State::Live && !peer.status.draining);
        staying.filter(|peer| peer.seed.instance < self.own.instance).count()
    }

    /// Takes the platform's list.
    pub fn list(&mut self, now: Instant, seeds: &[Seed]) {
        self.listed = true;
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for seed in seeds.iter().filter(|seed| seed.instance != self.own.instance) {
            if self.has_room(&seed.instance) {
                self.stale |= !self.peers.contains_key(&seed.instance);
                let peer = self.peers.entry(seed.instance.clone());
                let peer = peer.or_insert_with(|| Peer::new(now, seed.clone()));
                peer.listed = true;
                // The list lags: what the instance itself says about its address is newer.
                if peer.incarnation.is_none() || peer.state == State::Gone {
                    self.stale |= peer.seed != *seed;
                    peer.seed = seed.clone();
                }
            }
        }
    }

    /// Takes a connection on which a peer named itself; `None` if its incarnation has ended.
    pub fn meet(&mut self, now: Instant, who: &Identity) -> Option<Notices> {
        let refused = self.ended.contains(&who.incarnation) || who.instance == self.own.instance;
        if refused || !self.has_room(&who.instance) {
            return None;
        }
        let mut notices = self.replace(now, who);
        let peer = self.peers.get_mut(&who.instance)?;
        peer.linked = true;
        peer.seed = who.seed();
        peer.hear(now);
        if peer.enter(State::Live) {
            self.stale = true;
            notices.push(Notice::Up(who.clone()));
        }
        Some(notices)
    }

    /// Takes the end of a connection.
    pub fn part(&mut self, instance: &Instance, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(instance)
            && peer.incarnation == Some(incarnation)
        {
            peer.linked = false;
            // Nobody here keeps a connection to it, so that only hearsay tells how it is.
            if peer.seed.domain != self.own.domain && !self.targets.contains(instance) {
                peer.direct = None;
            }
        }
    }

    /// Takes a heartbeat.
    pub fn hear(&mut self, now: Instant, from: &Instance, status: Status) -> Notices {
        let mut notices = Notices::new();
        let Some(peer) = self.peers.get_mut(from).filter(|peer| peer.linked) else {
            return notices;
        };
        peer.hear(now);
        peer.spoke = true;
        peer.status = status;
        if peer.enter(State::Live) {
            self.stale = true;
            notices.extend(peer.identity().map(Notice::Up));
        }
        notices
    }

    /// Takes the end of a peer's incarnation, from the peer itself.
    pub fn end(&mut self, instance: &Instance, incarnation: Incarnation) -> Notices {
        let mut notices = Notices::new();
        if self.bury(incarnation)
            && let Some(peer) = self.peers.get_mut(instance)
            && peer.incarnation == Some(incarnation)
        {
            peer.enter(State::Gone);
            self.stale = true;
            notices.push(Notice::Gone { instance: instance.clone(), incarnation });
        }
        notices
    }

    /// Takes hearsay about an instance.
    pub fn learn(&mut self, now: Instant, known: &MemberRecord) -> Notices {
        let MemberRecord { who, age_ms, gone } = known;
        if *gone {
            return self.end(&who.instance, who.incarnation);
        }
        let heard = now - Duration::from_millis(*age_ms);
        let old =
            self.ended.contains(&who.incarnation) || now.since(heard) > self.timeouts.gossip_expiry;
        if old || who.instance == self.own.instance || !self.has_room(&who.instance) {
            return Notices::new();
        }
        let fresher = match self.peers.get(&who.instance) {
            Some(peer) => peer.heard.is_none_or(|known| heard > known),
            None => true,
        };
        if !fresher {
            return Notices::new();
        }
        let notices = self.replace(now, who);
        if let Some(peer) = self.peers.get_mut(&who.instance) {
            peer.heard = Some(heard);
            self.stale |= peer.seed != who.seed();
            peer.seed = who.seed();
        }
        notices
    }

    /// Lets time pass: suspects, declares dead, forgets.
    pub fn sweep(&mut self, now: Instant) -> Notices {
        let timeouts = self.timeouts;
        let mut notices = Notices::new();
        for peer in self.peers.values_mut() {
            let state = peer.assess(now, &timeouts);
            if !peer.enter(state) {
                continue;
            }
            self.stale = true;
            let instance = peer.seed.instance.clone();
            match state {
                State::Suspect => notices.push(Notice::Suspect(instance)),
                State::Dead => notices.push(Notice::Dead(instance)),
                _ => {}
            }
        }
        let before = self.peers.len();
        self.peers.retain(|_, peer| !peer.is_forgotten(now, &timeouts));
        self.stale |= self.peers.len() != before;
        notices
    }

    /// Returns the peers that this instance should be connected to.
    pub fn targets(&mut self) -> &Targets {
        if self.stale {
            self.stale = false;
            let running = self.peers.values().filter(|peer| peer.state != State::Gone);
            let candidates: Vec<_> = running
                .map(|peer| Candidate { seed: &peer.seed, dead: peer.state == State::Dead })
                .collect();
            self.targets = links::choose(&self.own.seed(), &candidates, self.fanout);
        }
        &self.targets
    }

    /// Returns the addresses of the peers that are wanted and not connected.
    pub fn wanted(&mut self) -> Vec<SocketAddr> {
        self.targets();
        let peers = self.targets.iter().filter_map(|target| self.peers.get(target));
        peers.filter(|peer| !peer.linked).map(|peer| peer.seed.address).collect()
    }

    /// Draws some instances to tell a peer about.
    pub fn gossip(&self, now: Instant, rng: &mut impl Rng) -> Vec<MemberRecord> {
        let mut known: Vec<MemberRecord> =
            self.peers().filter_map(|peer| peer.known(now)).collect();
        let some = MAX_GOSSIPED.min(known.len());
        for place in 0..some {
            let drawn = rng.random_range(place..known.len());
            known.swap(place, drawn);
        }
        known.truncate(some);
        known
    }

    fn has_room(&self, instance: &Instance) -> bool {
        self.peers.len() < MAX_INSTANCES || self.peers.contains_key(instance)
    }

    /// Puts an incarnation into the place of the one known so far.
    fn replace(&mut self, now: Instant, who: &Identity) -> Notices {
        let mut notices = Notices::new();
        self.stale |= !self.peers.contains_key(&who.instance);
        let peer = self.peers.entry(who.instance.clone());
        let peer = peer.or_insert_with(|| Peer::new(now, who.seed()));
        let old = peer.incarnation.replace(who.incarnation);
        if let Some(old) = old.filter(|&old| old != who.incarnation) {
            let listed = peer.listed;
            *peer = Peer { listed, ..Peer::new(now, who.seed()) };
            peer.incarnation = Some(who.incarnation);
            self.stale = true;
            if self.bury(old) {
                let instance = who.instance.clone();
                notices.push(Notice::Gone { instance, incarnation: old });
            }
        }
        notices
    }

    /// Remembers that an incarnation ended; returns whether that is news.
    fn bury(&mut self, incarnation: Incarnation) -> bool {
        let news = self.ended.insert(incarnation);
        if news {
            self.ended_order.push_back(incarnation);
        }
        if self.ended_order.len() > MAX_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        news
    }
}
