//! The usual time from sending a stream to its first event.

use std::time::Duration;

/// Weight of a new observation: the average follows a change of load within tens of streams.
const WEIGHT: f64 = 1.0 / 16.0;

/// Longest time that is observed: a stalled chain must not hide for long what is usual.
const MAX_TIME: Duration = Duration::from_secs(5);

/// Average time from sending a stream to its first event.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_route::contention::FirstEvent;
///
/// let mut first_event = FirstEvent::default();
/// assert_eq!(first_event.usual(), Duration::ZERO);
/// first_event.record(Duration::from_millis(200));
/// assert_eq!(first_event.usual(), Duration::from_millis(200));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct FirstEvent {
    usual: Option<Duration>,
}

impl FirstEvent {
    /// Records the time of one stream.
    pub fn record(&mut self, time: Duration) {
        let time = time.min(MAX_TIME);
        let usual = self.usual.unwrap_or(time);
        self.usual = Some(usual.mul_f64(1.0 - WEIGHT) + time.mul_f64(WEIGHT));
    }

    /// Returns the usual time; zero before the first observation.
    pub fn usual(&self) -> Duration {
        self.usual.unwrap_or_default()
    }
}
