//! The upstreams that the directory lists.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use goldcrestvale_base::{
    id::{Offset, Service, Upstream},
    time::Instant,
};
use smallvec::SmallVec;

use crate::port::{Change, Page, Presence, Registration};

/// An upstream and the time at which it began to leave.
#[derive(Debug, Clone, PartialEq)]
struct Row {
    registration: Registration,
    /// Offset up to which the directory is known to list it.
    listed_to: Offset,
    leaving_since: Option<Instant>,
    /// Time at which its layers were last taken from a report.
    amended_at: Option<Instant>,
    /// Time at which it counts as gone, if its record vanished while the directory was unreachable.
    missing_until: Option<Instant>,
    /// Whether the upstream itself said that it is leaving.
    said_leaving: bool,
    /// Whether a later incarnation of its service has its address.
    is_superseded: bool,
}

impl Row {
    /// Returns whether `born` is the start time of the upstream, as far as both are known.
    fn is_incarnation(&self, born: Option<&str>) -> bool {
        match (born, self.registration.born_ms) {
            (Some(born), Some(own)) => own.to_string() == born,
            _ => true,
        }
    }
}

/// The effect of a change on the catalog.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogChange {
    /// An upstream joined, or came back after a restart.
    Joined(Upstream),
    /// The layers, the address or another property of an upstream changed.
    Changed(Upstream),
    /// An upstream is leaving and gets no new work.
    Leaving(Upstream),
    /// An upstream is gone.
    Gone(Upstream),
}

impl CatalogChange {
    /// Returns the upstream that changed.
    pub fn upstream(&self) -> &Upstream {
        match self {
            Self::Joined(upstream)
            | Self::Changed(upstream)
            | Self::Leaving(upstream)
            | Self::Gone(upstream) => upstream,
        }
    }
}

/// The upstreams that the directory lists.
///
/// When the directory is unreachable for seconds, the records of live upstreams expire. Such
/// upstreams count as gone only after a grace period in which they can register again.
///
/// Offsets of the directory order what instances know: up to an offset an instance knows all records,
/// so an upstream that it does not hold was removed by then, and older news of it is ignored. That
/// takes no memory of removed upstreams.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    rows: HashMap<Upstream, Row>,
    /// Offset up to which all records are known.
    known_to: Option<Offset>,
    last_join: Option<Instant>,
}

impl Catalog {
    /// Returns when an upstream last joined.
    pub fn last_join(&self) -> Option<Instant> {
        self.last_join
    }

    /// Returns the registration of an upstream.
    pub fn get(&self, upstream: &Upstream) -> Option<&Registration> {
        self.current(upstream).map(|row| &row.registration)
    }

    /// Returns whether an upstream is listed.
    pub fn contains(&self, upstream: &Upstream) -> bool {
        self.current(upstream).is_some()
    }

    /// Returns an iterator over the upstreams, with the time since which each is leaving.
    pub fn iter(&self) -> impl Iterator<Item = (&Registration, Option<Instant>)> {
        let current = self.rows.values().filter(|row| !row.is_superseded);
        current.map(|row| (&row.registration, row.leaving_since))
    }

    fn current(&self, upstream: &Upstream) -> Option<&Row> {
        self.rows.get(upstream).filter(|row| !row.is_superseded)
    }

    /// Returns the offset up to which all records are known.
    pub fn known_to(&self) -> Option<Offset> {
        self.known_to
    }

    /// Applies a complete list. Upstreams that it lacks are gone, after `grace` if one is given.
    pub fn replace(
        &mut self,
        page: &Page,
        now: Instant,
        grace: Option<Duration>,
    ) -> Vec<CatalogChange> {
        let listed: HashSet<&Upstream> = page.changes.iter().filter_map(registered).collect();
        let absent = self.absent(&listed, page.next);
        let mut applied = self.apply_page(page, now, grace);
        for upstream in absent {
            applied.extend(self.mark_missing(&upstream, now, grace));
        }
        applied
    }

