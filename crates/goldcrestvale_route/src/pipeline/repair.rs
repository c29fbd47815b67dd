//! What to load when a chain has lost layers or has a narrow stage.
//!
//! The load it answers: an engine is gone, and the traffic of its chain falls on the others until
//! its layers are held again. A load takes time with its share of the model, so the missing range
//! goes to several engines at once, and those that have no room for it pass layers on.

use goldcrestvale_base::engine::Layers;

use super::{
    Chain, Engine, Model, Placement, Stage, balance, find_chains,
    group::{chain_groups, is_spare},
    layout,
    layout::LONGEST,
    replicas,
};

/// Tokens of usual streams that an engine must keep room for.
const LEAST_STREAMS: f64 = 12.0;

/// Seconds of loading that weigh as much as losing two thirds of the room: callers leave after two.
const PATIENCE_S: f64 = 1.0;

/// Shares of the room of an even split that are tried as bounds.
const SHARES_OF_ROOM: [f64; 6] = [0.9, 0.7, 0.5, 0.3, 0.15, 0.05];

/// Further cost of releasing a layer while the chain still serves: more than any loss of room.
const GENTLE_RELEASE: f64 = 50.0;

/// Narrowness that a step must leave at most, against what was before.
const PROGRESS: f64 = 0.99;

/// Cost of releasing a layer, against loading one: streams that pass through it read again.
const RELEASE: f64 = 0.3;

/// A stage with less than this share of the room that a new layout would give is narrow.
const NARROW: f64 = 0.8;

/// Returns the loads that complete the broken chains of one domain; empty if nothing is missing or
/// nothing can be done. `pending` says which layers an engine is to hold that carries out an order.
///
/// Only engines that are gone, leaving or silent count as lost. One that refused work for lack of
/// memory holds its layers still. Each chain is mended by its own engines and by those that hold
/// nothing, so that no chain is used up for another one.
pub fn repair(
    model: &Model,
    engines: &[&Engine],
    pending: impl Fn(&Engine) -> Option<Layers>,
) -> Vec<Placement> {
    let present: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_present()).collect();
    let chains = complete_chains(model, &present);
    if chains.len() >= replicas(model, &present) {
        return Vec::new();
    }
    if let Some(placements) = mend_apart(model, engines, &chains, &pending) {
        return placements;
    }
    let rest: Vec<&Engine> = present
        .into_iter()
        .filter(|engine| !chains.iter().any(|chain| chain.contains(&engine.upstream)))
        .collect();
    complete(model, engines, &rest, false)
}

/// Returns the loads that complete each broken chain by its own engines and by those that hold nothing;
/// `None` if there are none, and none are on their way.
fn mend_apart(
    model: &Model,
    engines: &[&Engine],
    chains: &[Chain],
    pending: impl Fn(&Engine) -> Option<Layers>,
) -> Option<Vec<Placement>> {
    let is_pending = |engine: &Engine| pending(engine).is_some();
    // An engine that carries out an order counts as holding what it is to hold.
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
    broken.sort_by_key(|group| missing(model, group));
    let mut spares: Vec<&Engine> =
        planned.iter().copied().filter(|engine| is_spare(engine)).collect();
    spares.sort_by(|a, b| memory(model, b).total_cmp(&memory(model, a)));
    let mut placements: Vec<Placement> = Vec::new();
    for group in broken {
        if group.iter().any(|engine| is_pending(engine)) {
            continue;
        }
        let mut members = group;
        let room = LONGEST.saturating_sub(members.len());
        members.extend(spares.iter().take(room));
        let is_used =
            members.iter().any(|e| chains.iter().any(|chain| chain.contains(&e.upstream)));
        let loads = complete(model, engines, &members, is_used);
        spares.retain(|spare| !loads.iter().any(|load| load.upstream == spare.upstream));
        placements.extend(loads);
    }
    let is_waiting = planned.iter().any(|engine| is_pending(engine));
    (is_waiting || !placements.is_empty()).then_some(placements)
}

/// Returns the loads that make one chain of some engines of a domain. `is_used` says whether streams
/// pass through them although their own chain is broken.
fn complete(
    model: &Model,
    engines: &[&Engine],
    members: &[&Engine],
    is_used: bool,
) -> Vec<Placement> {
    match first_hole(model, members) {
        Some(hole) if hole == model.all_layers() => layout(model, members),
        Some(hole) => {
            // While the engine that leaves still serves, its chain runs, and engines that were to
            // release layers would wait for the streams that pass through them.
            let mut leaving = engines.iter().filter(|engine| !engine.ready && !engine.silent);
            let is_served =
                is_used || leaving.any(|engine| engine.held.is_some_and(|h| h.covers(hole)));
            reflow(model, members, hole, if is_served { GENTLE_RELEASE } else { 0.0 })
        }
        None => Vec::new(),
    }
}

