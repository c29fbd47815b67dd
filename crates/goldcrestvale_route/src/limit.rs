//! Rate limit of one customer at one instance.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Maximum time over which unused rate accumulates.
const BURST: Duration = Duration::from_secs(1);

/// A token bucket whose rate may change, as the customer's share of a global limit does.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::limit::Bucket;
///
/// let mut bucket = Bucket::new(2.0, Instant(0));
/// assert_eq!(bucket.try_take(Instant(0), 2.0), Ok(()));
/// assert_eq!(bucket.try_take(Instant(0), 1.0), Err(Duration::from_millis(500)));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    rate: f64,
    level: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket with a rate per second.
    pub fn new(rate: f64, now: Instant) -> Self {
        let mut bucket = Self { rate: rate.max(0.0), level: 0.0, filled_at: now };
        bucket.level = bucket.capacity();
        bucket
    }

    /// Changes the rate; the level is kept up to the new capacity.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        self.fill(now);
        self.rate = rate.max(0.0);
        self.level = self.level.min(self.capacity());
    }

    /// Takes an amount from the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time after which the amount can be taken; [`Duration::MAX`] if never.
    pub fn try_take(&mut self, now: Instant, amount: f64) -> Result<(), Duration> {
        self.fill(now);
        // An amount above the capacity is taken from a full bucket, whose level becomes negative.
        let required = amount.min(self.capacity());
        if self.level >= required {
            self.level -= amount;
            return Ok(());
        }
        let missing = required - self.level;
        Err(Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX))
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(1.0)
    }

    fn fill(&mut self, now: Instant) {
        let earned = self.rate * now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + earned).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }
}
