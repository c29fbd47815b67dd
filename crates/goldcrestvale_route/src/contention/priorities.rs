//! A set of priorities.

use crate::forward::MAX_PRIORITY;

/// Number of priorities.
pub(super) const COUNT: usize = MAX_PRIORITY as usize + 1;

goldcrestvale_base::domain! {
    copy
    /// A set of priorities.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_route::contention::Priorities;
    ///
    /// let mut priorities = Priorities::default();
    /// priorities.insert(2);
    /// assert!(priorities.contains(2) && !priorities.contains(0));
    /// ```
    #[derive(Default)]
    pub struct Priorities(u16);
}

impl Priorities {
    /// Adds a priority.
    pub fn insert(&mut self, priority: u8) {
        self.0 |= 1 << priority.min(MAX_PRIORITY);
    }

    /// Returns whether a priority is in the set.
    pub fn contains(&self, priority: u8) -> bool {
        self.0 & (1 << priority.min(MAX_PRIORITY)) != 0
    }
}

/// Returns the index of a priority; larger values count as the least urgent one.
pub(super) fn index(priority: u8) -> usize {
    usize::from(priority.min(MAX_PRIORITY))
}
