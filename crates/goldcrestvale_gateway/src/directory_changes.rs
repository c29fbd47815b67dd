//! Changes of the directory as the instances of a failure domain send them to each other.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestvale_base::{
    id::{Instance, Offset, Upstream},
    lenient::{self, Entry},
};
use goldcrestvale_member::leaving::Source;
use goldcrestvale_peer::events::{Changes, List, Scope};
use log::{info, warn};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    catalog::CatalogChange,
    directory_state::upstream_pace,
    gateway::Gateway,
    listing::Listing,
    port::{Change, Page, Port, Presence},
    upstream_state::UpstreamState,
};

/// How long the layers that an engine reported take precedence over its record in the directory:
/// more than two heartbeats of an engine.
const AMENDMENT_HOLD: Duration = Duration::from_millis(3_000);

/// A change of an upstream as the instances send it to each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum SentChange {
    Registered(Presence),
    Gone(String),
}

impl SentChange {
    pub(crate) fn new(change: Change) -> Option<Self> {
        match change {
            // The message names the offset of all its changes.
            Change::Registered(registration) => {
                Some(Self::Registered(Presence { registration, listed_to: Offset(0) }))
            }
            Change::Gone(key) | Change::Unreadable { key, .. } => Some(Self::Gone(key)),
            Change::Configuration(_) => None,
        }
    }
}

/// Sends the layers of an upstream, which are newer than its record in the directory, to the peers
/// while the directory is unreachable.
pub(crate) async fn send_amendment<P>(gateway: &Gateway<P>, upstream: &Upstream) {
    if gateway.is_directory_reached() {
        return;
    }
    let presence = gateway.read_state(|state| state.catalog.presence(upstream));
    if let Some(presence) = presence {
        send_amendments(gateway, vec![presence]).await;
    }
}

/// Sends registrations that are newer than their records in the directory to the peers.
pub(crate) async fn send_amendments<P>(gateway: &Gateway<P>, presences: Vec<Presence>) {
    let changes: Vec<SentChange> = presences.into_iter().map(SentChange::Registered).collect();
    let Some(bytes) = encode(&changes) else { return };
    let changes = Changes { scope: Scope::Amendments.into(), bytes, ..Changes::default() };
    gateway.peers.send_changes(changes).await;
}

/// Handles changes that a peer of the own failure domain read.
pub(crate) fn handle_changes<P: Port>(
    gateway: &Arc<Gateway<P>>,
    from: &Instance,
    changes: &Changes,
) {
    let now = gateway.now();
    let precedes = *from < gateway.settings.name;
    match changes.scope() {
        Scope::Configuration => gateway.handle_read(from, changes.next),
        Scope::Amendments => {
            let Some(sent) = decode_changes(from, &changes.bytes) else { return };
            let presences: Vec<Presence> = sent
                .decoded
                .into_iter()
                .filter_map(|change| match change {
                    SentChange::Registered(presence) => Some(presence),
                    SentChange::Gone(_) => None,
                })
                .collect();
            gateway.update(|state| {
                let effects = state.catalog.merge(&presences, now);
                mark_leaving(gateway, state, &effects);
                !effects.is_empty()
            });
        }
        Scope::Upstreams => {
            let Some(sent) = decode_changes(from, &changes.bytes) else { return };
            handle_upstreams(gateway, changes, sent, precedes);
        }
    }
}

fn handle_upstreams<P>(
    gateway: &Gateway<P>,
    changes: &Changes,
    sent: Received<SentChange>,
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
    upstreams.start_grace_after_outage(gateway);
    upstreams.schedule.record_update(now, precedes);
    let page = Page {
        changes: sent
            .decoded
            .into_iter()
            .map(|change| match change {
                SentChange::Registered(presence) => Change::Registered(presence.registration),
                SentChange::Gone(key) => Change::Gone(key),
            })
            .collect(),
        next: Offset(changes.next),
    };
    // Without a grace period of its own, the sender knows that what vanished is gone.
    let sent_grace = Duration::from_millis(changes.grace_ms.into());
    let grace = upstreams.grace(now).filter(|_| !sent_grace.is_zero());
    let grace = grace.map(|own| own.min(sent_grace));
    let applied = upstreams.listing.apply(&page, false);
    if let Some(applied) = &applied {
        upstreams.recent.insert(own, applied.clone());
    }
    if !sent.is_whole {
        // The directory has what could not be decoded.
        upstreams.listing.restart();
        let draw = gateway.random_unit();
        upstreams.schedule.record_gap(now, upstream_pace(gateway), draw);
        gateway.directory.upstreams_wakeup.notify_one();
    }
    let listing = &upstreams.listing;
    gateway.update(|state| {
        let gone = page.changes.iter().filter(|change| is_gone(change, listing)).cloned();
        let gone = Page { changes: gone.collect(), next: page.next };
        let mut effects = state.catalog.apply_page(&gone, now, grace);
        if let Some(changes) = applied {
            let page = Page { changes, next: page.next };
            effects.extend(state.catalog.apply_page(&page, now, grace));
            effects.extend(state.catalog.revert_amendments(
                |key| listing.get(key),
                AMENDMENT_HOLD,
                now,
            ));
        }
        record_effects(gateway, state, &effects);
        !effects.is_empty()
    });
}

