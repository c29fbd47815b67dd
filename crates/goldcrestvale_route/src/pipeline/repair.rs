//! Repair of chains that have lost layers, and rebalancing of chains with a bottleneck stage.
//!
//! When an engine is gone, the traffic of its chain falls on the other chains until its layers are
//! held again. The time of a load grows with its share of the model, so a missing range is loaded
//! by several engines at once, and those without memory for it pass layers on to others.

use std::collections::HashSet;

use goldcrestvale_base::{engine::Layers, id::Upstream};

use super::{
    Card, Chain, Engine, Model, Placement, Stage, find_chains,
    group::{chain_groups, is_unassigned},
    layout,
    layout::{MAX_LAYOUT_STAGES, MIN_CHAIN_STREAMS},
    replicas, split,
    split::{smooth_rate, stream_rate},
};

/// Number of streams of average size for which an engine must keep token capacity.
const MIN_STREAMS: f64 = 12.0;

/// Seconds of loading that weigh as much as losing two thirds of the streams per second.
const LOAD_TIME_SCALE_S: f64 = 3.0;

/// Shares of the token capacity of the best split that are tried as lower bounds.
const CAPACITY_SHARES: [f64; 6] = [0.9, 0.7, 0.5, 0.3, 0.15, 0.05];

/// Additional cost of releasing a layer while the chain still serves: higher than that of any loss
/// of token capacity.
const RELEASE_COST_WHILE_SERVING: f64 = 50.0;

/// Minimum ratio of the streams per second of a chain after a step to those before it.
const MIN_IMPROVEMENT: f64 = 1.01;

/// Cost of releasing a layer, relative to loading one: streams that pass through it repeat their
/// prefill.
const RELEASE_COST: f64 = 0.3;

/// Share of the streams per second of the best split from which on a chain is left as it is.
const GOOD_SHARE: f64 = 0.8;

/// Returns whether a domain may start loads while some are in progress on the whole fleet.
///
/// When dozens of engines are replaced at once, more loads run than the store of the weights feeds
/// at full speed. A domain that still serves then waits, so that it does not slow down one that has
/// no chain.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::pipeline::may_start_loads;
///
/// let loads_at_once = 5;
/// assert!(may_start_loads(loads_at_once, 4, true));
/// assert!(!may_start_loads(loads_at_once, 5, true));
/// assert!(may_start_loads(loads_at_once, 30, false));
/// ```
pub fn may_start_loads(loads_at_once: u32, in_progress: usize, is_served: bool) -> bool {
    !is_served || in_progress < loads_at_once as usize
}

/// Returns the loads that complete the broken chains of one domain; empty if nothing is missing or
/// nothing can be done. `pending` returns the target layers of an engine that carries out an order.
///
/// Only engines that are gone, leaving or silent count as lost. An engine that refused work for
/// lack of memory still holds its layers. Each chain is repaired with its own engines and with
/// unassigned ones, so that no chain is used up for another one.
pub fn repair(
    model: &Model,
    engines: &[&Engine],
    pending: impl Fn(&Engine) -> Option<Layers>,
) -> Vec<Placement> {
    let present: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_present()).collect();
    let chains = useful_chains(model, &present);
    if chains.len() >= replicas(model, &present) {
        return Vec::new();
    }
    // An engine that makes a chain faster is worth more there than in a slow chain.
    if !present.iter().any(|engine| pending(engine).is_some()) {
        let loads = enlist_unassigned(model, &present, &chains);
        if !loads.is_empty() {
            return loads;
        }
    }
    if let Some(placements) = repair_groups(model, engines, &chains, &pending) {
        return placements;
    }
    let remaining: Vec<&Engine> = present
        .into_iter()
        .filter(|engine| !chains.iter().any(|chain| chain.contains(&engine.upstream)))
        .collect();
    complete_group(model, engines, &chains, &remaining, false)
}

