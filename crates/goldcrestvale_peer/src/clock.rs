//! The monotonic clock that the membership is fed from.

use goldcrestvale_base::time::Instant;

/// A clock whose origin is the start of the tasks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self { origin: tokio::time::Instant::now() }
    }

    pub(crate) fn now(self) -> Instant {
        Instant::default() + self.origin.elapsed()
    }
}
