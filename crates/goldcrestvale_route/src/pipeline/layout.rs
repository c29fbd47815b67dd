//! Initial placement of layers, when no engine holds any.
//!
//! The layout maximises the streams that fit in the memory beside the weights. Every stage of a
//! chain holds all streams of the chain, so the stage with the least token capacity bounds the
//! chain.

use std::collections::BTreeMap;

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Upstream},
};

use super::{Engine, Model, chain};

/// Maximum share of a domain's memory that weights may take; the rest holds streams. With a second
/// chain in a domain with memory for 2.26 models, a day of low traffic lost four fifths of its
/// value.
const MAX_WEIGHTS_SHARE: f64 = 0.6;

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
    let memory: f64 = engines.iter().filter_map(|e| model.card(&e.card)).map(|c| c.memory_mb).sum();
    let weights = model.layer_mb * f64::from(model.layers);
    let layers: u32 = engines
        .iter()
        .filter_map(|engine| model.card(&engine.card))
        .map(|card| model.max_layers(card))
        .sum();
    if layers < model.layers || weights <= 0.0 {
        return 0;
    }
    ((memory * MAX_WEIGHTS_SHARE / weights).floor() as usize).max(1)
}

/// Places complete chains inside each failure domain that has the memory for one.
pub fn layout(model: &Model, engines: &[&Engine]) -> Vec<Placement> {
    let mut domains: BTreeMap<&Domain, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    domains.into_values().flat_map(|engines| layout_domain(model, engines)).collect()
}

fn layout_domain(model: &Model, mut engines: Vec<&Engine>) -> Vec<Placement> {
    let memory = |engine: &Engine| model.card(&engine.card).map_or(0.0, |card| card.memory_mb);
    engines
        .sort_by(|a, b| memory(b).total_cmp(&memory(a)).then_with(|| a.upstream.cmp(&b.upstream)));
    let count = replicas(model, &engines);
    let mut chains: Vec<Vec<&Engine>> = vec![Vec::new(); count];
    for (index, engine) in engines.into_iter().enumerate() {
        // Engines are assigned in alternating direction, so that the chains get about the same
        // memory.
        let round = index / count.max(1);
        let position = index % count.max(1);
        let chain =
            if round.is_multiple_of(2) { position } else { count.saturating_sub(1 + position) };
        if let Some(chain) = chains.get_mut(chain).filter(|chain| chain.len() < MAX_LAYOUT_STAGES) {
            chain.push(engine);
        }
    }
    chains.iter().flat_map(|chain| place_chain(model, chain)).collect()
}

/// Splits the model over engines in a given order, so that every stage has about the same token
/// capacity; `None` if they cannot hold it. An engine may get no layers.
pub fn balance(model: &Model, chain: &[&Engine]) -> Option<Vec<Layers>> {
    let mut counts = vec![0_u32; chain.len()];
    for _ in 0..model.layers {
        let next_capacity = |index: usize| {
            let card = model.card(&chain[index].card)?;
            let layers = counts[index] + 1;
            (layers <= model.max_layers(card)).then(|| model.token_capacity(card, layers))
        };
        let best = (0..chain.len())
            .filter_map(|index| Some((index, next_capacity(index)?)))
            .max_by(|a, b| a.1.total_cmp(&b.1).then_with(|| b.0.cmp(&a.0)));
        counts[best?.0] += 1;
    }
    let mut to = 0;
    let ranges = counts.into_iter().map(|count| {
        to += count;
        Layers { from: to - count, to }
    });
    Some(ranges.collect())
}

/// Places a complete chain on engines in a given order.
fn place_chain(model: &Model, chain: &[&Engine]) -> Vec<Placement> {
    let ranges = balance(model, chain).unwrap_or_default();
    let placed = chain.iter().zip(ranges).filter(|(_, layers)| !layers.is_empty());
    placed.map(|(engine, layers)| Placement { upstream: engine.upstream.clone(), layers }).collect()
}
