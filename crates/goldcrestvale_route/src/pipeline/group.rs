//! Groups the engines that belong to the same chain, by the layers that they hold.
//!
//! When several chains of a domain lose a stage at the same moment, the engines that are left can
//! be combined into one chain. Repairs that start from that chain use up the engines of all the
//! others.

use goldcrestvale_base::engine::Layers;

use super::Engine;

/// Weight of a layer that two consecutive engines both hold, relative to a layer that neither
/// holds.
const OVERLAP_WEIGHT: u32 = 2;

/// Splits the engines that hold layers into `count` groups. Each engine is appended to the group
/// whose layers end nearest to where its own begin. Groups may have gaps, or be empty.
pub(super) fn chain_groups<'e>(engines: &[&'e Engine], count: usize) -> Vec<Vec<&'e Engine>> {
    let mut holders: Vec<&Engine> = engines.iter().copied().filter(|e| !is_unassigned(e)).collect();
    holders.sort_by_key(|e| (e.held.map(|held| (held.from, held.to)), e.upstream.clone()));
    let mut groups: Vec<(u32, Vec<&Engine>)> = vec![(0, Vec::new()); count];
    for engine in holders {
        let Some(held) = engine.held else { continue };
        let nearest = groups.iter_mut().min_by_key(|(end, _)| match *end <= held.from {
            true => held.from - *end,
            false => (*end - held.from) * OVERLAP_WEIGHT,
        });
        if let Some((end, group)) = nearest {
            *end = held.to.max(*end);
            group.push(engine);
        }
    }
    groups.into_iter().map(|(_, group)| group).collect()
}

/// Returns whether an engine holds no layers.
pub(super) fn is_unassigned(engine: &Engine) -> bool {
    engine.held.is_none_or(Layers::is_empty)
}
