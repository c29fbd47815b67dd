//! What is known of the directory, and when this instance reads it.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{id::Offset, time::Instant};
use goldcrestvale_member::read_schedule::{Pace, Position, ReadSchedule};
use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::{directory_news::SentChange, gateway::Gateway, listing::Listing, port::Change};

/// Number of reads whose changes a message to the peers contains, so that the next message makes up
/// for a lost one.
const SENT_READS: usize = 4;

/// What is known of the directory, and when this instance reads it.
#[derive(Debug, Default)]
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
    /// Changes of the last reads, with the offset from which each was read.
    recent: VecDeque<(Offset, Vec<SentChange>)>,
    /// Until when records that vanished may return.
    grace_until: Option<Instant>,
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

    /// Returns whether the directory was read or a peer sent what it read, since the last failure.
    pub(crate) fn is_reached(&self) -> bool {
        !self.upstreams().schedule.is_failing()
    }
}

impl Upstreams {
    pub(crate) fn due<P>(&mut self, gateway: &Gateway<P>, pace: Pace) -> Instant {
        self.schedule.set_position(position(gateway));
        self.schedule.due(pace)
    }

    /// Remembers the changes of a read that began at an offset.
    pub(crate) fn remember(&mut self, from: Offset, changes: &[Change]) {
        let sent = changes.iter().cloned().filter_map(SentChange::new).collect();
        self.recent.push_back((from, sent));
        if self.recent.len() > SENT_READS {
            self.recent.pop_front();
        }
    }

    /// Returns the last change of each key in the last reads, and the offset of the first of them.
    pub(crate) fn recent_changes(&self) -> (Option<Offset>, Vec<SentChange>) {
        let mut newest: IndexMap<&str, &SentChange> = IndexMap::new();
        for change in self.recent.iter().flat_map(|(_, changes)| changes) {
            newest.insert(change.key(), change);
        }
        let from = self.recent.front().map(|(from, _)| *from);
        (from, newest.into_values().cloned().collect())
    }

    /// Starts the time in which records that vanished may return: upstreams whose records expired
    /// while the directory was unreachable register again.
    pub(crate) fn start_grace<P>(&mut self, gateway: &Gateway<P>) {
        self.grace_until = Some(gateway.now() + gateway.settings.directory.return_grace);
    }

    /// Returns how long records that vanished may still take to return.
    pub(crate) fn grace(&self, now: Instant) -> Option<Duration> {
        self.grace_until.filter(|until| *until > now).map(|until| until.since(now))
    }
}

/// Returns the place of this instance in its failure domain. Until a peer is known, another instance
/// is assumed to precede this one.
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
    Pace { interval, news_interval: times.upstream_interval }
}
