//! The store of weights, whose rate all loads share.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

/// A store of weights that serves one read after the other at a fixed rate.
#[derive(Debug)]
pub struct Store {
    bytes_per_second: u64,
    free: Mutex<Option<Instant>>,
}

impl Store {
    /// Creates a store with its rate; zero stands for no limit.
    pub fn new(bytes_per_second: u64) -> Self {
        Self { bytes_per_second, free: Mutex::new(None) }
    }

    /// Queues a read and returns when it will be complete.
    pub fn read(&self, now: Instant, bytes: u64) -> Instant {
        if self.bytes_per_second == 0 {
            return now;
        }
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        let start = free.map_or(now, |free| free.max(now));
        let micros = u128::from(bytes) * 1_000_000 / u128::from(self.bytes_per_second);
        let end = start + Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX));
        *free = Some(end);
        end
    }
}
