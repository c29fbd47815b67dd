//! What is known of the directory, and when this instance reads it.

use std::{
    collections::HashSet,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::time::Instant;
use goldcrestvale_member::read_schedule::{Pace, Position, ReadSchedule};
use tokio::sync::Notify;

use crate::{gateway::Gateway, listing::Listing, recent_reads::RecentReads};

/// Number of instances of a failure domain that read the configuration at the same time, so that a
/// change arrives in time although one of them is lost.
const CONFIGURATION_READERS: usize = 2;

/// Maximum number of records that cannot be decoded and are logged, each one once.
const MAX_LOGGED_RECORDS: usize = 64;

/// What is known of the directory, and when this instance reads it.
#[derive(Debug)]
pub(crate) struct DirectoryState {
    upstreams: Mutex<Upstreams>,
    configuration: Mutex<ReadSchedule>,
    /// Wakes up the task that reads the upstreams.
    pub(crate) upstreams_wakeup: Notify,
}

/// The reads of the upstreams.
#[derive(Debug, Default)]
pub(crate) struct Upstreams {
    pub(crate) schedule: ReadSchedule,
    pub(crate) listing: Listing,
    pub(crate) recent: RecentReads,
    /// Keys of the records that cannot be decoded and were logged.
    logged: HashSet<String>,
    /// Until when records that vanished may return.
    grace_until: Option<Instant>,
}

impl Default for DirectoryState {
    fn default() -> Self {
        Self {
            upstreams: Mutex::default(),
            configuration: Mutex::new(ReadSchedule::with_readers(CONFIGURATION_READERS)),
            upstreams_wakeup: Notify::new(),
        }
    }
}

impl DirectoryState {
    pub(crate) fn upstreams(&self) -> MutexGuard<'_, Upstreams> {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn configuration(&self) -> MutexGuard<'_, ReadSchedule> {
        self.configuration.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since this instance or a peer of its failure domain read the upstreams.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.upstreams().schedule.age(now)
    }

    /// Returns how long records that vanished may still take to return.
    pub(crate) fn grace(&self, now: Instant) -> Option<Duration> {
        self.upstreams().grace(now)
    }

    /// Returns whether the directory was read or a peer sent what it read, since the last failure.
    pub(crate) fn is_reached(&self) -> bool {
        !self.upstreams().schedule.is_failing()
    }
}

impl Upstreams {
    /// Returns whether a record that cannot be decoded is to be logged: not for each of its writes.
    pub(crate) fn may_log(&mut self, key: &str) -> bool {
        self.logged.len() < MAX_LOGGED_RECORDS && self.logged.insert(key.to_owned())
    }

    pub(crate) fn due<P>(&mut self, gateway: &Gateway<P>, pace: Pace) -> Instant {
        self.schedule.set_position(position(gateway));
        self.schedule.due(pace)
    }

    /// Starts the time in which records that vanished may return: upstreams whose records expired
    /// while the directory was unreachable register again.
    pub(crate) fn start_grace<P>(&mut self, gateway: &Gateway<P>) {
        self.grace_until = Some(gateway.now() + gateway.settings.directory.return_grace);
    }

    /// Starts that time, before an update is recorded, if the directory was out of reach.
    ///
    /// Failed reads between updates of peers do not show that: the directory may refuse this instance
    /// only, and the records of live upstreams do not expire then.
    pub(crate) fn start_grace_after_outage<P>(&mut self, gateway: &Gateway<P>) {
        let times = gateway.settings.directory;
        let is_failing = self.schedule.is_failing();
        let is_after_outage = self.schedule.age(gateway.now()).map_or(is_failing, |age| {
            age >= times.return_grace || (is_failing && age >= times.upstream_interval * 2)
        });
        if is_after_outage {
            self.start_grace(gateway);
        }
    }

    /// Returns how long records that vanished may still take to return.
    pub(crate) fn grace(&self, now: Instant) -> Option<Duration> {
        self.grace_until.filter(|until| *until > now).map(|until| until.since(now))
    }
}

/// Returns the place of this instance in its failure domain. Until a peer is known, another
/// instance is assumed to precede this one.
pub(crate) fn position<P>(gateway: &Gateway<P>) -> Position {
    let snapshot = gateway.peers.snapshot();
    match (&gateway.settings.peer, snapshot.position) {
        (Some(_), Some(position)) if snapshot.is_synced => position,
        (Some(_), _) => Position { rank: 1, members: 2 },
        (None, _) => Position { rank: 0, members: 1 },
    }
}

pub(crate) fn upstream_pace<P>(gateway: &Gateway<P>) -> Pace {
    let times = gateway.settings.directory;
    let interval =
        if gateway.is_degraded() { times.degraded_interval } else { times.upstream_interval };
    Pace { interval, update_interval: times.upstream_interval }
}
