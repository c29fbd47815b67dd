//! A limit on retries over a sliding window of time.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::time::Instant;

/// Number of slices of a span; a slice expires as a whole.
const SLICES: u32 = 20;

/// Counts first attempts and retries over a sliding window, and allows retries up to a share of the
/// first attempts plus a floor.
///
/// When an upstream fails under full traffic, retries that are not bounded over all instances would
/// multiply the load on the remaining upstreams.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::retry::Window;
///
/// let mut window = Window::new(Duration::from_secs(10), 0.2, 1.0);
/// assert!(window.try_retry(Instant(0)));
/// assert!(!window.try_retry(Instant(0)));
/// (0..5).for_each(|_| window.count_first(Instant(0)));
/// assert!(window.try_retry(Instant(0)));
/// ```
#[derive(Debug, Clone)]
pub struct Window {
    span: Duration,
    ratio: f64,
    floor: f64,
    slices: VecDeque<Slice>,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Instant,
    first_attempts: u32,
    retries: u32,
}

impl Window {
    /// Creates a window over `span` that allows `ratio` retries for each first attempt, and `floor`
    /// more.
    pub fn new(span: Duration, ratio: f64, floor: f64) -> Self {
        Self { span, ratio, floor, slices: VecDeque::new() }
    }

    /// Changes the floor, as the number of instances that share it changes.
    pub fn set_floor(&mut self, floor: f64) {
        self.floor = floor;
    }

    /// Changes the ratio, and keeps the counts.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Counts a first attempt.
    pub fn count_first(&mut self, now: Instant) {
        self.slice(now).first_attempts += 1;
    }

    /// Counts a retry if the window allows it.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.slice(now);
        // The slices that began before the span count only for the retries.
        let recent = self.slices.iter().filter(|slice| now.since(slice.start) <= self.span);
        let first_attempts: u32 = recent.map(|slice| slice.first_attempts).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowed =
            f64::from(retries) + 1.0 <= f64::from(first_attempts) * self.ratio + self.floor;
        if allowed {
            self.slice(now).retries += 1;
        }
        allowed
    }

    /// Returns the slice that contains `now`, and removes those that are older than the span.
    fn slice(&mut self, now: Instant) -> &mut Slice {
        let slice_length = self.span / SLICES;
        // One slice longer than the span, so that no window of that length allows more.
        let retention = self.span + slice_length;
        while self.slices.front().is_some_and(|slice| now.since(slice.start) > retention) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| now.since(slice.start) >= slice_length) {
            self.slices.push_back(Slice { start: now, first_attempts: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
