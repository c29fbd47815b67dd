//! Chains of engines that hold every layer once and in order.
//!
//! The load it answers: streams that start while a stage is dead, leaving or refusing. Such a stage
//! is no candidate, and its layers are taken from another holder, in another domain if need be.

use std::{collections::HashSet, net::SocketAddr};

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Upstream},
};

use super::{Engine, Model, balance, group::chain_groups, replicas};

/// Cost of one more engine in a chain, in layers of the reference card.
const HOP: f64 = 2.0;

/// Cost of a boundary between failure domains, in layers of the reference card: a prompt of the
/// usual size takes about 16 ms of the pipe, a layer of the slowest card about 0.2 ms a token.
const CROSSING: f64 = 2_000.0;

/// Cost of a layer on an engine that has room for one token; less the more room it has.
const SCARCITY: f64 = 3e6;

/// Most engines in a chain; upstreams refuse longer ones.
pub(super) const LONGEST: usize = 32;

goldcrestvale_base::domain! {
    value
    /// One engine of a chain and the layers that it runs.
    pub struct Stage {
        /// The engine.
        pub upstream: Upstream,
        /// Where it listens.
        pub address: SocketAddr,
        /// The layers that it runs.
        pub layers: Layers,
    }
}

goldcrestvale_base::domain! {
    record
    /// A chain that may take streams.
    pub struct Chain {
        /// The engines in order.
        #[serde(rename = "parts")]
        pub stages: Vec<Stage>,
        /// Failure domain of the first engine.
        pub domain: Domain,
        /// Boundaries between failure domains.
        pub crossings: u32,
        /// Tokens that fit on the stage with the least room.
        #[serde(rename = "room")]
        pub token_capacity: f64,
    }
}

impl Chain {
    /// Returns the engine that takes the request.
    pub fn head(&self) -> &Stage {
        // A line is only built with at least one part.
        &self.stages[0]
    }

    /// Returns whether every engine of the chain that is known holds the layers that it runs.
    pub fn is_held(&self, engines: &[Engine]) -> bool {
        self.stages.iter().all(|stage| {
            let engine = engines.iter().find(|engine| engine.upstream == stage.upstream);
            engine.and_then(|engine| engine.held).is_none_or(|held| held.covers(stage.layers))
        })
    }

    /// Returns whether an engine is part of the chain.
    pub fn contains(&self, upstream: &Upstream) -> bool {
        self.stages.iter().any(|stage| stage.upstream == *upstream)
    }
}

/// Finds the chains over a set of engines: those whole inside each domain, and one across domains
/// for each domain that has none.
pub fn find_chains(model: &Model, usable: &[&Engine]) -> Vec<Chain> {
    let mut domains: Vec<&Domain> = usable.iter().map(|engine| &engine.domain).collect();
    domains.sort();
    domains.dedup();
    let mut chains = Vec::new();
    for domain in domains {
        let inside: Vec<&Engine> =
            usable.iter().copied().filter(|engine| engine.domain == *domain).collect();
        let found = find_inside(model, &inside);
        if found.is_empty() {
            chains.extend(shortest(model, usable, Some(domain)));
        }
        chains.extend(found);
    }
    chains
}

/// Finds the chains over the engines of one domain: those that its strands make each by itself, and
/// what else can be made of the others.
///
/// A chain that is whole stays as it is while another one of its domain is mended.
fn find_inside(model: &Model, inside: &[&Engine]) -> Vec<Chain> {
    let count = replicas(model, inside);
    let chain_groups = chain_groups(inside, count);
    let apart: Vec<Chain> =
        chain_groups.iter().filter_map(|group| shortest(model, group, None)).collect();
    if apart.len() == count {
        return apart;
    }
    let is_free = |engine: &&Engine| !apart.iter().any(|chain| chain.contains(&engine.upstream));
    let rest: Vec<&Engine> = inside.iter().copied().filter(is_free).collect();
    let mut chains = apart.clone();
    chains.extend(find_greedily(model, rest));
    let woven = find_greedily(model, inside.to_vec());
    if woven.len() > chains.len() { woven } else { chains }
}

/// Finds the shortest chain, then the shortest over what is left, and so on.
fn find_greedily(model: &Model, mut rest: Vec<&Engine>) -> Vec<Chain> {
    let mut chains = Vec::new();
    while let Some(chain) = shortest(model, &rest, None) {
        rest.retain(|engine| !chain.contains(&engine.upstream));
        chains.push(chain);
    }
    chains
}

/// Finds another chain with the same first part, within the domain or over all of them.
///
/// A running stream keeps what its first engine holds of it, so only the engines behind the first
/// one are replaced.
pub fn alternate(model: &Model, engines: &[&Engine], chain: &Chain, inside: bool) -> Option<Chain> {
    let head = chain.head();
    let clip = |engine: &&Engine| {
        let held = engine.held?;
        let held = match engine.upstream == head.upstream {
            true => Layers { from: held.from.max(head.layers.from), to: head.layers.to },
            false => Layers { from: held.from.max(head.layers.to), to: held.to },
        };
        (!held.is_empty()).then(|| Engine { held: Some(held), ..(*engine).clone() })
    };
    let clipped: Vec<Engine> = engines
        .iter()
        .filter(|engine| !inside || engine.domain == chain.domain)
        .filter_map(clip)
        .collect();
    let clipped: Vec<&Engine> = clipped.iter().collect();
    shortest(model, &clipped, Some(&chain.domain)).filter(|found| found.head() == head)
}

