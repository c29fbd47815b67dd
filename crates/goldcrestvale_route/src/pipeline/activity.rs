//! Detects stalled chains.
//!
//! When a stage stops responding, every stream through it stops at the same moment. A single slow
//! stream does not indicate this; a pause of all streams of a chain at once does.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Maximum time for which a chain with streams in progress may produce no event before it counts as
/// stalled: an eighth of the time that callers wait.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Minimum time without an event before a chain counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// Multiple of the usual pause of a chain after which it counts as stalled.
const STALL_FACTOR: u32 = 2;

/// Time in which the usual pause of a chain falls by half if its pauses become shorter.
const PAUSE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Expected number of probes of an engine of a stalled chain, if all instances have streams on it.
const PROBES_PER_ENGINE: f64 = 8.0;

/// Returns the share of the engines of a stalled chain that an instance probes.
///
/// If each of hundreds of instances probed every engine of every stalled chain, probes would grow
/// with the square of the deployment. Some of them suffice, since a finding is sent to all.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::pipeline::probe_share;
///
/// assert_eq!(probe_share(4), 1.0);
/// assert_eq!(probe_share(80), 0.1);
/// ```
pub fn probe_share(instances: u32) -> f64 {
    (PROBES_PER_ENGINE / f64::from(instances.max(1))).min(1.0)
}

/// The last activity of a chain, over all streams of this instance on it.
///
/// A chain with a few streams pauses for one pass over its engines; how long that takes depends on
/// the cards and the load. A chain counts as stalled after a multiple of the longest pause that it
/// lately made, since callers count a stream as late whose pause is a few passes long. A false
/// alarm costs one query to each engine of the chain.
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
    /// Longest pause lately, if the chain produced an event.
    usual_pause: Option<Duration>,
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
        let pause = now.since(self.last_event);
        if self.streams > 0 {
            let halvings = pause.as_secs_f64() / PAUSE_HALF_LIFE.as_secs_f64();
            let faded = self.usual_pause.unwrap_or_default().mul_f64(0.5_f64.powf(halvings));
            self.usual_pause = Some(faded.max(pause).min(STALL_TIMEOUT));
        }
        self.last_event = self.last_event.max(now);
    }

    /// Returns the number of streams in progress.
    pub fn streams(&self) -> u32 {
        self.streams
    }

    /// Returns whether the chain has streams but has produced no event for longer than usual.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let timeout = self.usual_pause.map_or(STALL_TIMEOUT, |pause| pause * STALL_FACTOR);
        self.streams > 0
            && now.since(self.last_event) >= timeout.clamp(MIN_STALL_TIMEOUT, STALL_TIMEOUT)
    }
}
