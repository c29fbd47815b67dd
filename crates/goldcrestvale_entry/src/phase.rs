//! Where the instance stands in its life.

use std::sync::atomic::{AtomicU8, Ordering};

use serde::Serialize;

/// A phase of the life of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No configuration is known yet.
    Starting,
    /// Requests are served.
    Serving,
    /// The balancer is told to send no more; requests are still served.
    Leaving,
    /// No new connection is taken; requests in progress finish.
    Draining,
}

const PHASES: [Phase; 4] = [Phase::Starting, Phase::Serving, Phase::Leaving, Phase::Draining];

/// The present phase, which only moves forward.
#[derive(Debug, Default)]
pub struct Life(AtomicU8);

impl Life {
    /// Returns the present phase.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_entry::phase::{Life, Phase};
    ///
    /// let life = Life::default();
    /// life.advance(Phase::Leaving);
    /// life.advance(Phase::Serving);
    /// assert_eq!(life.phase(), Phase::Leaving);
    /// ```
    pub fn phase(&self) -> Phase {
        PHASES[usize::from(self.0.load(Ordering::Acquire))]
    }

    /// Moves to a later phase; an earlier one changes nothing.
    pub fn advance(&self, phase: Phase) {
        self.0.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Returns whether the balancer may send requests.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
    }
}
