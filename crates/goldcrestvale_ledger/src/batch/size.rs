use std::time::Duration;

use goldcrestvale_base::time::Instant;

use super::{Policy, Waiting};

/// Appends once a number of records wait or the oldest has waited for a maximum time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_ledger::batch::{Policy, Size, Waiting};
///
/// let policy = Size::new(8, Duration::from_millis(20));
/// let few = Waiting { count: 7, oldest: Instant(5_000), last_append: None };
/// assert_eq!(policy.due(&few), Instant(25_000));
/// assert_eq!(policy.due(&Waiting { count: 8, ..few }), Instant(5_000));
/// ```
#[derive(Debug, Clone)]
pub struct Size {
    count: usize,
    max_wait: Duration,
}

impl Size {
    /// Creates a policy that appends once `count` records wait or one has waited for `max_wait`.
    pub fn new(count: usize, max_wait: Duration) -> Self {
        Self { count, max_wait }
    }
}

impl Policy for Size {
    fn due(&self, waiting: &Waiting) -> Instant {
        if waiting.count >= self.count {
            return waiting.oldest;
        }
        waiting.oldest + self.max_wait
    }
}
