use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time,
};

use goldcrestvale_base::time::Instant;
use tokio_util::sync::CancellationToken;

/// The caller of a request, as the one that reads the answer. The request has it among its extensions.
#[derive(Debug, Clone)]
pub struct Reader {
    closer: CancellationToken,
    started: time::Instant,
    /// Time of the last read, in microseconds since the start.
    last_read: Arc<AtomicU64>,
}

impl Reader {
    /// Creates the reader of one answer on a connection that the token closes.
    pub fn new(closer: CancellationToken) -> Self {
        Self { closer, started: time::Instant::now(), last_read: Arc::default() }
    }

    /// Returns the token that closes the connection.
    pub fn closer(&self) -> &CancellationToken {
        &self.closer
    }

    /// Records that the answer was handed over, or that a part of it was taken for the connection.
    pub(crate) fn record(&self) {
        let elapsed = self.started.elapsed().as_micros() as u64;
        self.last_read.store(elapsed, Ordering::Relaxed);
    }

    /// Returns the time of the last read by another clock, whose time is `now`.
    pub(crate) fn read_at(&self, now: Instant) -> Instant {
        let elapsed = self.started.elapsed().as_micros() as u64;
        let ago = elapsed.saturating_sub(self.last_read.load(Ordering::Relaxed));
        Instant(now.0.saturating_sub(ago))
    }
}
