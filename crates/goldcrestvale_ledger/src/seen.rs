//! The identities of records already read, used to detect retried appends.

use std::collections::BTreeMap;

use goldcrestvale_base::{
    domain,
    id::{Incarnation, RecordId},
    time::Wall,
};
use smallvec::SmallVec;

domain! {
    value
    /// The identities of records already read, as ranges of sequence numbers for each process.
    #[derive(Default)]
    pub struct Seen {
        writers: BTreeMap<Incarnation, Writer>,
    }

    /// The sequence numbers of one process.
    struct Writer {
        last: Wall,
        ranges: SmallVec<[Range; 1]>,
    }

    /// The sequence numbers `from..to`, all of which were read.
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

    /// Removes processes that have written nothing since `before`.
    pub fn expire(&mut self, before: Wall) {
        self.writers.retain(|_, writer| writer.last >= before);
    }

    /// Returns the number of stored processes.
    pub fn writers(&self) -> usize {
        self.writers.len()
    }

    /// Returns the number of stored ranges.
    pub fn ranges(&self) -> usize {
        self.writers.values().map(|writer| writer.ranges.len()).sum()
    }
}

impl Writer {
    fn insert(&mut self, sequence: u64) -> bool {
        let at = self.ranges.partition_point(|range| range.to < sequence);
        let precedes = |range: &Range| range.from == sequence + 1;
        match self.ranges.get_mut(at) {
            Some(range) if range.from <= sequence && sequence < range.to => return false,
            Some(range) if range.to == sequence => {
                range.to += 1;
                self.merge_with_next(at);
            }
            Some(range) if precedes(range) => range.from = sequence,
            _ => self.ranges.insert(at, Range { from: sequence, to: sequence + 1 }),
        }
        true
    }

    fn merge_with_next(&mut self, at: usize) {
        let Some(next) = self.ranges.get(at + 1) else { return };
        if self.ranges[at].to == next.from {
            self.ranges[at].to = next.to;
            self.ranges.remove(at + 1);
        }
    }
}
