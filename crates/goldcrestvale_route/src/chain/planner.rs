//! The planner: a shortest path over layer boundaries.

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
    graph::{EDGES, Graph, Usable},
};

/// The result of planning.
pub type Result<T> = std::result::Result<T, Error>;

/// Why no chain was planned.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No usable candidate holds some of the layers.
    #[snafu(display("no usable engine holds layers {}", list(layers)))]
    Uncovered {
        /// The layers that nobody holds, in order.
        layers: SmallVec<[Layers; 2]>,
    },
    /// The span holds no layer or reaches past the model.
    #[snafu(display("layers {}..{} are not a span of a model of {total} layers", span.from, span.to))]
    Span {
        /// The span asked for.
        span: Layers,
        /// Layers of the model.
        total: u32,
    },
}

fn list(layers: &[Layers]) -> String {
    let ranges: Vec<_> = layers.iter().map(|l| format!("{}..{}", l.from, l.to)).collect();
    ranges.join(", ")
}

/// What a draft plans with.
pub trait Plan {
    /// Returns the span of the whole model.
    fn span(&self) -> Layers;

    /// Plans a chain over a span of layers, without some upstreams.
    ///
    /// # Errors
    ///
    /// Names the layers that no usable candidate holds.
    fn plan(&self, span: Layers, excluded: &[Upstream]) -> Result<Chain>;

    /// Returns a single engine that holds all layers of a span, if there is one.
    fn cover(&self, span: Layers, excluded: &[Upstream]) -> Option<Stage>;

    /// Returns the expected time of the work that stands before a new step of a stage.
    fn queue_delay(&self, _stage: &Stage) -> Duration {
        Duration::ZERO
    }

    /// Returns whether an engine gave a sign of life of late.
    fn is_alive(&self, _upstream: &Upstream) -> bool {
        false
    }
}

/// Significant bits to which the cost of a link is rounded up, so that the number of buckets
/// depends on the spread of the links and not on the number of engines.
const LINK_BITS: u32 = 3;

/// Candidates that hold the same range behind links of the same cost differ in the cost of a layer alone,
/// so the first few are the best for every part of the range.
type Bucket = BTreeSet<(Duration, Upstream)>;

/// Plans chains over the candidates that hold one version of one model.
///
/// The cost of a chain is the sum of its stages' costs plus a multiple of its dearest stage's
/// cost. Chains are cut where some candidate's range begins or ends, and no two neighbouring
/// stages are of one engine.
///
/// Inserting and removing take time logarithmic in the number of candidates. Planning looks at
/// the best candidates of each pair of held range and link cost, not at every candidate.
#[derive(Debug, Clone)]
pub struct Planner {
    total: u32,
    weight: u32,
    candidates: IndexMap<Upstream, Candidate>,
    buckets: BTreeMap<(Layers, Duration), Bucket>,
}

impl Planner {
    /// Creates a planner for a model of some layers.
    ///
    /// The weight multiplies the time of a chain's slowest stage: zero plans for latency alone,
    /// a higher one for throughput.
    pub fn new(total: u32, weight: u32) -> Self {
        Self { total, weight, candidates: IndexMap::new(), buckets: BTreeMap::new() }
    }

    /// Returns the span of the whole model.
    pub fn span(&self) -> Layers {
        Layers { from: 0, to: self.total }
    }

    /// Returns the number of candidates.
    pub fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Returns whether there is no candidate.
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns a candidate.
    pub fn get(&self, upstream: &Upstream) -> Option<&Candidate> {
        self.candidates.get(upstream)
    }

    /// Adds a candidate, or replaces the one of the same name.
    pub fn insert(&mut self, candidate: Candidate) {
        self.remove(&candidate.upstream);
        let link = rounded(candidate.link);
        for layers in candidate.ranges() {
            let bucket = self.buckets.entry((layers, link)).or_default();
            bucket.insert((candidate.cost, candidate.upstream.clone()));
        }
        self.candidates.insert(candidate.upstream.clone(), candidate);
    }

