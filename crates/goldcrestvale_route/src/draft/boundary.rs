//! The activations that enter a stage.

/// Activations at the boundary before a stage, for positions `start..end`.
#[derive(Debug, Default)]
pub(super) struct Boundary {
    start: u32,
    values: Vec<u64>,
    /// Whether only the activations not yet used are held.
    transient: bool,
}

/// A vector with more spare room than this factor is shrunk.
const SLACK: usize = 4;

impl Boundary {
    /// Returns whether the activations reach back to position 0.
    pub(super) fn is_whole(&self) -> bool {
        self.start == 0
    }

    /// Returns the position after the last one held.
    pub(super) fn end(&self) -> u32 {
        self.start + self.values.len() as u32
    }

    /// Returns the activations of some positions, which must be held.
    pub(super) fn slice(&self, from: u32, to: u32) -> &[u64] {
        &self.values[(from - self.start) as usize..(to - self.start) as usize]
    }

    /// Appends the outputs of a step from a position on; positions already held stay as they are.
    pub(super) fn extend(&mut self, position: u32, outputs: &[u64]) {
        let known = self.end().saturating_sub(position) as usize;
        self.values.extend_from_slice(outputs.get(known..).unwrap_or_default());
    }

    /// Returns whether only unused activations are held.
    pub(super) fn is_transient(&self) -> bool {
        self.transient
    }

    /// Gives up the activations that were already used.
    pub(super) fn release(&mut self) {
        self.transient = true;
    }

    /// Drops the activations before a position, if they were given up.
    pub(super) fn trim(&mut self, position: u32) {
        if !self.transient || position <= self.start {
            return;
        }
        let used = ((position - self.start) as usize).min(self.values.len());
        self.values.drain(..used);
        self.start += used as u32;
        if self.values.capacity() > SLACK * self.values.len().max(1) {
            self.values.shrink_to_fit();
        }
    }

    /// Returns the bytes held.
    pub(super) fn bytes(&self) -> usize {
        self.values.capacity() * size_of::<u64>()
    }
}
