//! The upstreams that a request is not sent to again for a while.

use std::time::Duration;

use goldcrestvale_base::{id::Upstream, time::Instant};
use smallvec::SmallVec;

/// How long a failed or rejecting upstream is excluded for the request: about the time in which a
/// full engine finishes some of its streams.
const EXCLUSION: Duration = Duration::from_millis(1_000);

/// The upstreams that failed or rejected a request lately.
///
/// A stream that lost its chain looks for another one several times a second. Without a record
/// across these attempts it would be sent to the same full engines each time, and use up the retry
/// budget of all streams.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::retry::Exclusions;
///
/// let mut exclusions = Exclusions::default();
/// exclusions.insert(&"engine-1".parse()?, Instant(0));
/// assert!(exclusions.contains(&"engine-1".parse()?, Instant(0)));
/// assert!(!exclusions.contains(&"engine-1".parse()?, Instant(0) + Duration::from_secs(2)));
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Exclusions {
    /// Upstreams with the time until which each is excluded.
    entries: SmallVec<[(Upstream, Instant); 4]>,
}

impl Exclusions {
    /// Excludes an upstream from now on.
    pub fn insert(&mut self, upstream: &Upstream, now: Instant) {
        self.entries.retain(|(known, until)| known != upstream && *until > now);
        self.entries.push((upstream.clone(), now + EXCLUSION));
    }

    /// Returns whether an upstream is excluded.
    pub fn contains(&self, upstream: &Upstream, now: Instant) -> bool {
        self.entries.iter().any(|(known, until)| known == upstream && *until > now)
    }
}
