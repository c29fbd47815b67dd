//! Detects stalled chains.
//!
//! When a stage stops responding, every stream through it stops at the same moment. A single slow
//! stream does not indicate this; a pause of all streams of a chain at once does.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// How long a chain with streams in progress may produce no event before it counts as stalled: six
/// times the typical gap between two events of one stream, and an eighth of the time that callers
/// wait. A false alarm costs one query to the first engine.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The last activity of a chain, over all streams of this instance on it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::pipeline::Activity;
///
/// let start = Instant(1_000_000);
/// let mut activity = Activity::default();
/// activity.start(start);
/// assert!(!activity.is_stalled(start + Duration::from_millis(200)));
/// assert!(activity.is_stalled(start + Duration::from_millis(900)));
/// activity.record(start + Duration::from_millis(900));
/// assert!(!activity.is_stalled(start + Duration::from_millis(950)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Activity {
    streams: u32,
    last_event: Instant,
}

impl Activity {
    /// Records a new stream; on an idle chain, the timeout starts here.
    pub fn start(&mut self, now: Instant) {
        if self.streams == 0 {
            self.last_event = now;
        }
        self.streams += 1;
    }

    /// Records a stream that ended or moved to another chain.
    pub fn end(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Records an event of any stream on the chain.
    pub fn record(&mut self, now: Instant) {
        self.last_event = self.last_event.max(now);
    }

    /// Returns the number of streams in progress.
    pub fn streams(&self) -> u32 {
        self.streams
    }

    /// Returns whether the chain has streams but has produced no event for [`STALL_TIMEOUT`].
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.streams > 0 && now.since(self.last_event) >= STALL_TIMEOUT
    }
}
