//! The monotonic clock that the membership is fed from.

use goldcrestvale_base::time::Instant;

/// A clock whose origin is the daemon's, or else the start of the tasks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    pub(crate) fn start(origin: Option<std::time::Instant>) -> Self {
        Self { origin: origin.map_or_else(tokio::time::Instant::now, Into::into) }
    }

    pub(crate) fn now(self) -> Instant {
        Instant::default() + self.origin.elapsed()
    }
}
