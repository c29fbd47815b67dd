//! How many streams the other instances likely sent to a chain, and did not say so yet.
//!
//! The load it answers: a chain is lost, and every instance moves its streams at the same moment, all
//! to the chain that looked idlest to all of them. What they tell each other comes too late for that,
//! but each one knows that the others do as it does.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Half of the time over which sends are counted: how often instances tell each other what they sent.
const PERIOD: Duration = Duration::from_millis(250);

/// Share of its streams on a chain that an instance sends there in two periods without any trouble:
/// streams last about eight times as long, with a margin of two.
const USUAL: f64 = 0.125;

/// Sends in two periods that are not counted as unusual, however few streams there are.
const FEW: f64 = 1.0;

/// The streams that an instance sent to a chain lately.
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
/// // Of the six, one and a share of those in progress would come at any time.
/// assert_eq!(peer_load.unreported(8, 11, now), 40.0);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerLoad {
    start: Instant,
    current: u32,
    before: u32,
}

impl PeerLoad {
    /// Counts a stream that is sent.
    pub fn record(&mut self, now: Instant) {
        let elapsed = now.since(self.start);
        if elapsed >= PERIOD {
            self.before = if elapsed < PERIOD * 2 { self.current } else { 0 };
            self.current = 0;
            self.start = now;
        }
        self.current += 1;
    }

    /// Returns how many more streams the other ones of `instances` sent than they say, where this one
    /// has `own` in progress.
    pub fn unreported(&self, own: u32, instances: u32, now: Instant) -> f64 {
        let sent = match now.since(self.start) {
            elapsed if elapsed < PERIOD => self.current + self.before,
            elapsed if elapsed < PERIOD * 2 => self.current,
            _ => 0,
        };
        let unusual = f64::from(sent) - FEW - f64::from(own) * USUAL;
        unusual.max(0.0) * f64::from(instances.saturating_sub(1))
    }
}
