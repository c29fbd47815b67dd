//! Reads the directory, applies its changes to the shared state, and exchanges them with the peers.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use goldcrestvale_base::{
    id::{Instance, Offset},
    time::Instant,
};
use goldcrestvale_member::read_schedule::{Pace, Position, ReadSchedule};
use goldcrestvale_peer::events::{Changes, Scope};
use indexmap::IndexMap;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    catalog::CatalogChange,
    gateway::Gateway,
    listing::Listing,
    port::{Change, Error, Page, Port, Registration, Resource, Result},
};

/// Maximum time between two looks at the schedule of a resource, whose times change with messages
/// of the peers.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Number of reads whose changes a message to the peers contains, so that the next message makes up
/// for a lost one.
const SENT_READS: usize = 4;

/// How long the layers that an engine reported take precedence over its record in the directory:
/// more than two heartbeats of an engine.
const AMENDMENT_HOLD: Duration = Duration::from_millis(3_000);

/// What is known of the directory, and when this instance reads it.
#[derive(Debug, Default)]
pub(crate) struct DirectoryState {
    upstreams: Mutex<Upstreams>,
    configuration: Mutex<ReadSchedule>,
    /// Wakes up the task that reads the upstreams.
    upstreams_wakeup: Notify,
}

#[derive(Debug, Default)]
struct Upstreams {
    schedule: ReadSchedule,
    listing: Listing,
    /// Changes of the last reads, with the offset from which each was read.
    recent: VecDeque<(Offset, Vec<SentChange>)>,
    /// Until when records that vanished may return.
    grace_until: Option<Instant>,
}

/// A change of an upstream as the instances send it to each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum SentChange {
    Registered(Registration),
    Gone(String),
}

impl SentChange {
    fn new(change: Change) -> Option<Self> {
        match change {
            Change::Registered(registration) => Some(Self::Registered(registration)),
            Change::Gone(key) | Change::Unreadable { key, .. } => Some(Self::Gone(key)),
            Change::Configuration(_) => None,
        }
    }

    fn key(&self) -> &str {
        match self {
            Self::Registered(registration) => registration.upstream.as_str(),
            Self::Gone(key) => key,
        }
    }
}

