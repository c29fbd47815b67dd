//! The latest records and the state digests after them, for instances that lag behind.

use std::{collections::VecDeque, sync::Arc};

use goldcrestvale_base::id::{Digest, Offset, RecordId};

/// Number of records kept for other instances.
pub const TAIL_RECORDS: usize = 1_024;

/// A record read from the log.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Identity.
    pub id: RecordId,
    /// Content, as JSON.
    pub data: Arc<str>,
}

/// The latest records, without gaps.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tail {
    records: VecDeque<(LogRecord, Digest)>,
}

impl Tail {
    /// Appends the next record, with the digest of the state after it.
    pub(crate) fn push(&mut self, record: LogRecord, digest: Digest) {
        self.records.push_back((record, digest));
        if self.records.len() > TAIL_RECORDS {
            self.records.pop_front();
        }
    }

    /// Returns the digest of the state at a version, if its last record is kept.
    pub(crate) fn digest_at(&self, version: Offset) -> Option<Digest> {
        let last = Offset(version.0.checked_sub(1)?);
        let index = self.index(last)?;
        self.records.get(index).map(|(_, digest)| *digest)
    }

    /// Iterates over the records from an offset onwards.
    pub(crate) fn from(&self, offset: Offset) -> impl Iterator<Item = &LogRecord> {
        let skipped = self.index(offset).unwrap_or(self.records.len());
        self.records.iter().skip(skipped).map(|(record, _)| record)
    }

    fn index(&self, offset: Offset) -> Option<usize> {
        let (oldest, _) = self.records.front()?;
        let index = usize::try_from(offset.0.checked_sub(oldest.offset.0)?).ok()?;
        (index < self.records.len()).then_some(index)
    }
}