/// Returns the loads that complete each broken chain with its own engines and with unassigned ones;
/// `None` if there are none, and no order is in progress.
fn repair_groups(
    model: &Model,
    engines: &[&Engine],
    chains: &[Chain],
    pending: impl Fn(&Engine) -> Option<Layers>,
) -> Option<Vec<Placement>> {
    let is_pending = |engine: &Engine| pending(engine).is_some();
    // An engine that carries out an order counts as holding its target layers.
    let planned: Vec<Engine> = engines
        .iter()
        .filter(|engine| engine.is_present())
        .map(|engine| Engine { held: pending(engine).or(engine.held), ..(*engine).clone() })
        .collect();
    let planned: Vec<&Engine> = planned.iter().collect();
    let mut broken: Vec<Vec<&Engine>> = chain_groups(&planned, replicas(model, &planned))
        .into_iter()
        .filter(|group| !group.is_empty() && complete_chains(model, group).is_empty())
        .collect();
    broken.sort_by_key(|group| missing_count(model, group));
    let mut unassigned: Vec<&Engine> =
        planned.iter().copied().filter(|engine| is_unassigned(engine)).collect();
    unassigned.sort_by(|a, b| memory(model, b).total_cmp(&memory(model, a)));
    let mut placements: Vec<Placement> = Vec::new();
    for group in broken {
        if group.iter().any(|engine| is_pending(engine)) {
            continue;
        }
        let mut members = group;
        let free_stages = MAX_LAYOUT_STAGES.saturating_sub(members.len());
        members.extend(unassigned.iter().take(free_stages));
        let is_used =
            members.iter().any(|e| chains.iter().any(|chain| chain.contains(&e.upstream)));
        let loads = complete_group(model, engines, chains, &members, is_used);
        unassigned.retain(|engine| !loads.iter().any(|load| load.upstream == engine.upstream));
        placements.extend(loads);
    }
    let is_any_pending = planned.iter().any(|engine| is_pending(engine));
    (is_any_pending || !placements.is_empty()).then_some(placements)
}

/// Returns the loads that form one chain from some engines of a domain beside its useful `chains`.
/// `is_used` is whether streams pass through them although their own chain is broken.
fn complete_group(
    model: &Model,
    engines: &[&Engine],
    chains: &[Chain],
    members: &[&Engine],
    is_used: bool,
) -> Vec<Placement> {
    // A chain that holds a few streams is only better than none.
    let min_tokens =
        if chains.is_empty() { 0.0 } else { MIN_CHAIN_STREAMS * model.stream_tokens() };
    match first_gap(model, members) {
        Some(gap) if gap == model.all_layers() => layout(model, members),
        Some(gap) => {
            // While the leaving engine still serves, its chain runs, and engines that had to
            // release layers would wait for the streams that pass through them.
            let mut leaving = engines.iter().filter(|engine| !engine.ready && !engine.silent);
            let is_served =
                is_used || leaving.any(|engine| engine.held.is_some_and(|h| h.covers(gap)));
            let release_cost = if is_served { RELEASE_COST_WHILE_SERVING } else { 0.0 };
            redistribute(model, members, gap, min_tokens, release_cost)
        }
        None if useful_chains(model, members).iter().all(|c| c.token_capacity < min_tokens) => {
            redistribute(model, members, Layers { from: 0, to: 0 }, min_tokens, 0.0)
        }
        None => Vec::new(),
    }
}

/// Returns the number of layers that none of the engines holds.
fn missing_count(model: &Model, engines: &[&Engine]) -> usize {
    (0..model.layers).filter(|&layer| !is_held(engines, layer)).count()
}

fn is_held(engines: &[&Engine], layer: u32) -> bool {
    let mut held = engines.iter().filter_map(|engine| engine.held);
    held.any(|held| (held.from..held.to).contains(&layer))
}

