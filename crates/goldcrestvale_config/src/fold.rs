//! The fold of the log into the configuration in force.

use std::sync::Arc;

use goldcrestvale_base::id::{Digest, Offset, RecordId, Upstream};
use serde_json::{Map, Value};

pub use crate::outcome::Outcome;
use crate::{
    body::Body,
    canonical::canonical,
    change::{Change, Data, Raise},
    link::{Address, Links},
    outcome::{Folded, Window},
    record::Kind,
    schema::Table,
    slot::{Step, Stored},
    snapshot::Snapshot,
    state::State,
    sum::Sum,
};

/// Largest body, in bytes of JSON.
pub const MAX_BODY_BYTES: usize = 65_536;

/// Most changes of one entity that may wait for a schema version.
pub const MAX_HELD: usize = 64;

/// Why the fold goes no further.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stop {
    /// Records between the fold's version and the one that was read are missing.
    Gap {
        /// The first offset that was read after the gap.
        found: Offset,
    },
    /// A major version is in force that this software does not read.
    Unread {
        /// Kind of the entity.
        kind: Kind,
        /// The major version.
        major: u16,
    },
}

/// The configuration after a prefix of the log: a pure function of that prefix.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::{Incarnation, Offset, RecordId};
/// use goldcrestvale_config::fold::{Fold, Outcome};
///
/// let mut fold = Fold::new();
/// let id = RecordId { incarnation: Incarnation(1), sequence: 1 };
/// let change = r#"{"schema": {"major": 1, "minor": 0}, "kind": "service", "name": "desk",
///     "operator": "ana", "body": {"pool": "desk", "timeout_ms": 500}}"#;
/// let outcome = fold.apply(Offset(0), id, change);
/// assert_eq!(outcome, Some(Outcome::Accepted { version: Offset(0) }));
/// assert!(fold.snapshot().services.contains_key("desk"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Fold {
    table: Arc<Table>,
    state: State,
    window: Window,
    sum: Sum,
    snapshot: Arc<Snapshot>,
    stop: Option<Stop>,
    regressions: u64,
}

impl Fold {
    /// Creates the fold of the empty prefix, which reads the schema versions of this software.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the fold of the empty prefix with the schema versions of a table.
    pub fn with_table(table: Table) -> Self {
        Self { table: Arc::new(table), ..Self::default() }
    }

    /// Folds the next record.
    ///
    /// Returns `None` for a record without an outcome: a repeat, a [`Raise`], or one that cannot
    /// be folded because of a [`Stop`].
    pub fn apply(&mut self, offset: Offset, id: RecordId, data: &str) -> Option<Outcome> {
        if offset < self.version() {
            self.check_seen(offset, &id);
            return None;
        }
        if offset > self.version() {
            self.stop.get_or_insert(Stop::Gap { found: offset });
            return None;
        }
        if matches!(self.stop, Some(Stop::Gap { .. })) {
            self.stop = None;
        }
        let repeated = self.window.get(&id).is_some();
        let outcome = if repeated { None } else { self.fold(offset, data) };
        if matches!(self.stop, Some(Stop::Unread { .. })) {
            return None;
        }
        if !repeated {
            let folded = Folded { offset, id, outcome: outcome.clone() };
            self.window.push(folded, &mut self.sum);
        }
        Arc::make_mut(&mut self.snapshot).version = offset.next();
        outcome
    }

    /// Returns what became of a record, while it is among the latest
    /// [`WINDOW_RECORDS`](crate::outcome::WINDOW_RECORDS).
    pub fn outcome(&self, id: &RecordId) -> Option<&Outcome> {
        self.window.get(id)?.outcome.as_ref()
    }

    /// Returns the offset after the last folded record.
    pub fn version(&self) -> Offset {
        self.snapshot.version
    }

    /// Returns the digest of the whole state, which is equal at equal versions.
    pub fn digest(&self) -> Digest {
        self.sum.digest(self.version().0)
    }

    /// Returns the configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Returns why the fold goes no further, if it does not.
    pub fn stop(&self) -> Option<&Stop> {
        self.stop.as_ref()
    }

    /// Returns how many records were read at an offset that held another one before.
    pub fn regressions(&self) -> u64 {
        self.regressions
    }

    /// Returns the version of an entity on which the next change of it must be based.
    pub fn head(&self, kind: &Kind, name: &str) -> Option<Offset> {
        self.state.slot(&Address::new(kind.clone(), name))?.head()
    }

    /// Returns the body of an entity in force, with the fields that this software does not know.
    pub fn text(&self, kind: &Kind, name: &str) -> Option<Arc<str>> {
        let slot = self.state.slot(&Address::new(kind.clone(), name))?;
        slot.now.as_ref()?.body.as_ref().map(|stored| Arc::clone(&stored.text))
    }

    fn check_seen(&mut self, offset: Offset, id: &RecordId) {
        let same = self.window.get(id).is_some_and(|folded| folded.offset <= offset);
        let oldest = self.window.iter().next().map(|folded| folded.offset);
        if !same && oldest.is_some_and(|oldest| offset >= oldest) {
            self.regressions += 1;
        }
    }