/// The layers that none of the engines holds.
fn missing(model: &Model, engines: &[&Engine]) -> usize {
    (0..model.layers).filter(|&layer| !is_held(engines, layer)).count()
}

fn is_held(engines: &[&Engine], layer: u32) -> bool {
    let mut held = engines.iter().filter_map(|engine| engine.held);
    held.any(|held| (held.from..held.to).contains(&layer))
}

fn complete_chains(model: &Model, engines: &[&Engine]) -> Vec<Chain> {
    find_chains(model, engines).into_iter().filter(|chain| chain.crossings == 0).collect()
}

/// The first range that none of the engines holds.
fn first_hole(model: &Model, engines: &[&Engine]) -> Option<Layers> {
    let from = (0..model.layers).find(|&layer| !is_held(engines, layer))?;
    let to = (from..model.layers).find(|&layer| is_held(engines, layer)).unwrap_or(model.layers);
    Some(Layers { from, to })
}

/// Spreads the layers of a broken chain over its engines, which keep their order, so that little is
/// loaded and every stage keeps room.
///
/// Of several bounds on the room, the split with the best trade between the room that is left and
/// the time of the longest load is taken.
fn reflow(model: &Model, engines: &[&Engine], hole: Layers, release: f64) -> Vec<Placement> {
    let mut order = engines.to_vec();
    order.sort_by_key(|engine| {
        let from = engine.held.filter(|held| !held.is_empty()).map_or(hole.from, |held| held.from);
        (from, engine.upstream.clone())
    });
    let Some(even) = balance(model, &order) else { return Vec::new() };
    let even = least_room(model, &order, &even);
    let splits = SHARES_OF_ROOM.iter().filter_map(|share| {
        let split = cheapest(model, &order, even * share, release)?;
        let loads = order.iter().zip(&split).map(|(engine, layers)| load(engine, *layers));
        let longest = loads.max().map_or(0.0, f64::from) / f64::from(model.layers);
        let longest = model.load_time.as_secs_f64() * longest;
        let released = order.iter().zip(&split).map(|(engine, layers)| released(engine, *layers));
        let room = least_room(model, &order, &split).max(1.0).ln();
        Some((room - longest / PATIENCE_S - released.sum::<f64>() * release, split))
    });
    let best = splits.max_by(|a, b| a.0.total_cmp(&b.0));
    let Some((_, split)) = best else { return Vec::new() };
    let placed = order.iter().zip(split).filter(|(_, layers)| !layers.is_empty());
    let changed = placed.filter(|(engine, layers)| engine.held != Some(*layers));
    changed
        .map(|(engine, layers)| Placement { upstream: engine.upstream.clone(), layers })
        .collect()
}

