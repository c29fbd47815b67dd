//! Work in flight at upstreams, reported between instances, which corrects an upstream's load
//! report for work that other instances have sent since.
//!
//! Instances report what they have in flight, not what they have sent in total, so that a short
//! call that has ended no longer corrects a report.

use std::collections::HashSet;

use goldcrestvale_base::{
    domain,
    id::{Digest, Instance, Upstream},
    time::Instant,
};
use indexmap::IndexMap;
use serde::Serialize;
use smallvec::SmallVec;

/// Maximum number of upstreams in one message.
pub const MAX_TOTALS: usize = 16;

/// Part of the reported tokens, as a divisor, up to which a change is not reported. Every event of a
/// stream changes its tokens a little.
const TOKENS_STEP_DIVISOR: u32 = 8;

/// Maximum number of samples that are kept for each peer and upstream.
const MAX_SAMPLES: usize = 8;

/// Maximum number of upstreams that are kept for each peer.
const MAX_UPSTREAMS: usize = 4_096;

domain! {
    copy
    /// Short identifier of an upstream: the first 4 bytes of the digest of its name.
    ///
    /// A collision of two upstreams only makes a correction less exact.
    #[serde(transparent)]
    pub struct UpstreamHash(pub u32);

    /// Units of work that one instance has in flight at an upstream.
    pub struct Total {
        /// The upstream.
        pub upstream: UpstreamHash,
        /// The units.
        pub units: u32,
        /// Tokens that the work holds and will still write, if they are known.
        pub tokens: Option<u32>,
    }
}

domain! {
    value
    /// Units of work that this instance has in flight at an upstream.
    pub struct UpstreamWork {
        /// The upstream.
        pub upstream: Upstream,
        /// The units.
        pub units: u32,
        /// Tokens that the work holds and will still write, if they are known.
        pub tokens: Option<u32>,
    }

    /// The counts that changed most since they were last reported.
    pub struct Totals {
        /// The counts.
        pub totals: Vec<Total>,
    }
}

impl UpstreamHash {
    /// Returns the short identifier of an upstream.
    pub fn of(upstream: &Upstream) -> Self {
        let Digest(bytes) = Digest::of(upstream.as_str().as_bytes());
        Self(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }
}

/// The work that this instance has in flight at upstreams, and what it last reported of it.
#[derive(Debug, Clone, Default)]
pub struct LocalWork {
    totals: IndexMap<UpstreamHash, Count>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    units: u32,
    tokens: Option<u32>,
    reported: u32,
    reported_tokens: Option<u32>,
}

impl Count {
    /// Returns whether the units changed, or the tokens by more than a step.
    fn is_changed(&self) -> bool {
        let is_equal = match (self.tokens, self.reported_tokens) {
            (Some(tokens), Some(reported)) => {
                tokens.abs_diff(reported) <= reported / TOKENS_STEP_DIVISOR
            }
            (tokens, reported) => tokens == reported,
        };
        self.units != self.reported || !is_equal
    }
}

impl LocalWork {
    /// Sets the current counts of all upstreams.
    pub fn set(&mut self, work: &[UpstreamWork]) {
        let current: HashSet<UpstreamHash> =
            work.iter().map(|work| UpstreamHash::of(&work.upstream)).collect();
        self.totals.retain(|hash, _| current.contains(hash));
        for UpstreamWork { upstream, units, tokens } in work {
            let count = self.totals.entry(UpstreamHash::of(upstream)).or_default();
            (count.units, count.tokens) = (*units, *tokens);
        }
    }

    /// Returns the largest counts as they were last reported, if there are any.
    pub fn last_reported(&self) -> Option<Totals> {
        let mut totals: Vec<Total> = self
            .totals
            .iter()
            .filter(|(_, count)| count.reported > 0)
            .map(|(&upstream, count)| Total {
                upstream,
                units: count.reported,
                tokens: count.reported_tokens,
            })
            .collect();
        totals.sort_by_key(|total| std::cmp::Reverse(total.units));
        totals.truncate(MAX_TOTALS);
        (!totals.is_empty()).then_some(Totals { totals })
    }

