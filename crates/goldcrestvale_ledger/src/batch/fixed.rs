use std::time::Duration;

use goldcrestvale_base::time::Instant;

use super::{Policy, Waiting};

/// Keeps a fixed interval between appends; a record that arrives after the interval is appended
/// immediately.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_ledger::batch::{Fixed, Policy, Waiting};
///
/// let policy = Fixed::new(Duration::from_millis(20));
/// let waiting = Waiting { count: 1, oldest: Instant(5_000), last_append: Some(Instant(1_000)) };
/// assert_eq!(policy.due(&waiting), Instant(21_000));
/// ```
#[derive(Debug, Clone)]
pub struct Fixed {
    interval: Duration,
}

impl Fixed {
    /// Creates a policy with an interval between appends.
    pub fn new(interval: Duration) -> Self {
        Self { interval }
    }
}

impl Policy for Fixed {
    fn due(&self, waiting: &Waiting) -> Instant {
        waiting.last_append.map_or(waiting.oldest, |last| last + self.interval)
    }
}