/// Returns the complete chains that hold enough streams; the one that carries the most if none does.
fn useful_chains(model: &Model, engines: &[&Engine]) -> Vec<Chain> {
    let mut chains = complete_chains(model, engines);
    chains.sort_by(|a, b| b.stream_rate(model).total_cmp(&a.stream_rate(model)));
    let min_tokens = MIN_CHAIN_STREAMS * model.stream_tokens();
    match chains.iter().any(|chain| chain.token_capacity >= min_tokens) {
        true => chains.retain(|chain| chain.token_capacity >= min_tokens),
        false => chains.truncate(1),
    }
    chains
}

fn complete_chains(model: &Model, engines: &[&Engine]) -> Vec<Chain> {
    find_chains(model, engines).into_iter().filter(|chain| chain.crossings == 0).collect()
}

/// Returns the first range of layers that none of the engines holds.
fn first_gap(model: &Model, engines: &[&Engine]) -> Option<Layers> {
    let from = (0..model.layers).find(|&layer| !is_held(engines, layer))?;
    let to = (from..model.layers).find(|&layer| is_held(engines, layer)).unwrap_or(model.layers);
    Some(Layers { from, to })
}

/// Redistributes the layers of a broken chain over its engines, which keep their order, so that few
/// layers are loaded and every stage keeps token capacity.
///
/// Several lower bounds on the token capacity are tried. The split with the best trade-off between
/// the capacity that is left and the time of the longest load is taken.
fn redistribute(
    model: &Model,
    engines: &[&Engine],
    gap: Layers,
    min_tokens: f64,
    extra_release_cost: f64,
) -> Vec<Placement> {
    let needed = needed_holders(model, engines);
    let mut order = engines.to_vec();
    order.sort_by_key(|engine| {
        // An engine whose layers others hold as well may take any place.
        let is_needed = needed.contains(&engine.upstream);
        let from = engine.held.filter(|_| is_needed).map_or(gap.from, |held| held.from);
        (from, engine.upstream.clone())
    });
    let Some(best_split) = split(model, &order) else { return Vec::new() };
    let best_capacity = min_capacity(model, &order, &best_split);
    let splits = CAPACITY_SHARES.iter().filter_map(|share| {
        let capacity = (best_capacity * share).max(min_tokens);
        let split = cheapest_split(model, &order, capacity, extra_release_cost)?;
        let loads = order.iter().zip(&split).map(|(engine, layers)| load_count(engine, *layers));
        let longest_load = loads.max().map_or(0.0, f64::from) / f64::from(model.layers);
        let longest_load = model.load_time.as_secs_f64() * longest_load;
        let released =
            order.iter().zip(&split).map(|(engine, layers)| release_count(engine, *layers));
        let log_rate = split_rate(model, &order, &split).ln();
        Some((
            log_rate
                - longest_load / LOAD_TIME_SCALE_S
                - released.sum::<f64>() * extra_release_cost,
            split,
        ))
    });
    let best = splits.max_by(|a, b| a.0.total_cmp(&b.0));
    let Some((_, split)) = best else { return Vec::new() };
    let placed = order.iter().zip(split).filter(|(_, layers)| !layers.is_empty());
    let changed = placed.filter(|(engine, layers)| engine.held != Some(*layers));
    changed
        .map(|(engine, layers)| Placement { upstream: engine.upstream.clone(), layers })
        .collect()
}

/// Returns the engines that hold a layer which no faster one holds.
fn needed_holders(model: &Model, engines: &[&Engine]) -> HashSet<Upstream> {
    let pace = |engine: &Engine| model.card(&engine.card).map_or(0.0, |card| card.step_pace);
    let mut by_pace = engines.to_vec();
    by_pace.sort_by(|a, b| {
        pace(a).total_cmp(&pace(b)).then_with(|| {
            let len = |engine: &Engine| engine.held.map_or(0, Layers::len);
            (len(b), &a.upstream).cmp(&(len(a), &b.upstream))
        })
    });
    let mut held = HashSet::new();
    let mut needed = HashSet::new();
    for engine in by_pace {
        let layers = engine.held.map_or(0..0, |held| held.from..held.to);
        if layers.filter(|layer| held.insert(*layer)).count() > 0 {
            needed.insert(engine.upstream.clone());
        }
    }
    needed
}