/// Finds the split with the least loads in which every stage keeps `room` tokens.
///
/// Loads count by their square, since they run side by side and the longest one is waited for.
fn cheapest(model: &Model, order: &[&Engine], room: f64, release: f64) -> Option<Vec<Layers>> {
    let layers = model.layers as usize;
    let mut cost = vec![f64::INFINITY; layers + 1];
    cost[0] = 0.0;
    let mut starts: Vec<Vec<usize>> = Vec::with_capacity(order.len());
    for engine in order {
        let card = model.card(&engine.card)?;
        let most =
            (0..=model.max_layers(card)).rev().find(|&n| model.token_capacity(card, n) >= room)?;
        let mut next = cost.clone();
        let mut start: Vec<usize> = (0..=layers).collect();
        for (from, &before) in cost.iter().enumerate().filter(|(_, before)| before.is_finite()) {
            for to in from + 1..=layers.min(from + most as usize) {
                let range = Layers { from: from as u32, to: to as u32 };
                let loaded = f64::from(load(engine, range));
                let given_up = released(engine, range) * (RELEASE + release);
                let total = before + loaded * loaded + given_up;
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

/// The layers that an engine would have to load.
fn load(engine: &Engine, layers: Layers) -> u32 {
    let kept = engine
        .held
        .map_or(0, |held| held.to.min(layers.to).saturating_sub(held.from.max(layers.from)));
    layers.len() - kept
}

/// The layers that an engine would give up.
fn released(engine: &Engine, layers: Layers) -> f64 {
    let held = engine.held.map_or(0, Layers::len);
    f64::from(held) - f64::from(layers.len() - load(engine, layers))
}

/// The room of the narrowest stage of a split.
fn least_room(model: &Model, order: &[&Engine], split: &[Layers]) -> f64 {
    let rooms = order.iter().zip(split).map(|(engine, layers)| {
        model.card(&engine.card).map_or(0.0, |card| model.token_capacity(card, layers.len()))
    });
    rooms.fold(f64::INFINITY, f64::min)
}

fn memory(model: &Model, engine: &Engine) -> f64 {
    model.card(&engine.card).map_or(0.0, |card| card.memory_mb)
}

/// Returns the loads, or the releases of layers, that widen the narrow stages of the whole chains of
/// one domain. Called only while no order is in progress there.
///
/// Boundaries move in two steps, so that the chain stays whole: the engines that are to take layers
/// load them first, and the others release theirs once every instance cuts its chains anew.
pub fn rebalance(model: &Model, engines: &[&Engine]) -> Vec<Placement> {
    let present: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_present()).collect();
    let chains = complete_chains(model, &present);
    let releases = trim(&present, &chains);
    if !releases.is_empty() {
        return releases;
    }
    let in_chain = |engine: &&Engine| chains.iter().any(|chain| chain.contains(&engine.upstream));
    let spare = present
        .iter()
        .copied()
        .filter(|engine| !in_chain(engine))
        .max_by(|a, b| memory(model, a).total_cmp(&memory(model, b)));
    chains
        .iter()
        .map(|chain| relieve(model, &present, chain, spare))
        .find(|loads| !loads.is_empty())
        .unwrap_or_default()
}

/// Releases the layers that an engine holds and its chain does not run on it.
fn trim(engines: &[&Engine], chains: &[Chain]) -> Vec<Placement> {
    let stages = chains.iter().flat_map(|chain| &chain.stages);
    let surplus = stages.filter(|stage| {
        let engine = engines.iter().find(|engine| engine.upstream == stage.upstream);
        engine.is_some_and(|engine| engine.held != Some(stage.layers))
    });
    surplus
        .map(|stage| Placement { upstream: stage.upstream.clone(), layers: stage.layers })
        .collect()
}

/// Loads layers towards an even split of a chain, with an engine that is in no chain if there is
/// one; nothing if the chain is nearly even.
fn relieve(
    model: &Model,
    engines: &[&Engine],
    chain: &Chain,
    spare: Option<&Engine>,
) -> Vec<Placement> {
    let find = |stage: &Stage| engines.iter().find(|e| e.upstream == stage.upstream).copied();
    let mut order: Vec<&Engine> = chain.stages.iter().filter_map(find).collect();
    let room = |engine: &Engine, layers: Layers| {
        model.card(&engine.card).map_or(0.0, |card| match layers.len() > model.max_layers(card) {
            true => 0.0,
            false => model.token_capacity(card, layers.len()),
        })
    };
    let narrowest = (0..order.len()).min_by(|&a, &b| {
        let of = |place: usize| room(order[place], chain.stages[place].layers);
        of(a).total_cmp(&of(b))
    });
    if let (Some(spare), Some(narrowest)) = (spare, narrowest) {
        order.insert(narrowest + 1, spare);
    }
    let Some(ideal) = balance(model, &order) else { return Vec::new() };
    let even = order.iter().zip(&ideal).map(|(engine, layers)| room(engine, *layers));
    let even = even.fold(f64::INFINITY, f64::min);
    if chain.token_capacity >= even * NARROW {
        return Vec::new();
    }
    // No stage gets narrower on the way than the narrowest one is.
    let least = chain.token_capacity.max(LEAST_STREAMS * model.stream_tokens());
    let mut loads = Vec::new();
    for (engine, goal) in order.iter().zip(ideal).filter(|(_, goal)| !goal.is_empty()) {
        let stage = chain.stages.iter().find(|stage| stage.upstream == engine.upstream);
        let mut layers = match stage {
            Some(stage) => {
                Layers { from: stage.layers.from.min(goal.from), to: stage.layers.to.max(goal.to) }
            }
            None => goal,
        };
        // What does not fit beside the layers that are still in use comes with the next step.
        while let Some(stage) = stage
            && room(engine, layers) < least
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
    if is_progress(model, engines, chain, &loads) { loads } else { Vec::new() }
}

/// Returns whether loads, once the layers that they make needless are released, take some of the
/// narrowness of a chain. It only ever falls, so that no steps go in a circle.
fn is_progress(model: &Model, engines: &[&Engine], chain: &Chain, loads: &[Placement]) -> bool {
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
    let Some(after) = after.first() else { return false };
    narrowness(model, &loaded, after) < narrowness(model, engines, chain) * PROGRESS
}

/// The sum of the inverse rooms of a chain's stages, were each to hold what it runs.
fn narrowness(model: &Model, engines: &[&Engine], chain: &Chain) -> f64 {
    let stages = chain.stages.iter().map(|stage| {
        let engine = engines.iter().find(|engine| engine.upstream == stage.upstream);
        let card = engine.and_then(|engine| model.card(&engine.card));
        1.0 / card.map_or(1.0, |card| model.token_capacity(card, stage.layers.len()).max(1.0))
    });
    stages.sum()
}
