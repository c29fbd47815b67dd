//! Hints about which engines cache which prompt prefixes.

use std::collections::{HashMap, HashSet, VecDeque};

use goldcrestvale_base::id::Upstream;
use smallvec::SmallVec;

/// Number of positions in one block of a cached prefix.
pub const BLOCK_POSITIONS: u32 = 16;

/// An engine that probably caches the beginning of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Match {
    /// The engine.
    pub upstream: Upstream,
    /// Number of positions that it probably caches, from position 0.
    pub positions: u32,
}

/// The cached prefixes that engines have reported.
///
/// Events are delayed and some are lost, so a match is a hint that lowers the cost of an engine
/// and is never relied on. The memory per engine is bounded; the oldest hint is removed first.
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
    max_prefixes: usize,
    engines: HashMap<Upstream, Prefixes>,
    holders: HashMap<u64, SmallVec<[Upstream; 4]>>,
}

/// The prefixes of one engine.
#[derive(Debug, Clone, Default)]
struct Prefixes {
    set: HashSet<u64>,
    /// In order of insertion; may contain prefixes that were removed since.
    order: VecDeque<u64>,
}

impl Index {
    /// Creates an index that keeps at most `max_prefixes` prefixes per engine.
    pub fn new(max_prefixes: usize) -> Self {
        Self { max_prefixes: max_prefixes.max(1), engines: HashMap::new(), holders: HashMap::new() }
    }

    /// Records that an engine cached a prefix, identified by its digest.
    pub fn insert(&mut self, upstream: &Upstream, prefix: u64) {
        let cached = self.engines.entry(upstream.clone()).or_default();
        if !cached.set.insert(prefix) {
            return;
        }
        cached.order.push_back(prefix);
        self.holders.entry(prefix).or_default().push(upstream.clone());
        self.evict_oldest(upstream);
    }

    /// Records that an engine evicted a prefix, or was found not to cache it.
    pub fn remove(&mut self, upstream: &Upstream, prefix: u64) {
        let cached = self.engines.get_mut(upstream);
        if cached.is_some_and(|cached| cached.set.remove(&prefix)) {
            self.remove_holder(upstream, prefix);
        }
    }

    /// Removes all prefixes of an engine, for example after it restarted.
    pub fn clear(&mut self, upstream: &Upstream) {
        let Some(cached) = self.engines.remove(upstream) else {
            return;
        };
        for prefix in cached.set {
            self.remove_holder(upstream, prefix);
        }
    }

    /// Returns how many positions of a prompt an engine probably caches.
    ///
    /// `prefixes` are the digests of the prompt's blocks, in order. A prefix may be known even if a
    /// shorter one is not, since events can be lost.
    pub fn positions(&self, upstream: &Upstream, prefixes: &[u64]) -> u32 {
        let Some(cached) = self.engines.get(upstream) else {
            return 0;
        };
        let longest = prefixes.iter().rposition(|prefix| cached.set.contains(prefix));
        longest.map_or(0, |block| (block as u32 + 1) * BLOCK_POSITIONS)
    }

    /// Returns the engines that probably cache the longest beginning of a prompt.
    pub fn longest_matches(&self, prefixes: &[u64]) -> SmallVec<[Match; 4]> {
        let known = |(block, prefix): (usize, &u64)| Some((block, self.holders.get(prefix)?));
        let Some((block, holders)) = prefixes.iter().enumerate().rev().find_map(known) else {
            return SmallVec::new();
        };
        let positions = (block as u32 + 1) * BLOCK_POSITIONS;
        holders.iter().map(|upstream| Match { upstream: upstream.clone(), positions }).collect()
    }

    /// Returns the number of known prefixes, each counted once per engine.
    pub fn len(&self) -> usize {
        self.engines.values().map(|cached| cached.set.len()).sum()
    }

    /// Returns whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn evict_oldest(&mut self, upstream: &Upstream) {
        while let Some(cached) = self.engines.get_mut(upstream) {
            // The order also contains removed prefixes, so its length is bounded separately.
            let is_full =
                cached.set.len() > self.max_prefixes || cached.order.len() > self.max_prefixes * 2;
            let Some(oldest) = cached.order.front().copied().filter(|_| is_full) else {
                return;
            };
            cached.order.pop_front();
            if cached.set.remove(&oldest) {
                self.remove_holder(upstream, oldest);
            }
        }
    }

    fn remove_holder(&mut self, upstream: &Upstream, prefix: u64) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder != upstream);
            if holders.is_empty() {
                self.holders.remove(&prefix);
            }
        }
    }
}
