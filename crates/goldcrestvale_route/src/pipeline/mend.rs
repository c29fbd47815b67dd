//! What to load when a chain has lost layers or has a narrow stage.
//!
//! The load it answers: an engine is gone, and the traffic of its chain falls on the others until
//! its layers are held again. A load takes time with its share of the model, so the missing range
//! goes to several engines at once: the neighbours in the chain, and one without layers.

use goldcrestvale_base::{engine::Layers, time::Instant};

use super::{Engine, Line, Model, Placement, find_lines, layout, replicas};

/// Tokens of usual streams that an engine must keep room for.
const LEAST_STREAMS: f64 = 12.0;

/// Seconds of loading that weigh as much as losing two thirds of the room.
const PATIENCE_S: f64 = 2.0;

/// A stage with less than this share of the room that a new layout would give is narrow.
const NARROW: f64 = 0.6;

/// Returns the loads that complete the broken chain of one domain; empty if nothing is missing or
/// nothing can be done. `pending` says which engines are carrying out an order.
pub fn mend(
    model: &Model,
    engines: &[&Engine],
    now: Instant,
    pending: impl Fn(&Engine) -> bool,
) -> Vec<Placement> {
    let usable: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_usable(now)).collect();
    let lines: Vec<Line> =
        find_lines(model, &usable, now).into_iter().filter(|line| line.crossings == 0).collect();
    if lines.len() >= replicas(model, &usable) {
        return Vec::new();
    }
    let rest: Vec<&Engine> = usable
        .iter()
        .copied()
        .filter(|engine| !lines.iter().any(|line| line.contains(&engine.upstream)))
        .collect();
    if rest.iter().any(|engine| pending(engine)) {
        return Vec::new();
    }
    let holes = holes(model, &rest);
    let missing: u32 = holes.iter().map(|hole| hole.len()).sum();
    let mut placed: Vec<Placement> = Vec::new();
    if missing < model.layers {
        for hole in &holes {
            match fill(model, &rest, &placed, *hole) {
                Some(loads) => placed.extend(loads),
                None => return layout(model, &rest),
            }
        }
        return placed;
    }
    layout(model, &rest)
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
fn fill(
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

/// Returns one load or release of layers that widens the narrowest stage of a whole chain; `None`
/// if the chain is wide enough. Called only while no order is in progress in the domain.
pub fn widen(model: &Model, engines: &[&Engine], now: Instant) -> Option<Placement> {
    let usable: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_usable(now)).collect();
    let lines = find_lines(model, &usable, now);
    let lines: Vec<&Line> = lines.iter().filter(|line| line.crossings == 0).collect();
    trim(&usable, &lines).or_else(|| relieve(model, &usable, &lines))
}

/// Releases layers that an engine holds and no chain runs on it.
fn trim(engines: &[&Engine], lines: &[&Line]) -> Option<Placement> {
    let parts = lines.iter().flat_map(|line| &line.parts);
    parts.into_iter().find_map(|part| {
        let engine = engines.iter().find(|engine| engine.upstream == part.upstream)?;
        (engine.held? != part.layers)
            .then(|| Placement { upstream: part.upstream.clone(), layers: part.layers })
    })
}

/// Gives layers of the narrowest stage to a neighbour in its chain or to an engine without layers.
fn relieve(model: &Model, engines: &[&Engine], lines: &[&Line]) -> Option<Placement> {
    let find = |part: &super::Part| engines.iter().find(|e| e.upstream == part.upstream).copied();
    let spare = engines
        .iter()
        .filter(|engine| engine.held.is_none_or(Layers::is_empty))
        .max_by(|a, b| memory(model, a).total_cmp(&memory(model, b)));
    for line in lines {
        let members: Vec<&Engine> = line.parts.iter().filter_map(find).collect();
        let possible: Vec<&Engine> = members.iter().copied().chain(spare.copied()).collect();
        let ideal = best_room(model, &possible)?;
        if line.room >= ideal * NARROW {
            continue;
        }
        let room = |engine: &Engine, layers: u32| {
            model.card(&engine.card).map_or(0.0, |card| match layers > model.most_layers(card) {
                true => 0.0,
                false => model.room(card, layers),
            })
        };
        let narrowest = (0..line.parts.len()).min_by(|&a, &b| {
            let of = |place: usize| room(members[place], line.parts[place].layers.len());
            of(a).total_cmp(&of(b))
        })?;
        let run = line.parts[narrowest].layers;
        let mut best: Option<(f64, Placement)> = None;
        for moved in 1..run.len() {
            let keeps = room(members[narrowest], run.len() - moved);
            let mut offer = |engine: &Engine, layers: Layers| {
                let score = keeps.min(room(engine, layers.len()));
                if best.as_ref().is_none_or(|(most, _)| score > *most) {
                    best = Some((score, Placement { upstream: engine.upstream.clone(), layers }));
                }
            };
            if let Some(before) = narrowest.checked_sub(1) {
                let held = line.parts[before].layers;
                offer(members[before], Layers { from: held.from, to: run.from + moved });
            }
            if let Some(after) = line.parts.get(narrowest + 1) {
                let held = after.layers;
                offer(members[narrowest + 1], Layers { from: run.to - moved, to: held.to });
            }
            if let Some(spare) = spare {
                offer(spare, Layers { from: run.to - moved, to: run.to });
            }
        }
        if let Some((score, placement)) = best
            && score > line.room * 1.2
        {
            return Some(placement);
        }
    }
    None
}

/// The least room of a stage if the engines were laid out anew.
fn best_room(model: &Model, engines: &[&Engine]) -> Option<f64> {
    let memory: f64 = engines.iter().map(|engine| memory(model, engine)).sum();
    let left = memory - model.layer_mb * f64::from(model.layers);
    (left > 0.0).then(|| left * 1e6 / model.token_bytes)
}
