//! What to load when a chain has lost layers or has a narrow stage.
//!
//! The load it answers: an engine is gone, and the traffic of its chain falls on the others until
//! its layers are held again. A load takes time with its share of the model, so the missing range
//! goes to several engines at once: the neighbours in the chain, and one without layers.

use goldcrestvale_base::engine::Layers;

use super::{
    Engine, Line, Model, Part, Placement, balance, find_lines,
    layout::{fill, layout},
    replicas,
};

/// Tokens of usual streams that an engine must keep room for.
const LEAST_STREAMS: f64 = 12.0;

/// Seconds of loading that weigh as much as losing two thirds of the room.
const PATIENCE_S: f64 = 2.0;

/// A stage with less than this share of the room that a new layout would give is narrow.
const NARROW: f64 = 0.8;

/// Returns the loads that complete the broken chain of one domain; empty if nothing is missing or
/// nothing can be done. `pending` says which engines are carrying out an order.
///
/// Only engines that are gone, leaving or silent count as lost. One that refused work for lack of
/// memory holds its layers still.
pub fn mend(
    model: &Model,
    engines: &[&Engine],
    pending: impl Fn(&Engine) -> bool,
) -> Vec<Placement> {
    let present: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_present()).collect();
    let lines = whole_lines(model, &present);
    if lines.len() >= replicas(model, &present) {
        return Vec::new();
    }
    let rest: Vec<&Engine> = present
        .iter()
        .copied()
        .filter(|engine| !lines.iter().any(|line| line.contains(&engine.upstream)))
        .collect();
    if rest.iter().any(|engine| pending(engine)) {
        return Vec::new();
    }
    let holes = holes(model, &rest);
    let missing: u32 = holes.iter().map(|hole| hole.len()).sum();
    if missing == model.layers {
        return layout(model, &rest);
    }
    let mut placed: Vec<Placement> = Vec::new();
    for hole in &holes {
        match split(model, &rest, &placed, *hole) {
            Some(loads) => placed.extend(loads),
            None => return shift(model, &rest, *hole),
        }
    }
    placed
}

fn whole_lines(model: &Model, engines: &[&Engine]) -> Vec<Line> {
    find_lines(model, engines).into_iter().filter(|line| line.crossings == 0).collect()
}

/// Moves the layers of a whole chain along its engines, which keep their order.
fn shift(model: &Model, engines: &[&Engine], hole: Layers) -> Vec<Placement> {
    let mut order = engines.to_vec();
    order.sort_by_key(|engine| {
        let from = engine.held.filter(|held| !held.is_empty()).map_or(hole.from, |held| held.from);
        (from, engine.upstream.clone())
    });
    let held = |placement: &Placement| {
        order.iter().any(|e| e.upstream == placement.upstream && e.held == Some(placement.layers))
    };
    fill(model, &order).into_iter().filter(|placement| !held(placement)).collect()
}

/// The ranges that none of the engines holds.
fn holes(model: &Model, engines: &[&Engine]) -> Vec<Layers> {
    let mut holes: Vec<Layers> = Vec::new();
    for layer in 0..model.layers {
        let held = engines
            .iter()
            .filter_map(|engine| engine.held)
            .any(|held| (held.from..held.to).contains(&layer));
        match holes.last_mut() {
            _ if held => {}
            Some(hole) if hole.to == layer => hole.to += 1,
            _ => holes.push(Layers { from: layer, to: layer + 1 }),
        }
    }
    holes
}

/// Splits a hole over the engine before it, one without layers, and the engine after it.
fn split(
    model: &Model,
    engines: &[&Engine],
    taken: &[Placement],
    hole: Layers,
) -> Option<Vec<Placement>> {
    let free = |engine: &&&Engine| !taken.iter().any(|t| t.upstream == engine.upstream);
    let left = engines.iter().filter(free).find(|e| e.held.is_some_and(|h| h.to == hole.from));
    let right = engines.iter().filter(free).find(|e| e.held.is_some_and(|h| h.from == hole.to));
    let spare = engines
        .iter()
        .filter(free)
        .filter(|engine| engine.held.is_none_or(Layers::is_empty))
        .max_by(|a, b| memory(model, a).total_cmp(&memory(model, b)));
    let mut best: Option<(f64, Vec<Placement>)> = None;
    for first in hole.from..=hole.to {
        for second in first..=hole.to {
            let shares = [
                (left, Layers { from: hole.from, to: first }),
                (spare, Layers { from: first, to: second }),
                (right, Layers { from: second, to: hole.to }),
            ];
            let Some((score, loads)) = rate(model, &shares) else { continue };
            if best.as_ref().is_none_or(|(most, _)| score > *most) {
                best = Some((score, loads));
            }
        }
    }
    best.map(|(_, loads)| loads)
}

