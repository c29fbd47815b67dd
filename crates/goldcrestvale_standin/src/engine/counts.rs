//! Counts of an engine.

use goldcrestvale_base::{domain, id::Request};

domain! {
    copy
    /// One layer run for the positions `from..to` of one attempt.
    pub struct Run {
        /// The caller's request.
        pub request: Request,
        /// The attempt.
        pub attempt: u32,
        /// The layer.
        pub layer: u32,
        /// First position.
        pub from: u32,
        /// One past the last position.
        pub to: u32,
    }
}

/// Counts of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Steps run.
    pub steps: u64,
    /// Steps answered from memory because they were repeated.
    pub repeats: u64,
    /// Pairs of layer and position that were run.
    pub layer_runs: u64,
    /// Steps refused because positions before them were missing or were run already.
    pub gaps: u64,
    /// Requests refused for another cause.
    pub refusals: u64,
    /// Attempts dropped by a cancel.
    pub cancels: u64,
    /// KV caches exported.
    pub exports: u64,
    /// KV caches imported.
    pub imports: u64,
    /// Orders accepted.
    pub orders: u64,
    /// Orders that took effect although their fencing number was older than one seen.
    pub stale_orders: u64,
    /// KV caches in memory.
    pub caches: u64,
    /// Every layer run, with neighbouring positions joined.
    pub runs: Vec<Run>,
    /// Gaps and repeats of a layer within one attempt.
    pub violations: Vec<String>,
}
