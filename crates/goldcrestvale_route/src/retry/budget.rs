//! A budget that keeps retries a small share of first tries.

use std::sync::atomic::{AtomicU32, Ordering};

/// Thousandths of a retry, so that the budget is counted in whole numbers.
const RETRY: u32 = 1_000;

/// Retries that each first try earns a share of.
///
/// Shared between the threads that serve requests. A budget starts full, so that a quiet instance
/// may retry.
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
    /// Thousandths of a retry that a first try earns.
    share: u32,
    most: u32,
    left: AtomicU32,
}

impl Budget {
    /// Creates a budget: a first try earns `share` thousandths of a retry, up to `most` retries.
    pub fn new(share: u32, most: u32) -> Self {
        let most = most.saturating_mul(RETRY);
        Self { share, most, left: AtomicU32::new(most) }
    }

    /// Counts a first try.
    pub fn earn(&self) {
        let add = |left: u32| Some(left.saturating_add(self.share).min(self.most));
        // The closure always returns a value.
        let _ = self.left.fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Takes one retry, if the budget holds one.
    pub fn try_take(&self) -> bool {
        let take = |left: u32| left.checked_sub(RETRY);
        self.left.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).is_ok()
    }

    /// Returns the retries left.
    pub fn remaining(&self) -> u32 {
        self.left.load(Ordering::Acquire) / RETRY
    }
}