/// Finds the cheapest chain over a set of engines, with its first engine in a domain if one is named.
fn shortest(model: &Model, engines: &[&Engine], first: Option<&Domain>) -> Option<Chain> {
    let mut engines = engines.to_vec();
    loop {
        let stages = walk(model, &engines, first)?;
        let mut seen = HashSet::new();
        let twice = stages.iter().find(|&&(engine, _)| !seen.insert(engine));
        let Some(&(twice, _)) = twice else {
            let stages = cut(model, &engines, &stages);
            return (stages.len() <= LONGEST).then(|| build(model, &engines, &stages)).flatten();
        };
        // An engine may stand in a chain once; the one between its two parts is left out.
        let place = stages.iter().position(|&(engine, _)| engine == twice)?;
        let between = stages.get(place + 1)?.0;
        engines.remove(between);
    }
}

/// Walks over the layers, at each one staying on an engine or changing to another; returns places
/// of engines with the layers each runs.
fn walk(
    model: &Model,
    engines: &[&Engine],
    first: Option<&Domain>,
) -> Option<Vec<(usize, Layers)>> {
    let layers = model.layers as usize;
    let width = engines.len();
    let price: Vec<f64> = engines.iter().map(|engine| price(model, engine)).collect();
    // For each layer and engine, the cost up to and with that layer, and the engine before.
    let mut cost = vec![f64::INFINITY; layers * width];
    let mut before = vec![usize::MAX; layers * width];
    for layer in 0..layers {
        let holds = |engine: &Engine| {
            engine.held.is_some_and(|held| (held.from..held.to).contains(&(layer as u32)))
        };
        let previous: Vec<f64> = match layer {
            0 => Vec::new(),
            _ => cost[(layer - 1) * width..layer * width].to_vec(),
        };
        for (place, engine) in engines.iter().enumerate() {
            if !holds(engine) {
                continue;
            }
            let at = layer * width + place;
            if layer == 0 {
                if first.is_none_or(|domain| engine.domain == *domain) {
                    cost[at] = price[place];
                }
                continue;
            }
            for (from, &reached) in previous.iter().enumerate() {
                if !reached.is_finite() {
                    continue;
                }
                let step = match from == place {
                    true => 0.0,
                    false if engines[from].domain == engine.domain => HOP,
                    false => HOP + CROSSING,
                };
                let total = reached + step + price[place];
                if total < cost[at] {
                    cost[at] = total;
                    before[at] = from;
                }
            }
        }
    }
    let last = layers.checked_sub(1)?;
    let mut place = (0..width)
        .filter(|&place| cost[last * width + place].is_finite())
        .min_by(|&a, &b| cost[last * width + a].total_cmp(&cost[last * width + b]))?;
    let mut stages = vec![(place, Layers { from: 0, to: model.layers })];
    for layer in (1..layers).rev() {
        let from = before[layer * width + place];
        if from != place {
            if let Some((_, run)) = stages.last_mut() {
                run.from = layer as u32;
            }
            stages.push((from, Layers { from: 0, to: layer as u32 }));
            place = from;
        }
    }
    stages.reverse();
    Some(stages)
}

/// Moves the boundaries between engines that hold layers in common to where every stage has about
/// the same room. All instances that see the same holdings cut in the same places, so layers that
/// no chain needs can be released.
fn cut(model: &Model, engines: &[&Engine], stages: &[(usize, Layers)]) -> Vec<(usize, Layers)> {
    let members: Vec<&Engine> = stages.iter().map(|&(place, _)| engines[place]).collect();
    let Some(ideal) = balance(model, &members) else { return stages.to_vec() };
    let mut cuts = Vec::with_capacity(stages.len());
    let mut from = 0;
    for (place, pair) in members.windows(2).enumerate() {
        let (Some(held), Some(next)) = (pair[0].held, pair[1].held) else { return stages.to_vec() };
        let least = next.from.max(from);
        // An engine whose layers were all taken before it is left without any.
        let to = if held.to < least { from } else { ideal[place].to.clamp(least, held.to) };
        cuts.push(Layers { from, to });
        from = to;
    }
    cuts.push(Layers { from, to: model.layers });
    let covered = cuts
        .iter()
        .zip(&members)
        .all(|(cut, engine)| cut.is_empty() || engine.held.is_some_and(|held| held.covers(*cut)));
    // An engine that is left without layers is no part of the chain.
    match covered {
        true => stages
            .iter()
            .zip(cuts)
            .filter(|(_, cut)| !cut.is_empty())
            .map(|(&(place, _), cut)| (place, cut))
            .collect(),
        false => stages.to_vec(),
    }
}

/// The cost of a layer on an engine.
fn price(model: &Model, engine: &Engine) -> f64 {
    let Some(card) = model.card(&engine.card) else { return f64::INFINITY };
    let room = model.token_capacity(card, engine.held.map_or(0, Layers::len));
    card.step_pace + SCARCITY / room.max(1.0)
}

fn build(model: &Model, engines: &[&Engine], stages: &[(usize, Layers)]) -> Option<Chain> {
    let domain = engines.get(stages.first()?.0)?.domain.clone();
    let mut chain =
        Chain { stages: Vec::new(), domain, crossings: 0, token_capacity: f64::INFINITY };
    let mut last: Option<&Domain> = None;
    for &(place, layers) in stages {
        let engine = engines[place];
        chain.crossings += u32::from(last.is_some_and(|last| *last != engine.domain));
        last = Some(&engine.domain);
        if let Some(card) = model.card(&engine.card) {
            // Layers that are held but not run in this chain take memory as well.
            let held = engine.held.map_or(0, Layers::len).max(1);
            let room =
                model.token_capacity(card, held) * f64::from(held) / f64::from(layers.len().max(1));
            chain.token_capacity = chain.token_capacity.min(room);
        }
        chain.stages.push(Stage {
            upstream: engine.upstream.clone(),
            address: engine.address,
            layers,
        });
    }
    Some(chain)
}
