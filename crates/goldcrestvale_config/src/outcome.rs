//! What became of the records that were folded lately.

use std::collections::{BTreeMap, VecDeque};

use goldcrestvale_base::{
    domain,
    id::{Offset, RecordId},
};

use crate::set_digest::Sum;

/// Number of records whose ids and outcomes are kept.
///
/// A repeat of an append is recognised while at most this many records stand between both copies.
pub const WINDOW_RECORDS: usize = 8_192;

/// Longest reason that is kept, in bytes.
pub const MAX_REASON_BYTES: usize = 256;

domain! {
    value
    /// What became of a change.
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// The change holds, or will once its schema version is in force.
        Accepted {
            /// Its version: the offset of its record.
            version: Offset,
        },
        /// The change breaks a rule and has no effect.
        Rejected {
            /// Why.
            reason: String,
        },
        /// The entity was changed in between, and the change has no effect.
        Conflict {
            /// Version of the entity; `None` if it does not exist.
            now: Option<Offset>,
        },
    }
}

impl Outcome {
    /// Creates a rejection; a long reason is cut.
    pub(crate) fn rejected(reason: impl Into<String>) -> Self {
        let mut reason = reason.into();
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        reason.truncate(end);
        Self::Rejected { reason }
    }
}

/// One folded record.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Folded {
    pub(crate) offset: Offset,
    pub(crate) id: RecordId,
    pub(crate) outcome: Option<Outcome>,
}

/// The latest folded records, by offset and by id.
#[derive(Debug, Clone, Default)]
pub(crate) struct Window {
    records: VecDeque<Folded>,
    offsets: BTreeMap<RecordId, Offset>,
}

impl Window {
    /// Adds a record with a higher offset than all others, and forgets the oldest if full.
    pub(crate) fn push(&mut self, folded: Folded, sum: &mut Sum) {
        tally(&folded, sum, Sum::add);
        self.offsets.insert(folded.id, folded.offset);
        self.records.push_back(folded);
        if self.records.len() > WINDOW_RECORDS
            && let Some(oldest) = self.records.pop_front()
        {
            tally(&oldest, sum, Sum::take);
            self.offsets.remove(&oldest.id);
        }
    }

    /// Replaces the outcome of the record at an offset.
    pub(crate) fn revise(&mut self, offset: Offset, outcome: Outcome, sum: &mut Sum) {
        if let Ok(index) = self.records.binary_search_by_key(&offset, |folded| folded.offset)
            && let Some(folded) = self.records.get_mut(index)
        {
            tally(folded, sum, Sum::take);
            folded.outcome = Some(outcome);
            tally(folded, sum, Sum::add);
        }
    }

    /// Returns a record by id.
    pub(crate) fn get(&self, id: &RecordId) -> Option<&Folded> {
        let offset = self.offsets.get(id)?;
        let index = self.records.binary_search_by_key(offset, |folded| folded.offset).ok()?;
        self.records.get(index)
    }

    /// Iterates over the records in log order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Folded> {
        self.records.iter()
    }
}

/// Counts a record in or out of a digest. Reasons are left out: their wording may differ
/// between versions of the software, the state may not.
fn tally(folded: &Folded, sum: &mut Sum, count: fn(&mut Sum, &[&[u8]])) {
    let outcome = match &folded.outcome {
        None => "none".to_owned(),
        Some(Outcome::Accepted { version }) => format!("accepted {version}"),
        Some(Outcome::Rejected { .. }) => "rejected".to_owned(),
        Some(Outcome::Conflict { now: None }) => "conflict".to_owned(),
        Some(Outcome::Conflict { now: Some(now) }) => format!("conflict {now}"),
    };
    let id = folded.id.incarnation.0.to_le_bytes();
    let sequence = folded.id.sequence.to_le_bytes();
    let offset = folded.offset.0.to_le_bytes();
    count(sum, &[b"record", &id, &sequence, &offset, outcome.as_bytes()]);
}
