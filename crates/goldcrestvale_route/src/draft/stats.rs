//! Statistics of a draft.

goldcrestvale_base::domain! {
    value
    /// Statistics of one draft, for metrics.
    #[derive(Default)]
    pub struct Stats {
        /// Steps sent, including retries.
        pub steps: u64,
        /// Answers and failures that matched no pending step.
        pub ignored: u64,
        /// Positions times layers in the accepted answers.
        pub run: u64,
        /// Positions times layers required for the committed tokens, each layer once per position.
        pub needed: u64,
        /// Number of rebuilds.
        pub rebuilds: u32,
        /// KV caches moved.
        pub moved: u32,
    }
}

impl Stats {
    /// Returns the positions times layers that ran to rebuild KV caches or for a token that is
    /// not yet committed.
    pub fn rebuilt(&self) -> u64 {
        self.run.saturating_sub(self.needed)
    }
}
