//! Bounds of a server, which may change while it runs.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u32,
    /// Maximum time for a request head to arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without requests in progress is closed, and one whose caller
    /// reads nothing of an answer.
    pub idle_timeout: Duration,
    /// Maximum number of open connections, fixed at the start. Once it is reached, a connection
    /// without a request in progress is closed for a further one.
    pub connections: usize,
    /// How many of them may use HTTP/2, fixed at the start.
    pub http2_connections: usize,
}

/// Bounds that can be replaced; sizes hold for new connections, times from the next one on.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_entry::server::{Bounds, SharedBounds};
///
/// let second = Duration::from_secs(1);
/// let bounds = Bounds {
///     header_bytes: 16_384,
///     header_timeout: 3 * second,
///     idle_timeout: 60 * second,
///     connections: 100,
///     http2_connections: 10,
/// };
/// let shared = SharedBounds::from(bounds);
/// shared.store(Bounds { idle_timeout: 15 * second, ..bounds });
/// assert_eq!(shared.load().idle_timeout, 15 * second);
/// ```
#[derive(Debug, Clone)]
pub struct SharedBounds(Arc<ArcSwap<Bounds>>);

impl SharedBounds {
    /// Returns the bounds in force.
    pub fn load(&self) -> Bounds {
        **self.0.load()
    }

    /// Replaces the bounds.
    pub fn store(&self, bounds: Bounds) {
        self.0.store(Arc::new(bounds));
    }
}

impl From<Bounds> for SharedBounds {
    fn from(bounds: Bounds) -> Self {
        Self(Arc::new(ArcSwap::from_pointee(bounds)))
    }
}
