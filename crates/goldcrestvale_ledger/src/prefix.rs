//! The part of a stream that a fold has read.

use goldcrestvale_base::{
    domain,
    id::{Offset, RecordId},
    time::Wall,
};
use snafu::Snafu;

use crate::record::{Page, View};

/// The result of reading on.
pub type Result<T> = std::result::Result<T, Error>;

/// A reason why a record cannot be read as the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Records between the last one read and this one are missing.
    #[snafu(display("the record at offset {found} was read where {expected} was next"))]
    Gap {
        /// Offset that was next.
        expected: Offset,
        /// Offset that was read.
        found: Offset,
    },
    /// The stream is shorter than what was read of it before; the newer state is kept.
    #[snafu(display("the stream went back to offset {found} after {expected} was reached"))]
    Backwards {
        /// Offset that was next.
        expected: Offset,
        /// Offset that was read.
        found: Offset,
    },
}

domain! {
    value
    /// The position of a fold in its stream, and what the fold can prove from there.
    pub struct Prefix {
        next: Offset,
        clock: Wall,
        since: Option<Wall>,
        last: Option<RecordId>,
    }
}

/// How a page stands to what was read of its stream before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// The page repeats the last record that was read, or nothing was read before.
    Same,
    /// The page does not hold the last record that was read.
    Unknown,
    /// The stream ends before what was read: the page is old, or the stream was reset.
    Behind,
    /// Another record stands where the last one was read: the stream was reset.
    Reset,
}

impl Prefix {
    /// Starts at the first offset that a stream ever had, where nothing is missing.
    pub fn from_start() -> Self {
        Self { next: Offset(0), clock: Wall(0), since: Some(Wall(0)), last: None }
    }

    /// Starts at a later offset; what was written before is not known.
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

    /// Returns the time from which on nothing is missing, or `None` before the first record.
    pub fn since(&self) -> Option<Wall> {
        self.since
    }

    /// Takes the next record.
    ///
    /// # Errors
    ///
    /// Fails if the offset is not the next one; nothing changes then.
    pub fn advance(&mut self, record: &View<'_>) -> Result<()> {
        self.check(record.offset)?;
        self.clock = self.clock.max(record.written);
        self.since.get_or_insert(record.written);
        self.next = record.offset.next();
        self.last = Some(record.id);
        Ok(())
    }

    /// Counts what was read so far as unknown, after a record that could not be understood.
    pub fn mark_unproven(&mut self) {
        self.since = Some(self.clock);
    }

    /// Returns the offset to read from: the last record that was read is asked for once more, so
    /// that a stream that was reset is noticed.
    pub fn read_from(&self) -> Offset {
        if self.last.is_some() { Offset(self.next.0 - 1) } else { self.next }
    }

    /// Compares a page with what was read before.
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
