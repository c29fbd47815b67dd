//! The view that an instance has of its cluster: which instances exist, and which are live.

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
    read_schedule::Position,
    settings::Settings,
};

/// Maximum number of instances in one gossip message.
pub const MAX_GOSSIPED: usize = 8;

/// Maximum number of tracked instances.
const MAX_INSTANCES: usize = 4_096;

/// Maximum number of ended incarnations that are remembered.
const MAX_ENDED: usize = 4_096;

/// Addresses of the peers that take requests which an instance cannot serve itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Relays {
    /// Peers of the own failure domain.
    pub near: Vec<SocketAddr>,
    /// Peers of other failure domains.
    pub far: Vec<SocketAddr>,
}

/// Notices that result from one event.
pub type Notices = SmallVec<[Notice; 2]>;

/// Times without activity after which the state of a peer changes.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Timeouts {
    /// Time after which a peer is suspected.
    pub suspect: Duration,
    /// Time after which a peer counts as dead.
    pub dead: Duration,
    /// Age from which gossip about an instance no longer counts as activity.
    #[serde(rename = "hearsay")]
    pub gossip_expiry: Duration,
    /// Time after which an instance that is not listed is removed.
    pub forget: Duration,
}

/// The membership view of one instance.
#[derive(Debug, Clone, Serialize)]
pub struct View {
    own: Identity,
    #[serde(rename = "silence")]
    timeouts: Timeouts,
    #[serde(skip)]
    fanout: Fanout,
    peers: IndexMap<Instance, Peer>,
    /// Incarnations that ended; gossip cannot bring one back.
    #[serde(skip)]
    ended: HashSet<Incarnation>,
    #[serde(skip)]
    ended_order: VecDeque<Incarnation>,
    /// Whether the platform's list has been read.
    listed: bool,
    targets: Targets,
    #[serde(skip)]
    stale: bool,
}

