//! The KV cache of one attempt.

use std::collections::BTreeMap;

use goldcrestvale_base::{domain, id::Model};
use goldcrestvale_upstream::message::{Layers, StepAnswer, StepInput, StepOutput};
use tokio::time::Instant;

use crate::reference;

/// Size of the cached state of one position in one layer, in bytes.
const KV_POSITION_BYTES: u64 = 4_096;

domain! {
    copy
    /// The cached state of one layer.
    pub(super) struct Slot {
        /// The state after the cached positions.
        pub(super) state: u64,
        /// Number of cached positions, from position 0.
        pub(super) positions: u32,
    }
}

/// The KV cache of one attempt, by layer.
#[derive(Debug, Clone)]
pub(super) struct Cache {
    /// The model.
    pub(super) model: Model,
    /// The cached layers.
    pub(super) slots: BTreeMap<u32, Slot>,
    /// The last answer of each stage, returned again for a retried step.
    pub(super) last: BTreeMap<u32, StepAnswer>,
    /// Time of the last step.
    pub(super) used: Instant,
}

impl Cache {
    pub(super) fn new(model: Model, now: Instant) -> Self {
        Self { model, slots: BTreeMap::new(), last: BTreeMap::new(), used: now }
    }

    /// Returns the first layer that does not hold exactly `position` positions, and the number that
    /// it holds.
    pub(super) fn find_mismatch(&self, layers: Layers, position: u32) -> Option<(u32, u32)> {
        (layers.from..layers.to)
            .map(|layer| (layer, self.slots.get(&layer).map_or(0, |slot| slot.positions)))
            .find(|(_, positions)| *positions != position)
    }

    /// Runs layers over an input and returns the output of the last layer.
    pub(super) fn run(
        &mut self,
        layers: Layers,
        depth: u32,
        input: &StepInput,
        now: Instant,
    ) -> StepOutput {
        self.used = now;
        let mut activations = match input {
            StepInput::Tokens(tokens) => {
                tokens.iter().map(|&token| reference::embed(token)).collect()
            }
            StepInput::Activations(activations) => activations.clone(),
        };
        for layer in layers.from..layers.to {
            let slot = self.slots.entry(layer).or_insert(Slot { state: 0, positions: 0 });
            for activation in &mut activations {
                slot.state = reference::advance(slot.state, *activation, layer);
                slot.positions += 1;
                *activation = slot.state;
            }
        }
        match activations.last() {
            Some(&last) if layers.to == depth => StepOutput::Token(reference::token(last)),
            _ => StepOutput::Activations(activations),
        }
    }

    /// Returns the size of the cache in bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.slots.values().map(|slot| u64::from(slot.positions) * KV_POSITION_BYTES).sum()
    }
}
