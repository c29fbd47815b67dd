//! Estimate of a link's round-trip time from samples that include processing time.

use std::time::Duration;

use serde::Serialize;
use smallvec::SmallVec;

/// Number of samples in a full window.
const WINDOW: usize = 16;

/// The last round-trip times that were measured on a link.
///
/// A sample includes the time for which the processes at both ends wait for a processor. Only the
/// lowest sample is close to a property of the link.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_entry::round_trip::RoundTrips;
///
/// let mut samples = RoundTrips::default();
/// samples.record(Duration::from_millis(30));
/// samples.record(Duration::from_millis(1));
/// assert_eq!(samples.lowest(), Some(Duration::from_millis(1)));
/// ```
#[derive(Debug, Clone, Default, Serialize)]
#[serde(transparent)]
pub struct RoundTrips {
    samples: SmallVec<[Duration; WINDOW]>,
}

impl RoundTrips {
    /// Adds a sample, and drops the oldest one of a full window.
    pub fn record(&mut self, sample: Duration) {
        if self.is_full() {
            self.samples.remove(0);
        }
        self.samples.push(sample);
    }

    /// Returns the lowest sample in the window.
    pub fn lowest(&self) -> Option<Duration> {
        self.samples.iter().min().copied()
    }

    /// Returns whether the window is full, so that a single delay cannot raise the lowest sample.
    pub fn is_full(&self) -> bool {
        self.samples.len() >= WINDOW
    }
}
