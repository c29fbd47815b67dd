//! What a router knows of an engine.

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

/// The expected time of a token, in nanoseconds.
pub type Score = u64;

impl Engine {
    /// Returns the expected time of a token when the engine has this many requests.
    ///
    /// Requests above the slots wait: the time grows by their share of the slots.
    pub fn score(&self, requests: u32) -> Score {
        let running = requests.clamp(1, self.slots);
        let round = Cost::of(&self.accelerator).batch([(self.layers, running)]);
        let round = u64::try_from(round.as_nanos()).unwrap_or(u64::MAX);
        let waiting = requests.saturating_sub(self.slots);
        round + round * u64::from(waiting) / u64::from(self.slots)
    }

    /// Returns the tokens a second of a full engine.
    pub fn capacity(&self) -> f64 {
        f64::from(self.slots) * 1e9 / self.score(self.slots) as f64
    }
}
