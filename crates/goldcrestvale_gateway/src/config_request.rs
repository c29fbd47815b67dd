//! Which version of the configuration a peer was asked for last.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// How long an answer is waited for before another peer is asked: less than the time between two
/// heartbeats, which tell the version again.
const PATIENCE: Duration = Duration::from_millis(400);

/// The last version that a peer was asked for.
///
/// The load it answers: a large configuration changes, and every peer offers it with its next heartbeat.
/// Were each of them asked, every instance would get it as many times as there are instances.
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
/// let mut asked = ConfigRequestLimiter::default();
/// assert!(asked.try_request(7, start));
/// assert!(!asked.try_request(7, start + Duration::from_millis(100)));
/// assert!(asked.try_request(8, start + Duration::from_millis(100)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigRequestLimiter {
    version: u64,
    at: Instant,
}

impl ConfigRequestLimiter {
    /// Notes that a version is asked for, unless it, or a newer one, was a moment ago.
    pub fn try_request(&mut self, version: u64, now: Instant) -> bool {
        if version <= self.version && now.since(self.at) < PATIENCE {
            return false;
        }
        *self = Self { version, at: now };
        true
    }
}