/// Finds the split with the lowest cost of loads in which every stage keeps a token capacity of at
/// least `min_capacity`.
///
/// Loads count by their square, since they run in parallel and the longest one determines the time.
fn cheapest_split(
    model: &Model,
    order: &[&Engine],
    min_capacity: f64,
    extra_release_cost: f64,
) -> Option<Vec<Layers>> {
    let layers = model.layers as usize;
    let mut cost = vec![f64::INFINITY; layers + 1];
    cost[0] = 0.0;
    let mut starts: Vec<Vec<usize>> = Vec::with_capacity(order.len());
    for engine in order {
        let card = model.card(&engine.card)?;
        let max_layers = (0..=model.max_layers(card))
            .rev()
            .find(|&n| model.token_capacity(card, n) >= min_capacity)?;
        let mut next = cost.clone();
        let mut start: Vec<usize> = (0..=layers).collect();
        for (from, &cost_so_far) in cost.iter().enumerate().filter(|(_, cost)| cost.is_finite()) {
            for to in from + 1..=layers.min(from + max_layers as usize) {
                let range = Layers { from: from as u32, to: to as u32 };
                let loaded = f64::from(load_count(engine, range));
                let released = release_count(engine, range) * (RELEASE_COST + extra_release_cost);
                let total = cost_so_far + loaded * loaded + released;
                if total < next[to] {
                    next[to] = total;
                    start[to] = from;
                }
            }
        }
        starts.push(start);
        cost = next;
    }
    if !cost[layers].is_finite() {
        return None;
    }
    let mut to = layers;
    let mut split: Vec<Layers> = starts
        .iter()
        .rev()
        .map(|start| {
            let range = Layers { from: start[to] as u32, to: to as u32 };
            to = start[to];
            range
        })
        .collect();
    split.reverse();
    Some(split)
}

/// Returns the number of layers that an engine would have to load.
fn load_count(engine: &Engine, layers: Layers) -> u32 {
    let kept = engine
        .held
        .map_or(0, |held| held.to.min(layers.to).saturating_sub(held.from.max(layers.from)));
    layers.len().saturating_sub(kept)
}

/// Returns the number of layers that an engine would release.
fn release_count(engine: &Engine, layers: Layers) -> f64 {
    let held = engine.held.map_or(0, Layers::len);
    f64::from(held) - f64::from(layers.len() - load_count(engine, layers))
}

/// Returns the streams per second of a chain with a split.
fn split_rate(model: &Model, order: &[&Engine], split: &[Layers]) -> f64 {
    let stages = order.iter().zip(split).filter(|(_, layers)| !layers.is_empty());
    let stages =
        stages.filter_map(|(engine, layers)| Some((model.card(&engine.card)?, layers.len())));
    stream_rate(model, &stages.collect::<Vec<_>>())
}

/// Returns the token capacity of the bottleneck stage of a split.
fn min_capacity(model: &Model, order: &[&Engine], split: &[Layers]) -> f64 {
    let capacities = order.iter().zip(split).map(|(engine, layers)| {
        model.card(&engine.card).map_or(0.0, |card| model.token_capacity(card, layers.len()))
    });
    capacities.fold(f64::INFINITY, f64::min)
}

fn memory(model: &Model, engine: &Engine) -> f64 {
    model.card(&engine.card).map_or(0.0, |card| card.memory_mb)
}