    /// Takes a candidate out: it is leaving, failed or ejected.
    pub fn remove(&mut self, upstream: &Upstream) -> Option<Candidate> {
        let candidate = self.candidates.swap_remove(upstream)?;
        let link = rounded(candidate.link);
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

    /// Sets the cost of a candidate after its load changed.
    pub fn set_cost(&mut self, upstream: &Upstream, cost: Duration) {
        if let Some(mut candidate) = self.remove(upstream) {
            candidate.cost = cost;
            self.insert(candidate);
        }
    }

    /// Returns the candidates that hold the same range as a stage's engine behind a link of the
    /// same cost, the cheapest first.
    pub fn iter_peers(&self, stage: &Stage) -> impl Iterator<Item = &Candidate> {
        let ranges = self.get(&stage.upstream).map(Candidate::ranges).unwrap_or_default();
        let range = ranges.into_iter().find(|range| range.covers(stage.layers));
        let bucket = range.and_then(|range| self.buckets.get(&(range, stage.link)));
        bucket.into_iter().flatten().filter_map(|(_, upstream)| self.get(upstream))
    }

    /// Plans the chain of least cost over a span of layers, without some upstreams.
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
    /// [`Error::Uncovered`] names the layers that no usable candidate holds; [`Error::Span`]
    /// rejects an empty span or one that reaches past the model.
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

    /// Returns the best single engine that holds all layers of a span, if there is one.
    pub fn cover(&self, span: Layers, excluded: &[Upstream]) -> Option<Stage> {
        let usable = self.usable(span, excluded);
        let whole = usable.iter().filter(|held| held.layers.covers(span));
        let best = whole.min_by_key(|held| (held.cost(span), held.upstream))?;
        Some(self.stage(best.upstream, span))
    }

    /// Returns the usable candidates that may be in a chain of least cost, clipped to the span.
    fn usable(&self, span: Layers, excluded: &[Upstream]) -> Vec<Usable<'_>> {
        let mut usable: Vec<Usable<'_>> = Vec::with_capacity(self.buckets.len());
        let mut fastest = Fastest::default();
        let mut range = None;
        for ((held, link), bucket) in &self.buckets {
            let layers = Layers { from: held.from.max(span.from), to: held.to.min(span.to) };
            if layers.is_empty() {
                continue;
            }
            // Buckets of one range follow each other in the order of their links.
            if range.replace(held) != Some(held) {
                fastest = Fastest::default();
            }
            let free = bucket.iter().filter(|(_, upstream)| !excluded.contains(upstream));
            for (layer, upstream) in free.take(EDGES) {
                if !fastest.admits(*layer) {
                    break;
                }
                usable.push(Usable { layers, link: *link, layer: *layer, upstream });
            }
        }
        usable
    }

    fn stage(&self, upstream: &Upstream, layers: Layers) -> Stage {
        let candidate = &self.candidates[upstream];
        candidate.stage(layers, rounded(candidate.link))
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

/// The fastest candidates that hold one range, over all links up to the present one.
#[derive(Debug, Default)]
struct Fastest {
    steps: SmallVec<[Duration; EDGES]>,
}

impl Fastest {
    /// Takes in a candidate, unless as many as can be needed are no slower behind cheaper links.
    fn admits(&mut self, step: Duration) -> bool {
        if self.steps.len() == EDGES && self.steps[EDGES - 1] <= step {
            return false;
        }
        self.steps.truncate(EDGES - 1);
        let at = self.steps.partition_point(|faster| *faster <= step);
        self.steps.insert(at, step);
        true
    }
}

/// Rounds the cost of a link up to a few significant bits.
fn rounded(link: Duration) -> Duration {
    let nanos = u64::try_from(link.as_nanos()).unwrap_or(u64::MAX);
    let spare = (u64::BITS - nanos.leading_zeros()).saturating_sub(LINK_BITS);
    let grain = 1_u64 << spare;
    Duration::from_nanos(nanos.div_ceil(grain).saturating_mul(grain))
}

/// Returns the parts of a span that no usable candidate holds.
fn uncovered(span: Layers, usable: &[Usable<'_>]) -> SmallVec<[Layers; 2]> {
    let mut gaps = SmallVec::new();
    let mut next = span.from;
    // Buckets are ordered by the start of their range.
    for held in usable {
        if held.layers.from > next {
            gaps.push(Layers { from: next, to: held.layers.from });
        }
        next = next.max(held.layers.to);
    }
    if next < span.to {
        gaps.push(Layers { from: next, to: span.to });
    }
    gaps
}
