//! Initial placement of layers, when no engine holds any.

use std::collections::BTreeMap;

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Upstream},
};

use super::{Engine, Model, chain, split::layer_counts};

/// Minimum number of streams of average size that a chain must be able to hold.
pub(super) const MIN_CHAIN_STREAMS: f64 = 24.0;

/// Share of the token capacity of a chain that engines with copies of its layers keep.
const COPY_CAPACITY_SHARE: f64 = 0.5;

/// Maximum number of engines in a chain of a new layout: two fewer than a chain may have, since a
/// bottleneck stage gets another engine later.
pub(super) const MAX_LAYOUT_STAGES: usize = chain::MAX_STAGES - 2;

goldcrestvale_base::domain! {
    value
    /// The layers that an engine is to hold.
    pub struct Placement {
        /// The engine.
        pub upstream: Upstream,
        /// The layers.
        pub layers: Layers,
    }
}

/// Returns how many complete chains a set of engines should hold.
pub fn replicas(model: &Model, engines: &[&Engine]) -> usize {
    divide(model, engines).0.len()
}

/// Engines with the layers that each one holds, in the order of the layers.
type Assignment<'e> = Vec<(&'e Engine, Layers)>;

/// Divides engines into chains and the ones that are left: the chain that carries the most streams,
/// which takes the fast cards, then the next one over the remaining engines, and so on.
///
/// Streams take a fast chain while it has capacity. The slow ones take what exceeds it, and hold
/// every layer a second time, so that streams go on at once when a fast engine is lost.
fn divide<'e>(model: &Model, engines: &[&'e Engine]) -> (Vec<Assignment<'e>>, Vec<&'e Engine>) {
    let memory = |engine: &Engine| model.card(&engine.card).map_or(0.0, |card| card.memory_mb);
    let mut remaining = engines.to_vec();
    remaining
        .sort_by(|a, b| memory(b).total_cmp(&memory(a)).then_with(|| a.upstream.cmp(&b.upstream)));
    let mut chains = Vec::new();
    while let Some(counts) = layer_counts(model, &remaining) {
        let assigned = assign(&remaining, &counts);
        if assigned.is_empty() {
            break;
        }
        let capacity = assigned.iter().filter_map(|(engine, layers)| {
            Some(model.token_capacity(model.card(&engine.card)?, layers.len()))
        });
        let capacity = capacity.fold(f64::INFINITY, f64::min);
        // A domain has at least one chain if its engines can hold one at all.
        if capacity < MIN_CHAIN_STREAMS * model.stream_tokens() && !chains.is_empty() {
            break;
        }
        remaining.retain(|e| !assigned.iter().any(|(engine, _)| engine.upstream == e.upstream));
        chains.push(assigned);
    }
    (chains, remaining)
}

/// Assigns consecutive ranges of layers to engines, given the number of layers of each one.
fn assign<'e>(engines: &[&'e Engine], counts: &[u32]) -> Assignment<'e> {
    let mut to = 0;
    let ranges = counts.iter().map(|count| {
        to += count;
        Layers { from: to - count, to }
    });
    let assigned = engines.iter().copied().zip(ranges);
    assigned.filter(|(_, layers)| !layers.is_empty()).collect()
}

/// Places complete chains inside each failure domain that has the memory for one.
pub fn layout(model: &Model, engines: &[&Engine]) -> Vec<Placement> {
    let mut domains: BTreeMap<&Domain, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    domains.into_values().flat_map(|engines| layout_domain(model, engines)).collect()
}

fn layout_domain(model: &Model, engines: Vec<&Engine>) -> Vec<Placement> {
    let (chains, remaining) = divide(model, &engines);
    let copies = chains.first().map(|chain| copy_stages(model, chain, &remaining));
    let assigned = chains.into_iter().flatten().chain(copies.into_iter().flatten());
    let placement =
        |(engine, layers): (&Engine, _)| Placement { upstream: engine.upstream.clone(), layers };
    assigned.map(placement).collect()
}

/// Assigns the layers of the first stages of a chain to engines that belong to no chain, as many
/// stages as these can hold completely beside the streams of the chain.
fn copy_stages<'e>(
    model: &Model,
    chain: &Assignment<'_>,
    engines: &[&'e Engine],
) -> Assignment<'e> {
    let capacities = chain.iter().filter_map(|(engine, layers)| {
        Some(model.token_capacity(model.card(&engine.card)?, layers.len()))
    });
    let capacity = capacities.fold(f64::INFINITY, f64::min) * COPY_CAPACITY_SHARE;
    let counts: Vec<u32> = engines
        .iter()
        .map(|engine| model.card(&engine.card).map_or(0, |c| model.layers_beside(c, capacity)))
        .collect();
    let total: u32 = counts.iter().sum();
    let ends = chain.iter().map(|(_, layers)| layers.to);
    let end = ends.take_while(|end| *end <= total).last().unwrap_or_default();
    let mut left = end;
    let counts: Vec<u32> = counts
        .into_iter()
        .map(|count| {
            let count = count.min(left);
            left -= count;
            count
        })
        .collect();
    assign(engines, &counts)
}
