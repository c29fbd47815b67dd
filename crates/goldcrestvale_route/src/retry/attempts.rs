//! The tries of one request.

use goldcrestvale_base::{id::Upstream, time::Instant, verdict::Verdict};
use smallvec::SmallVec;
use snafu::Snafu;

use super::Budget;

/// The result of asking for another try.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The last try may have run.
    #[snafu(display("the last try may have run"))]
    MayHaveRun,
    /// The deadline has passed.
    #[snafu(display("the deadline has passed"))]
    Deadline,
    /// The budget holds no retry.
    #[snafu(display("the budget of retries is spent"))]
    Budget,
    /// Every upstream was tried, or enough of them.
    #[snafu(display("no upstream is left to try"))]
    Exhausted,
}

/// The tries of one request: each at another upstream, and only while nothing may have run.
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
    most: usize,
    tried: SmallVec<[Upstream; 4]>,
}

impl Attempts {
    /// Creates a attempts of at most `most` tries before a deadline.
    pub fn new(deadline: Instant, most: usize) -> Self {
        Self { deadline, most, tried: SmallVec::new() }
    }

    /// Notes a try at an upstream; the first one earns a share of a retry.
    pub fn start(&mut self, upstream: &Upstream, budget: &Budget) {
        if self.tried.is_empty() {
            budget.earn();
        }
        self.tried.push(upstream.clone());
    }

    /// Returns the upstreams that were tried; none of them may be tried again.
    pub fn tried(&self) -> &[Upstream] {
        &self.tried
    }

    /// Asks for another try after one that failed with a verdict, and pays for it.
    ///
    /// # Errors
    ///
    /// Says why the request must not be tried again.
    pub fn retry(&self, now: Instant, verdict: Verdict, budget: &Budget) -> Result<()> {
        if !verdict.is_not_run() {
            return Err(Refusal::MayHaveRun);
        }
        if now >= self.deadline {
            return Err(Refusal::Deadline);
        }
        if self.tried.len() >= self.most {
            return Err(Refusal::Exhausted);
        }
        if !budget.try_take() {
            return Err(Refusal::Budget);
        }
        Ok(())
    }
}
