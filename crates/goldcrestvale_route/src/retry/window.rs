//! A bound on repeated arrivals over a sliding span.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::time::Instant;

/// Slices of a span; a slice is forgotten as a whole.
const SLICES: u32 = 20;

/// Counts first tries and repeats over a sliding span, and allows repeats up to a share of the
/// first tries and a floor.
///
/// The load it answers: an upstream fails under full traffic. Repeats that are not bounded over all
/// instances would multiply the load on what is left.
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
    firsts: u32,
    repeats: u32,
}

impl Window {
    /// Creates a window over `span` that allows `ratio` repeats for each first try, and `floor`
    /// more.
    pub fn new(span: Duration, ratio: f64, floor: f64) -> Self {
        Self { span, ratio, floor, slices: VecDeque::new() }
    }

    /// Changes the floor, as the number of instances that share it changes.
    pub fn set_floor(&mut self, floor: f64) {
        self.floor = floor;
    }

    /// Counts a first try.
    pub fn count_first(&mut self, now: Instant) {
        self.slice(now).firsts += 1;
    }

    /// Counts a repeat if the window allows it.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.slice(now);
        let firsts: u32 = self.slices.iter().map(|slice| slice.firsts).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let allowed = f64::from(repeats) + 1.0 <= f64::from(firsts) * self.ratio + self.floor;
        if allowed {
            self.slice(now).repeats += 1;
        }
        allowed
    }

    /// Returns the slice that holds `now`, and forgets those that are older than the span.
    fn slice(&mut self, now: Instant) -> &mut Slice {
        let length = self.span / SLICES;
        // One slice longer than the span, so that no span of that length holds more.
        let keep = self.span + length;
        while self.slices.front().is_some_and(|slice| now.since(slice.start) > keep) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| now.since(slice.start) >= length) {
            self.slices.push_back(Slice { start: now, firsts: 0, repeats: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
