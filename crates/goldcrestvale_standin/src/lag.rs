//! A report that is refreshed at intervals and stale in between.

use std::{sync::Mutex, time::Duration};

use tokio::time::Instant;

/// A report that is refreshed at most once per interval.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    interval: Duration,
    last: Mutex<Option<(Instant, T)>>,
}

impl<T: Clone> Lagged<T> {
    /// Creates a report; an interval of zero refreshes it on every read.
    pub(crate) fn new(interval_ms: u64) -> Self {
        Self { interval: Duration::from_millis(interval_ms), last: Mutex::new(None) }
    }

    /// Returns the report and its age in milliseconds.
    pub(crate) fn read(&self, refresh: impl FnOnce() -> T) -> (T, u64) {
        let now = Instant::now();
        let mut last = self.last.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let stale = |taken: Instant| now.duration_since(taken) >= self.interval;
        let (taken, report) = match last.take().filter(|(taken, _)| !stale(*taken)) {
            Some(last) => last,
            None => (now, refresh()),
        };
        *last = Some((taken, report.clone()));
        let age = u64::try_from(now.duration_since(taken).as_millis()).unwrap_or(u64::MAX);
        (report, age)
    }
}