/// Returns the loads, or the releases of layers, that improve the complete chains of one domain.
/// Must only be called while no order is in progress there.
///
/// Boundaries move in two steps, so that the chain stays complete: the engines that take layers
/// load them first, and the others release theirs once every instance uses the new boundaries.
pub fn rebalance(model: &Model, engines: &[&Engine]) -> Vec<Placement> {
    let present: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_present()).collect();
    let chains = useful_chains(model, &present);
    let releases = release_surplus(&present, &chains);
    if !releases.is_empty() {
        return releases;
    }
    let unassigned = unassigned_kinds(&present, &chains);
    let improved =
        chains.iter().filter_map(|chain| rebalance_chain(model, &present, chain, &unassigned));
    improved.max_by(|a, b| a.0.total_cmp(&b.0)).map_or_else(Vec::new, |(_, loads)| loads)
}

/// Returns one engine that belongs to no chain of each kind of card, which is enough to choose from.
fn unassigned_kinds<'e>(engines: &[&'e Engine], chains: &[Chain]) -> Vec<&'e Engine> {
    let in_chain = |engine: &&Engine| chains.iter().any(|chain| chain.contains(&engine.upstream));
    let mut unassigned: Vec<&Engine> =
        engines.iter().copied().filter(|engine| !in_chain(engine)).collect();
    unassigned.sort_by(|a, b| (&a.card, &a.upstream).cmp(&(&b.card, &b.upstream)));
    unassigned.dedup_by(|a, b| a.card == b.card);
    unassigned
}

/// Returns the loads by which engines that belong to no chain improve a complete one.
fn enlist_unassigned(model: &Model, engines: &[&Engine], chains: &[Chain]) -> Vec<Placement> {
    let unassigned = unassigned_kinds(engines, chains);
    let enlists = |chain: &Chain, loads: &[Placement]| {
        loads.iter().any(|load| !chain.contains(&load.upstream))
    };
    let improved = chains.iter().filter_map(|chain| {
        rebalance_chain(model, engines, chain, &unassigned)
            .filter(|(_, loads)| enlists(chain, loads))
    });
    improved.max_by(|a, b| a.0.total_cmp(&b.0)).map_or_else(Vec::new, |(_, loads)| loads)
}

/// Returns the releases of layers that an engine holds and its chain does not run on it.
fn release_surplus(engines: &[&Engine], chains: &[Chain]) -> Vec<Placement> {
    let stages = chains.iter().flat_map(|chain| &chain.stages);
    let surplus = stages.filter(|stage| {
        let engine = engines.iter().find(|engine| engine.upstream == stage.upstream);
        engine.is_some_and(|engine| engine.held != Some(stage.layers))
    });
    surplus
        .map(|stage| Placement { upstream: stage.upstream.clone(), layers: stage.layers })
        .collect()
}

/// Returns loads towards the best split of a chain, including an unassigned engine if there is one
/// that is of use, and the streams per second that the split adds; `None` if the chain is nearly as
/// good as it can be.
fn rebalance_chain(
    model: &Model,
    engines: &[&Engine],
    chain: &Chain,
    unassigned: &[&Engine],
) -> Option<(f64, Vec<Placement>)> {
    let find = |stage: &Stage| engines.iter().find(|e| e.upstream == stage.upstream).copied();
    let members: Vec<&Engine> = chain.stages.iter().filter_map(find).collect();
    let target = |order| with_best_split(model, order);
    let with_one_more =
        unassigned.iter().filter_map(|engine| target(with_inserted(model, &members, engine)?));
    let best = target(members.clone()).into_iter().chain(with_one_more);
    let (best, order, layers) = best.max_by(|a, b| a.0.total_cmp(&b.0))?;
    let rate = chain_rate(model, engines, chain, stream_rate);
    if rate >= best * GOOD_SHARE {
        return None;
    }
    let token_capacity = |engine: &Engine, layers: Layers| {
        model.card(&engine.card).map_or(0.0, |card| match layers.len() > model.max_layers(card) {
            true => 0.0,
            false => model.token_capacity(card, layers.len()),
        })
    };
    // No stage gets less capacity during the move than the bottleneck stage has, or will have.
    let capacity = chain.token_capacity.min(min_capacity(model, &order, &layers));
    let min_capacity = capacity.max(MIN_STREAMS * model.stream_tokens());
    let mut loads = Vec::new();
    for (engine, target) in order.iter().zip(layers).filter(|(_, target)| !target.is_empty()) {
        let stage = chain.stages.iter().find(|stage| stage.upstream == engine.upstream);
        let mut layers = match stage {
            Some(stage) => Layers {
                from: stage.layers.from.min(target.from),
                to: stage.layers.to.max(target.to),
            },
            None => target,
        };
        // Layers that do not fit beside those that are still in use are loaded in the next step.
        while let Some(stage) = stage
            && token_capacity(engine, layers) < min_capacity
            && layers != stage.layers
        {
            match layers.to > stage.layers.to {
                true => layers.to -= 1,
                false => layers.from += 1,
            }
        }
        if engine.held != Some(layers) {
            loads.push(Placement { upstream: engine.upstream.clone(), layers });
        }
    }
    is_improvement(model, engines, chain, &loads).then_some((best - rate, loads))
}

