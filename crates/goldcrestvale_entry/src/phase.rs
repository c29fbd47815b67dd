//! Where the instance stands in its life.

use std::sync::atomic::{AtomicU8, Ordering};

use serde::Serialize;

/// A phase of the life of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The configuration or the upstreams are not known yet.
    Starting,
    /// Requests are served.
    Serving,
    /// The balancer is told to send no more; requests are still served.
    Leaving,
    /// No new connection is taken; requests in progress finish.
    Draining,
}

const PHASES: [Phase; 4] = [Phase::Starting, Phase::Serving, Phase::Leaving, Phase::Draining];

/// What an instance must know before it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prerequisite {
    /// The configuration, up to the end of the log.
    Config = 1,
    /// The upstreams of the platform's list, and their load where they report it.
    Upstreams = 2,
}

const ALL_KNOWN: u8 = Prerequisite::Config as u8 | Prerequisite::Upstreams as u8;

/// The present phase, which only moves forward.
#[derive(Debug, Default)]
pub struct Lifecycle {
    phase: AtomicU8,
    known: AtomicU8,
}

impl Lifecycle {
    /// Returns the present phase.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_entry::phase::{Lifecycle, Phase};
    ///
    /// let life = Lifecycle::default();
    /// life.advance(Phase::Leaving);
    /// life.advance(Phase::Serving);
    /// assert_eq!(life.phase(), Phase::Leaving);
    /// ```
    pub fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::Acquire))]
    }

    /// Moves to a later phase; an earlier one changes nothing.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Notes that something is known; with all of it, the instance serves.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_entry::phase::{Prerequisite, Lifecycle, Phase};
    ///
    /// let life = Lifecycle::default();
    /// life.satisfy(Prerequisite::Config);
    /// assert_eq!(life.phase(), Phase::Starting);
    /// life.satisfy(Prerequisite::Upstreams);
    /// assert_eq!(life.phase(), Phase::Serving);
    /// ```
    pub fn satisfy(&self, known: Prerequisite) {
        let before = self.known.fetch_or(known as u8, Ordering::AcqRel);
        if before | known as u8 == ALL_KNOWN {
            self.advance(Phase::Serving);
        }
    }

    /// Returns whether the balancer may send requests.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
    }
}
