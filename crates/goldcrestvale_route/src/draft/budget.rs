//! Keeping of retained activations within a budget.

use smallvec::SmallVec;

use super::{Draft, stage_state::Place};

impl Draft {
    /// Gives up used activations until the retained ones fit the budget.
    pub(super) fn keep_budget(&mut self) {
        loop {
            let retained = |place: &&Place| !place.input.is_transient();
            let bytes: usize = self.places.iter().filter(retained).map(|p| p.input.bytes()).sum();
            if bytes <= self.prompt.settings.retain_bytes {
                return;
            }
            let Some(index) = self.least_useful() else { return };
            let place = &mut self.places[index];
            place.input.release();
            place.input.trim(place.kv);
        }
    }

    /// Returns the retained boundary whose neighbours are closest: without it, the least further
    /// layers must run to rebuild a stage.
    fn least_useful(&self) -> Option<usize> {
        let mut retained: SmallVec<[(usize, u32); 8]> = SmallVec::new();
        for (index, place) in self.places.iter().enumerate() {
            if index == 0 || !place.input.is_transient() {
                retained.push((index, place.stage.layers.from));
            }
        }
        let end = self.places.last().map_or(0, |place| place.stage.layers.to);
        let gap = |at: usize| {
            let next = retained.get(at + 1).map_or(end, |&(_, layer)| layer);
            next - retained[at - 1].1
        };
        let least = (1..retained.len()).min_by_key(|&at| gap(at))?;
        Some(retained[least].0)
    }
}
