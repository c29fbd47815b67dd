//! Exponential back-off with jitter for connection attempts.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::time::Instant;
use indexmap::IndexMap;
use rand::Rng;
use serde::Serialize;

/// Ceiling of the delay after the first failure; each further failure doubles it. The delay is a
/// random 50 to 100 % of the ceiling.
const INITIAL_CEILING: Duration = Duration::from_millis(200);

/// Maximum of that ceiling.
const MAX_CEILING: Duration = Duration::from_secs(5);

/// Time after which an attempt without a result counts as failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Serialize)]
struct Dial {
    failures: u32,
    not_before: Instant,
}

/// The back-off state of each address.
#[derive(Debug, Clone, Default, Serialize)]
#[serde(transparent)]
pub struct Backoff {
    dials: IndexMap<SocketAddr, Dial>,
}

impl Backoff {
    /// Returns whether to connect now, and records the attempt if so.
    pub fn try_start(&mut self, now: Instant, address: SocketAddr) -> bool {
        let initial = Dial { failures: 0, not_before: now };
        let dial = self.dials.entry(address).or_insert(initial);
        let is_due = dial.not_before <= now;
        if is_due {
            dial.not_before = now + CONNECT_TIMEOUT;
        }
        is_due
    }

    /// Records a failed attempt or an ended connection.
    pub fn record_failure(&mut self, now: Instant, address: SocketAddr, rng: &mut impl Rng) {
        let initial = Dial { failures: 0, not_before: now };
        let dial = self.dials.entry(address).or_insert(initial);
        let ceiling = INITIAL_CEILING.saturating_mul(1 << dial.failures.min(10)).min(MAX_CEILING);
        dial.failures += 1;
        dial.not_before = now + ceiling.mul_f64(rng.random_range(0.5..1.0));
    }

    /// Records an established connection.
    pub fn record_success(&mut self, address: SocketAddr) {
        self.dials.shift_remove(&address);
    }

    /// Keeps only the addresses that are still wanted.
    pub fn retain(&mut self, mut wanted: impl FnMut(&SocketAddr) -> bool) {
        self.dials.retain(|address, _| wanted(address));
    }
}
