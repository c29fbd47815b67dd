//! The fold of the log into the configuration in force.

use std::sync::Arc;

use goldcrestvale_base::id::{Digest, Offset, RecordId};

pub use crate::outcome::Outcome;
use crate::{
    alarm::Alarms,
    body::Body,
    link::EntityKey,
    outcome::{FoldedRecord, Window},
    record::Kind,
    schema::Table,
    set_digest::SetDigest,
    snapshot::Snapshot,
    state::State,
    tail::{LogRecord, Tail},
};

/// Why the fold has stopped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stop {
    /// Records between the version of the fold and the record that was read are missing.
    Gap {
        /// The first offset after the gap.
        found: Offset,
    },
    /// A major version is in force that this software does not support.
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
    pub(crate) table: Arc<Table>,
    pub(crate) state: State,
    pub(crate) window: Window,
    pub(crate) set_digest: SetDigest,
    pub(crate) tail: Tail,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) stop: Option<Stop>,
    pub(crate) alarms: Alarms,
}

impl Fold {
    /// Creates the fold of the empty prefix, with the schema versions of this software.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the fold of the empty prefix with the schema versions of a table.
    pub fn with_table(table: Table) -> Self {
        Self::starting_at(Offset(0), Arc::new(table))
    }

    /// Creates a fold without entities at a version, into which a checkpoint is restored.
    pub(crate) fn starting_at(version: Offset, table: Arc<Table>) -> Self {
        let snapshot = Arc::new(Snapshot { version, ..Snapshot::default() });
        Self { table, snapshot, ..Self::default() }
    }

    /// Folds the next record.
    ///
    /// Returns `None` for a record without an outcome: a duplicate, a
    /// [`SchemaUpgrade`](crate::change::SchemaUpgrade), or one that cannot be folded because of a
    /// [`Stop`].
    pub fn apply(&mut self, offset: Offset, id: RecordId, data: &str) -> Option<Outcome> {
        if offset < self.version() {
            self.check_known(offset, &id);
            return None;
        }
        if offset > self.version() {
            self.stop.get_or_insert(Stop::Gap { found: offset });
            return None;
        }
        if matches!(self.stop, Some(Stop::Gap { .. })) {
            self.stop = None;
        }
        let is_duplicate = self.window.get(&id).is_some();
        let outcome = if is_duplicate { None } else { self.evaluate(offset, data) };
        if matches!(self.stop, Some(Stop::Unread { .. })) {
            return None;
        }
        if !is_duplicate {
            let record = FoldedRecord { offset, id, outcome: outcome.clone() };
            self.window.push(record, &mut self.set_digest);
        }
        Arc::make_mut(&mut self.snapshot).version = offset.next();
        self.tail.push(LogRecord { offset, id, data: data.into() }, self.digest());
        outcome
    }

    /// Returns the outcome of a record, while it is among the latest
    /// [`WINDOW_RECORDS`](crate::outcome::WINDOW_RECORDS).
    pub fn outcome(&self, id: &RecordId) -> Option<&Outcome> {
        self.window.get(id)?.outcome.as_ref()
    }

    /// Returns the offset after the last folded record.
    pub fn version(&self) -> Offset {
        self.snapshot.version
    }

    /// Returns the digest of the complete state, which is equal at equal versions.
    pub fn digest(&self) -> Digest {
        self.set_digest.digest(self.version().0)
    }

    /// Returns the digest of the state at this or an earlier version, while it is kept.
    pub fn digest_at(&self, version: Offset) -> Option<Digest> {
        if version == self.version() {
            return Some(self.digest());
        }
        let initial = (version == Offset(0)).then(|| SetDigest::default().digest(0));
        self.tail.digest_at(version).or(initial)
    }

    /// Returns the configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Returns why the fold has stopped, if it has.
    pub fn stop(&self) -> Option<&Stop> {
        self.stop.as_ref()
    }

    /// Returns the counters of detected inconsistencies.
    pub fn alarms(&self) -> Alarms {
        self.alarms
    }

    /// Checks the end of the stream, which must not lie before the version of the fold.
    pub fn check_end(&mut self, end: Offset) {
        if end < self.version() {
            self.alarms.regressions += 1;
        }
    }

    /// Returns the version on which the next change of an entity must be based.
    pub fn head(&self, kind: &Kind, name: &str) -> Option<Offset> {
        self.state.slot(&EntityKey::new(kind.clone(), name))?.head()
    }

    /// Returns the body of an entity in force as JSON, including fields unknown to this software.
    pub fn body_json(&self, kind: &Kind, name: &str) -> Option<Arc<str>> {
        let slot = self.state.slot(&EntityKey::new(kind.clone(), name))?;
        slot.current.as_ref()?.body.clone()
    }

    /// Puts a body in force, or removes the entity from the snapshot.
    pub(crate) fn put_in_force(&mut self, key: &EntityKey, version: Offset, body: Option<Body>) {
        let snapshot = Arc::make_mut(&mut self.snapshot);
        match body {
            Some(body) => snapshot.insert(&key.name, version, body),
            None => snapshot.remove(&key.kind, &key.name),
        }
    }

    fn check_known(&mut self, offset: Offset, id: &RecordId) {
        let is_same = self.window.get(id).is_some_and(|record| record.offset <= offset);
        let oldest = self.window.iter().next().map(|record| record.offset);
        if !is_same && oldest.is_some_and(|oldest| offset >= oldest) {
            self.alarms.regressions += 1;
        }
    }
}