    /// Applies the changes up to an offset. What a peer with newer records said takes precedence.
    pub fn apply_page(
        &mut self,
        page: &Page,
        now: Instant,
        grace: Option<Duration>,
    ) -> Vec<CatalogChange> {
        let mut applied = Vec::new();
        for change in &page.changes {
            let row = change.upstream_key().and_then(|key| self.rows.get(key));
            let is_vanished = row.is_some_and(|row| row.missing_until.is_some());
            let upstream = registered(change);
            let listed_to = row.map_or(Offset(0), |row| row.listed_to);
            let is_outdated = page.next < listed_to.max(self.known_to.unwrap_or_default());
            if is_outdated && !(is_vanished && upstream.is_none()) {
                continue;
            }
            applied.extend(self.apply(change, now, grace));
            if let Some(row) = upstream.and_then(|upstream| self.rows.get_mut(upstream)) {
                row.listed_to = page.next;
            }
        }
        self.known_to = self.known_to.max(Some(page.next));
        applied
    }

    /// Applies one change. An upstream whose record is gone is removed, after `grace` if one is
    /// given.
    pub fn apply(
        &mut self,
        change: &Change,
        now: Instant,
        grace: Option<Duration>,
    ) -> Option<CatalogChange> {
        match change {
            Change::Registered(registration) => self.register(registration, now),
            Change::Gone(key) | Change::Unreadable { key, .. } => {
                let upstream = key.parse().ok()?;
                self.mark_missing(&upstream, now, grace)
            }
            Change::Configuration(_) => None,
        }
    }

    /// Returns the upstreams in the form that is sent to other instances.
    pub fn presences(&self) -> impl Iterator<Item = Presence> {
        self.rows.values().filter(|row| row.missing_until.is_none()).map(|row| {
            let ready = row.registration.ready && row.leaving_since.is_none();
            Presence {
                registration: Registration { ready, ..row.registration.clone() },
                listed_to: self.listed_to(row),
            }
        })
    }

    /// Returns an upstream in the form that is sent to other instances.
    pub fn presence(&self, upstream: &Upstream) -> Option<Presence> {
        let row = self.rows.get(upstream).filter(|row| row.missing_until.is_none())?;
        Some(Presence { registration: row.registration.clone(), listed_to: self.listed_to(row) })
    }

