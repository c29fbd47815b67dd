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
    /// The limits of the record queue.
    pub limits: Limits,
    /// Maximum number of calls that wait for the log or for their service.
    pub max_calls: usize,
    /// Minimum time after which a refused caller should retry; the maximum is twice as long.
    pub min_retry_after: Duration,
}

impl Settings {
    /// Creates settings with the default limits.
    pub fn new(instance: Instance, window: Window) -> Self {
        Self {
            instance,
            window,
            limits: Limits::default(),
            max_calls: 4_096,
            min_retry_after: Duration::from_secs(1),
        }
    }

    /// Sets the limits of the record queue.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the maximum number of waiting calls.
    pub fn max_calls(mut self, max_calls: usize) -> Self {
        self.max_calls = max_calls;
        self
    }

    /// Sets the minimum time after which a refused caller should retry.
    pub fn min_retry_after(mut self, min_retry_after: Duration) -> Self {
        self.min_retry_after = min_retry_after;
        self
    }
}
