//! Counts of what a draft did.

goldcrestvale_base::domain! {
    value
    /// Counts of one draft, for metrics.
    #[derive(Default)]
    pub struct Stats {
        /// Steps sent, with those that were sent again.
        pub steps: u64,
        /// Answers and failures that did not carry an awaited name.
        pub ignored: u64,
        /// Positions times layers in the answers that counted.
        pub run: u64,
        /// Positions times layers that the committed tokens need, each layer once a position.
        pub needed: u64,
        /// Times that stages were rebuilt.
        pub rebuilds: u32,
        /// KV caches moved.
        pub moved: u32,
    }
}

impl Stats {
    /// Returns the positions times layers that ran to rebuild KV caches, or for a token that is
    /// not committed yet.
    pub fn rebuilt(&self) -> u64 {
        self.run.saturating_sub(self.needed)
    }
}
