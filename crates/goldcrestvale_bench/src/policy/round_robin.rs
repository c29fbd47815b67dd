//! The engines in turn.

use goldcrestvale_base::time::Instant;
use rand_chacha::ChaCha8Rng;

use super::{Engine, Policy};

/// One engine after the other.
#[derive(Debug)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Creates the policy with the index of its first engine.
    pub fn starting_at(next: usize) -> Self {
        Self { next }
    }
}

impl Policy for RoundRobin {
    fn choose(&mut self, _now: Instant, engines: &[Engine], _rng: &mut ChaCha8Rng) -> usize {
        let chosen = self.next % engines.len();
        self.next = chosen + 1;
        chosen
    }
}
