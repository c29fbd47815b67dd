//! The view that a router has of an engine.

use std::time::Duration;

use goldcrestvale_base::{engine::Accelerator, time::Instant};
use goldcrestvale_standin::engine::cost::Cost;

/// A load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Time of the report.
    pub taken: Instant,
    /// Number of requests running and waiting.
    pub requests: u32,
}

/// The view that a router has of an engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Kind of accelerator.
    pub accelerator: Accelerator,
    /// Number of layers that it runs.
    pub layers: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Its last load report.
    pub report: Report,
}

impl Engine {
    /// Returns the expected time of a token when the engine has this number of requests.
    ///
    /// Requests beyond the slots wait: the time grows by the ratio of their number to the slots.
    pub fn token_time(&self, requests: u32) -> Duration {
        let running = requests.clamp(1, self.slots);
        let round = Cost::of(&self.accelerator).batch([(self.layers, running)]);
        let waiting = requests.saturating_sub(self.slots);
        round + round * waiting / self.slots
    }

    /// Returns the requests per second that a fully loaded engine completes, given their mean
    /// lengths.
    pub fn capacity(&self, prompt: f64, answer: f64) -> f64 {
        let layers = f64::from(self.layers);
        let prefill = Cost::of(&self.accelerator).token.as_secs_f64() * layers * prompt;
        let decode = self.token_time(self.slots).as_secs_f64() * answer / f64::from(self.slots);
        1.0 / (prefill + decode)
    }
}