    /// Returns the counts that changed most since they were last reported, if any changed, and
    /// marks them as reported.
    pub fn take_changes(&mut self) -> Option<Totals> {
        let mut changed: Vec<_> =
            self.totals.iter_mut().filter(|(_, count)| count.is_changed()).collect();
        changed.sort_by_key(|(_, count)| std::cmp::Reverse(count.units.abs_diff(count.reported)));
        changed.truncate(MAX_TOTALS);
        let totals: Vec<_> = changed
            .into_iter()
            .map(|(&upstream, count)| {
                (count.reported, count.reported_tokens) = (count.units, count.tokens);
                Total { upstream, units: count.units, tokens: count.tokens }
            })
            .collect();
        (!totals.is_empty()).then_some(Totals { totals })
    }
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Sample {
    #[serde(rename = "heard")]
    received: Instant,
    units: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    tokens: Option<u32>,
}

type Samples = SmallVec<[Sample; MAX_SAMPLES]>;

/// The work that the other instances report to have in flight at upstreams.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{id::Upstream, time::Instant};
/// use goldcrestvale_member::in_flight::{PeerWork, Total, Totals, UpstreamHash};
///
/// let upstream: Upstream = "engine-1".parse()?;
/// let hash = UpstreamHash::of(&upstream);
/// let total = |units| Totals { totals: vec![Total { upstream: hash, units, tokens: None }] };
/// let mut peer_work = PeerWork::default();
/// peer_work.receive(Instant(1), &"bole-1".parse()?, &total(10));
/// peer_work.receive(Instant(5), &"bole-1".parse()?, &total(14));
/// assert_eq!(peer_work.growth_since(&upstream, Instant(3)), 4);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct PeerWork {
    peers: IndexMap<Instance, IndexMap<UpstreamHash, Samples>>,
}

impl PeerWork {
    /// Records the counts that a peer reported.
    pub fn receive(&mut self, now: Instant, from: &Instance, totals: &Totals) {
        let upstreams = self.peers.entry(from.clone()).or_default();
        for Total { upstream, units, tokens } in &totals.totals {
            if upstreams.len() >= MAX_UPSTREAMS && !upstreams.contains_key(upstream) {
                continue;
            }
            let samples = upstreams.entry(*upstream).or_default();
            if samples.len() == MAX_SAMPLES {
                samples.remove(0);
            }
            samples.push(Sample { received: now, units: *units, tokens: *tokens });
        }
    }

    /// Removes a peer, whose work ends with it.
    pub fn forget(&mut self, instance: &Instance) {
        self.peers.shift_remove(instance);
    }

    /// Returns the units that the other instances last reported to have in flight at an upstream.
    pub fn total(&self, upstream: &Upstream) -> u32 {
        let hash = UpstreamHash::of(upstream);
        let latest = self.peers.values().filter_map(|upstreams| upstreams.get(&hash)?.last());
        latest.map(|sample| sample.units).sum()
    }

    /// Returns the tokens that the work of the other instances at an upstream holds and will still
    /// write. Work of peers that do not report tokens counts with `mean` for each unit, and no peer
    /// counts with more than `max_units` units of that size.
    pub fn tokens(&self, upstream: &Upstream, mean: f64, max_units: u32) -> f64 {
        let hash = UpstreamHash::of(upstream);
        let latest = self.peers.values().filter_map(|upstreams| upstreams.get(&hash)?.last());
        let max = f64::from(max_units) * mean;
        let tokens = latest.map(|sample| match sample.tokens {
            _ if sample.units == 0 => 0.0,
            Some(tokens) => f64::from(tokens).min(max),
            None => (f64::from(sample.units) * mean).min(max),
        });
        tokens.sum()
    }

    /// Returns by how many units the work of the other instances at an upstream has grown since a
    /// time; negative if it has shrunk.
    pub fn growth_since(&self, upstream: &Upstream, since: Instant) -> i64 {
        let hash = UpstreamHash::of(upstream);
        self.peers
            .values()
            .filter_map(|upstreams| upstreams.get(&hash))
            .map(|samples| sample_growth_since(samples, since))
            .sum()
    }
}

fn sample_growth_since(samples: &Samples, since: Instant) -> i64 {
    let before = samples.iter().rev().find(|sample| sample.received <= since);
    match (before.or(samples.first()), samples.last()) {
        (Some(before), Some(last)) => i64::from(last.units) - i64::from(before.units),
        _ => 0,
    }
}
