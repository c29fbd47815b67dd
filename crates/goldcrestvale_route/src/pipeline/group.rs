//! Which engines belong to the same chain, by the layers that they hold.
//!
//! The load it answers: several chains of a domain lose a stage at the same moment. What is left of them
//! can be woven into one chain, and repairs that start from that one use up the engines of all the
//! others.

use goldcrestvale_base::engine::Layers;

use super::Engine;

/// Weight of layers that two engines in a row hold both, against layers that neither holds.
const OVERLAP: u32 = 2;

/// Splits the engines that hold layers into strands: each engine goes behind the one whose layers end
/// nearest to where its own begin. Strands may lack layers, or be empty.
pub(super) fn chain_groups<'e>(engines: &[&'e Engine], count: usize) -> Vec<Vec<&'e Engine>> {
    let mut holders: Vec<&Engine> = engines.iter().copied().filter(|e| !is_spare(e)).collect();
    holders.sort_by_key(|e| (e.held.map(|held| (held.from, held.to)), e.upstream.clone()));
    let mut chain_groups: Vec<(u32, Vec<&Engine>)> = vec![(0, Vec::new()); count];
    for engine in holders {
        let Some(held) = engine.held else { continue };
        let nearest = chain_groups.iter_mut().min_by_key(|(end, _)| match *end <= held.from {
            true => held.from - *end,
            false => (*end - held.from) * OVERLAP,
        });
        if let Some((end, group)) = nearest {
            *end = held.to.max(*end);
            group.push(engine);
        }
    }
    chain_groups.into_iter().map(|(_, group)| group).collect()
}

/// Returns whether an engine holds nothing.
pub(super) fn is_spare(engine: &Engine) -> bool {
    engine.held.is_none_or(Layers::is_empty)
}
