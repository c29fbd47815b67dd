//! The part of a stream that a fold has read.

use goldcrestvale_base::{
    domain,
    id::{Offset, RecordId},
    time::Wall,
};
use snafu::Snafu;

use crate::record::{Page, View};

/// The result of reading a record.
pub type Result<T> = std::result::Result<T, Error>;

/// A reason why a record cannot be the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Records between the last one read and this one are missing.
    #[snafu(display("expected the record at offset {expected}, found the one at offset {found}"))]
    Gap {
        /// Offset of the next record.
        expected: Offset,
        /// Offset that was read.
        found: Offset,
    },
    /// The record is at an offset that was read already; the newer state is kept.
    #[snafu(display("the stream returned to offset {found} after offset {expected} was reached"))]
    Backwards {
        /// Offset of the next record.
        expected: Offset,
        /// Offset that was read.
        found: Offset,
    },
}

domain! {
    value
    /// The position of a fold in its stream, and the time since which it has read every record.
    pub struct Prefix {
        next: Offset,
        clock: Wall,
        since: Option<Wall>,
        last: Option<RecordId>,
    }
}

/// The relation of a page to the records that were read before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// The page contains the last record that was read, or no record was read before.
    Same,
    /// The page does not contain the last record that was read.
    Unknown,
    /// The stream ends before the last record that was read: the page is outdated or the stream was
    /// reset.
    Behind,
    /// Another record is at the offset of the last record that was read: the stream was reset.
    Reset,
}

impl Prefix {
    /// Creates a prefix at the first offset of a stream, before which no record exists.
    pub fn from_start() -> Self {
        Self { next: Offset(0), clock: Wall(0), since: Some(Wall(0)), last: None }
    }

    /// Creates a prefix at a later offset; earlier records are unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::{id::{Incarnation, Offset, RecordId}, time::Wall};
    /// use goldcrestvale_ledger::{prefix::Prefix, record::View};
    ///
    /// let mut prefix = Prefix::trimmed(Offset(40));
    /// assert_eq!(prefix.since(), None);
    /// let id = RecordId { incarnation: Incarnation(1), sequence: 0 };
    /// prefix.advance(&View { offset: Offset(40), id, written: Wall(9_000), data: "{}" })?;
    /// assert_eq!(prefix.since(), Some(Wall(9_000)));
    /// # Ok::<(), goldcrestvale_ledger::prefix::Error>(())
    /// ```
    pub fn trimmed(oldest: Offset) -> Self {
        if oldest == Offset(0) {
            return Self::from_start();
        }
        Self { next: oldest, clock: Wall(0), since: None, last: None }
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the time of the log: the latest time at which a record that was read was written.
    pub fn clock(&self) -> Wall {
        self.clock
    }

    /// Returns the time since which no record is missing, or `None` before the first record.
    pub fn since(&self) -> Option<Wall> {
        self.since
    }

    /// Advances past the next record.
    ///
    /// # Errors
    ///
    /// Fails if the offset is not the next one; the position is unchanged then.
    pub fn advance(&mut self, record: &View<'_>) -> Result<()> {
        self.check(record.offset)?;
        self.clock = self.clock.max(record.written);
        self.since.get_or_insert(record.written);
        self.next = record.offset.next();
        self.last = Some(record.id);
        Ok(())
    }

    /// Treats all records so far as unknown, after a record that could not be parsed.
    pub fn mark_unproven(&mut self) {
        self.since = Some(self.clock);
    }

    /// Returns the offset to read from: the last record that was read is read again, so that a
    /// reset of the stream is detected.
    pub fn read_from(&self) -> Offset {
        if self.last.is_some() { Offset(self.next.0 - 1) } else { self.next }
    }

    /// Compares a page with the last record that was read.
    pub fn compare(&self, page: &Page<'_>) -> Continuity {
        if page.end < self.next {
            return Continuity::Behind;
        }
        let Some(last) = self.last else { return Continuity::Same };
        match page.records.iter().find(|record| record.offset.next() == self.next) {
            Some(record) if record.id == last => Continuity::Same,
            Some(_) => Continuity::Reset,
            None => Continuity::Unknown,
        }
    }

    fn check(&self, found: Offset) -> Result<()> {
        let expected = self.next;
        match found.cmp(&expected) {
            std::cmp::Ordering::Less => BackwardsSnafu { expected, found }.fail(),
            std::cmp::Ordering::Equal => Ok(()),
            std::cmp::Ordering::Greater => GapSnafu { expected, found }.fail(),
        }
    }
}
