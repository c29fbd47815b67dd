//! Where the layers go when nothing is placed yet.
//!
//! The load it answers: the most streams at once that the memory beside the weights can hold. Every
//! stage of a chain holds all its streams, so the stage with the least room bounds the chain.

use std::collections::BTreeMap;

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Upstream},
};

use super::{Engine, Model, chain};

/// Share of a domain's memory that weights may take; the rest holds streams. A second chain in a
/// domain with room for 2.26 models cost four fifths of the worth of a quiet day.
const WEIGHTS_SHARE: f64 = 0.6;

/// Most engines of a chain that is laid out: two fewer than a path may have, since a narrow stage gets
/// another engine later.
pub(super) const LONGEST: usize = chain::LONGEST - 2;

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

/// Returns how many whole chains a set of engines should hold.
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
    ((memory * WEIGHTS_SHARE / weights).floor() as usize).max(1)
}

/// Places whole chains inside each failure domain that has the memory for one.
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
    for (place, engine) in engines.into_iter().enumerate() {
        // Dealt back and forth, so that the chains get about the same memory.
        let round = place / count.max(1);
        let turn = place % count.max(1);
        let chain = if round.is_multiple_of(2) { turn } else { count.saturating_sub(1 + turn) };
        if let Some(chain) = chains.get_mut(chain).filter(|chain| chain.len() < LONGEST) {
            chain.push(engine);
        }
    }
    chains.iter().flat_map(|chain| fill(model, chain)).collect()
}

/// Splits the model over engines in a given order, so that every stage has about the same room;
/// `None` if they cannot hold it. An engine may be left without layers.
pub fn balance(model: &Model, chain: &[&Engine]) -> Option<Vec<Layers>> {
    let mut counts = vec![0_u32; chain.len()];
    for _ in 0..model.layers {
        let room = |place: usize| {
            let card = model.card(&chain[place].card)?;
            let layers = counts[place] + 1;
            (layers <= model.max_layers(card)).then(|| model.token_capacity(card, layers))
        };
        let best = (0..chain.len())
            .filter_map(|place| Some((place, room(place)?)))
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

/// Places a whole chain on engines in a given order.
fn fill(model: &Model, chain: &[&Engine]) -> Vec<Placement> {
    let ranges = balance(model, chain).unwrap_or_default();
    let placed = chain.iter().zip(ranges).filter(|(_, layers)| !layers.is_empty());
    placed.map(|(engine, layers)| Placement { upstream: engine.upstream.clone(), layers }).collect()
}
