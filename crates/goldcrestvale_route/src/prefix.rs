//! Hints of which engines cache which prompt prefixes.

use std::collections::{HashMap, HashSet, VecDeque};

use goldcrestvale_base::id::Upstream;
use smallvec::SmallVec;

/// Positions in one block of a cached prefix.
pub const BLOCK_POSITIONS: u32 = 16;

/// An engine that seems to cache the beginning of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Match {
    /// The engine.
    pub upstream: Upstream,
    /// Number of positions that it seems to cache, from position 0.
    pub positions: u32,
}

/// The cached prefixes that engines have told of.
///
/// Events come late and some are lost, so a match is a hint: it makes an engine cheaper and is
/// never relied on. The memory per engine is bounded; the oldest hint goes first.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::id::Upstream;
/// use goldcrestvale_route::prefix::{BLOCK_POSITIONS, Index};
///
/// let engine: Upstream = "large-1".parse()?;
/// let mut index = Index::new(1_000);
/// index.insert(&engine, 11);
/// index.insert(&engine, 12);
/// // The prompt has three blocks, of which the engine caches two.
/// assert_eq!(index.positions(&engine, &[11, 12, 13]), 2 * BLOCK_POSITIONS);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Index {
    most: usize,
    engines: HashMap<Upstream, Held>,
    holders: HashMap<u64, SmallVec<[Upstream; 4]>>,
}

/// The prefixes of one engine.
#[derive(Debug, Clone, Default)]
struct Held {
    set: HashSet<u64>,
    /// In order of insertion; may name prefixes that were removed since.
    order: VecDeque<u64>,
}

impl Index {
    /// Creates an index that keeps at most `most` prefixes per engine.
    pub fn new(most: usize) -> Self {
        Self { most: most.max(1), engines: HashMap::new(), holders: HashMap::new() }
    }

    /// Notes that an engine cached a prefix, named by its digest.
    pub fn insert(&mut self, upstream: &Upstream, prefix: u64) {
        let held = self.engines.entry(upstream.clone()).or_default();
        if !held.set.insert(prefix) {
            return;
        }
        held.order.push_back(prefix);
        self.holders.entry(prefix).or_default().push(upstream.clone());
        self.trim(upstream);
    }

    /// Notes that an engine evicted a prefix, or turned out not to cache it.
    pub fn remove(&mut self, upstream: &Upstream, prefix: u64) {
        let held = self.engines.get_mut(upstream);
        if held.is_some_and(|held| held.set.remove(&prefix)) {
            self.forget(upstream, prefix);
        }
    }

    /// Forgets an engine, for example one that began a new life.
    pub fn clear(&mut self, upstream: &Upstream) {
        let Some(held) = self.engines.remove(upstream) else {
            return;
        };
        for prefix in held.set {
            self.forget(upstream, prefix);
        }
    }

    /// Returns how many positions of a prompt an engine seems to cache.
    ///
    /// `prefixes` are the digests of the prompt's blocks, in order. A prefix may be known though
    /// a shorter one is not, since events are lost.
    pub fn positions(&self, upstream: &Upstream, prefixes: &[u64]) -> u32 {
        let Some(held) = self.engines.get(upstream) else {
            return 0;
        };
        let longest = prefixes.iter().rposition(|prefix| held.set.contains(prefix));
        longest.map_or(0, |block| (block as u32 + 1) * BLOCK_POSITIONS)
    }

    /// Returns the engines that seem to cache the longest beginning of a prompt.
    pub fn longest(&self, prefixes: &[u64]) -> SmallVec<[Match; 4]> {
        let known = |(block, prefix): (usize, &u64)| Some((block, self.holders.get(prefix)?));
        let Some((block, holders)) = prefixes.iter().enumerate().rev().find_map(known) else {
            return SmallVec::new();
        };
        let positions = (block as u32 + 1) * BLOCK_POSITIONS;
        holders.iter().map(|upstream| Match { upstream: upstream.clone(), positions }).collect()
    }

    /// Returns the number of known prefixes, each counted once per engine.
    pub fn len(&self) -> usize {
        self.engines.values().map(|held| held.set.len()).sum()
    }

    /// Returns whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn trim(&mut self, upstream: &Upstream) {
        while let Some(held) = self.engines.get_mut(upstream) {
            // Entries of removed prefixes are bounded with the rest.
            let full = held.set.len() > self.most || held.order.len() > self.most * 2;
            let Some(oldest) = held.order.front().copied().filter(|_| full) else {
                return;
            };
            held.order.pop_front();
            if held.set.remove(&oldest) {
                self.forget(upstream, oldest);
            }
        }
    }

    fn forget(&mut self, upstream: &Upstream, prefix: u64) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder != upstream);
            if holders.is_empty() {
                self.holders.remove(&prefix);
            }
        }
    }
}
