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
    loans: VecDeque<Loan>,
}

/// Retries that another instance may use until a time.
#[derive(Debug, Clone, Copy)]
struct Loan {
    milli_retries: u32,
    until: Instant,
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
        Self { span, ratio, floor, slices: VecDeque::new(), loans: VecDeque::new() }
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

    /// Changes the length of the window. The counts restart, except for loans, which the borrowers
    /// may still use.
    pub fn set_span(&mut self, span: Duration) {
        self.span = span;
        self.slices.clear();
    }

    /// Counts a retry if the window allows it.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        let allowed = self.left(now) > 0;
        if allowed {
            self.slice(now).retries += 1;
        }
        allowed
    }

    /// Returns the number of retries that the window allows now.
    pub fn left(&mut self, now: Instant) -> u32 {
        self.left_after(now, Duration::ZERO) as u32
    }

    /// Returns how many thousandths of a retry this instance could lend for a time: half of what is
    /// left of the floor, while at least one whole retry stays if there is one.
    pub fn spare(&mut self, now: Instant, hold: Duration) -> u32 {
        // First attempts cover no loan: traffic that moves to another instance would cover one there
        // as well within the same span.
        let left = self.left_after(now, hold).min((self.floor - self.lent()).max(0.0));
        let spare = if left < 1.0 { left / 2.0 } else { (left / 2.0).min(left - 1.0) };
        (spare * 1_000.0) as u32
    }

    /// Lends up to so many thousandths of a retry to another instance, which may use them until `hold`
    /// has passed; returns the amount. They count as retries of this window for the span after that time.
    ///
    /// Half of what is left stays with this instance, and a whole retry if there is one.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_route::retry::Window;
    ///
    /// let (span, hold) = (Duration::from_secs(10), Duration::from_secs(1));
    /// let mut window = Window::new(span, 0.0, 6.0);
    /// assert_eq!(window.lend(Instant(0), 8_000, hold), 3_000);
    /// assert_eq!(window.left(Instant(0)), 3);
    /// assert_eq!(window.left(Instant(0) + span), 3);
    /// assert_eq!(window.left(Instant(0) + span + hold * 2), 6);
    /// ```
    pub fn lend(&mut self, now: Instant, milli_retries: u32, hold: Duration) -> u32 {
        let milli_retries = milli_retries.min(self.spare(now, hold));
        if milli_retries > 0 {
            self.loans.push_back(Loan { milli_retries, until: now + hold });
        }
        milli_retries
    }

    /// Takes back up to so many thousandths of a retry of the loans that could be used until a time,
    /// which the borrower did not use and no longer will.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_route::retry::Window;
    ///
    /// let hold = Duration::from_secs(1);
    /// let mut window = Window::new(Duration::from_secs(10), 0.0, 6.0);
    /// assert_eq!(window.lend(Instant(0), 8_000, hold), 3_000);
    /// window.take_back(Instant(0) + hold, 2_000);
    /// assert_eq!(window.left(Instant(0) + hold), 5);
    /// ```
    pub fn take_back(&mut self, until: Instant, milli_retries: u32) {
        let mut rest = milli_retries;
        for loan in self.loans.iter_mut().filter(|loan| loan.until == until) {
            let returned = rest.min(loan.milli_retries);
            loan.milli_retries -= returned;
            rest -= returned;
        }
    }

    /// Returns the number of retries that are left without the first attempts that will have left
    /// the window after a time.
    fn left_after(&mut self, now: Instant, time: Duration) -> f64 {
        self.slice(now);
        // The slices that began before the span count only for the retries.
        let recent = self.slices.iter().filter(|slice| now.since(slice.start) + time <= self.span);
        let first_attempts: u32 = recent.map(|slice| slice.first_attempts).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowed = f64::from(first_attempts) * self.ratio + self.floor;
        (allowed - f64::from(retries) - self.lent()).max(0.0)
    }

    /// Returns the number of retries that count since they were lent.
    fn lent(&self) -> f64 {
        self.loans.iter().map(|loan| f64::from(loan.milli_retries) / 1_000.0).sum()
    }

    /// Returns the slice that contains `now`, and removes those that are older than the span.
    fn slice(&mut self, now: Instant) -> &mut Slice {
        let slice_length = self.span / SLICES;
        // One slice longer than the span, so that no window of that length allows more.
        let retention = self.span + slice_length;
        self.loans.retain(|loan| loan.milli_retries > 0 && now.since(loan.until) <= retention);
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
