//! The graph of layer boundaries, and its paths of least cost.

use std::time::Duration;

use goldcrestvale_base::{engine::Layers, id::Upstream};
use smallvec::SmallVec;

/// Edges kept between two boundaries: the best one must differ from the engines of the stages
/// before and after it, so the third-best is the last that can be needed.
pub(super) const EDGES: usize = 3;

/// Labels kept at a boundary: the best one, and the best that ends with another engine.
const LABELS: usize = 2;

/// A candidate that is among the best of its bucket, for a part of its range.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usable<'a> {
    pub(super) layers: Layers,
    pub(super) link: Duration,
    pub(super) layer: Duration,
    pub(super) upstream: &'a Upstream,
}

impl Usable<'_> {
    /// Returns the cost of running some layers.
    pub(super) fn cost(&self, layers: Layers) -> Duration {
        self.link + self.layer.saturating_mul(layers.len())
    }
}

/// A way from one boundary to a later one by a single engine; ties go to the lower name, so that
/// every order of insertion gives one plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Edge<'a> {
    cost: Duration,
    upstream: &'a Upstream,
}

/// The best way to a boundary that ends with a given edge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Label<'a> {
    sum: Duration,
    stages: usize,
    edge: Edge<'a>,
    from: usize,
    before: usize,
}

/// A path with the figures that its cost is made of.
#[derive(Debug, Default)]
struct Path<'a> {
    sum: Duration,
    slowest: Duration,
    stages: SmallVec<[(Layers, &'a Upstream); 4]>,
}

/// Boundaries of a span, and the best edges between each pair of them.
#[derive(Debug)]
pub(super) struct Graph<'a> {
    bounds: Vec<u32>,
    edges: Vec<SmallVec<[Edge<'a>; EDGES]>>,
}

impl<'a> Graph<'a> {
    /// Builds the graph; candidates are clipped to the span.
    pub(super) fn new(span: Layers, usable: &[Usable<'a>]) -> Self {
        let mut bounds = vec![span.from, span.to];
        for held in usable {
            bounds.extend([held.layers.from, held.layers.to]);
        }
        bounds.sort_unstable();
        bounds.dedup();
        let edges = vec![SmallVec::new(); bounds.len() * bounds.len()];
        let mut graph = Self { bounds, edges };
        for held in usable {
            graph.add(held);
        }
        graph
    }

    fn add(&mut self, held: &Usable<'a>) {
        let first = self.bounds.partition_point(|&bound| bound < held.layers.from);
        let last = self.bounds.partition_point(|&bound| bound < held.layers.to);
        for from in first..last {
            for to in from + 1..=last {
                let cost = held.cost(self.layers(from, to));
                let edge = Edge { cost, upstream: held.upstream };
                let edges = &mut self.edges[from * self.bounds.len() + to];
                insert(edges, EDGES, edge, |a, b| a.upstream == b.upstream);
            }
        }
    }

    fn layers(&self, from: usize, to: usize) -> Layers {
        Layers { from: self.bounds[from], to: self.bounds[to] }
    }

    /// Returns the path of least `sum + weight * slowest stage` on which no two neighbouring
    /// stages are of one engine.
    ///
    /// Each round finds the shortest path whose stages are all faster than the slowest stage of
    /// the round before. A path that is passed over this way has a sum and a slowest stage no
    /// smaller than those of a path that was found.
    pub(super) fn path(&self, weight: u32) -> SmallVec<[(Layers, &'a Upstream); 4]> {
        let mut best = Path::default();
        let mut least = Duration::MAX;
        let mut below = Duration::MAX;
        let floor = self.least_bottleneck().saturating_mul(weight);
        while let Some(path) = self.shortest(below) {
            let cost = path.sum.saturating_add(path.slowest.saturating_mul(weight));
            below = path.slowest;
            let sum = path.sum;
            if cost < least {
                least = cost;
                best = path;
            }
            // The sums of later rounds are no smaller.
            if weight == 0 || sum.saturating_add(floor) >= least {
                break;
            }
        }
        best.stages
    }

    /// Returns the least time that the slowest stage of any path has.
    fn least_bottleneck(&self) -> Duration {
        let count = self.bounds.len();
        let mut reached = vec![Duration::MAX; count];
        reached[0] = Duration::ZERO;
        for to in 1..count {
            for from in 0..to {
                if let Some(edge) = self.edges[from * count + to].first() {
                    reached[to] = reached[to].min(reached[from].max(edge.cost));
                }
            }
        }
        reached[count - 1]
    }

    /// Returns the shortest path over edges below a cost.
    fn shortest(&self, below: Duration) -> Option<Path<'a>> {
        let count = self.bounds.len();
        let mut reached: Vec<SmallVec<[Label<'a>; LABELS]>> = vec![SmallVec::new(); count];
        for to in 1..count {
            for from in 0..to {
                let edges = &self.edges[from * count + to];
                for &edge in edges.iter().filter(|edge| edge.cost < below) {
                    if let Some(label) = extend(&reached[from], from, edge) {
                        let same =
                            |a: &Label<'_>, b: &Label<'_>| a.edge.upstream == b.edge.upstream;
                        insert(&mut reached[to], LABELS, label, same);
                    }
                }
            }
        }
        let mut label = *reached[count - 1].first()?;
        let mut path = Path { sum: label.sum, ..Path::default() };
        let mut to = count - 1;
        loop {
            path.slowest = path.slowest.max(label.edge.cost);
            path.stages.push((self.layers(label.from, to), label.edge.upstream));
            to = label.from;
            if to == 0 {
                break;
            }
            label = reached[to][label.before];
        }
        path.stages.reverse();
        Some(path)
    }
}

/// Extends the best label at a boundary that does not end with the edge's engine.
fn extend<'a>(labels: &[Label<'a>], from: usize, edge: Edge<'a>) -> Option<Label<'a>> {
    if from == 0 {
        return Some(Label { sum: edge.cost, stages: 1, edge, from, before: 0 });
    }
    let before = labels.iter().position(|label| label.edge.upstream != edge.upstream)?;
    let label = labels[before];
    Some(Label { sum: label.sum + edge.cost, stages: label.stages + 1, edge, from, before })
}

/// Inserts into a short sorted list that holds one item of each kind.
fn insert<const N: usize, T: Copy + Ord>(
    list: &mut SmallVec<[T; N]>,
    most: usize,
    item: T,
    same: impl Fn(&T, &T) -> bool,
) {
    if let Some(at) = list.iter().position(|other| same(other, &item)) {
        if list[at] <= item {
            return;
        }
        list.remove(at);
    } else if list.len() == most && list[most - 1] <= item {
        return;
    }
    list.truncate(most - 1);
    let at = list.partition_point(|other| *other < item);
    list.insert(at, item);
}
