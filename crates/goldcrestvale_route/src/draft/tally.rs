//! Counts of what a draft did.

goldcrestvale_base::domain! {
    value
    /// Counts of one draft, for metrics.
    #[derive(Default)]
    pub struct Tally {
        /// Steps sent, with those that were sent again.
        pub steps: u64,
        /// Answers and failures that did not carry an awaited name.
        pub ignored: u64,
        /// Positions times layers that ran on the way to a token.
        pub run: u64,
        /// Positions times layers that ran to rebuild KV caches.
        pub rebuilt: u64,
        /// Times that stages were rebuilt.
        pub rebuilds: u32,
        /// KV caches moved.
        pub moved: u32,
    }
}
