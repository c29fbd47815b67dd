//! Batching of records into appends.
//!
//! The log accepts a few hundred appends per second from all instances together, so many claims
//! share one append. A [`Policy`] decides when the waiting records are appended.

mod adaptive;
mod fixed;
mod queue;
mod size;

use goldcrestvale_base::time::Instant;

pub use adaptive::{Adaptive, Control};
pub use fixed::Fixed;
pub use queue::{Batch, Error, Limits, Queue, Result};
pub use size::Size;

/// The records that wait for an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Number of records.
    pub count: usize,
    /// Time of arrival of the oldest record.
    pub oldest: Instant,
    /// Time of the last append, if there was one.
    pub last_append: Option<Instant>,
}

/// Decides when waiting records are appended.
pub trait Policy: std::fmt::Debug {
    /// Returns the time at which the waiting records are due; a past time means immediately.
    fn due(&self, waiting: &Waiting) -> Instant;

    /// Records appends to the log, by any instance, as they are read.
    fn observe(&mut self, now: Instant, appends: u32) {
        let _ = (now, appends);
    }
}

impl Policy for Box<dyn Policy + Send> {
    fn due(&self, waiting: &Waiting) -> Instant {
        self.as_ref().due(waiting)
    }

    fn observe(&mut self, now: Instant, appends: u32) {
        self.as_mut().observe(now, appends);
    }
}
