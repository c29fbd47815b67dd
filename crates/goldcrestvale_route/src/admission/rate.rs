//! The rate of finished work.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// An exponentially weighted moving average of finished work, in cost units per second.
///
/// Only time in which all slots are in use counts, so that an idle queue does not appear slow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    window: Duration,
    value: Option<f64>,
    sample_start: Instant,
    finished_cost: f64,
}

/// Minimum length of a sample of the rate.
const MIN_SAMPLE: Duration = Duration::from_millis(100);

impl Rate {
    pub(super) fn new(window: Duration) -> Self {
        Self { window, value: None, sample_start: Instant::default(), finished_cost: 0.0 }
    }

    /// Discards the current sample; called while slots are free.
    pub(super) fn restart(&mut self, now: Instant) {
        self.sample_start = now;
        self.finished_cost = 0.0;
    }

    /// Records finished work.
    pub(super) fn finish(&mut self, now: Instant, cost: u32) {
        self.finished_cost += f64::from(cost);
        let elapsed = now.since(self.sample_start);
        if elapsed < MIN_SAMPLE {
            return;
        }
        let sample = self.finished_cost / elapsed.as_secs_f64();
        let weight = 1.0 - (-elapsed.as_secs_f64() / self.window.as_secs_f64()).exp();
        let previous = self.value.unwrap_or(sample);
        self.value = Some(previous + weight * (sample - previous));
        self.restart(now);
    }

    /// Returns the time that an amount of work takes, or `None` before the first sample.
    pub(super) fn time_for(&self, work: f64) -> Option<Duration> {
        let rate = self.value.filter(|rate| *rate > 0.0)?;
        Duration::try_from_secs_f64(work / rate).ok()
    }
}
