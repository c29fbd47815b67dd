//! The better of two engines by this router's own requests in progress.

use goldcrestvale_base::time::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Engine, LoadChange, Policy};

/// The better of two engines by this router's own requests in progress.
#[derive(Debug, Default)]
pub struct Outstanding {
    requests: Vec<i32>,
}

impl Policy for Outstanding {
    fn choose(&mut self, _now: Instant, engines: &[Engine], rng: &mut ChaCha8Rng) -> usize {
        self.requests.resize(engines.len(), 0);
        let pair = [rng.random_range(0..engines.len()), rng.random_range(0..engines.len())];
        pair.into_iter().min_by_key(|index| self.requests[*index]).unwrap_or(0)
    }

    fn record_own(&mut self, own: LoadChange) {
        if let Some(requests) = self.requests.get_mut(own.engine) {
            *requests += own.change;
        }
    }
}