/// Returns whether a change removes an upstream that the own records do not hold either.
fn is_gone(change: &Change, listing: &Listing) -> bool {
    matches!(change, Change::Gone(key) if listing.get(key).is_none())
}

/// Merges the list of a peer; returns the upstreams that changed, to be sent on.
pub(crate) fn merge_list<P>(
    gateway: &Gateway<P>,
    from: &Instance,
    list: &List,
    presences: &Received<Presence>,
) -> Vec<Presence> {
    let now = gateway.now();
    // A list that lacks what could not be decoded shows no upstream to be gone.
    let known_to = if presences.is_whole { Offset(list.offset) } else { Offset(0) };
    let grace = Duration::from_millis(list.grace_ms.into());
    let grace = (!grace.is_zero()).then_some(grace);
    let mut merged = Vec::new();
    gateway.update(|state| {
        let own_known_to = state.catalog.known_to();
        let effects = state.catalog.merge_list(&presences.decoded, known_to, now, grace);
        if !effects.is_empty() {
            info!(
                instance:% = from,
                known_to = known_to.0,
                own_known_to:? = own_known_to,
                changes = effects.len();
                "list of a peer"
            );
        }
        mark_leaving(gateway, state, &effects);
        let upstreams = effects.iter().map(CatalogChange::upstream);
        merged.extend(upstreams.filter_map(|upstream| state.catalog.presence(upstream)));
        !effects.is_empty()
    });
    merged
}

/// Marks the upstreams that joined and of which the peers said before that they are leaving.
fn mark_leaving<P>(gateway: &Gateway<P>, state: &mut UpstreamState, effects: &[CatalogChange]) {
    let snapshot = gateway.peers.snapshot();
    for change in effects {
        let CatalogChange::Joined(upstream) = change else { continue };
        let Some(born) = state.catalog.get(upstream).and_then(|known| known.born_ms) else {
            continue;
        };
        let born = born.to_string();
        if snapshot.leaving.is_marked(upstream, &born) {
            state.catalog.set_leaving(upstream, Some(&born), gateway.now());
        }
    }
}

/// Returns a time in milliseconds as messages state it; 0 for none.
pub(crate) fn millis(time: Option<Duration>) -> u32 {
    time.map_or(0, |time| u32::try_from(time.as_millis()).unwrap_or(u32::MAX))
}

/// Logs the changes of the catalog and applies what follows from them.
pub(crate) fn record_effects<P>(
    gateway: &Gateway<P>,
    state: &mut UpstreamState,
    effects: &[CatalogChange],
) {
    mark_leaving(gateway, state, effects);
    for change in effects {
        match change {
            CatalogChange::Joined(upstream) => {
                state.reset(upstream);
                info!(upstream:% = upstream; "upstream joined");
            }
            CatalogChange::Leaving(upstream) => {
                info!(upstream:% = upstream; "upstream is leaving");
                if let Some(registration) = state.catalog.get(upstream) {
                    gateway.peers.send_leaving(registration, Source::List, gateway.clock.wall());
                }
            }
            CatalogChange::Gone(upstream) => info!(upstream:% = upstream; "upstream is gone"),
            CatalogChange::Changed(_) => {}
        }
    }
}

pub(crate) fn encode(changes: &[SentChange]) -> Option<Bytes> {
    match serde_json::to_vec(changes) {
        Ok(bytes) => Some(bytes.into()),
        Err(e) => {
            warn!(error:% = e; "changes of the directory cannot be serialized");
            None
        }
    }
}

/// The entries of a message of a peer.
pub(crate) struct Received<T> {
    /// The entries that could be decoded, in order.
    pub(crate) decoded: Vec<T>,
    /// Whether these are all.
    pub(crate) is_whole: bool,
}

/// Decodes changes that a peer sent; no bytes are no changes.
fn decode_changes(from: &Instance, bytes: &Bytes) -> Option<Received<SentChange>> {
    match bytes.is_empty() {
        true => Some(Received { decoded: Vec::new(), is_whole: true }),
        false => decode_entries(from, bytes),
    }
}

/// Decodes a JSON list that a peer sent; returns `None` if it is no list.
pub(crate) fn decode_entries<T: DeserializeOwned>(
    from: &Instance,
    bytes: &Bytes,
) -> Option<Received<T>> {
    match serde_json::from_slice::<Vec<Entry<T>>>(bytes) {
        Ok(entries) => {
            let (decoded, errors) = lenient::split(entries);
            if let Some(e) = errors.first() {
                let count = errors.len();
                warn!(instance:% = from, count, error:% = e; "entries of a peer cannot be read");
            }
            Some(Received { decoded, is_whole: errors.is_empty() })
        }
        Err(e) => {
            warn!(instance:% = from, error:% = e; "a peer's list is malformed");
            None
        }
    }
}
