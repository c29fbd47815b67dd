//! Bounds of a queue.

use std::time::Duration;

/// Bounds of a queue.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::admission::Settings;
///
/// let settings = Settings::new(8).waiting(100);
/// assert_eq!(settings.slots, 8);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait at most.
    pub waiting: usize,
    /// Time over which the rate of finished work is averaged.
    pub window: Duration,
    /// Shortest time after which a refused caller is told to come back.
    pub least_retry: Duration,
    /// Longest time after which a refused caller is told to come back.
    pub most_retry: Duration,
}

impl Settings {
    /// Creates the bounds of a queue with a number of slots.
    pub fn new(slots: usize) -> Self {
        Self {
            slots: slots.max(1),
            waiting: 10_000,
            window: Duration::from_secs(5),
            least_retry: Duration::from_millis(200),
            most_retry: Duration::from_secs(60),
        }
    }

    /// Sets how many requests wait at most.
    pub fn waiting(mut self, waiting: usize) -> Self {
        self.waiting = waiting;
        self
    }

    /// Sets the time over which the rate of finished work is averaged.
    pub fn window(mut self, window: Duration) -> Self {
        self.window = window;
        self
    }

    /// Sets the shortest and the longest time after which a refused caller comes back.
    pub fn retry(mut self, least: Duration, most: Duration) -> Self {
        self.least_retry = least;
        self.most_retry = most.max(least);
        self
    }
}
