//! Chains of engines that hold every layer once and in order.
//!
//! An engine that is dead, leaving or refusing work is excluded, and its layers are taken from
//! another engine that holds them, in another domain if necessary.

use std::{collections::HashSet, net::SocketAddr};

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Upstream},
};

use super::{
    Engine, Model,
    group::chain_groups,
    replicas, split,
    split::{rate_at, read_pace, step_pace},
};

/// Cost of one more engine in a chain, in layers of the reference card.
pub(super) const HOP_COST: f64 = 2.0;

/// Cost of a boundary between failure domains, in layers of the reference card: a prompt of average
/// size occupies the link for about 16 ms, a layer on the slowest card takes about 0.2 ms per
/// token.
const CROSSING_COST: f64 = 2_000.0;

/// Cost of a layer on an engine with a token capacity of one, in layers of the reference card;
/// inversely proportional to the token capacity.
const SCARCITY_COST: f64 = 3e5;

/// Maximum number of engines in a chain; upstreams refuse longer chains.
pub(super) const MAX_STAGES: usize = 32;

goldcrestvale_base::domain! {
    value
    /// One engine of a chain and the layers that it runs.
    pub struct Stage {
        /// The engine.
        pub upstream: Upstream,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// The layers that it runs.
        pub layers: Layers,
    }
}

goldcrestvale_base::domain! {
    record
    /// A chain that may take streams.
    pub struct Chain {
        /// Stages in order.
        #[serde(rename = "parts")]
        pub stages: Vec<Stage>,
        /// Failure domain of the first engine.
        pub domain: Domain,
        /// Number of boundaries between failure domains.
        pub crossings: u32,
        /// Tokens that fit on the stage with the least capacity.
        #[serde(rename = "room")]
        pub token_capacity: f64,
        /// Time of a decode step through all stages, relative to all layers on the reference card.
        pub step_pace: f64,
        /// Time to read a prompt through all stages, relative to all layers on the reference card.
        #[serde(default)]
        pub read_pace: f64,
    }
}

impl Chain {
    /// Returns the first stage, whose engine receives the request.
    pub fn head(&self) -> &Stage {
        // A chain is only built with at least one stage.
        &self.stages[0]
    }

    /// Returns whether every known engine of the chain holds the layers that it runs.
    pub fn is_held(&self, engines: &[Engine]) -> bool {
        self.stages.iter().all(|stage| {
            let engine = engines.iter().find(|engine| engine.upstream == stage.upstream);
            engine.and_then(|engine| engine.held).is_none_or(|held| held.covers(stage.layers))
        })
    }

    /// Returns the streams per second that the chain can carry.
    pub fn stream_rate(&self, model: &Model) -> f64 {
        rate_at(model, self.step_pace, self.token_capacity)
    }

    /// Returns whether an engine is part of the chain.
    pub fn contains(&self, upstream: &Upstream) -> bool {
        self.stages.iter().any(|stage| stage.upstream == *upstream)
    }
}

/// Finds the chains over a set of engines: the complete ones inside each domain, and one across
/// domains for each domain that has none.
pub fn find_chains(model: &Model, usable: &[&Engine]) -> Vec<Chain> {
    let mut domains: Vec<&Domain> = usable.iter().map(|engine| &engine.domain).collect();
    domains.sort();
    domains.dedup();
    let mut chains = Vec::new();
    for domain in domains {
        let in_domain: Vec<&Engine> =
            usable.iter().copied().filter(|engine| engine.domain == *domain).collect();
        let local_chains = find_in_domain(model, &in_domain);
        if local_chains.is_empty() {
            chains.extend(cheapest_chain(model, usable, Some(domain)));
        }
        chains.extend(local_chains);
    }
    chains
}

/// Finds the chains over the engines of one domain: those that each of its groups forms by itself,
/// and those that can be formed from the remaining engines.
///
/// A complete chain stays as it is while another chain of its domain is repaired.
fn find_in_domain(model: &Model, in_domain: &[&Engine]) -> Vec<Chain> {
    let count = replicas(model, in_domain);
    let groups = chain_groups(in_domain, count);
    let by_group: Vec<Chain> =
        groups.iter().filter_map(|group| cheapest_chain(model, group, None)).collect();
    if by_group.len() == count {
        return by_group;
    }
    let is_free = |engine: &&Engine| !by_group.iter().any(|chain| chain.contains(&engine.upstream));
    let remaining: Vec<&Engine> = in_domain.iter().copied().filter(is_free).collect();
    let mut chains = by_group.clone();
    chains.extend(find_greedily(model, remaining));
    let combined = find_greedily(model, in_domain.to_vec());
    let rate = |chains: &[Chain]| chains.iter().map(|chain| chain.stream_rate(model)).sum::<f64>();
    if rate(&combined) > rate(&chains) { combined } else { chains }
}

