use std::time::Duration;

use goldcrestvale_base::id::Instance;

use crate::{batch::Limits, claim::Window};

/// The settings of a desk.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: Instance,
    /// The window of keys.
    pub window: Window,
    /// The bounds of the queue of records.
    pub limits: Limits,
    /// Most calls that wait for the log or for their service.
    pub calls: usize,
    /// Shortest time after which a refused caller should come back; the longest is twice that.
    pub retry: Duration,
}

impl Settings {
    /// Makes settings with the usual bounds.
    pub fn new(instance: Instance, window: Window) -> Self {
        Self {
            instance,
            window,
            limits: Limits::default(),
            calls: 4_096,
            retry: Duration::from_secs(1),
        }
    }

    /// Sets the bounds of the queue of records.
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the most calls that wait.
    pub fn calls(mut self, calls: usize) -> Self {
        self.calls = calls;
        self
    }

    /// Sets the shortest time after which a refused caller should come back.
    pub fn retry(mut self, retry: Duration) -> Self {
        self.retry = retry;
        self
    }
}
