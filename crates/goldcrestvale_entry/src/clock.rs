//! The clocks of the process, whose readings are passed to the code that makes decisions.

use std::time::{SystemTime, UNIX_EPOCH};

use goldcrestvale_base::time::{Instant, Wall};

/// A monotonic clock whose origin is the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { origin: std::time::Instant::now() }
    }

    /// Returns the time at which the monotonic clock reads zero.
    pub fn origin(&self) -> std::time::Instant {
        self.origin
    }

    /// Reads the monotonic clock.
    pub fn now(&self) -> Instant {
        Instant(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Reads the wall clock.
    pub fn wall(&self) -> Wall {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Wall(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
