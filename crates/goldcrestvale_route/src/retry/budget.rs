//! A budget that limits retries to a small share of first attempts.

use std::sync::atomic::{AtomicU32, Ordering};

/// Cost of one retry, in thousandths, so that the budget is counted in whole numbers.
const RETRY_COST: u32 = 1_000;

/// A retry budget to which each first attempt adds a share of a retry.
///
/// Shared between the threads that serve requests. A budget starts full, so that an instance with
/// little traffic may retry.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::retry::Budget;
///
/// let budget = Budget::new(100, 1);
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// for _ in 0..10 {
///     budget.earn();
/// }
/// assert!(budget.try_take());
/// ```
#[derive(Debug)]
pub struct Budget {
    /// Thousandths of a retry that a first attempt adds.
    share: u32,
    max: u32,
    remaining: AtomicU32,
}

impl Budget {
    /// Creates a full budget of `max` retries, to which a first attempt adds `share` thousandths of
    /// a retry.
    pub fn new(share: u32, max: u32) -> Self {
        let max = max.saturating_mul(RETRY_COST);
        Self { share, max, remaining: AtomicU32::new(max) }
    }

    /// Counts a first attempt.
    pub fn earn(&self) {
        let add = |remaining: u32| Some(remaining.saturating_add(self.share).min(self.max));
        // The closure always returns a value.
        let _ = self.remaining.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Takes one retry if the budget has one.
    pub fn try_take(&self) -> bool {
        let take = |remaining: u32| remaining.checked_sub(RETRY_COST);
        self.remaining.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    /// Returns the number of retries that remain.
    pub fn remaining(&self) -> u32 {
        self.remaining.load(Ordering::Acquire) / RETRY_COST
    }
}
