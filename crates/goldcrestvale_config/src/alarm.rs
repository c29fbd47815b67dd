//! Counters of inconsistencies between this instance, the log and other instances.

use goldcrestvale_base::domain;

domain! {
    copy
    /// Number of inconsistencies detected, by type; the newer state was kept each time.
    #[derive(Default)]
    pub struct Alarms {
        /// Records read at an offset that held another one before, or a log that ends before the
        /// fold's version.
        pub regressions: u64,
        /// States of other instances with the same version and another digest.
        pub divergences: u64,
        /// Checkpoints that do not match their own digest.
        pub corruptions: u64,
    }
}

impl Alarms {
    /// Returns whether any inconsistency was detected.
    pub fn any(&self) -> bool {
        *self != Self::default()
    }
}
