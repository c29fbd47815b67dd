//! The weight store, whose rate is shared by all loads.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// A weight store that serves reads one after the other at a fixed rate.
#[derive(Debug)]
pub struct Store {
    bytes_per_second: u64,
    idle_at: Mutex<Option<Instant>>,
}

impl Store {
    /// Creates a store; a rate of zero means no limit.
    pub fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second, idle_at: Mutex::new(None) }
    }

    /// Queues a read and returns the time at which it completes.
    pub fn read(&self, now: Instant, bytes: u64) -> Instant {
        if self.bytes_per_second == 0 {
            return now;
        }
        let mut idle_at = self.idle_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = idle_at.map_or(now, |idle_at| idle_at.max(now));
        let micros = u128::from(bytes) * 1_000_000 / u128::from(self.bytes_per_second);
        let end = start + Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        *idle_at = Some(end);
        end
    }
}
