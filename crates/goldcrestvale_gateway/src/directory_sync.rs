//! Reads the directory and applies its changes to the shared state.

use std::{
    sync::{Arc, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use goldcrestvale_base::{id::Offset, time::Instant};
use goldcrestvale_member::read_schedule::{Pace, Position, ReadSchedule};
use goldcrestvale_peer::events::{Changes, Scope};
use log::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    directory_changes::{SentChange, encode, millis, record_effects},
    directory_state::{position, upstream_pace},
    gateway::Gateway,
    port::{Change, Error, List, Page, Port, Resource, Result},
};

/// Maximum time between two looks at the schedule of a resource, whose times change with messages
/// of the peers.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Label under which lists that did not reach all records are counted as failures.
const PARTIAL_LIST: &str = "partial list";

/// Part of the operator's bound for which a read of the configuration waits for a change. The other
/// instances of the failure domain notice after little more than that time that the reads ended.
const WAIT_PART: u32 = 5;

/// Pause after a read that found nothing and did not wait for it.
const EARLY_PAUSE: Duration = Duration::from_millis(100);

/// Follows the configuration until the token is cancelled.
pub(crate) async fn sync_configuration<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let wait = gateway.settings.directory.configuration_bound / WAIT_PART;
    let pace = Pace { interval: Duration::ZERO, update_interval: wait };
    let mut next = None;
    // Whether the records after the last list were dropped, and none was read since.
    let mut was_trimmed = false;
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
            Ok(List { page, .. }) => page,
            Err(Error::Trimmed { .. } | Error::Restored { .. }) => {
                next = None;
                if std::mem::replace(&mut was_trimmed, true) {
                    // What was listed is dropped before it can be read on from there.
                    let draw = gateway.random_unit();
                    gateway.directory.configuration().record_failure(gateway.now(), draw);
                }
                continue;
            }
            Err(_) => {
                let draw = gateway.random_unit();
                gateway.directory.configuration().record_failure(gateway.now(), draw);
                continue;
            }
        };
        was_trimmed &= next.is_none();
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
        if is_unreadable {
            // Another instance may be of a build that can read it.
            let draw = gateway.random_unit();
            gateway.directory.configuration().record_failure(gateway.now(), draw);
            continue;
        }
        gateway.directory.configuration().record_read(started, gateway.now());
        gateway.send_read().await;
        let is_early = is_empty && gateway.now().since(started) < EARLY_PAUSE;
        if is_early && stop.run_until_cancelled(tokio::time::sleep(EARLY_PAUSE)).await.is_none() {
            return;
        }
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
            Ok(List { page, is_partial }) => {
                record_unreadable(&gateway, &page);
                if is_partial {
                    gateway.directory.upstreams().start_grace(&gateway);
                }
                let changes = apply_read(&gateway, &page, from.is_none(), now);
                gateway.set_listed();
                if let Some(changes) = changes {
                    gateway.peers.send_changes(changes).await;
                }
            }
            // What is listed next is complete: the records of live upstreams have not expired.
            Err(Error::Trimmed { .. }) => gateway.directory.upstreams().listing.restart(),
            Err(Error::Restored { .. }) => {
                let mut upstreams = gateway.directory.upstreams();
                upstreams.listing.restart();
                upstreams.start_grace(&gateway);
            }
            Err(_) => {
                let draw = gateway.random_unit();
                gateway.directory.upstreams().schedule.record_failure(gateway.now(), draw);
                gateway.peers.request_list().await;
            }
        }
    }
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
) -> Result<List<Page>> {
    let (call, read) = match from {
        Some(from) => {
            let tail = gateway.port.tail(resource, from, wait).await;
            ("tail", tail.map(|page| List { page, is_partial: false }))
        }
        None => ("list", gateway.port.list(resource).await),
    };
    gateway.metrics.count_directory_read(call);
    match &read {
        Ok(List { is_partial: true, page }) => {
            gateway.metrics.count_directory_failure(PARTIAL_LIST);
            warn!(subject:? = resource, changes = page.changes.len(); "list of the directory is partial");
        }
        Ok(_) => {}
        Err(_) => gateway.metrics.count_directory_failure(call),
    }
    read.map(|list| List { page: list.page.newest(), ..list })
}

fn log_reachability(resource: Resource, read: &Result<List<Page>>, is_reachable: &mut bool) {
    match read {
        Ok(_) if !*is_reachable => info!(subject:? = resource; "directory is reached again"),
        Err(e) if *is_reachable => {
            warn!(subject:? = resource, error:% = e; "directory is out of reach");
        }
        _ => {}
    }
    *is_reachable = read.is_ok();
}

/// Logs and counts the records that cannot be decoded.
fn record_unreadable<P>(gateway: &Gateway<P>, page: &Page) {
    for change in &page.changes {
        let Change::Unreadable { key, detail } = change else { continue };
        gateway.metrics.count_unreadable();
        if gateway.directory.upstreams().may_log(key) {
            warn!(key = key.as_str(), detail = detail.as_str(); "record of an upstream cannot be read");
        }
    }
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
    upstreams.start_grace_after_outage(gateway);
    upstreams.schedule.record_read(started, now);
    let before = upstreams.listing.next();
    let effective = upstreams.listing.apply(page, is_list)?;
    let grace = upstreams.grace(now);
    gateway.update(|state| {
        let effects = match is_list {
            true => state.catalog.replace(page, now, grace),
            false => state.catalog.apply_page(page, now, grace),
        };
        record_effects(gateway, state, &effects);
        !effects.is_empty()
    });
    // The peers read their first list themselves.
    upstreams.recent.insert(before?, effective);
    let (from, changes) = upstreams.recent.changes();
    let sent: Vec<SentChange> = changes.into_iter().filter_map(SentChange::new).collect();
    Some(Changes {
        scope: Scope::Upstreams.into(),
        from: from?.0,
        next: page.next.0,
        grace_ms: millis(grace),
        bytes: if sent.is_empty() { Bytes::new() } else { encode(&sent)? },
    })
}
