//! Counts of an engine.

use goldcrestvale_base::{domain, id::Request};

domain! {
    copy
    /// One layer that ran for the positions `from..to` of one attempt.
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
    /// Retried steps, answered with their stored answer.
    pub repeats: u64,
    /// Number of pairs of layer and position that ran.
    pub layer_runs: u64,
    /// Steps refused because earlier positions are missing or the positions ran already.
    pub gaps: u64,
    /// Requests refused for other causes.
    pub refusals: u64,
    /// Attempts dropped by a cancel.
    pub cancels: u64,
    /// KV caches exported.
    pub exports: u64,
    /// KV caches imported.
    pub imports: u64,
    /// Orders accepted.
    pub orders: u64,
    /// Orders that took effect although a higher fencing number was seen before.
    pub stale_orders: u64,
    /// KV caches in memory.
    pub caches: u64,
    /// All layer runs, with adjacent ranges of positions merged.
    pub runs: Vec<Run>,
    /// Positions of a layer that were skipped or ran twice within one attempt.
    pub violations: Vec<String>,
}
