//! The planner, which finds a shortest path over layer boundaries.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use goldcrestvale_base::{engine::Layers, id::Upstream};
use indexmap::IndexMap;
use smallvec::SmallVec;
use snafu::{Snafu, ensure};

use super::{
    Candidate, Chain, Stage,
    graph::{EDGES_PER_PAIR, Graph, UsableCandidate},
};

/// The result of planning.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why no chain was planned.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No usable candidate holds some of the layers.
    #[snafu(display("no usable engine holds layers {}", format_ranges(layers)))]
    Uncovered {
        /// The layers that no usable candidate holds, in order.
        layers: SmallVec<[Layers; 2]>,
    },
    /// The span is empty or exceeds the model.
    #[snafu(display("layers {}..{} are not a span of a model of {total} layers", span.from, span.to))]
    Span {
        /// The requested span.
        span: Layers,
        /// Number of layers of the model.
        total: u32,
    },
}

fn format_ranges(layers: &[Layers]) -> String {
    let ranges: Vec<_> = layers.iter().map(|l| format!("{}..{}", l.from, l.to)).collect();
    ranges.join(", ")
}

/// Plans the chains of a draft.
pub trait Plan {
    /// Returns the span of all layers of the model.
    fn span(&self) -> Layers;

    /// Plans a chain over a span of layers that uses no excluded upstream.
    ///
    /// # Errors
    ///
    /// Returns an error that names the layers that no usable candidate holds.
    fn plan(&self, span: Layers, excluded: &[Upstream]) -> Result<Chain>;

    /// Returns a stage on a single engine that holds all layers of a span, if there is one.
    fn cover(&self, span: Layers, excluded: &[Upstream]) -> Option<Stage>;

    /// Returns the expected time that a new step of a stage waits for the work queued before it.
    fn queue_delay(&self, _stage: &Stage) -> Duration {
        Duration::ZERO
    }

    /// Returns whether an engine was active recently.
    fn is_alive(&self, _upstream: &Upstream) -> bool {
        false
    }
}

/// Significant bits to which the cost of a link is rounded up, so that the number of buckets
/// depends on the range of link costs and not on the number of engines.
const LINK_BITS: u32 = 3;

/// Candidates with the same layer range and link cost, in order of their cost per layer.
///
/// They differ in nothing else, so the first few are the best for every part of the range.
type Bucket = BTreeSet<(Duration, Upstream)>;

/// Plans chains over the candidates that hold one version of one model.
///
/// The cost of a chain is the sum of the costs of its stages plus a multiple of the cost of its
/// most expensive stage. Stages begin and end where the range of some candidate begins or ends,
/// and no two neighbouring stages use the same engine.
///
/// Insertion and removal take time logarithmic in the number of candidates. Planning considers
/// only the best candidates for each pair of layer range and link cost.
#[derive(Debug, Clone)]
pub struct Planner {
    total: u32,
    weight: u32,
    candidates: IndexMap<Upstream, Candidate>,
    buckets: BTreeMap<(Layers, Duration), Bucket>,
}

impl Planner {
    /// Creates a planner for a model of `total` layers.
    ///
    /// `weight` multiplies the time of the slowest stage of a chain. Zero optimises for latency
    /// alone, higher weights for throughput.
    pub fn new(total: u32, weight: u32) -> Self {
        Self { total, weight, candidates: IndexMap::new(), buckets: BTreeMap::new() }
    }

    /// Returns the span of all layers of the model.
    pub fn span(&self) -> Layers {
        Layers { from: 0, to: self.total }
    }

    /// Returns the number of candidates.
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Returns whether there are no candidates.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns the candidate of an upstream.
    pub fn get(&self, upstream: &Upstream) -> Option<&Candidate> {
        self.candidates.get(upstream)
    }

