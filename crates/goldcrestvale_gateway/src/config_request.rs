//! Limits how often the configuration is requested from peers.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// How long the instance waits for an answer before it sends the request to another peer: less than
/// the heartbeat interval, since each heartbeat offers the version again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a version that peers of other failure domains offer may come from the own one: two
/// heartbeats. Bytes between failure domains are expensive.
const FAR_DELAY: Duration = Duration::from_millis(1_000);

/// Allows one request for each version of the configuration until it times out.
///
/// When the configuration changes, every peer offers the new version with its next heartbeat.
/// Without the limit every instance would request a large configuration from each of them and
/// receive it as many times as there are instances.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_gateway::ConfigRequestLimiter;
///
/// let start = Instant(1_000_000);
/// let mut limiter = ConfigRequestLimiter::default();
/// assert!(limiter.try_request(7, start));
/// assert!(!limiter.try_request(7, start + Duration::from_millis(100)));
/// assert!(limiter.try_request(8, start + Duration::from_millis(100)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigRequestLimiter {
    version: u64,
    requested_at: Instant,
    /// Since when peers of other failure domains offer a version that was not requested.
    offered_since: Option<Instant>,
}

impl ConfigRequestLimiter {
    /// Records a request for a version and returns `true`, unless a request for it or a newer one
    /// is still waiting for its answer.
    pub fn try_request(&mut self, version: u64, now: Instant) -> bool {
        if version <= self.version && now.since(self.requested_at) < REQUEST_TIMEOUT {
            return false;
        }
        *self = Self { version, requested_at: now, offered_since: None };
        true
    }

    /// Records a request for a version that a peer of another failure domain offers, and returns
    /// `true`, unless the own failure domain still has time to offer it.
    pub fn try_far_request(&mut self, version: u64, now: Instant) -> bool {
        let since = *self.offered_since.get_or_insert(now);
        now.since(since) >= FAR_DELAY && self.try_request(version, now)
    }
}
