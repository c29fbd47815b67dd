//! Splits a model over the engines of a chain.
//!
//! A token passes through every stage, so layers on a slow card delay all streams of the chain. The
//! longer streams last, the more of them are in progress, and every stage holds all of them in its
//! memory. A split therefore weighs the speed of the cards against the memory beside the weights.

use goldcrestvale_base::engine::Layers;

use super::{Card, Engine, Model, chain::HOP_COST, layout::MAX_LAYOUT_STAGES};

/// Exponent of the mean over the capacities of the stages; the higher, the more the smallest one
/// counts.
const SMOOTHING: f64 = 4.0;

/// Returns the streams per second that a chain can carry, given the engines' cards and the number
/// of layers that each one runs.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_route::pipeline::{Card, MeanRequest, Model, StepTime, stream_rate};
///
/// let card = |name: &str, step_pace| Card {
///     name: name.to_owned(),
///     memory_mb: 72_000.0,
///     step_pace,
///     read_pace: 1.0,
/// };
/// let model = Model {
///     layers: 60,
///     layer_mb: 1_000.0,
///     token_bytes: 600_000.0,
///     slots: 100,
///     load_time: Duration::from_secs(14),
///     loads_at_once: 6,
///     mean_request: MeanRequest { prompt: 700.0, answer: 200.0 },
///     step: StepTime { base: Duration::from_millis(1), ..StepTime::default() },
///     read_per_s: None,
///     cards: vec![card("fast", 1.0), card("slow", 4.0)],
/// };
/// let fast = stream_rate(&model, &[(&model.cards[0], 30), (&model.cards[0], 30)]);
/// let mixed = stream_rate(&model, &[(&model.cards[0], 30), (&model.cards[1], 30)]);
/// assert!(fast > mixed * 2.0);
/// ```
pub fn stream_rate(model: &Model, stages: &[(&Card, u32)]) -> f64 {
    rate_at(model, step_pace(model, stages), min_capacity(model, stages))
}

/// Returns the streams per second of a chain, given the time of a step relative to the reference
/// card, and the number of tokens that it holds.
pub(super) fn rate_at(model: &Model, step_pace: f64, token_capacity: f64) -> f64 {
    let streams = token_capacity / model.stream_tokens().max(1.0);
    let streams = streams.min(f64::from(model.slots.max(1)));
    let stream_s = model.mean_request.answer * step_pace * model.step_s(streams);
    streams / stream_s.max(f64::MIN_POSITIVE)
}

/// Like [`stream_rate`], but with every stage that has little capacity counted, so that relieving
/// one of several bottlenecks is an improvement as well.
pub(super) fn smooth_rate(model: &Model, stages: &[(&Card, u32)]) -> f64 {
    let capacities = stages.iter().map(|(card, layers)| model.token_capacity(card, *layers));
    let inverse: f64 = capacities.map(|capacity| capacity.max(1.0).powf(-SMOOTHING)).sum();
    let token_capacity = inverse.powf(-1.0 / SMOOTHING);
    rate_at(model, step_pace(model, stages), token_capacity)
}

/// Returns the time of a decode step through all stages, relative to the reference card.
pub(super) fn step_pace(model: &Model, stages: &[(&Card, u32)]) -> f64 {
    let layer_costs = stages.iter().map(|(card, layers)| f64::from(*layers) * card.step_pace);
    let hops = stages.len() as f64 * HOP_COST;
    (layer_costs.sum::<f64>() + hops) / f64::from(model.layers.max(1))
}

/// Returns the time to read a prompt through all stages, relative to all layers on the reference
/// card.
pub(super) fn read_pace(model: &Model, stages: &[(&Card, u32)]) -> f64 {
    let layer_costs = stages.iter().map(|(card, layers)| f64::from(*layers) * card.read_pace);
    layer_costs.sum::<f64>() / f64::from(model.layers.max(1))
}

/// Splits the model over engines in a given order, so that the chain carries the most streams per
/// second; `None` if the engines cannot hold the model. An engine may get no layers.
pub fn split(model: &Model, engines: &[&Engine]) -> Option<Vec<Layers>> {
    let mut to = 0;
    let ranges = layer_counts(model, engines)?.into_iter().map(|count| {
        to += count;
        Layers { from: to - count, to }
    });
    Some(ranges.collect())
}

/// Returns the number of layers of each engine in the best split.
pub(super) fn layer_counts(model: &Model, engines: &[&Engine]) -> Option<Vec<u32>> {
    let cards: Vec<&Card> =
        engines.iter().map(|engine| model.card(&engine.card)).collect::<Option<_>>()?;
    let mut by_pace: Vec<usize> = (0..cards.len()).collect();
    by_pace.sort_by(|&a, &b| {
        let memory = || cards[b].memory_mb.total_cmp(&cards[a].memory_mb);
        cards[a].step_pace.total_cmp(&cards[b].step_pace).then_with(memory)
    });
    min_capacities(model, &cards)
        .into_iter()
        .filter_map(|min_capacity| fill(model, &cards, &by_pace, min_capacity))
        .filter(|counts| counts.iter().filter(|count| **count > 0).count() <= MAX_LAYOUT_STAGES)
        .map(|counts| {
            let stages = stages(&cards, &counts);
            (stream_rate(model, &stages), min_capacity(model, &stages), counts)
        })
        .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)))
        .map(|(_, _, counts)| counts)
}

/// Returns the token capacity of the stage with the least.
pub(super) fn min_capacity(model: &Model, stages: &[(&Card, u32)]) -> f64 {
    let capacities = stages.iter().map(|(card, layers)| model.token_capacity(card, *layers));
    capacities.fold(f64::INFINITY, f64::min)
}

/// Returns the cards that get layers, with the number of layers of each.
fn stages<'c>(cards: &[&'c Card], counts: &[u32]) -> Vec<(&'c Card, u32)> {
    cards.iter().copied().zip(counts.iter().copied()).filter(|(_, count)| *count > 0).collect()
}

/// Returns the token capacities that the cards have with any number of layers.
fn min_capacities(model: &Model, cards: &[&Card]) -> Vec<f64> {
    let mut kinds = cards.to_vec();
    kinds.sort_by(|a, b| a.name.cmp(&b.name));
    kinds.dedup_by(|a, b| a.name == b.name);
    let max = |card: &Card| model.max_layers(card).min(model.layers);
    let counts = kinds.iter().flat_map(|card| (1..=max(card)).map(move |n| (card, n)));
    counts.map(|(card, layers)| model.token_capacity(card, layers)).collect()
}

/// Returns the number of layers of each engine if the fastest cards are filled first, and every
/// stage keeps a token capacity of at least `min_capacity`.
fn fill(model: &Model, cards: &[&Card], by_pace: &[usize], min_capacity: f64) -> Option<Vec<u32>> {
    let mut counts = vec![0; cards.len()];
    let mut left = model.layers;
    for &index in by_pace {
        let layers = model.layers_beside(cards[index], min_capacity).min(left);
        counts[index] = layers;
        left -= layers;
    }
    (left == 0).then_some(counts)
}
