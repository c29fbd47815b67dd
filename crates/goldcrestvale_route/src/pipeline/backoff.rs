//! When a stream that could not be moved is moved again.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Delay after the first attempt.
const MIN_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between two attempts.
const MAX_DELAY: Duration = Duration::from_millis(800);

/// The attempts to move one stream to another chain.
///
/// A stream stays on its chain until another one takes it. Each attempt costs an order or a retry, and
/// the streams of a leaving engine outnumber the places elsewhere.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::pipeline::Backoff;
///
/// let mut backoff = Backoff::default();
/// assert!(backoff.is_due(Instant(0)));
/// backoff.record(Instant(0));
/// assert!(!backoff.is_due(Instant(0) + Duration::from_millis(50)));
/// assert!(backoff.is_due(Instant(0) + Duration::from_millis(100)));
/// let changed = Instant(0) + Duration::from_millis(50);
/// assert!(backoff.is_due_after(changed, changed));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    /// Time of the last attempt.
    last: Instant,
    delay: Duration,
}

impl Backoff {
    /// Returns whether another attempt may be made.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.last + self.delay
    }

    /// Returns whether another attempt may be made after something changed that concerns the stream.
    pub fn is_due_after(&self, now: Instant, changed: Instant) -> bool {
        self.last < changed || self.is_due(now)
    }

    /// Records an attempt; the next one follows after twice the delay of the last.
    pub fn record(&mut self, now: Instant) {
        self.delay = (self.delay * 2).clamp(MIN_DELAY, MAX_DELAY);
        self.last = now;
    }
}
