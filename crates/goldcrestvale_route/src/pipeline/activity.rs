//! Whether a chain still moves.
//!
//! The load it answers: a stage falls silent, and every stream through it stops at the same moment.
//! One slow stream is no sign of that; all streams of a chain silent together are.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// How long a chain with streams in progress may bring no event before it counts as stopped: six
/// times the usual gap between two events of one stream, and an eighth of a caller's patience. A false
/// alarm costs one question to the first engine.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// The last sign of life of a chain, over all streams of this instance on it.
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
    last: Instant,
}

impl Activity {
    /// Notes a stream that begins; an idle chain owes nothing before.
    pub fn start(&mut self, now: Instant) {
        if self.streams == 0 {
            self.last = now;
        }
        self.streams += 1;
    }

    /// Notes a stream that ended or moved away.
    pub fn end(&mut self) {
        self.streams = self.streams.saturating_sub(1);
    }

    /// Notes an event of any stream on the chain.
    pub fn record(&mut self, now: Instant) {
        self.last = self.last.max(now);
    }

    /// Returns the streams in progress.
    pub fn streams(&self) -> u32 {
        self.streams
    }

    /// Returns whether the chain owes an event for too long.
    pub fn is_stalled(&self, now: Instant) -> bool {
        self.streams > 0 && now.since(self.last) >= STALL_TIMEOUT
    }
}
