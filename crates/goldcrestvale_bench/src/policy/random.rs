//! A random engine, uniform or weighted by capacity.

use goldcrestvale_base::time::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Engine, Policy};
use crate::sim::{ANSWER_MEAN, PROMPT_MEAN};

/// A random engine, uniform or weighted by capacity.
#[derive(Debug)]
pub struct Random {
    weighted: bool,
}

impl Random {
    /// Creates a policy that chooses with equal probability.
    pub fn uniform() -> Self {
        Self { weighted: false }
    }

    /// Creates a policy that chooses by each engine's share of the total capacity.
    pub fn weighted() -> Self {
        Self { weighted: true }
    }
}

impl Policy for Random {
    fn choose(&mut self, _now: Instant, engines: &[Engine], rng: &mut ChaCha8Rng) -> usize {
        if !self.weighted {
            return rng.random_range(0..engines.len());
        }
        let capacity = |engine: &Engine| engine.capacity(PROMPT_MEAN, ANSWER_MEAN);
        let total: f64 = engines.iter().map(capacity).sum();
        let mut remaining = rng.random_range(0.0..total);
        for (engine, index) in engines.iter().zip(0..) {
            remaining -= capacity(engine);
            if remaining < 0.0 {
                return index;
            }
        }
        engines.len() - 1
    }
}
