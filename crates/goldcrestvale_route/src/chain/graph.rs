//! The graph of layer boundaries and its lowest-cost paths.

use std::time::Duration;

use goldcrestvale_base::{engine::Layers, id::Upstream};
use smallvec::SmallVec;

/// Edges kept between two boundaries. An edge must use another engine than the stages before
/// and after it, so at most the third-best edge is needed.
pub(super) const EDGES_PER_PAIR: usize = 3;

/// Labels kept at a boundary: the best one, and the best one that ends with another engine.
const LABELS_PER_BOUNDARY: usize = 2;

/// One of the best candidates of a bucket, clipped to the planned span.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsableCandidate<'a> {
    pub(super) layers: Layers,
    pub(super) link: Duration,
    pub(super) layer_cost: Duration,
    pub(super) upstream: &'a Upstream,
}

impl UsableCandidate<'_> {
    /// Returns the cost of running `layers`, including the link.
    pub(super) fn cost(&self, layers: Layers) -> Duration {
        self.link + self.layer_cost.saturating_mul(layers.len())
    }
}

/// A transition from one boundary to a later one on a single engine. Ties go to the lower name, so
/// that the plan does not depend on the order of insertion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Edge<'a> {
    cost: Duration,
    upstream: &'a Upstream,
}

/// The best path to a boundary that ends with a given edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Label<'a> {
    sum: Duration,
    stages: usize,
    edge: Edge<'a>,
    from: usize,
    previous: usize,
}

/// A path with the components of its cost.
#[derive(Debug, Default)]
struct Path<'a> {
    sum: Duration,
    slowest: Duration,
    stages: SmallVec<[(Layers, &'a Upstream); 4]>,
}

/// The layer boundaries of a span and the best edges between each pair of them.
#[derive(Debug)]
pub(super) struct Graph<'a> {
    boundaries: Vec<u32>,
    edges: Vec<SmallVec<[Edge<'a>; EDGES_PER_PAIR]>>,
}

impl<'a> Graph<'a> {
    /// Creates the graph from candidates that are clipped to the span.
    pub(super) fn new(span: Layers, usable: &[UsableCandidate<'a>]) -> Self {
        let mut boundaries = vec![span.from, span.to];
        for candidate in usable {
            boundaries.extend([candidate.layers.from, candidate.layers.to]);
        }
        boundaries.sort_unstable();
        boundaries.dedup();
        let edges = vec![SmallVec::new(); boundaries.len() * boundaries.len()];
        let mut graph = Self { boundaries, edges };
        for candidate in usable {
            graph.add_edges(candidate);
        }
        graph
    }

    fn add_edges(&mut self, candidate: &UsableCandidate<'a>) {
        let first = self.boundaries.partition_point(|&boundary| boundary < candidate.layers.from);
        let last = self.boundaries.partition_point(|&boundary| boundary < candidate.layers.to);
        for from in first..last {
            for to in from + 1..=last {
                let cost = candidate.cost(self.layers(from, to));
                let edge = Edge { cost, upstream: candidate.upstream };
                let edges = &mut self.edges[from * self.boundaries.len() + to];
                insert(edges, EDGES_PER_PAIR, edge, |a, b| a.upstream == b.upstream);
            }
        }
    }

    fn layers(&self, from: usize, to: usize) -> Layers {
        Layers { from: self.boundaries[from], to: self.boundaries[to] }
    }

    /// Returns the path that minimises `sum + weight * slowest stage` and on which no two
    /// neighbouring stages use the same engine.
    ///
    /// Each round finds the shortest path whose stages are all faster than the slowest stage of
    /// the previous round. Every path skipped this way has a sum and a slowest stage at least as
    /// large as those of a path that was found.
    pub(super) fn path(&self, weight: u32) -> SmallVec<[(Layers, &'a Upstream); 4]> {
        let mut best = Path::default();
        let mut lowest_cost = Duration::MAX;
        let mut limit = Duration::MAX;
        let min_slowest_cost = self.min_bottleneck().saturating_mul(weight);
        while let Some(path) = self.shortest(limit) {
            let cost = path.sum.saturating_add(path.slowest.saturating_mul(weight));
            limit = path.slowest;
            let sum = path.sum;
            if cost < lowest_cost {
                lowest_cost = cost;
                best = path;
            }
            // The sums of later rounds are at least as large.
            if weight == 0 || sum.saturating_add(min_slowest_cost) >= lowest_cost {
                break;
            }
        }
        best.stages
    }

    /// Returns the lowest cost of the slowest stage over all paths.
    fn min_bottleneck(&self) -> Duration {
        let count = self.boundaries.len();
        let mut bottlenecks = vec![Duration::MAX; count];
        bottlenecks[0] = Duration::ZERO;
        for to in 1..count {
            for from in 0..to {
                if let Some(edge) = self.edges[from * count + to].first() {
                    bottlenecks[to] = bottlenecks[to].min(bottlenecks[from].max(edge.cost));
                }
            }
        }
        bottlenecks[count - 1]
    }

    /// Returns the shortest path over edges that cost less than `limit`.
    fn shortest(&self, limit: Duration) -> Option<Path<'a>> {
        let count = self.boundaries.len();
        let mut labels: Vec<SmallVec<[Label<'a>; LABELS_PER_BOUNDARY]>> =
            vec![SmallVec::new(); count];
        for to in 1..count {
            for from in 0..to {
                let edges = &self.edges[from * count + to];
                for &edge in edges.iter().filter(|edge| edge.cost < limit) {
                    if let Some(label) = extend(&labels[from], from, edge) {
                        let same =
                            |a: &Label<'_>, b: &Label<'_>| a.edge.upstream == b.edge.upstream;
                        insert(&mut labels[to], LABELS_PER_BOUNDARY, label, same);
                    }
                }
            }
        }
        let mut label = *labels[count - 1].first()?;
        let mut path = Path { sum: label.sum, ..Path::default() };
        let mut to = count - 1;
        loop {
            path.slowest = path.slowest.max(label.edge.cost);
            path.stages.push((self.layers(label.from, to), label.edge.upstream));
            to = label.from;
            if to == 0 {
                break;
            }
            label = labels[to][label.previous];
        }
        path.stages.reverse();
        Some(path)
    }
}

/// Extends the best label at a boundary that does not end with the engine of the edge.
fn extend<'a>(labels: &[Label<'a>], from: usize, edge: Edge<'a>) -> Option<Label<'a>> {
    if from == 0 {
        return Some(Label { sum: edge.cost, stages: 1, edge, from, previous: 0 });
    }
    let previous = labels.iter().position(|label| label.edge.upstream != edge.upstream)?;
    let label = labels[previous];
    Some(Label { sum: label.sum + edge.cost, stages: label.stages + 1, edge, from, previous })
}

/// Inserts an item into a sorted list of at most `max_len` items, no two of which are `same`.
fn insert<const N: usize, T: Copy + Ord>(
    list: &mut SmallVec<[T; N]>,
    max_len: usize,
    item: T,
    same: impl Fn(&T, &T) -> bool,
) {
    if let Some(at) = list.iter().position(|other| same(other, &item)) {
        if list[at] <= item {
            return;
        }
        list.remove(at);
    } else if list.len() == max_len && list[max_len - 1] <= item {
        return;
    }
    list.truncate(max_len - 1);
    let at = list.partition_point(|other| *other < item);
    list.insert(at, item);
}