/// Rates a split by the least room that is left and the longest load.
fn rate(model: &Model, shares: &[(Option<&&Engine>, Layers)]) -> Option<(f64, Vec<Placement>)> {
    let mut room = f64::INFINITY;
    let mut longest: f64 = 0.0;
    let mut loads = Vec::new();
    for (engine, share) in shares.iter().filter(|(_, share)| !share.is_empty()) {
        let engine = (*engine)?;
        let layers = match engine.held.filter(|held| !held.is_empty()) {
            Some(held) => Layers { from: held.from.min(share.from), to: held.to.max(share.to) },
            None => *share,
        };
        let card = model.card(&engine.card)?;
        if layers.len() > model.most_layers(card) {
            return None;
        }
        room = room.min(model.room(card, layers.len()));
        let load = model.load.as_secs_f64() * f64::from(share.len()) / f64::from(model.layers);
        longest = longest.max(load);
        loads.push(Placement { upstream: engine.upstream.clone(), layers });
    }
    if room < LEAST_STREAMS * model.stream_tokens() {
        return None;
    }
    Some((room.ln() - longest / PATIENCE_S, loads))
}

fn memory(model: &Model, engine: &Engine) -> f64 {
    model.card(&engine.card).map_or(0.0, |card| card.memory_mb)
}

/// Returns the loads, or the releases of layers, that widen the narrow stages of the whole chains of
/// one domain. Called only while no order is in progress there.
///
/// Boundaries move in two steps, so that the chain stays whole: the engines that are to take layers
/// load them first, and the others release theirs once every instance cuts its chains anew.
pub fn widen(model: &Model, engines: &[&Engine]) -> Vec<Placement> {
    let present: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_present()).collect();
    let lines = whole_lines(model, &present);
    let releases = trim(&present, &lines);
    if !releases.is_empty() {
        return releases;
    }
    let in_line = |engine: &&Engine| lines.iter().any(|line| line.contains(&engine.upstream));
    let spare = present
        .iter()
        .copied()
        .filter(|engine| !in_line(engine))
        .max_by(|a, b| memory(model, a).total_cmp(&memory(model, b)));
    lines
        .iter()
        .map(|line| relieve(model, &present, line, spare))
        .find(|loads| !loads.is_empty())
        .unwrap_or_default()
}

/// Releases the layers that an engine holds and its chain does not run on it.
fn trim(engines: &[&Engine], lines: &[Line]) -> Vec<Placement> {
    let parts = lines.iter().flat_map(|line| &line.parts);
    let surplus = parts.filter(|part| {
        let engine = engines.iter().find(|engine| engine.upstream == part.upstream);
        engine.is_some_and(|engine| engine.held != Some(part.layers))
    });
    surplus.map(|part| Placement { upstream: part.upstream.clone(), layers: part.layers }).collect()
}

/// Loads layers towards an even split of a chain, with an engine that is in no chain if there is
/// one; nothing if the chain is nearly even.
fn relieve(
    model: &Model,
    engines: &[&Engine],
    line: &Line,
    spare: Option<&Engine>,
) -> Vec<Placement> {
    let find = |part: &Part| engines.iter().find(|e| e.upstream == part.upstream).copied();
    let mut order: Vec<&Engine> = line.parts.iter().filter_map(find).collect();
    let room = |engine: &Engine, layers: Layers| {
        model.card(&engine.card).map_or(0.0, |card| match layers.len() > model.most_layers(card) {
            true => 0.0,
            false => model.room(card, layers.len()),
        })
    };
    let narrowest = (0..order.len()).min_by(|&a, &b| {
        let of = |place: usize| room(order[place], line.parts[place].layers);
        of(a).total_cmp(&of(b))
    });
    if let (Some(spare), Some(narrowest)) = (spare, narrowest) {
        order.insert(narrowest + 1, spare);
    }
    let Some(ideal) = balance(model, &order) else { return Vec::new() };
    let even = order.iter().zip(&ideal).map(|(engine, layers)| room(engine, *layers));
    let even = even.fold(f64::INFINITY, f64::min);
    if line.room >= even * NARROW {
        return Vec::new();
    }
    let least = LEAST_STREAMS * model.stream_tokens();
    let mut loads = Vec::new();
    for (engine, goal) in order.iter().zip(ideal).filter(|(_, goal)| !goal.is_empty()) {
        let part = line.parts.iter().find(|part| part.upstream == engine.upstream);
        let mut layers = match part {
            Some(part) => {
                Layers { from: part.layers.from.min(goal.from), to: part.layers.to.max(goal.to) }
            }
            None => goal,
        };
        // What does not fit beside the layers that are still in use comes with the next step.
        while let Some(part) = part
            && room(engine, layers) < least
            && layers != part.layers
        {
            match layers.to > part.layers.to {
                true => layers.to -= 1,
                false => layers.from += 1,
            }
        }
        if engine.held != Some(layers) {
            loads.push(Placement { upstream: engine.upstream.clone(), layers });
        }
    }
    loads
}