impl DirectoryState {
    fn upstreams(&self) -> MutexGuard<'_, Upstreams> {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn configuration(&self) -> MutexGuard<'_, ReadSchedule> {
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

/// Follows the configuration until the token is cancelled.
pub(crate) async fn sync_configuration<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let wait = gateway.settings.directory.configuration_wait;
    let pace = Pace { interval: Duration::ZERO, news_interval: wait };
    let mut next = None;
    let mut is_reachable = true;
    let mut is_unreadable = false;
    loop {
        let schedule = || gateway.directory.configuration();
        if stop.run_until_cancelled(wait_until_due(&gateway, schedule, pace)).await.is_none() {
            return;
        }
        let started = gateway.now();
        let read = read_page(&gateway, Resource::Configuration, next, wait);
        let Some(read) = stop.run_until_cancelled(read).await else { return };
        log_reachability(Resource::Configuration, &read, &mut is_reachable);
        let page = match read {
            Ok(page) => page,
            Err(e) => {
                if matches!(e, Error::Trimmed { .. }) {
                    next = None;
                }
                let draw = gateway.random_unit();
                gateway.directory.configuration().record_failure(gateway.now(), draw);
                continue;
            }
        };
        next = Some(page.next);
        let is_empty = page.changes.is_empty();
        for change in page.changes {
            match change {
                Change::Configuration(configuration) => {
                    is_unreadable = false;
                    gateway.configure(*configuration);
                }
                Change::Unreadable { key, detail } if !is_unreadable => {
                    is_unreadable = true;
                    warn!(key = key.as_str(), detail = detail.as_str(); "configuration cannot be read");
                }
                _ => {}
            }
        }
        if is_empty && !gateway.is_configured() {
            // The first configuration is not written yet: list again instead of reading changes.
            next = None;
            let draw = gateway.random_unit();
            gateway.directory.configuration().record_failure(gateway.now(), draw);
            continue;
        }
        gateway.directory.configuration().record_read(started, gateway.now());
        let news = Changes { scope: Scope::Configuration.into(), ..Changes::default() };
        gateway.peers.send_changes(news).await;
    }
}

/// Follows the upstreams until the token is cancelled.
pub(crate) async fn sync_upstreams<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let mut is_reachable = true;
    let mut is_reader = None;
    loop {
        let pace = upstream_pace(&gateway);
        let wakeup = gateway.directory.upstreams_wakeup.notified();
        let due = {
            let mut upstreams = gateway.directory.upstreams();
            let due = upstreams.due(&gateway, pace);
            let reads = upstreams.schedule.is_reader();
            if is_reader.replace(reads) != Some(reads) {
                let Position { rank, members } = position(&gateway);
                info!(reads, rank, members; "reader of the directory");
            }
            due
        };
        let now = gateway.now();
        if due > now {
            let sleep = tokio::time::timeout(due.since(now).min(MAX_SLEEP), wakeup);
            if stop.run_until_cancelled(sleep).await.is_none() {
                return;
            }
            continue;
        }
        let from = gateway.directory.upstreams().listing.read_from();
        let read = read_page(&gateway, Resource::Upstreams, from, Duration::ZERO);
        let Some(read) = stop.run_until_cancelled(read).await else { return };
        log_reachability(Resource::Upstreams, &read, &mut is_reachable);
        match read {
            Ok(page) => {
                let changes = apply_read(&gateway, &page, from.is_none(), now);
                gateway.set_listed();
                if let Some(changes) = changes {
                    gateway.peers.send_changes(changes).await;
                }
            }
            Err(e) => {
                {
                    let mut upstreams = gateway.directory.upstreams();
                    if matches!(e, Error::Trimmed { .. }) {
                        upstreams.listing.restart();
                    }
                    upstreams.schedule.record_failure(gateway.now(), gateway.random_unit());
                }
                gateway.peers.request_list().await;
            }
        }
    }
}

/// Sends the layers of an upstream, which are newer than its record in the directory, to the peers
/// while the directory is unreachable.
pub(crate) async fn send_amendment<P>(
    gateway: &Gateway<P>,
    upstream: &goldcrestvale_base::id::Upstream,
) {
    if gateway.is_directory_reached() {
        return;
    }
    let registration = gateway.read_state(|state| state.catalog.get(upstream).cloned());
    if let Some(registration) = registration {
        send_amendments(gateway, vec![registration]).await;
    }
}

/// Sends registrations that are newer than their records in the directory to the peers.
pub(crate) async fn send_amendments<P>(gateway: &Gateway<P>, registrations: Vec<Registration>) {
    let changes: Vec<SentChange> = registrations.into_iter().map(SentChange::Registered).collect();
    let Some(bytes) = encode(&changes) else { return };
    let changes = Changes { scope: Scope::Amendments.into(), bytes, ..Changes::default() };
    gateway.peers.send_changes(changes).await;
}

/// Handles changes that a peer of the own failure domain read.
pub(crate) fn handle_changes<P>(gateway: &Gateway<P>, from: &Instance, changes: &Changes) {
    let now = gateway.now();
    let precedes = *from < gateway.settings.name;
    match changes.scope() {
        Scope::Configuration => gateway.directory.configuration().record_news(now, precedes),
        Scope::Amendments => {
            let Some(sent) = decode(from, &changes.bytes) else { return };
            let registrations: Vec<Registration> = sent
                .into_iter()
                .filter_map(|change| match change {
                    SentChange::Registered(registration) => Some(registration),
                    SentChange::Gone(_) => None,
                })
                .collect();
            gateway.update(|state| !state.catalog.merge(&registrations, now).is_empty());
        }
        Scope::Upstreams => {
            let Some(sent) = decode(from, &changes.bytes) else { return };
            handle_upstreams(gateway, changes, sent, precedes);
        }
    }
}

