//! Settings of the admission queue.

use std::time::Duration;

/// Settings of a [`Queue`](super::Queue).
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::admission::Settings;
///
/// let settings = Settings::new(8).max_waiting(100);
/// assert_eq!(settings.slots, 8);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Number of slots for running requests.
    pub slots: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Time over which the rate of finished work is averaged.
    pub window: Duration,
    /// Minimum retry time of a rejection.
    pub min_retry_after: Duration,
    /// Maximum retry time of a rejection.
    pub max_retry_after: Duration,
}

impl Settings {
    /// Creates the settings of a queue with a number of slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            max_waiting: 10_000,
            window: Duration::from_secs(5),
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(60),
        }
    }

    /// Sets the maximum number of waiting requests.
    pub fn max_waiting(mut self, max_waiting: usize) -> Self {
        self.max_waiting = max_waiting;
        self
    }

    /// Sets the time over which the rate of finished work is averaged.
    pub fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets the minimum and maximum retry time of rejections.
    pub fn retry_after(mut self, min: Duration, max: Duration) -> Self {
        self.min_retry_after = min;
        self.max_retry_after = max.max(min);
        self
    }
}
