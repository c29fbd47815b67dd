//! Work that other instances handed to upstreams since a load report was taken.
//!
//! Instances tell what they have in progress, not what they ever sent: of a short call that has
//! ended, nothing is left to correct a report by.

use std::collections::HashSet;

use goldcrestvale_base::{
    domain,
    id::{Digest, Instance, Upstream},
    time::Instant,
};
use indexmap::IndexMap;
use serde::Serialize;
use smallvec::SmallVec;

/// Most upstreams in one message.
pub const MAX_TOTALS: usize = 16;

/// Counts of one peer that are kept for each upstream.
const KEPT: usize = 8;

/// Most upstreams that are kept for each peer.
const MAX_UPSTREAMS: usize = 4_096;

domain! {
    copy
    /// A short name of an upstream: the first 4 bytes of the digest of its name.
    ///
    /// Two upstreams that share one only blur a correction.
    #[serde(transparent)]
    pub struct UpstreamHash(pub u32);

    /// Units of work that one instance has in progress at an upstream.
    pub struct Total {
        /// The upstream.
        pub upstream: UpstreamHash,
        /// The units.
        pub units: u32,
    }
}

domain! {
    value
    /// Units of work that this instance has in progress at an upstream.
    pub struct UpstreamWork {
        /// The upstream.
        pub upstream: Upstream,
        /// The units.
        pub units: u32,
    }

    /// The counts that changed most since they were last told.
    pub struct Totals {
        /// The counts.
        pub totals: Vec<Total>,
    }
}

impl UpstreamHash {
    /// Returns the short name of an upstream.
    pub fn of(upstream: &Upstream) -> Self {
        let Digest(bytes) = Digest::of(upstream.as_str().as_bytes());
        Self(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }
}

/// What this instance has in progress at upstreams, and has told.
#[derive(Debug, Clone, Default)]
pub struct LocalWork {
    totals: IndexMap<UpstreamHash, Told>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Told {
    units: u32,
    told: u32,
}

impl LocalWork {
    /// Takes the present counts of all upstreams.
    pub fn set(&mut self, sent: &[UpstreamWork]) {
        let present: HashSet<UpstreamHash> =
            sent.iter().map(|sent| UpstreamHash::of(&sent.upstream)).collect();
        self.totals.retain(|short, _| present.contains(short));
        for UpstreamWork { upstream, units } in sent {
            self.totals.entry(UpstreamHash::of(upstream)).or_default().units = *units;
        }
    }

    /// Returns the largest counts as they were told last, if there are any.
    pub fn all(&self) -> Option<Totals> {
        let mut told: Vec<Total> = self
            .totals
            .iter()
            .filter(|(_, told)| told.told > 0)
            .map(|(&upstream, told)| Total { upstream, units: told.told })
            .collect();
        told.sort_by_key(|total| std::cmp::Reverse(total.units));
        told.truncate(MAX_TOTALS);
        (!told.is_empty()).then_some(Totals { totals: told })
    }

    /// Takes out the counts that changed most since they were last told, if any changed.
    pub fn report(&mut self) -> Option<Totals> {
        let mut changed: Vec<_> =
            self.totals.iter_mut().filter(|(_, told)| told.units != told.told).collect();
        changed.sort_by_key(|(_, told)| std::cmp::Reverse(told.units.abs_diff(told.told)));
        changed.truncate(MAX_TOTALS);
        let totals: Vec<_> = changed
            .into_iter()
            .map(|(&upstream, told)| {
                told.told = told.units;
                Total { upstream, units: told.units }
            })
            .collect();
        (!totals.is_empty()).then_some(Totals { totals })
    }
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Sample {
    heard: Instant,
    units: u32,
}

type Samples = SmallVec<[Sample; KEPT]>;

/// What the other instances said they have in progress at upstreams.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{id::Upstream, time::Instant};
/// use goldcrestvale_member::in_flight::{PeerWork, Total, Totals, UpstreamHash};
///
/// let upstream: Upstream = "engine-1".parse()?;
/// let hash = UpstreamHash::of(&upstream);
/// let total = |units| Totals { totals: vec![Total { upstream: hash, units }] };
/// let mut others = PeerWork::default();
/// others.receive(Instant(1), &"bole-1".parse()?, &total(10));
/// others.receive(Instant(5), &"bole-1".parse()?, &total(14));
/// assert_eq!(others.growth_since(&upstream, Instant(3)), 4);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct PeerWork {
    peers: IndexMap<Instance, IndexMap<UpstreamHash, Samples>>,
}

impl PeerWork {
    /// Takes the counts of a peer.
    pub fn receive(&mut self, now: Instant, from: &Instance, told: &Totals) {
        let upstreams = self.peers.entry(from.clone()).or_default();
        for Total { upstream, units } in &told.totals {
            if upstreams.len() >= MAX_UPSTREAMS && !upstreams.contains_key(upstream) {
                continue;
            }
            let samples = upstreams.entry(*upstream).or_default();
            if samples.len() == KEPT {
                samples.remove(0);
            }
            samples.push(Sample { heard: now, units: *units });
        }
    }

    /// Forgets a peer, whose work ends with it.
    pub fn forget(&mut self, instance: &Instance) {
        self.peers.shift_remove(instance);
    }

    /// Returns what the others said last that they have in progress at an upstream.
    pub fn total(&self, upstream: &Upstream) -> u32 {
        let short = UpstreamHash::of(upstream);
        let told = self.peers.values().filter_map(|upstreams| upstreams.get(&short)?.last());
        told.map(|sample| sample.units).sum()
    }

    /// Returns by how much the work of the others at an upstream has grown since a time; less
    /// than zero if it has shrunk.
    pub fn growth_since(&self, upstream: &Upstream, since: Instant) -> i64 {
        let short = UpstreamHash::of(upstream);
        self.peers
            .values()
            .filter_map(|upstreams| upstreams.get(&short))
            .map(|samples| grown_since(samples, since))
            .sum()
    }
}

fn grown_since(samples: &Samples, since: Instant) -> i64 {
    let before = samples.iter().rev().find(|sample| sample.heard <= since);
    match (before.or(samples.first()), samples.last()) {
        (Some(before), Some(last)) => i64::from(last.units) - i64::from(before.units),
        _ => 0,
    }
}