fn handle_upstreams<P>(
    gateway: &Gateway<P>,
    changes: &Changes,
    sent: Vec<SentChange>,
    precedes: bool,
) {
    let now = gateway.now();
    let mut upstreams = gateway.directory.upstreams();
    let Some(own) = upstreams.listing.next() else { return };
    if Offset(changes.from) > own {
        let draw = gateway.random_unit();
        let pace = upstream_pace(gateway);
        upstreams.schedule.record_gap(now, pace, draw);
        gateway.directory.upstreams_wakeup.notify_one();
        return;
    }
    upstreams.schedule.record_news(now, precedes);
    let page = Page {
        changes: sent
            .into_iter()
            .map(|change| match change {
                SentChange::Registered(registration) => Change::Registered(registration),
                SentChange::Gone(key) => Change::Gone(key),
            })
            .collect(),
        next: Offset(changes.next),
    };
    let Some(applied) = upstreams.listing.apply(&page, false) else { return };
    upstreams.remember(own, &applied);
    let grace = Duration::from_millis(changes.grace_ms.into());
    let grace = upstreams.grace(now).max((!grace.is_zero()).then_some(grace));
    let listing = &upstreams.listing;
    gateway.update(|state| {
        let changes = applied.iter();
        let mut effects: Vec<CatalogChange> =
            changes.filter_map(|change| state.catalog.apply(change, now, grace)).collect();
        effects.extend(state.catalog.revert_amendments(
            |key| listing.get(key),
            AMENDMENT_HOLD,
            now,
        ));
        record_effects(gateway, state, &effects);
        !effects.is_empty()
    });
}

impl Upstreams {
    fn due<P>(&mut self, gateway: &Gateway<P>, pace: Pace) -> Instant {
        self.schedule.set_position(position(gateway));
        self.schedule.due(pace)
    }

    /// Remembers the changes of a read that began at an offset.
    fn remember(&mut self, from: Offset, changes: &[Change]) {
        let sent = changes.iter().cloned().filter_map(SentChange::new).collect();
        self.recent.push_back((from, sent));
        if self.recent.len() > SENT_READS {
            self.recent.pop_front();
        }
    }

    /// Returns the last change of each key in the last reads, and the offset of the first of them.
    fn recent_changes(&self) -> (Option<Offset>, Vec<SentChange>) {
        let mut newest: IndexMap<&str, &SentChange> = IndexMap::new();
        for change in self.recent.iter().flat_map(|(_, changes)| changes) {
            newest.insert(change.key(), change);
        }
        let from = self.recent.front().map(|(from, _)| *from);
        (from, newest.into_values().cloned().collect())
    }

    /// Returns how long records that vanished may still take to return.
    fn grace(&self, now: Instant) -> Option<Duration> {
        self.grace_until.filter(|until| *until > now).map(|until| until.since(now))
    }
}

/// Returns the place of this instance in its failure domain. Until a peer is known, another instance
/// is assumed to precede this one.
fn position<P>(gateway: &Gateway<P>) -> Position {
    let snapshot = gateway.peers.snapshot();
    match (&gateway.settings.peer, snapshot.position) {
        (Some(_), Some(position)) if snapshot.is_synced => position,
        (Some(_), _) => Position { rank: 1, members: 2 },
        (None, _) => Position { rank: 0, members: 1 },
    }
}

fn upstream_pace<P>(gateway: &Gateway<P>) -> Pace {
    let times = gateway.settings.directory;
    let interval =
        if gateway.is_degraded() { times.degraded_interval } else { times.upstream_interval };
    Pace { interval, news_interval: times.upstream_interval }
}

/// Waits until a read of the configuration is due.
async fn wait_until_due<'s, P>(
    gateway: &Gateway<P>,
    schedule: impl Fn() -> MutexGuard<'s, ReadSchedule>,
    pace: Pace,
) {
    loop {
        let now = gateway.now();
        let due = {
            let mut schedule = schedule();
            schedule.set_position(position(gateway));
            schedule.due(pace)
        };
        if due <= now {
            return;
        }
        tokio::time::sleep(due.since(now).min(MAX_SLEEP)).await;
    }
}

