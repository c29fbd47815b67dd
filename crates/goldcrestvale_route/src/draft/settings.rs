//! Settings of drafts.

use std::time::Duration;

goldcrestvale_base::domain! {
    copy
    /// How a lost stage is rebuilt.
    #[serde(rename_all = "kebab-case")]
    pub enum Recovery {
        /// Only the lost stage, from the nearest retained activations before it.
        Stage,
        /// The whole prefix on a new chain.
        Whole,
    }
}

goldcrestvale_base::domain! {
    value
    /// Settings that drafts share.
    #[serde(default)]
    pub struct Settings {
        /// How a lost stage is rebuilt.
        #[serde(rename = "way")]
        pub recovery: Recovery,
        /// Whether the KV cache of a leaving engine is moved before the stage is rebuilt.
        pub moves: bool,
        /// Bytes of boundary activations that one draft may retain.
        pub retain_bytes: usize,
        /// Most positions of one step whose outputs the next stage waits for.
        pub chunk: u32,
        /// Multiple of the expected step time after which a step counts as lost.
        pub timeout_factor: u32,
        /// Shortest timeout of a step.
        pub timeout_floor: Duration,
        /// Longest timeout of a step.
        pub timeout_ceiling: Duration,
        /// Time after which the move of a KV cache counts as failed.
        pub move_timeout: Duration,
        /// Pause before a step is sent again to a busy engine.
        pub busy_pause: Duration,
        /// Times that a step is sent to an engine that is busy or whose connection broke.
        pub tries: u32,
        /// Time for which a draft does not use an engine that failed it.
        pub avoid: Duration,
        /// Times that stages of one draft may be rebuilt.
        pub rebuilds: u32,
        /// Time after which a failed draft may be asked for again.
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
    /// Returns the timeout of a step of an expected time.
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
        let most = self.timeout_ceiling.max(self.timeout_floor);
        expected.saturating_mul(self.timeout_factor).clamp(self.timeout_floor, most)
    }
}