/// Returns engines with their best split and its streams per second.
fn with_best_split<'e>(
    model: &Model,
    order: Vec<&'e Engine>,
) -> Option<(f64, Vec<&'e Engine>, Vec<Layers>)> {
    let layers = split(model, &order)?;
    Some((split_rate(model, &order, &layers), order, layers))
}

/// Inserts an engine into a chain where the best split then takes the fewest loads.
fn with_inserted<'e>(
    model: &Model,
    members: &[&'e Engine],
    engine: &'e Engine,
) -> Option<Vec<&'e Engine>> {
    let orders = (0..=members.len()).filter_map(|position| {
        let mut order = members.to_vec();
        order.insert(position, engine);
        let target = split(model, &order)?;
        let loads = order.iter().zip(&target).map(|(engine, layers)| load_count(engine, *layers));
        Some((loads.sum::<u32>(), order))
    });
    orders.min_by_key(|(loads, _)| *loads).map(|(_, order)| order)
}

/// Returns whether loads improve a chain, once the layers that they make redundant are released.
/// Every step must improve it, so that steps never repeat in a cycle.
fn is_improvement(model: &Model, engines: &[&Engine], chain: &Chain, loads: &[Placement]) -> bool {
    let loaded: Vec<Engine> = engines
        .iter()
        .map(|engine| {
            let load = loads.iter().find(|load| load.upstream == engine.upstream);
            let held = load.map_or(engine.held, |load| Some(load.layers));
            Engine { held, ..(*engine).clone() }
        })
        .collect();
    let loaded: Vec<&Engine> = loaded.iter().collect();
    let members: Vec<&Engine> = loaded
        .iter()
        .copied()
        .filter(|engine| {
            chain.contains(&engine.upstream) || loads.iter().any(|l| l.upstream == engine.upstream)
        })
        .collect();
    let after = complete_chains(model, &members);
    let best = after.iter().max_by(|a, b| a.stream_rate(model).total_cmp(&b.stream_rate(model)));
    let Some(after) = best else { return false };
    chain_rate(model, &loaded, after, smooth_rate)
        > chain_rate(model, engines, chain, smooth_rate) * MIN_IMPROVEMENT
}

/// Returns the streams per second of a chain, if each engine held only the layers that it runs.
fn chain_rate(
    model: &Model,
    engines: &[&Engine],
    chain: &Chain,
    rate: impl Fn(&Model, &[(&Card, u32)]) -> f64,
) -> f64 {
    let stages = chain.stages.iter().filter_map(|stage| {
        let engine = engines.iter().find(|engine| engine.upstream == stage.upstream)?;
        Some((model.card(&engine.card)?, stage.layers.len()))
    });
    rate(model, &stages.collect::<Vec<_>>())
}