    /// Adds a candidate, or replaces the one of the same name.
    pub fn insert(&mut self, candidate: Candidate) {
        self.remove(&candidate.upstream);
        let link = round_link(candidate.link);
        for layers in candidate.ranges() {
            let bucket = self.buckets.entry((layers, link)).or_default();
            bucket.insert((candidate.cost, candidate.upstream.clone()));
        }
        self.candidates.insert(candidate.upstream.clone(), candidate);
    }

    /// Removes a candidate that is leaving, failed or ejected.
    pub fn remove(&mut self, upstream: &Upstream) -> Option<Candidate> {
        let candidate = self.candidates.swap_remove(upstream)?;
        let link = round_link(candidate.link);
        let key = (candidate.cost, candidate.upstream.clone());
        for layers in candidate.ranges() {
            if let Some(bucket) = self.buckets.get_mut(&(layers, link)) {
                bucket.remove(&key);
                if bucket.is_empty() {
                    self.buckets.remove(&(layers, link));
                }
            }
        }
        Some(candidate)
    }

    /// Sets the cost of a candidate after a change of its load.
    pub fn set_cost(&mut self, upstream: &Upstream, cost: Duration) {
        if let Some(mut candidate) = self.remove(upstream) {
            candidate.cost = cost;
            self.insert(candidate);
        }
    }

    /// Returns the candidates with the layer range and link cost of the engine of a stage, the
    /// cheapest first.
    pub fn iter_peers(&self, stage: &Stage) -> impl Iterator<Item = &Candidate> {
        let ranges = self.get(&stage.upstream).map(Candidate::ranges).unwrap_or_default();
        let range = ranges.into_iter().find(|range| range.covers(stage.layers));
        let bucket = range.and_then(|range| self.buckets.get(&(range, stage.link)));
        bucket.into_iter().flatten().filter_map(|(_, upstream)| self.get(upstream))
    }

    /// Plans the chain of lowest cost over a span of layers that uses no excluded upstream.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use goldcrestvale_base::engine::{Accelerator, Layers};
    /// use goldcrestvale_route::chain::{Candidate, Error, Planner};
    ///
    /// let mut planner = Planner::new(8, 1);
    /// planner.insert(Candidate {
    ///     upstream: "e1".parse()?,
    ///     domain: "yeka".parse()?,
    ///     accelerator: Accelerator::Large,
    ///     holds: [Layers { from: 0, to: 5 }].into_iter().collect(),
    ///     step: Duration::from_micros(200),
    ///     slowdown: 1,
    ///     cost: Duration::from_micros(200),
    ///     prefill: Duration::from_micros(2),
    ///     link: Duration::from_millis(1),
    /// });
    /// let layers = [Layers { from: 5, to: 8 }].into_iter().collect();
    /// assert_eq!(planner.plan(planner.span(), &[]), Err(Error::Uncovered { layers }));
    /// assert!(planner.plan(Layers { from: 1, to: 5 }, &[]).is_ok());
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns [`Error::Uncovered`] with the layers that no usable candidate holds, and
    /// [`Error::Span`] for a span that is empty or exceeds the model.
    pub fn plan(&self, span: Layers, excluded: &[Upstream]) -> Result<Chain> {
        ensure!(
            !span.is_empty() && self.span().covers(span),
            SpanSnafu { span, total: self.total }
        );
        let usable = self.usable(span, excluded);
        let layers = uncovered(span, &usable);
        ensure!(layers.is_empty(), UncoveredSnafu { layers });
        let graph = Graph::new(span, &usable);
        let path = graph.path(self.weight);
        let stages = path.into_iter().map(|(layers, upstream)| self.stage(upstream, layers));
        Ok(Chain::new(span, stages).expect("a path visits the boundaries of the span in order"))
    }

    /// Returns a stage on the best engine that holds all layers of a span, if there is one.
    pub fn cover(&self, span: Layers, excluded: &[Upstream]) -> Option<Stage> {
        let usable = self.usable(span, excluded);
        let covering = usable.iter().filter(|candidate| candidate.layers.covers(span));
        let best = covering.min_by_key(|candidate| (candidate.cost(span), candidate.upstream))?;
        Some(self.stage(best.upstream, span))
    }

