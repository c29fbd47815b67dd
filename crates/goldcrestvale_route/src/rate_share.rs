//! This instance's share of the request rate that an overloaded upstream takes from all instances.
//!
//! The instances do not coordinate each request. Each one takes a share by its part of the streams in
//! progress at the upstream, and together they stay below the rate as long as these numbers are
//! roughly right.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Part of the rate that the instances use, since their numbers of streams lag.
const USED_PART: f64 = 0.9;

/// Time over which an unused share accumulates. The shares of many instances must not add up to a
/// burst.
const BURST: Duration = Duration::from_millis(500);

/// Lowest rate of all instances together, in requests per second. An upstream that takes nothing is
/// asked this often whether it still does.
const MIN_RATE: f64 = 0.05;

/// Returns the part of an upstream's rate that an instance uses, from the streams that it and its
/// peers have in progress there. The parts of all `instances` add up to 1.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::rate_share::part;
///
/// // Two instances without streams, then one of them with all of eight.
/// assert_eq!(part(0, 0, 2), 0.5);
/// assert_eq!(part(8, 0, 2) + part(0, 8, 2), 1.0);
/// assert!(part(8, 0, 2) > 0.8);
/// ```
pub fn part(own: u32, peers: u32, instances: u32) -> f64 {
    let instances = f64::from(instances.max(1));
    (f64::from(own) + 1.0) / (f64::from(own) + f64::from(peers) + instances)
}

/// The share of one upstream's rate.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::rate_share::RateShare;
///
/// // Ten requests per second, of which this instance uses all.
/// let mut share = RateShare::new(10.0, Instant(0));
/// assert!(!share.try_take(Instant(0), 1.0, 0.9));
/// let later = Instant(0) + Duration::from_millis(150);
/// assert!(share.try_take(later, 1.0, 0.9));
/// assert!(!share.try_take(later, 1.0, 0.99));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RateShare {
    /// Requests per second that the upstream takes from all instances.
    rate: f64,
    level: f64,
    filled_at: Instant,
}

impl RateShare {
    /// Creates the share of an upstream that takes `rate` requests per second from all instances.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self { rate: rate.max(MIN_RATE), level: 0.0, filled_at: now }
    }

    /// Changes the rate; the level is kept.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate.max(MIN_RATE);
    }

    /// Returns the rate.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes a request from the share; returns whether it may be sent.
    ///
    /// `part` is the part of the rate that this instance uses, and `draw` a random number in `0..1`.
    /// A share that does not accumulate to one request is used with the probability of its level, so
    /// that hundreds of instances with such shares send as many requests as they should together.
    pub fn try_take(&mut self, now: Instant, part: f64, draw: f64) -> bool {
        let rate = self.rate * USED_PART * part;
        let earned = rate * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + earned).min(rate * BURST.as_secs_f64()).max(0.0);
        self.filled_at = self.filled_at.max(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return true;
        }
        let is_taken = draw < self.level;
        self.level = 0.0;
        is_taken
    }

    /// Returns a request that was taken and not sent.
    pub fn put_back(&mut self) {
        self.level += 1.0;
    }

    /// Returns the mean time between two requests of all instances.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }
}