    /// Returns the addresses of the upstreams whose records have not vanished.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let listed = |row: &&Row| row.missing_until.is_none() && !row.is_superseded;
        self.rows.values().filter(listed).map(|row| row.registration.address)
    }

    /// Marks an upstream that said that it is leaving, if `born` is still its start time; returns
    /// whether that changed anything. Its records do not undo the mark, since they lag behind.
    pub fn set_said_leaving(
        &mut self,
        upstream: &Upstream,
        born: Option<&str>,
        now: Instant,
    ) -> bool {
        self.set_leaving(upstream, born, now);
        // The directory may have marked it before, and may go back behind that.
        let row = self.rows.get_mut(upstream).filter(|row| row.is_incarnation(born));
        row.is_some_and(|row| !std::mem::replace(&mut row.said_leaving, true))
    }

    /// Marks an upstream as leaving if `born` is still its start time; returns whether that changed
    /// anything.
    pub fn set_leaving(&mut self, upstream: &Upstream, born: Option<&str>, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(upstream) else { return false };
        let changed = row.is_incarnation(born) && row.registration.ready;
        if changed {
            row.registration.ready = false;
            row.leaving_since = Some(now);
        }
        changed
    }

    /// Merges what another instance knows of some upstreams, as far as it is newer. Removes nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::{id::Offset, time::Instant};
    /// use goldcrestvale_gateway::{Catalog, port::{Page, Presence, Registration}};
    ///
    /// # let registration: Registration = serde_json::from_value(serde_json::json!({
    /// #     "upstream": "desk-1", "service": "desk", "address": "127.0.0.1:1", "domain": "bole",
    /// #     "ready": true, "slots": 8, "born_ms": 1, "revision": 1, "holding": null, "amended": 0,
    /// # })).unwrap();
    /// let mut catalog = Catalog::default();
    /// catalog.replace(&Page { changes: vec![], next: Offset(7) }, Instant(0), None);
    /// // The directory no longer lists the upstream at offset 7.
    /// let older = Presence { registration: registration.clone(), listed_to: Offset(7) };
    /// assert!(catalog.merge(&[older], Instant(0)).is_empty());
    /// let newer = Presence { registration, listed_to: Offset(8) };
    /// assert_eq!(catalog.merge(&[newer], Instant(0)).len(), 1);
    /// ```
    pub fn merge(&mut self, presences: &[Presence], now: Instant) -> Vec<CatalogChange> {
        let mut applied = Vec::new();
        for Presence { registration, listed_to } in presences {
            let is_newer = match self.rows.get(&registration.upstream) {
                None => self.known_to.is_none_or(|known_to| *listed_to > known_to),
                Some(row) => {
                    let known = &row.registration;
                    let is_later = *listed_to > self.listed_to(row);
                    let version = |r: &Registration| (r.revision, r.amended);
                    match known.born_ms == registration.born_ms {
                        true if row.missing_until.is_none() => {
                            version(registration) > version(known)
                        }
                        _ => is_later,
                    }
                }
            };
            if !is_newer {
                continue;
            }
            let known = self.rows.get(&registration.upstream).map(|row| &row.registration);
            let known = known.filter(|known| known.born_ms == registration.born_ms);
            let is_leaving = known.is_some_and(|known| !known.ready);
            let registration =
                Registration { ready: registration.ready && !is_leaving, ..registration.clone() };
            applied.extend(self.register(&registration, now));
            if let Some(row) = self.rows.get_mut(&registration.upstream) {
                row.listed_to = row.listed_to.max(*listed_to);
            }
        }
        applied
    }

    /// Merges all that another instance knows, up to an offset. If this is newer, the upstreams that
    /// it lacks are gone, after `grace` if one is given.
    pub fn merge_list(
        &mut self,
        presences: &[Presence],
        known_to: Offset,
        now: Instant,
        grace: Option<Duration>,
    ) -> Vec<CatalogChange> {
        let mut applied = self.merge(presences, now);
        // Peers of earlier versions do not state the offset.
        if known_to > self.known_to.unwrap_or_default() {
            let listed = presences.iter().map(|presence| &presence.registration.upstream).collect();
            for upstream in self.absent(&listed, known_to) {
                applied.extend(self.mark_missing(&upstream, now, grace));
            }
            self.known_to = Some(known_to);
        }
        applied
    }

    /// Removes the upstreams whose grace period is over.
    pub fn expire(&mut self, now: Instant) -> Vec<CatalogChange> {
        let expired: Vec<Upstream> = self
            .rows
            .iter()
            .filter(|(_, row)| row.missing_until.is_some_and(|until| until <= now))
            .map(|(upstream, _)| upstream.clone())
            .collect();
        expired.into_iter().filter_map(|upstream| self.remove(&upstream)).collect()
    }

    /// Records the layers that an engine reported, which are newer than its registration; returns
    /// whether they changed.
    pub fn set_layers(
        &mut self,
        upstream: &Upstream,
        layers: Option<goldcrestvale_base::engine::Layers>,
        now: Instant,
    ) -> bool {
        let Some(row) = self.rows.get_mut(upstream) else { return false };
        row.amended_at = Some(now);
        let registration = &mut row.registration;
        registration.holding.as_mut().is_some_and(|holding| {
            let changed = holding.layers != layers;
            holding.layers = layers;
            registration.amended += 1;
            changed
        })
    }

    /// Restores the records of the engines whose layers were taken from a report at least `hold`
    /// ago: by then the record is newer. `record` returns the record of a key.
    pub fn revert_amendments<'r>(
        &mut self,
        record: impl Fn(&str) -> Option<&'r Registration>,
        hold: Duration,
        now: Instant,
    ) -> Vec<CatalogChange> {
        let mut due: Vec<&Registration> = Vec::new();
        for (upstream, row) in &mut self.rows {
            if row.amended_at.is_some_and(|at| now.since(at) >= hold) {
                row.amended_at = None;
                due.extend(record(upstream.as_str()));
            }
        }
        due.into_iter().filter_map(|registration| self.register(registration, now)).collect()
    }

    fn register(&mut self, registration: &Registration, now: Instant) -> Option<CatalogChange> {
        let upstream = registration.upstream.clone();
        let leaving_since = (!registration.ready).then_some(now);
        let new_row = || Row {
            registration: registration.clone(),
            listed_to: Offset(0),
            leaving_since,
            amended_at: None,
            missing_until: None,
            said_leaving: false,
            is_superseded: false,
        };
        match self.rows.get_mut(&upstream) {
            Some(row) if row.registration.born_ms == registration.born_ms => {
                row.missing_until = None;
                let ready = registration.ready && !row.said_leaving;
                let registration = Registration { ready, ..registration.clone() };
                let heartbeat = Registration {
                    revision: row.registration.revision,
                    amended: row.registration.amended,
                    ..registration.clone()
                };
                let is_unchanged = row.registration == heartbeat;
                let ready = registration.ready;
                let address = registration.address;
                let previous = std::mem::replace(&mut row.registration, registration);
                let is_moved =
                    previous.address != address || previous.service != row.registration.service;
                if is_unchanged {
                    return None;
                }
                let is_leaving = !ready && row.leaving_since.is_none();
                row.leaving_since = (!ready).then(|| row.leaving_since.unwrap_or(now));
                if is_moved {
                    self.supersede(previous.address);
                    self.supersede(address);
                }
                Some(match is_leaving {
                    true => CatalogChange::Leaving(upstream),
                    false => CatalogChange::Changed(upstream),
                })
            }
            _ => {
                let address = registration.address;
                let previous = self.rows.insert(upstream.clone(), new_row());
                if let Some(previous) = previous.filter(|p| p.registration.address != address) {
                    self.supersede(previous.registration.address);
                }
                self.supersede(address);
                self.last_join = Some(now);
                Some(CatalogChange::Joined(upstream))
            }
        }
    }

    /// Returns the upstreams that are not in a list which is complete up to an offset.
    fn absent(&self, listed: &HashSet<&Upstream>, known_to: Offset) -> Vec<Upstream> {
        let rows = self.rows.iter();
        let absent =
            rows.filter(|(upstream, row)| !listed.contains(upstream) && row.listed_to <= known_to);
        absent.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// Returns the offset up to which the directory is known to list an upstream.
    fn listed_to(&self, row: &Row) -> Offset {
        row.listed_to.max(self.known_to.unwrap_or_default())
    }

    fn mark_missing(
        &mut self,
        upstream: &Upstream,
        now: Instant,
        grace: Option<Duration>,
    ) -> Option<CatalogChange> {
        match grace {
            Some(grace) => {
                let row = self.rows.get_mut(upstream)?;
                row.missing_until.get_or_insert(now + grace);
                None
            }
            None => self.remove(upstream),
        }
    }

    fn remove(&mut self, upstream: &Upstream) -> Option<CatalogChange> {
        let row = self.rows.remove(upstream)?;
        self.supersede(row.registration.address);
        Some(CatalogChange::Gone(upstream.clone()))
    }

    /// Finds the upstreams at an address that restarted under another name: of the records of a
    /// service there only the latest incarnation is used, in whatever order they came. A record of
    /// another service says nothing of them.
    fn supersede(&mut self, address: SocketAddr) {
        let at_address =
            self.rows.iter_mut().filter(|(_, row)| row.registration.address == address);
        let mut rows: SmallVec<[(&Upstream, &mut Row); 2]> = at_address.collect();
        let incarnation = |(upstream, row): &(&Upstream, &mut Row)| {
            let Registration { service, born_ms, .. } = &row.registration;
            (service.clone(), *born_ms, (*upstream).clone())
        };
        rows.sort_by_cached_key(incarnation);
        let mut later: Option<Service> = None;
        for (_, row) in rows.iter_mut().rev() {
            let service = &row.registration.service;
            row.is_superseded = later.as_ref() == Some(service);
            later = Some(service.clone());
        }
    }
}

fn registered(change: &Change) -> Option<&Upstream> {
    match change {
        Change::Registered(registration) => Some(&registration.upstream),
        _ => None,
    }
}
