//! The rate at which places become free.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::time::Instant;

/// Time over which places that became free are counted: several times the interval at which they
/// become free at one of tens of instances.
const SPAN: Duration = Duration::from_secs(2);

/// Length of a slice of that time; a slice expires as a whole.
const SLICE: Duration = Duration::from_millis(100);

/// Counts the places that became free lately.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::contention::Freed;
///
/// let mut freed = Freed::default();
/// assert_eq!(freed.rate(Instant(0)), None);
/// (0..10).for_each(|_| freed.record(Instant(0), 1.0));
/// assert_eq!(freed.rate(Instant(0)), Some(5.0));
/// assert_eq!(freed.rate(Instant(0) + Duration::from_secs(3)), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Freed {
    /// Start and places of each slice, the oldest first.
    slices: VecDeque<(Instant, f64)>,
}

impl Freed {
    /// Records that a number of places became free.
    pub fn record(&mut self, now: Instant, places: f64) {
        while self.slices.front().is_some_and(|(start, _)| now.since(*start) > SPAN) {
            self.slices.pop_front();
        }
        match self.slices.back_mut() {
            Some((start, sum)) if now.since(*start) < SLICE => *sum += places,
            _ => self.slices.push_back((now, places)),
        }
    }

    /// Returns the places that became free per second; `None` if none did.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let recent = self.slices.iter().filter(|(start, _)| now.since(*start) <= SPAN);
        let places: f64 = recent.map(|(_, places)| places).sum();
        (places > 0.0).then(|| places / SPAN.as_secs_f64())
    }
}
