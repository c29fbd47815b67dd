//! The fold of the log into the configuration in force.

use std::sync::Arc;

use goldcrestvale_base::id::{Digest, Offset, RecordId};

pub use crate::outcome::Outcome;
use crate::{
    alarm::Alarms,
    body::Body,
    link::EntityKey,
    outcome::{Folded, Window},
    record::Kind,
    schema::Table,
    set_digest::Sum,
    snapshot::Snapshot,
    state::State,
    tail::{LogRecord, Tail},
};

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
    pub(crate) table: Arc<Table>,
    pub(crate) state: State,
    pub(crate) window: Window,
    pub(crate) sum: Sum,
    pub(crate) tail: Tail,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) stop: Option<Stop>,
    pub(crate) alarms: Alarms,
}

impl Fold {
    /// Creates the fold of the empty prefix, which reads the schema versions of this software.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the fold of the empty prefix with the schema versions of a table.
    pub fn with_table(table: Table) -> Self {
        Self::starting_at(Offset(0), Arc::new(table))
    }

    /// Creates a fold without entities at a version; a checkpoint fills it.
    pub(crate) fn starting_at(version: Offset, table: Arc<Table>) -> Self {
        let snapshot = Arc::new(Snapshot { version, ..Snapshot::default() });
        Self { table, snapshot, ..Self::default() }
    }

    /// Folds the next record.
    ///
    /// Returns `None` for a record without an outcome: a repeat, a [`SchemaUpgrade`](crate::change::SchemaUpgrade), or one that cannot
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
        let outcome = if repeated { None } else { self.evaluate(offset, data) };
        if matches!(self.stop, Some(Stop::Unread { .. })) {
            return None;
        }
        if !repeated {
            let folded = Folded { offset, id, outcome: outcome.clone() };
            self.window.push(folded, &mut self.sum);
        }
        Arc::make_mut(&mut self.snapshot).version = offset.next();
        self.tail.push(LogRecord { offset, id, data: data.into() }, self.digest());
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

    /// Returns the digest of the state at this or an earlier version, while it is kept.
    pub fn digest_at(&self, version: Offset) -> Option<Digest> {
        if version == self.version() {
            return Some(self.digest());
        }
        let before_all = (version == Offset(0)).then(|| Sum::default().digest(0));
        self.tail.digest_at(version).or(before_all)
    }

    /// Returns the configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.snapshot)
    }

    /// Returns why the fold goes no further, if it does not.
    pub fn stop(&self) -> Option<&Stop> {
        self.stop.as_ref()
    }

    /// Returns the signs that the log or another instance is at odds with this one.
    pub fn alarms(&self) -> Alarms {
        self.alarms
    }

    /// Takes note of the end of the stream, which must not lie before the fold's version.
    pub fn check_end(&mut self, end: Offset) {
        if end < self.version() {
            self.alarms.regressions += 1;
        }
    }

    /// Returns the version of an entity on which the next change of it must be based.
    pub fn head(&self, kind: &Kind, name: &str) -> Option<Offset> {
        self.state.slot(&EntityKey::new(kind.clone(), name))?.head()
    }

    /// Returns the body of an entity in force, with the fields that this software does not know.
    pub fn body_json(&self, kind: &Kind, name: &str) -> Option<Arc<str>> {
        let slot = self.state.slot(&EntityKey::new(kind.clone(), name))?;
        slot.now.as_ref()?.body.clone()
    }

    /// Puts a body in force, or takes the entity out of force.
    pub(crate) fn put_in_force(
        &mut self,
        address: &EntityKey,
        version: Offset,
        body: Option<Body>,
    ) {
        let snapshot = Arc::make_mut(&mut self.snapshot);
        match body {
            Some(body) => snapshot.insert(&address.name, version, body),
            None => snapshot.remove(&address.kind, &address.name),
        }
    }

    fn check_seen(&mut self, offset: Offset, id: &RecordId) {
        let same = self.window.get(id).is_some_and(|folded| folded.offset <= offset);
        let oldest = self.window.iter().next().map(|folded| folded.offset);
        if !same && oldest.is_some_and(|oldest| offset >= oldest) {
            self.alarms.regressions += 1;
        }
    }
}
