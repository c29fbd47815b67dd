//! Records on their way to the log and back, as decisions see them.

use goldcrestvale_base::{
    id::{Incarnation, Offset, RecordId},
    time::Wall,
};

/// Numbers set aside for the records that one process writes to one stream.
pub const SEQUENCES_PER_STREAM: u64 = 1 << 40;

/// A record to append.
///
/// An append whose answer was lost is repeated with the same drafts: the identities stay.
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
    /// Identity given by the writer.
    pub id: RecordId,
    /// Time at which the platform took the record.
    pub written: Wall,
    /// Content, as JSON.
    pub data: &'a str,
}

/// What was read from the stream.
#[derive(Debug, Clone, Copy)]
pub struct Page<'a> {
    /// Oldest offset that the stream still holds.
    pub oldest: Offset,
    /// Offset that the next record of the stream will have.
    pub end: Offset,
    /// The records from the asked offset on, without gaps.
    pub records: &'a [View<'a>],
}

/// The source of record identities of one process for one stream.
///
/// Each stream has its own range of numbers, so that the numbers of a stream run without large
/// gaps and a reader remembers them as a few ranges.
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
    /// Starts the numbers of a process for the stream with this number.
    pub fn new(incarnation: Incarnation, stream: u16) -> Self {
        Self { incarnation, next: u64::from(stream) * SEQUENCES_PER_STREAM }
    }

    /// Returns the process that the numbers belong to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns an identity that was never returned before.
    pub fn next_id(&mut self) -> RecordId {
        let sequence = self.next;
        self.next += 1;
        RecordId { incarnation: self.incarnation, sequence }
    }
}
