//! One entry instance in a view.

use goldcrestvale_base::{domain, id::Incarnation, time::Instant};
use serde::Serialize;

use super::Timeouts;
use crate::{
    identity::{Identity, Seed},
    message::{MemberRecord, Status},
};

domain! {
    copy
    /// What is known about whether an instance is running.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// It was named, but nobody heard from it.
        #[serde(rename = "named")]
        Discovered,
        /// This instance hears from it.
        Live,
        /// It missed heartbeats.
        Suspect,
        /// Other instances hear from it.
        #[serde(rename = "hearsay")]
        Indirect,
        /// It missed so many heartbeats that it counts as dead.
        Dead,
        /// It said goodbye.
        Gone,
    }
}

/// One entry instance.
#[derive(Debug, Clone, Serialize)]
pub struct Peer {
    /// Name, failure domain and address.
    pub seed: Seed,
    /// The newest incarnation that is known.
    pub incarnation: Option<Incarnation>,
    /// Whether it is running.
    pub state: State,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether there is a connection.
    pub linked: bool,
    /// Whether it has sent a heartbeat, which comes after the upstreams that it knows to leave.
    pub spoke: bool,
    /// What it last said about itself.
    pub status: Status,
    /// When this instance last heard from it.
    pub direct: Option<Instant>,
    /// When any instance last heard from it.
    pub heard: Option<Instant>,
    /// When it was first named.
    pub named: Instant,
}

impl Peer {
    pub(super) fn new(now: Instant, seed: Seed) -> Self {
        Self {
            seed,
            incarnation: None,
            state: State::Discovered,
            listed: false,
            linked: false,
            spoke: false,
            status: Status::default(),
            direct: None,
            heard: None,
            named: now,
        }
    }

    /// Returns who it is, if its incarnation is known.
    pub fn identity(&self) -> Option<Identity> {
        Some(Identity {
            instance: self.seed.instance.clone(),
            incarnation: self.incarnation?,
            domain: self.seed.domain.clone(),
            address: self.seed.address,
        })
    }

    pub(super) fn hear(&mut self, now: Instant) {
        self.direct = Some(now);
        self.heard = Some(now);
    }

    /// Changes the state, and returns whether it was another; a goodbye stays.
    pub(super) fn enter(&mut self, state: State) -> bool {
        let changes = self.state != state && self.state != State::Gone;
        if changes {
            self.state = state;
        }
        changes
    }

    /// Works out the state from the silence so far.
    pub(super) fn assess(&self, now: Instant, timeouts: &Timeouts) -> State {
        let Some(heard) = self.heard else { return State::Discovered };
        if let Some(direct) = self.direct {
            if now.since(direct) < timeouts.suspect {
                return State::Live;
            }
            if now.since(direct) < timeouts.dead {
                return State::Suspect;
            }
        }
        let newer = self.direct.is_none_or(|direct| heard > direct + timeouts.dead);
        let counts = newer && now.since(heard) < timeouts.gossip_expiry;
        if counts { State::Indirect } else { State::Dead }
    }

    pub(super) fn is_forgotten(&self, now: Instant, timeouts: &Timeouts) -> bool {
        let last = self.heard.unwrap_or(self.named);
        !self.listed && !self.linked && now.since(last) >= timeouts.forget
    }

    /// Returns whether a part of each limit must be left to it.
    pub(super) fn is_counted(&self) -> bool {
        match self.state {
            State::Gone => false,
            State::Live | State::Suspect | State::Indirect => true,
            State::Discovered | State::Dead => self.listed,
        }
    }

    pub(super) fn known(&self, now: Instant) -> Option<MemberRecord> {
        let age = now.since(self.heard?);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Some(MemberRecord { who: self.identity()?, age_ms, gone: self.state == State::Gone })
    }
}
