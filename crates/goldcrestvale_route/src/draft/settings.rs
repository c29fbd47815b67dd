//! Settings for drafts.

use std::time::Duration;

goldcrestvale_base::domain! {
    copy
    /// Which stages are rebuilt after a loss.
    #[serde(rename_all = "kebab-case")]
    pub enum Recovery {
        /// Only the stages from the nearest retained activations to the lost stage.
        Stage,
        /// All stages, by replaying the prompt and the committed tokens on a new chain.
        Whole,
    }
}

goldcrestvale_base::domain! {
    value
    /// Settings shared by drafts.
    #[serde(default)]
    pub struct Settings {
        /// Which stages are rebuilt after a loss.
        #[serde(rename = "way")]
        pub recovery: Recovery,
        /// Whether to try to move the KV cache off a leaving engine before rebuilding it.
        pub moves: bool,
        /// Maximum bytes of boundary activations that one draft retains.
        pub retain_bytes: usize,
        /// Maximum number of positions in a step whose outputs the next stage waits for.
        pub chunk: u32,
        /// Multiple of the expected step time after which a step counts as lost.
        pub timeout_factor: u32,
        /// Minimum timeout of a step.
        pub timeout_floor: Duration,
        /// Maximum timeout of a step.
        pub timeout_ceiling: Duration,
        /// Time after which the move of a KV cache counts as failed.
        pub move_timeout: Duration,
        /// Delay before a step is retried at a busy engine.
        pub busy_pause: Duration,
        /// Maximum number of times that a step is sent to an engine that is busy or whose
        /// connection broke.
        pub tries: u32,
        /// Time for which a draft avoids an engine after a failure.
        pub avoid: Duration,
        /// Maximum number of rebuilds in one draft.
        pub rebuilds: u32,
        /// Time after which a failed draft may be retried.
        pub retry_after: Duration,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            recovery: Recovery::Stage,
            moves: true,
            retain_bytes: 256 * 1024,
            chunk: 512,
            timeout_factor: 4,
            timeout_floor: Duration::from_millis(250),
            timeout_ceiling: Duration::from_secs(30),
            move_timeout: Duration::from_millis(500),
            busy_pause: Duration::from_millis(20),
            tries: 2,
            avoid: Duration::from_secs(10),
            rebuilds: 32,
            retry_after: Duration::from_secs(1),
        }
    }
}

impl Settings {
    /// Returns the timeout of a step with the given expected time.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use goldcrestvale_route::draft::Settings;
    ///
    /// let settings = Settings::default();
    /// assert_eq!(settings.timeout(Duration::from_millis(1)), settings.timeout_floor);
    /// assert_eq!(settings.timeout(Duration::from_secs(1)), Duration::from_secs(4));
    /// ```
    pub fn timeout(&self, expected: Duration) -> Duration {
        let ceiling = self.timeout_ceiling.max(self.timeout_floor);
        expected.saturating_mul(self.timeout_factor).clamp(self.timeout_floor, ceiling)
    }
}
