//! When to connect to which address: exponential back-off with jitter.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::time::Instant;
use indexmap::IndexMap;
use rand::Rng;
use serde::Serialize;

/// Shortest time between two attempts to connect to one address.
const SHORTEST: Duration = Duration::from_millis(200);

/// Longest time between two attempts to connect to one address.
const LONGEST: Duration = Duration::from_secs(5);

/// Time after which an attempt without an outcome counts as failed.
const OUTCOME: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Serialize)]
struct Dial {
    failures: u32,
    not_before: Instant,
}

/// The attempts to connect, by address.
#[derive(Debug, Clone, Default, Serialize)]
#[serde(transparent)]
pub struct Schedule {
    dials: IndexMap<SocketAddr, Dial>,
}

impl Schedule {
    /// Returns whether to connect now, and notes the attempt if so.
    pub fn start(&mut self, now: Instant, address: SocketAddr) -> bool {
        let fresh = Dial { failures: 0, not_before: now };
        let dial = self.dials.entry(address).or_insert(fresh);
        let due = dial.not_before <= now;
        if due {
            dial.not_before = now + OUTCOME;
        }
        due
    }

    /// Notes a failed attempt or an ended connection.
    pub fn fail(&mut self, now: Instant, address: SocketAddr, rng: &mut impl Rng) {
        let fresh = Dial { failures: 0, not_before: now };
        let dial = self.dials.entry(address).or_insert(fresh);
        let ceiling = SHORTEST.saturating_mul(1 << dial.failures.min(10)).min(LONGEST);
        dial.failures += 1;
        dial.not_before = now + ceiling.mul_f64(rng.random_range(0.5..1.0));
    }

    /// Notes a connection that stands.
    pub fn succeed(&mut self, address: SocketAddr) {
        self.dials.shift_remove(&address);
    }

    /// Forgets the addresses that are not wanted.
    pub fn keep(&mut self, mut wanted: impl FnMut(&SocketAddr) -> bool) {
        self.dials.retain(|address, _| wanted(address));
    }
}
