use std::time::Duration;

use goldcrestvale_base::id::Instance;

use crate::{batch::Limits, claim::Window};

/// The settings of a coordinator.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Instance,
    /// The window of keys.
    pub window: Window,
    /// The bounds of the queue of records.
    pub limits: Limits,
    /// Most calls that wait for the log or for their service.
    pub max_calls: usize,
    /// Shortest time after which a refused caller should come back; the longest is twice that.
    pub min_retry_after: Duration,
}

impl Settings {
    /// Makes settings with the usual bounds.
    pub fn new(instance: Instance, window: Window) -> Self {
        Self {
            instance,
            window,
            limits: Limits::default(),
            max_calls: 4_096,
            min_retry_after: Duration::from_secs(1),
        }
    }

    /// Sets the bounds of the queue of records.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the most calls that wait.
    pub fn max_calls(mut self, max_calls: usize) -> Self {
        self.max_calls = max_calls;
        self
    }

    /// Sets the shortest time after which a refused caller should come back.
    pub fn min_retry_after(mut self, min_retry_after: Duration) -> Self {
        self.min_retry_after = min_retry_after;
        self
    }
}
