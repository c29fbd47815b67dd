//! How many requests the upstreams carry at once.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Finds the number of slots by additive increase and multiplicative decrease.
///
/// While observed times stay within the target and every slot is in use, the number grows by one
/// a period; when more than a tenth of a period's times miss the target, it shrinks by a tenth.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::admission::Capacity;
///
/// let mut capacity = Capacity::new(10, 1..=100, Duration::from_millis(43));
/// capacity.observe(Duration::from_millis(90), true);
/// assert_eq!(capacity.slots(Instant(0) + Duration::from_secs(2)), 9);
/// ```
#[derive(Debug, Clone)]
pub struct Capacity {
    slots: usize,
    least: usize,
    most: usize,
    target: Duration,
    period: Duration,
    since: Instant,
    seen: u32,
    missed: u32,
    full: bool,
}

/// Time over which observations are gathered.
const PERIOD: Duration = Duration::from_secs(1);

/// One in this many times may miss the target.
const TOLERATED: u32 = 10;

/// Divisor of the number of slots that a decrease takes away.
const DECREASE: usize = 10;

impl Capacity {
    /// Starts with a number of slots within a range.
    pub fn new(slots: usize, range: std::ops::RangeInclusive<usize>, target: Duration) -> Self {
        let (least, most) = range.into_inner();
        Self {
            slots: slots.clamp(least, most),
            least,
            most,
            target,
            period: PERIOD,
            since: Instant::default(),
            seen: 0,
            missed: 0,
            full: false,
        }
    }

    /// Takes one observed time and whether every slot was in use.
    pub fn observe(&mut self, time: Duration, full: bool) {
        self.seen += 1;
        self.missed += u32::from(time > self.target);
        self.full |= full;
    }

    /// Returns the number of slots, adjusted once a period.
    pub fn slots(&mut self, now: Instant) -> usize {
        if now.since(self.since) < self.period || self.seen == 0 {
            return self.slots;
        }
        if self.missed * TOLERATED > self.seen {
            self.slots -= (self.slots / DECREASE).max(1);
        } else if self.full {
            self.slots += 1;
        }
        self.slots = self.slots.clamp(self.least, self.most);
        (self.since, self.seen, self.missed, self.full) = (now, 0, 0, false);
        self.slots
    }
}
