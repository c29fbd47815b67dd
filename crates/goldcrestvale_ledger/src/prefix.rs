//! The part of a stream that a fold has read.

use goldcrestvale_base::{domain, id::Offset, time::Wall};
use snafu::Snafu;

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
    }
}

impl Prefix {
    /// Starts at the first offset that a stream ever had, where nothing is missing.
    pub fn whole() -> Self {
        Self { next: Offset(0), clock: Wall(0), since: Some(Wall(0)) }
    }

    /// Starts at a later offset; what was written before is not known.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::{id::Offset, time::Wall};
    /// use goldcrestvale_ledger::prefix::Prefix;
    ///
    /// let mut prefix = Prefix::trimmed(Offset(40));
    /// assert_eq!(prefix.since(), None);
    /// prefix.advance(Offset(40), Wall(9_000))?;
    /// assert_eq!(prefix.since(), Some(Wall(9_000)));
    /// # Ok::<(), goldcrestvale_ledger::prefix::Error>(())
    /// ```
    pub fn trimmed(oldest: Offset) -> Self {
        if oldest == Offset(0) {
            return Self::whole();
        }
        Self { next: oldest, clock: Wall(0), since: None }
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
    pub fn advance(&mut self, offset: Offset, written: Wall) -> Result<()> {
        self.check(offset)?;
        self.clock = self.clock.max(written);
        self.since.get_or_insert(written);
        self.next = offset.next();
        Ok(())
    }

    /// Counts what was read so far as unknown, after a record that could not be understood.
    pub fn distrust(&mut self) {
        self.since = Some(self.clock);
    }

    /// Checks that the end of a stream is not before what was read of it.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Backwards`] if it is.
    pub fn check_end(&self, end: Offset) -> Result<()> {
        if end < self.next {
            return BackwardsSnafu { expected: self.next, found: end }.fail();
        }
        Ok(())
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
