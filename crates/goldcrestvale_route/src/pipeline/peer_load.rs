//! Estimates the streams that other instances sent to a chain and have not reported yet.
//!
//! When a chain is lost, every instance moves its streams at the same moment, all to the chain that
//! was least loaded in the view of all of them. Their reports to each other come too late to
//! prevent this, but each instance knows that the others act as it does.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Half of the time over which sends are counted: the interval at which instances report their
/// sends to each other.
const PERIOD: Duration = Duration::from_millis(250);

/// Share of its streams on a chain that an instance sends there in two periods in normal operation:
/// streams last about eight times as long, with a margin of two.
const NORMAL_SHARE: f64 = 0.125;

/// Sends in two periods that count as normal operation, however few streams there are.
const NORMAL_SENDS: f64 = 1.0;

/// The streams that this instance recently sent to a chain.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::pipeline::PeerLoad;
///
/// let now = Instant(1_000_000);
/// let mut peer_load = PeerLoad::default();
/// (0..6).for_each(|_| peer_load.record(now));
/// // One of the six, and a share of the eight in progress, count as normal operation.
/// assert_eq!(peer_load.unreported(8, 11, now), 40.0);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerLoad {
    period_start: Instant,
    current: u32,
    previous: u32,
}

impl PeerLoad {
    /// Records a stream that is sent.
    pub fn record(&mut self, now: Instant) {
        let elapsed = now.since(self.period_start);
        if elapsed >= PERIOD {
            self.previous = if elapsed < PERIOD * 2 { self.current } else { 0 };
            self.current = 0;
            self.period_start = now;
        }
        self.current += 1;
    }

    /// Returns an estimate of the streams that the others of `instances` sent and have not
    /// reported, where this instance has `own` in progress.
    pub fn unreported(&self, own: u32, instances: u32, now: Instant) -> f64 {
        let sent = match now.since(self.period_start) {
            elapsed if elapsed < PERIOD => self.current + self.previous,
            elapsed if elapsed < PERIOD * 2 => self.current,
            _ => 0,
        };
        let excess = f64::from(sent) - NORMAL_SENDS - f64::from(own) * NORMAL_SHARE;
        excess.max(0.0) * f64::from(instances.saturating_sub(1))
    }
}
