//! The number of requests that the upstreams can run concurrently.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Adapts the number of slots by additive increase and multiplicative decrease.
///
/// While observed times stay within the target and all slots are in use, the number grows by one
/// per period. When more than a tenth of the times of a period exceed the target, it shrinks by a
/// tenth.
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
    min: usize,
    max: usize,
    target: Duration,
    period: Duration,
    period_start: Instant,
    observed: u32,
    over_target: u32,
    full: bool,
}

/// Length of an observation period.
const PERIOD: Duration = Duration::from_secs(1);

/// One in this many times may exceed the target.
const TOLERANCE_DIVISOR: u32 = 10;

/// A decrease removes one in this many slots.
const DECREASE_DIVISOR: usize = 10;

impl Capacity {
    /// Creates a capacity that starts with `slots` and stays within `range`.
    pub fn new(slots: usize, range: std::ops::RangeInclusive<usize>, target: Duration) -> Self {
        let (min, max) = range.into_inner();
        Self {
            slots: slots.clamp(min, max),
            min,
            max,
            target,
            period: PERIOD,
            period_start: Instant::default(),
            observed: 0,
            over_target: 0,
            full: false,
        }
    }

    /// Records an observed time and whether all slots were in use.
    pub fn observe(&mut self, time: Duration, full: bool) {
        self.observed += 1;
        self.over_target += u32::from(time > self.target);
        self.full |= full;
    }

    /// Returns the number of slots, adjusted once per period.
    pub fn slots(&mut self, now: Instant) -> usize {
        if now.since(self.period_start) < self.period || self.observed == 0 {
            return self.slots;
        }
        if self.over_target * TOLERANCE_DIVISOR > self.observed {
            self.slots -= (self.slots / DECREASE_DIVISOR).max(1);
        } else if self.full {
            self.slots += 1;
        }
        self.slots = self.slots.clamp(self.min, self.max);
        (self.period_start, self.observed, self.over_target, self.full) = (now, 0, 0, false);
        self.slots
    }
}
