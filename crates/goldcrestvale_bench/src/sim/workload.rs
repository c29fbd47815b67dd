//! Arrivals and lengths of requests.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Mean number of tokens of a prompt.
pub const PROMPT_MEAN: f64 = 200.0;
/// Mean number of tokens of an answer.
pub const ANSWER_MEAN: f64 = 100.0;
/// Maximum length of a prompt, in tokens.
const PROMPT_MAX: f64 = 1_000.0;
/// Maximum length of an answer, in tokens.
const ANSWER_MAX: f64 = 600.0;

/// One request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Request {
    /// Number of tokens of the prompt.
    pub(super) prompt: u32,
    /// Number of tokens of the answer.
    pub(super) answer: u32,
}

/// Draws random arrivals and requests.
#[derive(Debug)]
pub(super) struct Workload {
    rate: f64,
}

impl Workload {
    /// Creates a workload with a rate in requests per second.
    pub(super) fn new(rate: f64) -> Self {
        Self { rate }
    }

    /// Draws the time until the next arrival.
    pub(super) fn next_arrival(&self, rng: &mut ChaCha8Rng) -> Duration {
        Duration::from_secs_f64(exponential(rng) / self.rate)
    }

    /// Draws a request.
    pub(super) fn request(&self, rng: &mut ChaCha8Rng) -> Request {
        let mut length = |mean: f64, max: f64| (exponential(rng) * mean).clamp(1.0, max) as u32;
        Request { prompt: length(PROMPT_MEAN, PROMPT_MAX), answer: length(ANSWER_MEAN, ANSWER_MAX) }
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
