//! The input activations of a stage.

/// Activations at the boundary before a stage, for positions `start..end`.
#[derive(Debug, Default)]
pub(super) struct Boundary {
    start: u32,
    values: Vec<u64>,
    /// Whether used activations are dropped.
    transient: bool,
}

/// Ratio of capacity to length above which the vector is shrunk.
const MAX_CAPACITY_FACTOR: usize = 4;

impl Boundary {
    /// Returns whether the activations reach back to position 0.
    pub(super) fn is_complete(&self) -> bool {
        self.start == 0
    }

    /// Returns the position after the last one stored.
    pub(super) fn end(&self) -> u32 {
        self.start + self.values.len() as u32
    }

    /// Returns the activations of `from..to`, which must be stored.
    pub(super) fn slice(&self, from: u32, to: u32) -> &[u64] {
        &self.values[(from - self.start) as usize..(to - self.start) as usize]
    }

    /// Appends the outputs of a step that starts at `position`; positions already stored are kept.
    pub(super) fn extend(&mut self, position: u32, outputs: &[u64]) {
        let held = self.end().saturating_sub(position) as usize;
        self.values.extend_from_slice(outputs.get(held..).unwrap_or_default());
    }

    /// Returns whether used activations are dropped.
    pub(super) fn is_transient(&self) -> bool {
        self.transient
    }

    /// Allows used activations to be dropped.
    pub(super) fn release(&mut self) {
        self.transient = true;
    }

    /// Drops the activations before a position, if the boundary is transient.
    pub(super) fn trim(&mut self, position: u32) {
        if !self.transient || position <= self.start {
            return;
        }
        let used = ((position - self.start) as usize).min(self.values.len());
        self.values.drain(..used);
        self.start += used as u32;
        if self.values.capacity() > MAX_CAPACITY_FACTOR * self.values.len().max(1) {
            self.values.shrink_to_fit();
        }
    }

    /// Returns the allocated size in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.values.capacity() * size_of::<u64>()
    }
}
