//! Failover of streams whose chain has stopped.
//!
//! When a stage dies under full traffic, its streams would stall for longer than callers wait. All
//! of them must continue on other engines within that time.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

use super::{Chain, Engine, Model, alternate};

/// The decision for a stream whose chain has stopped.
#[derive(Debug, Clone, PartialEq)]
pub enum Failover {
    /// Every engine of the chain is present and holds its layers: the stream stays.
    Stay,
    /// The stream moves to another chain with the same first engine, which keeps its KV cache.
    Repath(Chain),
    /// The stream restarts on another chain, after the last event that the caller received.
    Resume,
    /// No chain can take the stream yet.
    Wait,
}

impl Failover {
    /// Decides for one stream on `chain`; `chains` are those that take new streams, and
    /// `may_resume` is whether the stream may run once more.
    ///
    /// A new path inside the domain repeats the prefill of the lost layers only, so it is
    /// preferred. Another complete chain repeats the whole prefill, and is preferred to a path that
    /// crosses domains twice: a hundred streams at once would fill the link between domains for
    /// longer than callers wait.
    pub fn new(
        model: &Model,
        engines: &[&Engine],
        chain: &Chain,
        chains: &[&Chain],
        may_resume: bool,
        now: Instant,
    ) -> Self {
        let usable_engines: Vec<&Engine> =
            engines.iter().copied().filter(|e| e.is_usable(now)).collect();
        let is_intact = |stage: &super::Stage| {
            let engine = engines.iter().find(|engine| engine.upstream == stage.upstream);
            engine.is_some_and(|engine| {
                engine.is_present() && engine.held.is_some_and(|held| held.covers(stage.layers))
            })
        };
        if chain.stages.iter().all(is_intact) {
            return Self::Stay;
        }
        if is_intact(chain.head())
            && let Some(path) = alternate(model, &usable_engines, chain, true)
        {
            return Self::Repath(path);
        }
        if may_resume
            && chains.iter().any(|other| other.crossings == 0 && other.head() != chain.head())
        {
            return Self::Resume;
        }
        if is_intact(chain.head())
            && let Some(path) = alternate(model, &usable_engines, chain, false)
        {
            return Self::Repath(path);
        }
        Self::Wait
    }
}

/// Returns how many of `count` streams should move now, so that all have moved within `window`.
///
/// Every stream that moves repeats its prefill. If all streams of a chain moved at once, the chains
/// that take them would pause all their own streams as well.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_route::pipeline::paced_count;
///
/// let (window, period) = (Duration::from_millis(500), Duration::from_millis(100));
/// assert_eq!(paced_count(50, Duration::ZERO, window, period), 10);
/// assert_eq!(paced_count(20, Duration::from_millis(400), window, period), 20);
/// ```
pub fn paced_count(count: usize, elapsed: Duration, window: Duration, period: Duration) -> usize {
    let remaining = window.saturating_sub(elapsed).as_secs_f64();
    let rounds = (remaining / period.as_secs_f64()).max(1.0);
    (count as f64 / rounds).ceil() as usize
}
