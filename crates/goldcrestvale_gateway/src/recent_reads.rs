//! The changes of the last reads of the directory.

use std::collections::VecDeque;

use goldcrestvale_base::id::Offset;
use indexmap::IndexMap;

use crate::port::Change;

/// Number of reads whose changes are kept.
const READS: usize = 4;

/// Maximum number of changes of earlier reads that are repeated. When thousands of engines change
/// their layers at once, repeating them would fill the links of the reader.
const MAX_REPEATED: usize = 64;

/// The changes of the last reads of the directory, which a message to the peers repeats, so that
/// the next message makes up for a lost one.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::Offset;
/// use goldcrestvale_gateway::{RecentReads, port::Change};
///
/// let mut recent = RecentReads::default();
/// recent.insert(Offset(3), vec![Change::Gone("engine-1".to_owned())]);
/// recent.insert(Offset(7), vec![]);
/// let (from, changes) = recent.changes();
/// assert_eq!((from, changes.len()), (Some(Offset(3)), 1));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RecentReads {
    /// Changes of each read, with the offset from which it was read.
    reads: VecDeque<(Offset, Vec<Change>)>,
}

impl RecentReads {
    /// Adds the changes of a read from an offset, which is where the previous one ended.
    pub fn insert(&mut self, from: Offset, changes: Vec<Change>) {
        self.reads.push_back((from, changes));
        if self.reads.len() > READS {
            self.reads.pop_front();
        }
    }

    /// Returns the last change of each key in the last reads, and the offset of the first of them.
    /// The newest read is always included.
    pub fn changes(&self) -> (Option<Offset>, Vec<Change>) {
        let mut count = 0;
        let included = self.reads.iter().rev().enumerate().take_while(|(index, (_, changes))| {
            count += changes.len();
            *index == 0 || count <= MAX_REPEATED
        });
        let first = self.reads.len() - included.count();
        let mut newest: IndexMap<&str, &Change> = IndexMap::new();
        for change in self.reads.range(first..).flat_map(|(_, changes)| changes) {
            if let Some(key) = change.upstream_key() {
                newest.insert(key, change);
            }
        }
        let from = self.reads.get(first).map(|(from, _)| *from);
        (from, newest.into_values().cloned().collect())
    }
}
