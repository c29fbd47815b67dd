//! What a router knows of an engine.

use std::time::Duration;

use goldcrestvale_base::{engine::Accelerator, time::Instant};
use goldcrestvale_standin::engine::cost::Cost;

/// A load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// When it was taken.
    pub taken: Instant,
    /// Requests running and waiting.
    pub requests: u32,
}

/// What a router knows of an engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Kind of accelerator.
    pub accelerator: Accelerator,
    /// Layers that it runs.
    pub layers: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Its last load report.
    pub report: Report,
}

impl Engine {
    /// Returns the expected time of a token when the engine has this many requests.
    ///
    /// Requests above the slots wait: the time grows by their share of the slots.
    pub fn token_time(&self, requests: u32) -> Duration {
        let running = requests.clamp(1, self.slots);
        let round = Cost::of(&self.accelerator).batch([(self.layers, running)]);
        let waiting = requests.saturating_sub(self.slots);
        round + round * waiting / self.slots
    }

    /// Returns the requests a second that a full engine completes, given their mean lengths.
    pub fn capacity(&self, prompt: f64, answer: f64) -> f64 {
        let layers = f64::from(self.layers);
        let read = Cost::of(&self.accelerator).token.as_secs_f64() * layers * prompt;
        let written = self.token_time(self.slots).as_secs_f64() * answer / f64::from(self.slots);
        1.0 / (read + written)
    }
}
