//! The attempts of one request.

use goldcrestvale_base::{id::Upstream, time::Instant, verdict::Verdict};
use smallvec::SmallVec;
use snafu::Snafu;

use super::Budget;

/// The result of requesting another attempt.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The reason why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The last attempt may have run.
    #[snafu(display("the last try may have run"))]
    MayHaveRun,
    /// The deadline has passed.
    #[snafu(display("the deadline has passed"))]
    Deadline,
    /// The retry budget is exhausted.
    #[snafu(display("the budget of retries is spent"))]
    Budget,
    /// Every upstream was tried, or the maximum number of them.
    #[snafu(display("no upstream is left to try"))]
    Exhausted,
}

/// The attempts of one request, each at another upstream, and only while no earlier attempt may
/// have run.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{exchange::Exchange, time::Instant};
/// use goldcrestvale_route::retry::{Budget, Attempts};
///
/// let budget = Budget::new(100, 10);
/// let mut attempts = Attempts::new(Instant(1_000_000), 3);
/// attempts.start(&"booking-1".parse()?, &budget);
/// assert!(attempts.retry(Instant(0), Exchange::new().refuse(), &budget).is_ok());
/// assert_eq!(attempts.tried().len(), 1);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Attempts {
    deadline: Instant,
    max: usize,
    tried: SmallVec<[Upstream; 4]>,
}

impl Attempts {
    /// Creates an empty record that allows at most `max` attempts before `deadline`.
    pub fn new(deadline: Instant, max: usize) -> Self {
        Self { deadline, max, tried: SmallVec::new() }
    }

    /// Records an attempt at an upstream; the first one adds a share of a retry to the budget.
    pub fn start(&mut self, upstream: &Upstream, budget: &Budget) {
        if self.tried.is_empty() {
            budget.earn();
        }
        self.tried.push(upstream.clone());
    }

    /// Returns the upstreams that were tried; the next attempt must go to another one.
    pub fn tried(&self) -> &[Upstream] {
        &self.tried
    }

    /// Requests another attempt after one that failed with a verdict, and takes it from the budget.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request must not be retried.
    pub fn retry(&self, now: Instant, verdict: Verdict, budget: &Budget) -> Result<()> {
        if !verdict.is_not_run() {
            return Err(Refusal::MayHaveRun);
        }
        if now >= self.deadline {
            return Err(Refusal::Deadline);
        }
        if self.tried.len() >= self.max {
            return Err(Refusal::Exhausted);
        }
        if !budget.try_take() {
            return Err(Refusal::Budget);
        }
        Ok(())
    }
}
