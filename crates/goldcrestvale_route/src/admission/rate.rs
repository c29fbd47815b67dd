//! The rate at which work is finished.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// An exponentially weighted rate of finished work, in work per second.
///
/// Only time during which every slot was taken counts, so that an idle queue does not look slow.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rate {
    window: Duration,
    value: Option<f64>,
    since: Instant,
    finished: f64,
}

/// Shortest time over which one sample of the rate is taken.
const SAMPLE: Duration = Duration::from_millis(100);

impl Rate {
    pub(super) fn new(window: Duration) -> Self {
        Self { window, value: None, since: Instant::default(), finished: 0.0 }
    }

    /// Forgets the sample in progress; called while slots are free.
    pub(super) fn restart(&mut self, now: Instant) {
        self.since = now;
        self.finished = 0.0;
    }

    /// Counts finished work.
    pub(super) fn finish(&mut self, now: Instant, cost: u32) {
        self.finished += f64::from(cost);
        let span = now.since(self.since);
        if span < SAMPLE {
            return;
        }
        let sample = self.finished / span.as_secs_f64();
        let share = 1.0 - (-span.as_secs_f64() / self.window.as_secs_f64()).exp();
        let old = self.value.unwrap_or(sample);
        self.value = Some(old + share * (sample - old));
        self.restart(now);
    }

    /// Returns how long an amount of work takes, or `None` before the first sample.
    pub(super) fn time(&self, work: f64) -> Option<Duration> {
        let rate = self.value.filter(|rate| *rate > 0.0)?;
        Duration::try_from_secs_f64(work / rate).ok()
    }
}