/// Reads the changes from an offset on, or lists all records.
async fn read_page<P: Port>(
    gateway: &Gateway<P>,
    resource: Resource,
    from: Option<Offset>,
    wait: Duration,
) -> Result<Page> {
    let (call, read) = match from {
        Some(from) => ("tail", gateway.port.tail(resource, from, wait).await),
        None => ("list", gateway.port.list(resource).await),
    };
    gateway.metrics.count_directory_read(call);
    if read.is_err() {
        gateway.metrics.count_directory_failure(call);
    }
    read
}

fn log_reachability(resource: Resource, read: &Result<Page>, is_reachable: &mut bool) {
    match read {
        Ok(_) if !*is_reachable => info!(subject:? = resource; "directory is reached again"),
        Err(e) if *is_reachable => {
            warn!(subject:? = resource, error:% = e; "directory is out of reach");
        }
        _ => {}
    }
    *is_reachable = read.is_ok();
}

/// Applies a page that this instance read; returns what the peers need to apply it as well.
fn apply_read<P>(
    gateway: &Gateway<P>,
    page: &Page,
    is_list: bool,
    started: Instant,
) -> Option<Changes> {
    let now = gateway.now();
    let mut upstreams = gateway.directory.upstreams();
    let return_grace = gateway.settings.directory.return_grace;
    if upstreams.schedule.is_failing() || upstreams.schedule.is_older_than(return_grace, now) {
        // Upstreams that vanished while the directory was unreachable may register again.
        upstreams.grace_until = Some(now + return_grace);
    }
    upstreams.schedule.record_read(started, now);
    let before = upstreams.listing.next();
    let effective = upstreams.listing.apply(page, is_list)?;
    let grace = upstreams.grace(now);
    gateway.update(|state| {
        let effects = match is_list {
            true => state.catalog.replace(&page.changes, now, grace),
            false => {
                let page_changes = page.changes.iter();
                page_changes.filter_map(|change| state.catalog.apply(change, now, grace)).collect()
            }
        };
        record_effects(gateway, state, &effects);
        !effects.is_empty()
    });
    // The peers read their first list themselves.
    upstreams.remember(before?, &effective);
    let (from, sent) = upstreams.recent_changes();
    Some(Changes {
        scope: Scope::Upstreams.into(),
        from: from?.0,
        next: page.next.0,
        grace_ms: grace.map_or(0, |grace| u32::try_from(grace.as_millis()).unwrap_or(u32::MAX)),
        bytes: if sent.is_empty() { Bytes::new() } else { encode(&sent)? },
    })
}

/// Logs the changes of the catalog and applies what follows from them.
fn record_effects<P>(
    gateway: &Gateway<P>,
    state: &mut crate::upstream_state::UpstreamState,
    effects: &[CatalogChange],
) {
    for change in effects {
        match change {
            CatalogChange::Joined(upstream) => {
                state.reset(upstream);
                info!(upstream:% = upstream; "upstream joined");
            }
            CatalogChange::Leaving(upstream) => {
                info!(upstream:% = upstream; "upstream is leaving");
                if let Some(registration) = state.catalog.get(upstream) {
                    gateway.peers.send_leaving(registration, gateway.clock.wall());
                }
            }
            CatalogChange::Gone(upstream) => info!(upstream:% = upstream; "upstream is gone"),
            CatalogChange::Changed(_) => {}
        }
    }
}

fn encode(changes: &[SentChange]) -> Option<Bytes> {
    match serde_json::to_vec(changes) {
        Ok(bytes) => Some(bytes.into()),
        Err(e) => {
            warn!(error:% = e; "changes of the directory cannot be serialized");
            None
        }
    }
}

fn decode(from: &Instance, bytes: &Bytes) -> Option<Vec<SentChange>> {
    if bytes.is_empty() {
        return Some(Vec::new());
    }
    match serde_json::from_slice(bytes) {
        Ok(changes) => Some(changes),
        Err(e) => {
            warn!(instance:% = from, error:% = e; "a peer's changes are malformed");
            None
        }
    }
}
