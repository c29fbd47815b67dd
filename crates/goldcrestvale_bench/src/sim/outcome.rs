//! The outcome of one run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Target for the time to the first token.
const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(540);
/// Target for the mean time between tokens.
const GAP_TARGET: Duration = Duration::from_millis(43);
/// Maximum latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// The outcome of one run.
#[derive(Debug)]
pub struct Outcome {
    first: Histogram<u64>,
    gap: Histogram<u64>,
    offered: u64,
    complete: u64,
    within_target: u64,
    /// Generated tokens per second over the complete run.
    pub tokens_per_second: f64,
}

impl Default for Outcome {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("fixed bounds");
        Self {
            first: histogram(),
            gap: histogram(),
            offered: 0,
            complete: 0,
            within_target: 0,
            tokens_per_second: 0.0,
        }
    }
}

impl Outcome {
    /// Counts a request that arrived.
    pub(super) fn offer(&mut self) {
        self.offered += 1;
    }

    /// Adds a complete request: its time to the first token, and its mean time between tokens.
    pub(super) fn add(&mut self, first: Duration, gap: Duration) {
        self.first.saturating_record(micros(first));
        self.gap.saturating_record(micros(gap));
        self.complete += 1;
        self.within_target += u64::from(first <= FIRST_TOKEN_TARGET && gap <= GAP_TARGET);
    }

    /// Returns a percentile of the time to the first token, in milliseconds.
    pub fn first_ms(&self, percentile: f64) -> f64 {
        self.first.value_at_percentile(percentile) as f64 / 1e3
    }

    /// Returns a percentile of the mean time between tokens, in milliseconds.
    pub fn gap_ms(&self, percentile: f64) -> f64 {
        self.gap.value_at_percentile(percentile) as f64 / 1e3
    }

    /// Returns the number of requests that arrived and are counted.
    pub fn offered(&self) -> u64 {
        self.offered
    }

    /// Returns the number of complete requests.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Returns the share of the requests whose first token and mean gap were within target;
    /// requests that were incomplete at the end are not.
    pub fn within_target(&self) -> f64 {
        self.within_target as f64 / self.offered.max(1) as f64
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