    /// Returns the usable candidates that can be in a chain of lowest cost, clipped to the span.
    fn usable(&self, span: Layers, excluded: &[Upstream]) -> Vec<UsableCandidate<'_>> {
        let mut usable: Vec<UsableCandidate<'_>> = Vec::with_capacity(self.buckets.len());
        let mut lowest_costs = LowestCosts::default();
        let mut range = None;
        for ((held, link), bucket) in &self.buckets {
            let layers = Layers { from: held.from.max(span.from), to: held.to.min(span.to) };
            if layers.is_empty() {
                continue;
            }
            // Buckets of one range are adjacent and ordered by link cost.
            if range.replace(held) != Some(held) {
                lowest_costs = LowestCosts::default();
            }
            let allowed = bucket.iter().filter(|(_, upstream)| !excluded.contains(upstream));
            for (layer_cost, upstream) in allowed.take(EDGES_PER_PAIR) {
                if !lowest_costs.insert(*layer_cost) {
                    break;
                }
                usable.push(UsableCandidate {
                    layers,
                    link: *link,
                    layer_cost: *layer_cost,
                    upstream,
                });
            }
        }
        usable
    }

    fn stage(&self, upstream: &Upstream, layers: Layers) -> Stage {
        let candidate = &self.candidates[upstream];
        candidate.to_stage(layers, round_link(candidate.link))
    }
}

impl Plan for Planner {
    fn span(&self) -> Layers {
        self.span()
    }

    fn plan(&self, span: Layers, excluded: &[Upstream]) -> Result<Chain> {
        self.plan(span, excluded)
    }

    fn cover(&self, span: Layers, excluded: &[Upstream]) -> Option<Stage> {
        self.cover(span, excluded)
    }
}

/// The lowest costs per layer for one layer range, over all links up to the current cost.
#[derive(Debug, Default)]
struct LowestCosts {
    costs: SmallVec<[Duration; EDGES_PER_PAIR]>,
}

impl LowestCosts {
    /// Adds a candidate and returns `true`, unless [`EDGES_PER_PAIR`] candidates behind links that
    /// cost no more are at least as fast.
    fn insert(&mut self, layer_cost: Duration) -> bool {
        if self.costs.len() == EDGES_PER_PAIR && self.costs[EDGES_PER_PAIR - 1] <= layer_cost {
            return false;
        }
        self.costs.truncate(EDGES_PER_PAIR - 1);
        let index = self.costs.partition_point(|cost| *cost <= layer_cost);
        self.costs.insert(index, layer_cost);
        true
    }
}

/// Rounds the cost of a link up to [`LINK_BITS`] significant bits.
fn round_link(link: Duration) -> Duration {
    let nanos = u64::try_from(link.as_nanos()).unwrap_or(u64::MAX);
    let dropped_bits = (u64::BITS - nanos.leading_zeros()).saturating_sub(LINK_BITS);
    let granularity = 1_u64 << dropped_bits;
    Duration::from_nanos(nanos.div_ceil(granularity).saturating_mul(granularity))
}

/// Returns the ranges of a span that no usable candidate holds.
fn uncovered(span: Layers, usable: &[UsableCandidate<'_>]) -> SmallVec<[Layers; 2]> {
    let mut gaps = SmallVec::new();
    let mut next_layer = span.from;
    // Usable candidates are ordered by the start of their range, as the buckets are.
    for candidate in usable {
        if candidate.layers.from > next_layer {
            gaps.push(Layers { from: next_layer, to: candidate.layers.from });
        }
        next_layer = next_layer.max(candidate.layers.to);
    }
    if next_layer < span.to {
        gaps.push(Layers { from: next_layer, to: span.to });
    }
    gaps
}