/// Finds the cheapest chain, then the cheapest one over the remaining engines, and so on.
fn find_greedily(model: &Model, mut remaining: Vec<&Engine>) -> Vec<Chain> {
    let mut chains = Vec::new();
    while let Some(chain) = cheapest_chain(model, &remaining, None) {
        remaining.retain(|engine| !chain.contains(&engine.upstream));
        chains.push(chain);
    }
    chains
}

/// Finds another chain with the same first stage, inside the same domain or over all domains.
///
/// A running stream keeps its KV cache on the first engine, so only the engines after it are
/// replaced.
pub fn alternate(
    model: &Model,
    engines: &[&Engine],
    chain: &Chain,
    same_domain: bool,
) -> Option<Chain> {
    let head = chain.head();
    let restrict = |engine: &&Engine| {
        let held = engine.held?;
        let held = match engine.upstream == head.upstream {
            true => Layers { from: held.from.max(head.layers.from), to: head.layers.to },
            false => Layers { from: held.from.max(head.layers.to), to: held.to },
        };
        (!held.is_empty()).then(|| Engine { held: Some(held), ..(*engine).clone() })
    };
    let restricted: Vec<Engine> = engines
        .iter()
        .filter(|engine| !same_domain || engine.domain == chain.domain)
        .filter_map(restrict)
        .collect();
    let restricted: Vec<&Engine> = restricted.iter().collect();
    cheapest_chain(model, &restricted, Some(&chain.domain))
        .filter(|alternative| alternative.head() == head)
}

/// Finds the cheapest chain over a set of engines, with its first engine in `first_domain` if
/// given.
fn cheapest_chain(
    model: &Model,
    engines: &[&Engine],
    first_domain: Option<&Domain>,
) -> Option<Chain> {
    let mut engines = engines.to_vec();
    loop {
        let stages = cheapest_path(model, &engines, first_domain)?;
        let mut seen = HashSet::new();
        let repeated = stages.iter().find(|&&(engine, _)| !seen.insert(engine));
        let Some(&(repeated, _)) = repeated else {
            let stages = balance_boundaries(model, &engines, &stages);
            return (stages.len() <= MAX_STAGES)
                .then(|| build_chain(model, &engines, &stages))
                .flatten();
        };
        // An engine may occur in a chain only once; the engine between its two stages is excluded.
        let index = stages.iter().position(|&(engine, _)| engine == repeated)?;
        let between = stages.get(index + 1)?.0;
        engines.remove(between);
    }
}

/// Finds the path over the layers with the least cost, which at each layer stays on an engine or
/// changes to another; returns the indexes of the engines with the layers that each runs.
fn cheapest_path(
    model: &Model,
    engines: &[&Engine],
    first_domain: Option<&Domain>,
) -> Option<Vec<(usize, Layers)>> {
    let layers = model.layers as usize;
    let width = engines.len();
    let layer_costs: Vec<f64> = engines.iter().map(|engine| layer_cost(model, engine)).collect();
    // For each layer and engine, the cost up to and including that layer, and the engine of the
    // previous layer.
    let mut cost = vec![f64::INFINITY; layers * width];
    let mut previous_engine = vec![usize::MAX; layers * width];
    for layer in 0..layers {
        let holds = |engine: &Engine| {
            engine.held.is_some_and(|held| (held.from..held.to).contains(&(layer as u32)))
        };
        let previous_costs: Vec<f64> = match layer {
            0 => Vec::new(),
            _ => cost[(layer - 1) * width..layer * width].to_vec(),
        };
        for (index, engine) in engines.iter().enumerate() {
            if !holds(engine) {
                continue;
            }
            let cell = layer * width + index;
            if layer == 0 {
                if first_domain.is_none_or(|domain| engine.domain == *domain) {
                    cost[cell] = layer_costs[index];
                }
                continue;
            }
            for (from, &cost_so_far) in previous_costs.iter().enumerate() {
                if !cost_so_far.is_finite() {
                    continue;
                }
                let transition = match from == index {
                    true => 0.0,
                    false if engines[from].domain == engine.domain => HOP_COST,
                    false => HOP_COST + CROSSING_COST,
                };
                let total = cost_so_far + transition + layer_costs[index];
                if total < cost[cell] {
                    cost[cell] = total;
                    previous_engine[cell] = from;
                }
            }
        }
    }
    let last = layers.checked_sub(1)?;
    let mut index = (0..width)
        .filter(|&index| cost[last * width + index].is_finite())
        .min_by(|&a, &b| cost[last * width + a].total_cmp(&cost[last * width + b]))?;
    let mut stages = vec![(index, Layers { from: 0, to: model.layers })];
    for layer in (1..layers).rev() {
        let from = previous_engine[layer * width + index];
        if from != index {
            if let Some((_, range)) = stages.last_mut() {
                range.from = layer as u32;
            }
            stages.push((from, Layers { from: 0, to: layer as u32 }));
            index = from;
        }
    }
    stages.reverse();
    Some(stages)
}

