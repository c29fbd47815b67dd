//! The engine with the lowest reported number of requests, of all engines or of two.

use goldcrestvale_base::time::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Engine, Policy};

/// The engine with the lowest reported number of requests, of all engines or of two.
#[derive(Debug)]
pub struct Reported {
    two: bool,
}

impl Reported {
    /// Creates a policy that compares all engines.
    pub fn least() -> Self {
        Self { two: false }
    }

    /// Creates a policy that compares two engines.
    pub fn two() -> Self {
        Self { two: true }
    }
}

impl Policy for Reported {
    fn choose(&mut self, _now: Instant, engines: &[Engine], rng: &mut ChaCha8Rng) -> usize {
        let key = |index: &usize| engines[*index].report.requests;
        if self.two {
            let pair = [rng.random_range(0..engines.len()), rng.random_range(0..engines.len())];
            return pair.into_iter().min_by_key(key).unwrap_or(0);
        }
        // Each choice breaks ties in an order with a random start.
        let start = rng.random_range(0..engines.len());
        let order = (0..engines.len()).map(|offset| (start + offset) % engines.len());
        order.min_by_key(key).unwrap_or(0)
    }
}