    fn fold(&mut self, offset: Offset, data: &str) -> Option<Outcome> {
        match serde_json::from_str(data) {
            Ok(Data::Raise { raise }) => {
                self.raise(raise);
                None
            }
            Ok(Data::Change(change)) => match self.try_change(offset, change) {
                Ok(outcome) => outcome,
                Err(reason) => Some(Outcome::rejected(reason)),
            },
            Err(_) => Some(Outcome::rejected("the record is neither a change nor a raise")),
        }
    }

    fn try_change(&mut self, offset: Offset, change: Change) -> Result<Option<Outcome>, String> {
        check_envelope(&change)?;
        let address = Address::new(change.kind, &change.name);
        let (head, queued) =
            self.state.slot(&address).map_or((None, 0), |slot| (slot.head(), slot.held.len()));
        if change.base != head {
            return Ok(Some(Outcome::Conflict { now: head }));
        }
        let mut step = Step { version: offset, schema: change.schema, body: None };
        let major = change.schema.major;
        let held = queued > 0 || major > self.state.major(&address.kind);
        let mut typed = None;
        match change.body {
            None if head.is_none() => return Err(format!("{address} does not exist")),
            None => self.state.try_unlink(&address)?,
            Some(body) => {
                let stored = store(&address.kind, &body)?;
                self.state.try_link(&address, &stored.links)?;
                step.body = Some(stored);
                if !held {
                    if !self.table.reads(&address.kind, major) {
                        self.stop = Some(Stop::Unread { kind: address.kind, major });
                        return Ok(None);
                    }
                    typed = Some(Body::try_read(&self.table, &address.kind, major, body)?);
                }
            }
        }
        if queued >= MAX_HELD {
            return Err(format!("{address} has {queued} changes that wait for a schema version"));
        }
        if !held {
            self.put_in_force(&address, offset, typed);
        }
        self.state.edit(&address, &mut self.sum, |slot| match held {
            true => slot.held.push(step),
            false => slot.now = step.body.is_some().then_some(step),
        });
        Ok(Some(Outcome::Accepted { version: offset }))
    }

    fn put_in_force(&mut self, address: &Address, version: Offset, body: Option<Body>) {
        let snapshot = Arc::make_mut(&mut self.snapshot);
        match body {
            Some(body) => snapshot.insert(&address.name, version, body),
            None => snapshot.remove(&address.kind, &address.name),
        }
    }

    fn raise(&mut self, raise: Raise) {
        let Raise { kind, major } = raise;
        let current = self.state.major(&kind);
        if major <= current {
            return;
        }
        if let Some(major) = (current + 1..=major).find(|&major| !self.table.reads(&kind, major)) {
            self.stop = Some(Stop::Unread { kind, major });
            return;
        }
        self.state.raise(kind.clone(), major, &mut self.sum);
        for (address, step) in self.release(&kind, major) {
            self.put_step(&address, step);
        }
    }

    /// Takes out the held changes that a major version puts in force, in log order.
    fn release(&mut self, kind: &Kind, major: u16) -> Vec<(Address, Step)> {
        let waiting =
            self.state.slots().filter(|(at, slot)| at.kind == *kind && !slot.held.is_empty());
        let addresses: Vec<_> = waiting.map(|(address, _)| address.clone()).collect();
        let mut released = Vec::new();
        for address in addresses {
            let steps = self.state.edit(&address, &mut self.sum, |slot| {
                let waits = |step: &Step| step.body.is_some() && step.schema.major > major;
                let count = slot.held.iter().position(waits).unwrap_or(slot.held.len());
                slot.held.drain(..count).collect::<Vec<_>>()
            });
            released.extend(steps.into_iter().map(|step| (address.clone(), step)));
        }
        released.sort_by_key(|(_, step)| step.version);
        released
    }

    fn put_step(&mut self, address: &Address, step: Step) {
        let version = step.version;
        let read = step.body.as_ref().map(|stored| {
            let body: Map<String, Value> =
                serde_json::from_str(&stored.text).map_err(|fault| fault.to_string())?;
            Body::try_read(&self.table, &address.kind, step.schema.major, body)
        });
        match read.transpose() {
            Ok(body) => {
                self.put_in_force(address, version, body);
                self.state.edit(address, &mut self.sum, |slot| {
                    slot.now = step.body.is_some().then_some(step);
                });
            }
            Err(reason) => self.window.revise(version, Outcome::rejected(reason), &mut self.sum),
        }
    }
}

fn check_envelope(change: &Change) -> Result<(), String> {
    if change.schema.major == 0 {
        return Err("major version 0 does not exist".to_owned());
    }
    change.name.parse::<Upstream>().map(drop).map_err(|fault| fault.to_string())
}

fn store(kind: &Kind, body: &Map<String, Value>) -> Result<Stored, String> {
    let text = canonical(body);
    if text.len() > MAX_BODY_BYTES {
        return Err(format!("the body has {} bytes, allowed are {MAX_BODY_BYTES}", text.len()));
    }
    Ok(Stored { links: Links::of(kind, body), text: text.into() })
}
