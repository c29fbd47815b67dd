//! The memory budget of retained activations.

use smallvec::SmallVec;

use super::{Draft, stage_state::StageState};

impl Draft {
    /// Releases boundaries until the retained ones fit into `retain_bytes`.
    pub(super) fn enforce_retain_budget(&mut self) {
        loop {
            let retained = |state: &&StageState| !state.input.is_transient();
            let bytes: usize = self.stages.iter().filter(retained).map(|s| s.input.bytes()).sum();
            if bytes <= self.prompt.settings.retain_bytes {
                return;
            }
            let Some(index) = self.least_useful() else { return };
            let state = &mut self.stages[index];
            state.input.release();
            state.input.trim(state.kv_positions);
        }
    }

    /// Returns the retained boundary whose neighbours are closest, since its release adds the
    /// fewest layers to a rebuild.
    fn least_useful(&self) -> Option<usize> {
        let mut retained: SmallVec<[(usize, u32); 8]> = SmallVec::new();
        for (index, state) in self.stages.iter().enumerate() {
            if index == 0 || !state.input.is_transient() {
                retained.push((index, state.stage.layers.from));
            }
        }
        let end = self.stages.last().map_or(0, |state| state.stage.layers.to);
        let gap = |at: usize| {
            let next = retained.get(at + 1).map_or(end, |&(_, layer)| layer);
            next - retained[at - 1].1
        };
        let least = (1..retained.len()).min_by_key(|&at| gap(at))?;
        Some(retained[least].0)
    }
}
