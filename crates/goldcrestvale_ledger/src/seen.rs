//! The identities of records already read, by which a repeated append is recognised.

use std::collections::BTreeMap;

use goldcrestvale_base::{
    domain,
    id::{Incarnation, RecordId},
    time::Wall,
};
use smallvec::SmallVec;

domain! {
    value
    /// The identities of records already read, as ranges of numbers for each process.
    #[derive(Default)]
    pub struct Seen {
        writers: BTreeMap<Incarnation, Writer>,
    }

    /// The numbers of one process.
    struct Writer {
        last: Wall,
        ranges: SmallVec<[Range; 1]>,
    }

    /// Numbers `from..to`, all read.
    struct Range {
        from: u64,
        to: u64,
    }
}

impl Seen {
    /// Adds an identity and returns whether it is new.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::{id::{Incarnation, RecordId}, time::Wall};
    /// use goldcrestvale_ledger::seen::Seen;
    ///
    /// let mut seen = Seen::default();
    /// let id = RecordId { incarnation: Incarnation(1), sequence: 9 };
    /// assert!(seen.insert(id, Wall(0)));
    /// assert!(!seen.insert(id, Wall(5)));
    /// ```
    pub fn insert(&mut self, id: RecordId, clock: Wall) -> bool {
        let writer = self
            .writers
            .entry(id.incarnation)
            .or_insert_with(|| Writer { last: clock, ranges: SmallVec::new() });
        writer.last = clock;
        writer.insert(id.sequence)
    }

    /// Forgets processes that wrote nothing since a time.
    pub fn expire(&mut self, before: Wall) {
        self.writers.retain(|_, writer| writer.last >= before);
    }

    /// Returns the number of processes remembered.
    pub fn writers(&self) -> usize {
        self.writers.len()
    }

    /// Returns the number of ranges remembered.
    pub fn ranges(&self) -> usize {
        self.writers.values().map(|writer| writer.ranges.len()).sum()
    }
}

impl Writer {
    fn insert(&mut self, sequence: u64) -> bool {
        let at = self.ranges.partition_point(|range| range.to < sequence);
        let touches_next = |range: &Range| range.from == sequence + 1;
        match self.ranges.get_mut(at) {
            Some(range) if range.from <= sequence && sequence < range.to => return false,
            Some(range) if range.to == sequence => {
                range.to += 1;
                self.join(at);
            }
            Some(range) if touches_next(range) => range.from = sequence,
            _ => self.ranges.insert(at, Range { from: sequence, to: sequence + 1 }),
        }
        true
    }

    fn join(&mut self, at: usize) {
        let Some(next) = self.ranges.get(at + 1) else { return };
        if self.ranges[at].to == next.from {
            self.ranges[at].to = next.to;
            self.ranges.remove(at + 1);
        }
    }
}
