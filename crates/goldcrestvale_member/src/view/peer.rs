//! An entry instance in the view, and its liveness.

use goldcrestvale_base::{domain, id::Incarnation, time::Instant};
use serde::Serialize;

use super::Timeouts;
use crate::{
    identity::{Identity, Seed},
    message::{MemberRecord, Status},
};

domain! {
    copy
    /// The liveness of an instance, as seen by this one.
    #[serde(rename_all = "kebab-case")]
    pub enum State {
        /// It is known by name only: no instance is known to have received a message from it.
        #[serde(rename = "named")]
        Discovered,
        /// This instance receives its heartbeats.
        Live,
        /// It missed heartbeats.
        Suspect,
        /// This instance receives nothing from it, but gossip reports that others do.
        #[serde(rename = "hearsay")]
        Indirect,
        /// It missed so many heartbeats that it counts as dead.
        Dead,
        /// It shut down with a goodbye.
        Gone,
    }
}

/// An entry instance in the view.
#[derive(Debug, Clone, Serialize)]
pub struct Peer {
    /// Name, failure domain and address.
    pub seed: Seed,
    /// The newest incarnation that is known.
    pub incarnation: Option<Incarnation>,
    /// Its liveness.
    pub state: State,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether a connection to it is open.
    pub linked: bool,
    /// Whether it has sent a heartbeat. On a new connection it first sends the leaving upstreams
    /// that it knows, so these have been received by then.
    #[serde(rename = "spoke")]
    pub heartbeat_received: bool,
    /// Status that it reported last.
    pub status: Status,
    /// When this instance last received a message from it.
    #[serde(rename = "direct")]
    pub last_direct: Option<Instant>,
    /// When any instance last received a message from it.
    #[serde(rename = "heard")]
    pub last_seen: Option<Instant>,
    /// When this instance first learned of it.
    #[serde(rename = "named")]
    pub discovered: Instant,
}

impl Peer {
    pub(super) fn new(now: Instant, seed: Seed) -> Self {
        Self {
            seed,
            incarnation: None,
            state: State::Discovered,
            listed: false,
            linked: false,
            heartbeat_received: false,
            status: Status::default(),
            last_direct: None,
            last_seen: None,
            discovered: now,
        }
    }

    /// Returns its identity, if its incarnation is known.
    pub fn identity(&self) -> Option<Identity> {
        Some(Identity {
            instance: self.seed.instance.clone(),
            incarnation: self.incarnation?,
            domain: self.seed.domain.clone(),
            address: self.seed.address,
        })
    }

    pub(super) fn record_contact(&mut self, now: Instant) {
        self.last_direct = Some(now);
        self.last_seen = Some(now);
    }

    /// Sets the state and returns whether it changed; `Gone` is final.
    pub(super) fn set_state(&mut self, state: State) -> bool {
        let changed = self.state != state && self.state != State::Gone;
        if changed {
            self.state = state;
        }
        changed
    }

    /// Returns the state that follows from the time since its last activity.
    pub(super) fn evaluate(&self, now: Instant, timeouts: &Timeouts) -> State {
        let Some(last_seen) = self.last_seen else { return State::Discovered };
        if let Some(direct) = self.last_direct {
            if now.since(direct) < timeouts.suspect {
                return State::Live;
            }
            if now.since(direct) < timeouts.dead {
                return State::Suspect;
            }
        }
        let is_newer = self.last_direct.is_none_or(|direct| last_seen > direct + timeouts.dead);
        let is_current = is_newer && now.since(last_seen) < timeouts.gossip_expiry;
        if is_current { State::Indirect } else { State::Dead }
    }

    pub(super) fn is_expired(&self, now: Instant, timeouts: &Timeouts) -> bool {
        let last_activity = self.last_seen.unwrap_or(self.discovered);
        !self.listed && !self.linked && now.since(last_activity) >= timeouts.forget
    }

    /// Returns whether a part of each limit must stay reserved for it.
    pub(super) fn is_counted(&self) -> bool {
        match self.state {
            State::Gone => false,
            State::Live | State::Suspect | State::Indirect => true,
            State::Discovered | State::Dead => self.listed,
        }
    }

    /// Returns its entry in gossip, if its incarnation is known and a message came from it.
    pub(crate) fn to_record(&self, now: Instant) -> Option<MemberRecord> {
        let age = now.since(self.last_seen?);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Some(MemberRecord { who: self.identity()?, age_ms, gone: self.state == State::Gone })
    }
}
