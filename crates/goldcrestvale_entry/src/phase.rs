//! The lifecycle phase of the instance.

use std::sync::atomic::{AtomicU8, Ordering};

use serde::Serialize;

/// A phase in the lifecycle of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The configuration or the upstreams are not known yet.
    Starting,
    /// Requests are served.
    Serving,
    /// The readiness probe fails, so that the load balancer sends no more requests; those that
    /// arrive are still served.
    Leaving,
    /// No new connection is accepted; requests in progress finish.
    Draining,
}

const PHASES: [Phase; 4] = [Phase::Starting, Phase::Serving, Phase::Leaving, Phase::Draining];

/// Data that an instance needs before it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prerequisite {
    /// The configuration, up to the end of the log.
    Config = 1,
    /// The upstreams in the list of the platform, and the load of those that report it.
    Upstreams = 2,
    /// The trials of requests that crash upstreams, unless their log is out of reach.
    Trials = 4,
}

const ALL_PREREQUISITES: u8 =
    Prerequisite::Config as u8 | Prerequisite::Upstreams as u8 | Prerequisite::Trials as u8;

/// The current phase, which only moves forward.
#[derive(Debug, Default)]
pub struct Lifecycle {
    phase: AtomicU8,
    satisfied: AtomicU8,
}

impl Lifecycle {
    /// Returns the current phase.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_entry::phase::{Lifecycle, Phase};
    ///
    /// let lifecycle = Lifecycle::default();
    /// lifecycle.advance(Phase::Leaving);
    /// lifecycle.advance(Phase::Serving);
    /// assert_eq!(lifecycle.phase(), Phase::Leaving);
    /// ```
    pub fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::Acquire))]
    }

    /// Moves to a later phase; does nothing if `phase` is an earlier one.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Records that a prerequisite is met; once all are, the instance serves.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_entry::phase::{Lifecycle, Phase, Prerequisite};
    ///
    /// let lifecycle = Lifecycle::default();
    /// lifecycle.satisfy(Prerequisite::Config);
    /// lifecycle.satisfy(Prerequisite::Trials);
    /// assert_eq!(lifecycle.phase(), Phase::Starting);
    /// lifecycle.satisfy(Prerequisite::Upstreams);
    /// assert_eq!(lifecycle.phase(), Phase::Serving);
    /// ```
    pub fn satisfy(&self, prerequisite: Prerequisite) {
        let before = self.satisfied.fetch_or(prerequisite as u8, Ordering::AcqRel);
        if before | prerequisite as u8 == ALL_PREREQUISITES {
            self.advance(Phase::Serving);
        }
    }

    /// Returns whether the load balancer may send requests.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
    }
}
