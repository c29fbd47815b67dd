//! The monotonic clock of the membership.

use goldcrestvale_base::time::Instant;

/// A clock with the daemon's origin, or with the start of the tasks if there is none.
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
