//! Settings of the health monitor.

use std::time::Duration;

goldcrestvale_base::domain! {
    record
    /// Settings of a [`Monitor`](super::Monitor).
    #[serde(default)]
    pub struct Settings {
        /// Consecutive failures after which an upstream is ejected.
        pub failures: u32,
        /// Weight of the latest time in the moving average, above 0 and at most 1.
        pub smoothing: f64,
        /// Ratio to the expected time above which an upstream counts as slow.
        pub slow: f64,
        /// Minimum expected time that answers are compared with; shorter times are mostly noise.
        pub expected_floor: Duration,
        /// Answers since the join or the last ejection before an upstream can count as slow.
        pub samples: u32,
        /// Maximum share of the fleet ejected at once; above 0, one upstream can always be ejected.
        pub ejected_share: f64,
        /// Share of slow upstreams in a domain above which its link is suspected.
        pub link_share: f64,
        /// Length of the first ejection.
        pub ejection: Duration,
        /// Maximum length of an ejection.
        pub ejection_ceiling: Duration,
        /// Time in which an upstream that joins or returns reaches its full share.
        pub slow_start: Duration,
        /// Share with which an upstream that joins or returns starts, above 0 and at most 1.
        pub start_share: f64,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures: 3,
            smoothing: 0.3,
            slow: 8.0,
            expected_floor: Duration::from_millis(5),
            samples: 5,
            ejected_share: 0.2,
            link_share: 0.5,
            ejection: Duration::from_secs(5),
            ejection_ceiling: Duration::from_secs(300),
            slow_start: Duration::from_secs(10),
            start_share: 0.1,
        }
    }
}