impl View {
    /// Creates a view without peers.
    pub fn new(settings: &Settings) -> Self {
        Self {
            own: settings.own.clone(),
            timeouts: Timeouts {
                suspect: settings.suspect_after(),
                dead: settings.dead_after(),
                gossip_expiry: settings.gossip_expires_after(),
                forget: settings.forget_after(),
            },
            fanout: Fanout { mesh: settings.mesh_links, cross_domain: settings.cross_domain_links },
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

    /// Returns whether a peer has sent a heartbeat, or no listed peer can be running.
    pub fn is_synced(&self) -> bool {
        let any_received = self.peers().any(|peer| peer.heartbeat_received);
        any_received || !self.peers().any(|peer| peer.listed && peer.state != State::Gone)
    }

    /// Returns whether this instance should be connected to a peer.
    pub fn is_target(&self, instance: &Instance) -> bool {
        self.targets.contains(instance)
    }

    /// Returns the connected peers.
    pub fn linked(&self) -> impl Iterator<Item = &Peer> {
        self.peers().filter(|peer| peer.linked)
    }

    /// Returns the number of instances that may use a part of a limit, this one included.
    ///
    /// An instance that does not respond counts while the platform lists it, since it may be
    /// partitioned and still serving. Until the list is read, the configured number is the minimum.
    pub fn instance_count(&self, configured: u32) -> u32 {
        let counted = 1 + self.peers().filter(|peer| peer.is_counted()).count();
        let counted = u32::try_from(counted).unwrap_or(u32::MAX);
        if self.listed { counted } else { counted.max(configured) }
    }

    /// Returns the lowest of the newest schema versions that this instance and its live peers
    /// support.
    pub fn min_schema(&self, own: u32) -> u32 {
        let live = self.peers().filter(|peer| peer.state == State::Live);
        live.map(|peer| peer.status.schema).fold(own, u32::min)
    }

    /// Returns whether a live peer reports that it is responsible for placing layers.
    pub fn has_placement_leader(&self) -> bool {
        self.peers().any(|peer| peer.state == State::Live && peer.status.leads)
    }

    /// Returns the addresses of the live, non-draining peers that take requests which this instance
    /// cannot serve itself, those of the own failure domain first.
    pub fn relays(&self) -> Relays {
        let mut relays = Relays::default();
        for peer in self.peers() {
            let Some(port) = peer.status.relay_port else { continue };
            if peer.state != State::Live || peer.status.draining || !peer.linked {
                continue;
            }
            let address = SocketAddr::new(peer.seed.address.ip(), port);
            match peer.seed.domain == self.own.domain {
                true => relays.near.push(address),
                false => relays.far.push(address),
            }
        }
        relays
    }

    /// Returns the number of live, non-draining peers that precede this instance by name.
    ///
    /// Peers known only through gossip do not count: gossip outlives an instance that was
    /// replaced, and then no instance would be the first.
    pub fn rank(&self) -> usize {
        let staying =
            self.peers().filter(|peer| peer.state == State::Live && !peer.status.draining);
        staying.filter(|peer| peer.seed.instance < self.own.instance).count()
    }

    /// Returns the place of this instance among the live, non-draining instances of its failure
    /// domain.
    pub fn position(&self) -> Position {
        let staying = self.peers().filter(|peer| {
            peer.state == State::Live
                && !peer.status.draining
                && peer.seed.domain == self.own.domain
        });
        let mut position = Position { rank: 0, members: 1 };
        for peer in staying {
            position.members += 1;
            position.rank += usize::from(peer.seed.instance < self.own.instance);
        }
        position
    }

    /// Applies the platform's list.
    pub fn apply_list(&mut self, now: Instant, seeds: &[Seed]) {
        self.listed = true;
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for seed in seeds.iter().filter(|seed| seed.instance != self.own.instance) {
            if self.has_capacity(&seed.instance) {
                self.stale |= !self.peers.contains_key(&seed.instance);
                let peer = self.peers.entry(seed.instance.clone());
                let peer = peer.or_insert_with(|| Peer::new(now, seed.clone()));
                peer.listed = true;
                // The list lags: the address that the instance itself reported is newer.
                if peer.incarnation.is_none() || peer.state == State::Gone {
                    self.stale |= peer.seed != *seed;
                    peer.seed = seed.clone();
                }
            }
        }
    }

    /// Records a connection to an identified peer; returns `None` if its incarnation has ended or
    /// the peer cannot be tracked.
    pub fn add_connection(&mut self, now: Instant, who: &Identity) -> Option<Notices> {
        let is_rejected =
            self.ended.contains(&who.incarnation) || who.instance == self.own.instance;
        if is_rejected || !self.has_capacity(&who.instance) {
            return None;
        }
        let mut notices = self.replace_incarnation(now, who);
        let peer = self.peers.get_mut(&who.instance)?;
        peer.linked = true;
        peer.seed = who.seed();
        peer.record_contact(now);
        if peer.set_state(State::Live) {
            self.stale = true;
            notices.push(Notice::Up(who.clone()));
        }
        Some(notices)
    }

    /// Records the end of a connection.
    pub fn remove_connection(&mut self, instance: &Instance, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(instance)
            && peer.incarnation == Some(incarnation)
        {
            peer.linked = false;
            // This instance will not reconnect, so only gossip reports its liveness from now on.
            if peer.seed.domain != self.own.domain && !self.targets.contains(instance) {
                peer.last_direct = None;
            }
        }
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Instant, from: &Instance, status: Status) -> Notices {
        let mut notices = Notices::new();
        let Some(peer) = self.peers.get_mut(from).filter(|peer| peer.linked) else {
            return notices;
        };
        peer.record_contact(now);
        peer.heartbeat_received = true;
        peer.status = status;
        if peer.set_state(State::Live) {
            self.stale = true;
            notices.extend(peer.identity().map(Notice::Up));
        }
        notices
    }

    /// Records that an incarnation of a peer ended, as announced by the peer itself.
    pub fn end_incarnation(&mut self, instance: &Instance, incarnation: Incarnation) -> Notices {
        let mut notices = Notices::new();
        if self.record_ended(incarnation)
            && let Some(peer) = self.peers.get_mut(instance)
            && peer.incarnation == Some(incarnation)
        {
            peer.set_state(State::Gone);
            self.stale = true;
            notices.push(Notice::Gone { instance: instance.clone(), incarnation });
        }
        notices
    }

    /// Merges a gossiped record of an instance into the view.
    pub fn merge(&mut self, now: Instant, record: &MemberRecord) -> Notices {
        let MemberRecord { who, age_ms, gone } = record;
        if *gone {
            return self.end_incarnation(&who.instance, who.incarnation);
        }
        let last_seen = now - Duration::from_millis(*age_ms);
        let is_outdated = self.ended.contains(&who.incarnation)
            || now.since(last_seen) > self.timeouts.gossip_expiry;
        if is_outdated || who.instance == self.own.instance || !self.has_capacity(&who.instance) {
            return Notices::new();
        }
        let is_newer = match self.peers.get(&who.instance) {
            Some(peer) => peer.last_seen.is_none_or(|known| last_seen > known),
            None => true,
        };
        if !is_newer {
            return Notices::new();
        }
        let notices = self.replace_incarnation(now, who);
        if let Some(peer) = self.peers.get_mut(&who.instance) {
            peer.last_seen = Some(last_seen);
            self.stale |= peer.seed != who.seed();
            peer.seed = who.seed();
        }
        notices
    }

    /// Updates the states for the time that has passed, and removes expired peers.
    pub fn sweep(&mut self, now: Instant) -> Notices {
        let timeouts = self.timeouts;
        let mut notices = Notices::new();
        for peer in self.peers.values_mut() {
            let state = peer.evaluate(now, &timeouts);
            if !peer.set_state(state) {
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
        self.peers.retain(|_, peer| !peer.is_expired(now, &timeouts));
        self.stale |= self.peers.len() != before;
        notices
    }

    /// Returns the peers that this instance should be connected to; recomputes them if needed.
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

    /// Returns the addresses of the targets that are not connected.
    pub fn unconnected_targets(&mut self) -> Vec<SocketAddr> {
        self.targets();
        let peers = self.targets.iter().filter_map(|target| self.peers.get(target));
        peers.filter(|peer| !peer.linked).map(|peer| peer.seed.address).collect()
    }

    /// Draws a random sample of the view for gossip.
    pub fn sample(&self, now: Instant, rng: &mut impl Rng) -> Vec<MemberRecord> {
        let mut records: Vec<MemberRecord> =
            self.peers().filter_map(|peer| peer.to_record(now)).collect();
        let count = MAX_GOSSIPED.min(records.len());
        for index in 0..count {
            let drawn = rng.random_range(index..records.len());
            records.swap(index, drawn);
        }
        records.truncate(count);
        records
    }

    fn has_capacity(&self, instance: &Instance) -> bool {
        self.peers.len() < MAX_INSTANCES || self.peers.contains_key(instance)
    }

    /// Replaces the known incarnation of an instance.
    fn replace_incarnation(&mut self, now: Instant, who: &Identity) -> Notices {
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
            if self.record_ended(old) {
                let instance = who.instance.clone();
                notices.push(Notice::Gone { instance, incarnation: old });
            }
        }
        notices
    }

    /// Records that an incarnation ended; returns whether that was unknown.
    fn record_ended(&mut self, incarnation: Incarnation) -> bool {
        let is_new = self.ended.insert(incarnation);
        if is_new {
            self.ended_order.push_back(incarnation);
        }
        if self.ended_order.len() > MAX_ENDED
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        is_new
    }
}
