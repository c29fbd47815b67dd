//! Outcomes of the most recently folded records.

use std::collections::{BTreeMap, VecDeque};

use goldcrestvale_base::{
    domain,
    id::{Offset, RecordId},
};

use crate::set_digest::SetDigest;

/// Number of records whose ids and outcomes are kept.
///
/// A retried append is recognised while at most this many records lie between both copies.
pub const WINDOW_RECORDS: usize = 8_192;

/// Maximum length of a stored reason, in bytes.
pub const MAX_REASON_BYTES: usize = 256;

domain! {
    value
    /// The outcome of a change.
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// The change is in force, or will be once its schema version is.
        Accepted {
            /// Its version: the offset of its record.
            version: Offset,
        },
        /// The change breaks a rule and has no effect.
        Rejected {
            /// The reason.
            reason: String,
        },
        /// The entity was changed in between; the change has no effect.
        Conflict {
            /// Current version of the entity; `None` if it does not exist.
            now: Option<Offset>,
        },
    }
}

impl Outcome {
    /// Creates a rejection; a long reason is truncated.
    pub(crate) fn rejected(reason: impl Into<String>) -> Self {
        let mut reason = reason.into();
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        reason.truncate(end);
        Self::Rejected { reason }
    }
}

/// A folded record and its outcome.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct FoldedRecord {
    pub(crate) offset: Offset,
    pub(crate) id: RecordId,
    pub(crate) outcome: Option<Outcome>,
}

/// The most recently folded records, indexed by offset and id.
#[derive(Debug, Clone, Default)]
pub(crate) struct Window {
    records: VecDeque<FoldedRecord>,
    offsets: BTreeMap<RecordId, Offset>,
}

impl Window {
    /// Appends a record with a higher offset than all others, and evicts the oldest if full.
    pub(crate) fn push(&mut self, record: FoldedRecord, digest: &mut SetDigest) {
        update_digest(&record, digest, SetDigest::add);
        self.offsets.insert(record.id, record.offset);
        self.records.push_back(record);
        if self.records.len() > WINDOW_RECORDS
            && let Some(oldest) = self.records.pop_front()
        {
            update_digest(&oldest, digest, SetDigest::remove);
            self.offsets.remove(&oldest.id);
        }
    }

    /// Replaces the outcome of the record at an offset.
    pub(crate) fn revise(&mut self, offset: Offset, outcome: Outcome, digest: &mut SetDigest) {
        if let Ok(index) = self.records.binary_search_by_key(&offset, |record| record.offset)
            && let Some(record) = self.records.get_mut(index)
        {
            update_digest(record, digest, SetDigest::remove);
            record.outcome = Some(outcome);
            update_digest(record, digest, SetDigest::add);
        }
    }

    /// Returns the record with an id.
    pub(crate) fn get(&self, id: &RecordId) -> Option<&FoldedRecord> {
        let offset = self.offsets.get(id)?;
        let index = self.records.binary_search_by_key(offset, |record| record.offset).ok()?;
        self.records.get(index)
    }

    /// Iterates over the records in log order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &FoldedRecord> {
        self.records.iter()
    }
}

/// Adds a record to a digest, or removes it. Reasons are left out: their wording may differ
/// between versions of the software, the state may not.
fn update_digest(
    record: &FoldedRecord,
    digest: &mut SetDigest,
    update: fn(&mut SetDigest, &[&[u8]]),
) {
    let outcome = match &record.outcome {
        None => "none".to_owned(),
        Some(Outcome::Accepted { version }) => format!("accepted {version}"),
        Some(Outcome::Rejected { .. }) => "rejected".to_owned(),
        Some(Outcome::Conflict { now: None }) => "conflict".to_owned(),
        Some(Outcome::Conflict { now: Some(now) }) => format!("conflict {now}"),
    };
    let incarnation = record.id.incarnation.0.to_le_bytes();
    let sequence = record.id.sequence.to_le_bytes();
    let offset = record.offset.0.to_le_bytes();
    update(digest, &[b"record", &incarnation, &sequence, &offset, outcome.as_bytes()]);
}
