//! Settings of a monitor.

use std::time::Duration;

goldcrestvale_base::domain! {
    record
    /// Settings of a monitor.
    #[serde(default)]
    pub struct Settings {
        /// Failures in a row after which an upstream is ejected.
        pub failures: u32,
        /// Weight of the newest time in the moving average, above 0 and at most 1.
        pub smoothing: f64,
        /// Multiple of the expected time above which an upstream counts as slow.
        pub slow: f64,
        /// Least expected time that an answer is compared with; below it, times are mostly noise.
        pub expected_floor: Duration,
        /// Answers in an incarnation before an upstream can count as slow.
        pub samples: u32,
        /// Largest share of the fleet that is ejected at once; above 0, one always may be.
        pub ejected_share: f64,
        /// Share of a domain's upstreams that must be slow for its link to be suspected.
        pub link_share: f64,
        /// Length of the first ejection.
        pub ejection: Duration,
        /// Longest ejection.
        pub ejection_ceiling: Duration,
        /// Time over which a joiner grows to its full share.
        pub slow_start: Duration,
        /// Share that a joiner starts with, above 0 and at most 1.
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
