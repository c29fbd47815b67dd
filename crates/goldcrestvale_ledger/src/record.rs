//! Records to append to the log and records read from it.

use goldcrestvale_base::{
    id::{Incarnation, Offset, RecordId},
    time::Wall,
};

/// Number of sequence numbers reserved for the records that one process writes to one stream.
pub const SEQUENCES_PER_STREAM: u64 = 1 << 40;

/// A record to append.
///
/// If the answer to an append is lost, the append is retried with the same drafts and identities.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    /// Identity of the record.
    pub id: RecordId,
    /// Content, as JSON.
    pub data: String,
}

/// A borrowed view of a record that was read from a stream.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// Position in the stream.
    pub offset: Offset,
    /// Identity assigned by the writer.
    pub id: RecordId,
    /// Time at which the platform accepted the record.
    pub written: Wall,
    /// Content, as JSON.
    pub data: &'a str,
}

/// A page read from a stream.
#[derive(Debug, Clone, Copy)]
pub struct Page<'a> {
    /// Oldest offset that the stream still contains.
    pub oldest: Offset,
    /// Offset that the next record of the stream will have.
    pub end: Offset,
    /// The records from the requested offset on, without gaps.
    pub records: &'a [View<'a>],
}

/// The source of record identities of one process for one stream.
///
/// Each stream has its own range of sequence numbers, so that the numbers in a stream have no large
/// gaps and a reader can store them as a few ranges.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::Incarnation;
/// use goldcrestvale_ledger::record::Sequence;
///
/// let mut first = Sequence::new(Incarnation(7), 0);
/// let mut second = Sequence::new(Incarnation(7), 1);
/// assert_ne!(first.next_id(), first.next_id());
/// assert_ne!(first.next_id(), second.next_id());
/// ```
#[derive(Debug)]
pub struct Sequence {
    incarnation: Incarnation,
    next: u64,
}

impl Sequence {
    /// Creates the source for a process and the stream with this number.
    pub fn new(incarnation: Incarnation, stream: u16) -> Self {
        Self { incarnation, next: u64::from(stream) * SEQUENCES_PER_STREAM }
    }

    /// Returns the incarnation of the process that writes the records.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns an identity that was not returned before.
    pub fn next_id(&mut self) -> RecordId {
        let sequence = self.next;
        self.next += 1;
        RecordId { incarnation: self.incarnation, sequence }
    }
}
