//! Divides the free places of a chain between the instances that send to it.
//!
//! The load: all chains of a service are full, and dozens of instances learn of a free place from
//! the same reports. If each of them takes it, the chain refuses all streams but one.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Interval at which instances report their streams to each other.
const PERIOD: Duration = Duration::from_millis(250);

/// Share of the free places that the instances together take in one period. What they took reaches
/// the others up to a period later, so a part of a larger share would be taken twice.
const TAKEN_SHARE: f64 = 0.9;

/// Smallest part of the free places of an instance that has demand: one place in ten periods.
const MIN_PLACES: f64 = 0.1;

/// The places on one chain that this instance may use.
///
/// An instance may replace its own streams that ended in the last period, since the others don't
/// know yet that they ended, and may take its part of the places that are free for all.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::pipeline::PlaceShare;
///
/// let now = Instant(1_000_000);
/// let mut share = PlaceShare::default();
/// (0..8).for_each(|_| share.start(now));
/// let later = Instant(1_300_000);
/// // Nothing is free beside what this instance uses.
/// assert_eq!(share.places(100.0, 100.0, 0.5, later, 0.9), 0);
/// share.end();
/// assert_eq!(share.places(100.0, 100.0, 0.5, later, 0.9), 1);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct PlaceShare {
    /// Streams in progress of this instance.
    own: u32,
    period_start: Instant,
    /// Largest number of own streams in this period.
    peak: u32,
    /// Own streams that the others count with.
    base: u32,
    /// Free places that this instance may take in this period, once that is decided.
    granted: Option<u32>,
}

impl PlaceShare {
    /// Records a stream that is sent.
    pub fn start(&mut self, now: Instant) {
        self.roll(now);
        self.own += 1;
        self.peak = self.peak.max(self.own);
    }

    /// Records that time has passed on a chain with streams in progress.
    pub fn record(&mut self, now: Instant) {
        self.roll(now);
    }

    /// Records a stream that ended.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Returns the number of streams that this instance may send to the chain now.
    ///
    /// The chain may hold `max_streams` and has `streams` of all instances; `part` is the part of
    /// the demand that this instance has, and `draw` a random number in `0..1` by which a part of
    /// a place becomes a whole one. The draw is used once in each period.
    pub fn places(
        &mut self,
        max_streams: f64,
        streams: f64,
        part: f64,
        now: Instant,
        draw: f64,
    ) -> u32 {
        self.roll(now);
        let free = max_streams - streams;
        if free < 0.0 {
            // Own streams that ended are not replaced either.
            return 0;
        }
        let granted = *self.granted.get_or_insert_with(|| {
            let taken = free * TAKEN_SHARE * part.clamp(0.0, 1.0);
            (taken + draw.clamp(0.0, 1.0)).floor().min(f64::from(u16::MAX)) as u32
        });
        (self.base + granted).saturating_sub(self.own)
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.since(self.period_start);
        if elapsed >= PERIOD {
            self.base = if elapsed < PERIOD * 2 { self.peak } else { self.own };
            self.peak = self.own;
            self.period_start = now;
            self.granted = None;
        }
    }
}

/// Returns the part of the free places that an instance may take, from its own demand, the sum of
/// what `reporting` peers reported, and the number of instances including this one.
///
/// Peers that have not reported count with the mean of the others. An instance with little demand
/// still takes a place in ten periods, as far as the parts of all do not exceed what is free.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::pipeline::demand_part;
///
/// assert_eq!(demand_part(3.0, 9.0, 3, 4), 0.25);
/// // Two of the three peers have not reported, and count with the mean.
/// assert_eq!(demand_part(2.0, 2.0, 1, 4), 0.25);
/// assert_eq!(demand_part(0.0, 0.0, 0, 5), 0.2);
/// assert!(demand_part(0.0, 100.0, 9, 10) > 0.0);
/// ```
pub fn demand_part(own: f64, peers: f64, reporting: u32, instances: u32) -> f64 {
    let instances = instances.max(1);
    let reporting = reporting.min(instances - 1);
    let mean = (own + peers) / f64::from(reporting + 1);
    let all = own + peers + mean * f64::from(instances - 1 - reporting);
    let least = MIN_PLACES / f64::from(instances);
    if all > 0.0 { (own / all).max(least) } else { 1.0 / f64::from(instances) }
}
