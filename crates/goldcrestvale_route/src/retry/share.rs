//! The share of an instance in a number of retries that all instances may use together.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::time::Instant;

/// Fraction of its share that an instance uses, since instances that join are noticed late.
const OWN_SHARE: f64 = 0.9;

/// Number of spans for which the highest number of instances counts: longer than a partition lasts.
const PEAK_SPANS: u32 = 6;

/// Number of spans without a share after the first start of all instances: the time to notice each
/// other, also if a partition hides some of them at first.
const SPANS_AFTER_FIRST_START: f64 = 1.25;

/// Number of spans without a share after any other start: the others notice it within a span, and
/// their retries until then count for another one; what they lent may be used a little longer.
const SPANS_AFTER_START: f64 = 2.25;

/// Divides a number of retries per span among the instances.
///
/// The instances do not agree on their number: on both sides of a partition, and while instances
/// restart, each one sees fewer instances than send retries. An instance therefore divides by the
/// highest number that it saw within several spans. One that has just started has no share until
/// the retries of its previous incarnation, and those of others that divided by a lower number, no
/// longer count. The sum exceeds the total only if instances start on their own side of a partition
/// that lasts longer than a span.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::retry::Share;
///
/// let span = Duration::from_secs(10);
/// let mut share = Share::new(span, Instant(0));
/// assert_eq!(share.of(100.0, Instant(0), Some(9)), 0.0);
/// assert_eq!(share.of(100.0, Instant(0) + span * 3, Some(9)), 10.0);
/// // Three instances remain in reach after a partition.
/// assert_eq!(share.of(100.0, Instant(0) + span * 4, Some(3)), 10.0);
/// ```
#[derive(Debug, Clone)]
pub struct Share {
    span: Duration,
    /// Time until which the instance has no share.
    withheld_until: Instant,
    /// Incarnations of this instance that share the number beside the current one.
    predecessors: u32,
    /// Numbers of instances, falling, with the time at which each was last seen.
    peaks: VecDeque<(Instant, u32)>,
}

impl Share {
    /// Creates the share of an instance that starts at `now` and has peers.
    pub fn new(span: Duration, now: Instant) -> Self {
        Self::after(span, now + span.mul_f64(SPANS_AFTER_START))
    }

    /// Creates the share of an instance that starts at `now` together with all others, for the
    /// first time.
    pub fn first_start(span: Duration, now: Instant) -> Self {
        Self::after(span, now + span.mul_f64(SPANS_AFTER_FIRST_START))
    }

    fn after(span: Duration, withheld_until: Instant) -> Self {
        Self { span, withheld_until, predecessors: 0, peaks: VecDeque::new() }
    }

    /// Creates the share of the only instance. It has a share from the start, and leaves as much
    /// to an incarnation that ended within the span.
    pub fn alone(span: Duration) -> Self {
        let withheld_until = Instant::default();
        Self { span, withheld_until, predecessors: 1, peaks: VecDeque::new() }
    }

    /// Returns whether this instance has no share, since retries of a previous incarnation may still
    /// count, or since the number of instances is unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_route::retry::Share;
    ///
    /// let span = Duration::from_secs(10);
    /// let mut share = Share::new(span, Instant(0));
    /// share.of(100.0, Instant(0), Some(9));
    /// assert!(share.is_withheld(Instant(0)));
    /// assert!(!share.is_withheld(Instant(0) + span * 3));
    /// ```
    pub fn is_withheld(&self, now: Instant) -> bool {
        now < self.withheld_until || self.peaks.is_empty()
    }

    /// Returns the share in `total` retries per span; `instances` is the number of instances that
    /// this one sees, itself included, or `None` if it is unknown.
    pub fn of(&mut self, total: f64, now: Instant, instances: Option<u32>) -> f64 {
        if let Some(instances) = instances {
            while self.peaks.back().is_some_and(|(_, peak)| *peak <= instances) {
                self.peaks.pop_back();
            }
            self.peaks.push_back((now, instances));
        }
        let retention = self.span * PEAK_SPANS;
        while self.peaks.len() > 1
            && self.peaks.front().is_some_and(|(at, _)| now.since(*at) > retention)
        {
            self.peaks.pop_front();
        }
        match self.peaks.front() {
            Some((_, peak)) if now >= self.withheld_until => {
                total * OWN_SHARE / f64::from((*peak).max(1) + self.predecessors)
            }
            _ => 0.0,
        }
    }
}