/// Moves the boundaries between engines with overlapping layers towards the best split. All
/// instances that see the same layers held choose the same boundaries, so layers that no chain
/// needs can be released.
fn balance_boundaries(
    model: &Model,
    engines: &[&Engine],
    stages: &[(usize, Layers)],
) -> Vec<(usize, Layers)> {
    let members: Vec<&Engine> = stages.iter().map(|&(index, _)| engines[index]).collect();
    let Some(balanced) = split(model, &members) else { return stages.to_vec() };
    let mut ranges = Vec::with_capacity(stages.len());
    let mut from = 0;
    for (index, pair) in members.windows(2).enumerate() {
        let (Some(held), Some(next)) = (pair[0].held, pair[1].held) else { return stages.to_vec() };
        let min_to = next.from.max(from);
        // An engine whose layers all run on earlier stages gets none.
        let to = if held.to < min_to { from } else { balanced[index].to.clamp(min_to, held.to) };
        ranges.push(Layers { from, to });
        from = to;
    }
    ranges.push(Layers { from, to: model.layers });
    let covered = ranges.iter().zip(&members).all(|(range, engine)| {
        range.is_empty() || engine.held.is_some_and(|held| held.covers(*range))
    });
    // An engine without layers is not part of the chain.
    match covered {
        true => stages
            .iter()
            .zip(ranges)
            .filter(|(_, range)| !range.is_empty())
            .map(|(&(index, _), range)| (index, range))
            .collect(),
        false => stages.to_vec(),
    }
}

/// Returns the cost of a layer on an engine.
fn layer_cost(model: &Model, engine: &Engine) -> f64 {
    let Some(card) = model.card(&engine.card) else { return f64::INFINITY };
    let token_capacity = model.token_capacity(card, engine.held.map_or(0, Layers::len));
    card.step_pace + SCARCITY_COST / token_capacity.max(1.0)
}

fn build_chain(model: &Model, engines: &[&Engine], stages: &[(usize, Layers)]) -> Option<Chain> {
    let domain = engines.get(stages.first()?.0)?.domain.clone();
    let cards = stages
        .iter()
        .filter_map(|&(index, layers)| Some((model.card(&engines[index].card)?, layers.len())));
    let cards: Vec<_> = cards.collect();
    let mut chain = Chain {
        stages: Vec::new(),
        domain,
        crossings: 0,
        token_capacity: f64::INFINITY,
        step_pace: step_pace(model, &cards),
        read_pace: read_pace(model, &cards),
    };
    let mut previous: Option<&Domain> = None;
    for &(index, layers) in stages {
        let engine = engines[index];
        chain.crossings += u32::from(previous.is_some_and(|previous| *previous != engine.domain));
        previous = Some(&engine.domain);
        if let Some(card) = model.card(&engine.card) {
            // Layers that are held but not run in this chain take memory as well.
            let held = engine.held.map_or(0, Layers::len).max(1);
            let token_capacity =
                model.token_capacity(card, held) * f64::from(held) / f64::from(layers.len().max(1));
            chain.token_capacity = chain.token_capacity.min(token_capacity);
        }
        chain.stages.push(Stage {
            upstream: engine.upstream.clone(),
            address: engine.address,
            layers,
        });
    }
    Some(chain)
}
