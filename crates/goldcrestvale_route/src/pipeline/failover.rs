//! What becomes of a stream whose chain has stopped.
//!
//! The load it answers: a stage dies under full traffic, and its streams wait until the stall ends,
//! which is longer than callers wait. All of them must go on elsewhere within that time.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

use super::{Chain, Engine, Model, alternate};

/// What becomes of a stream whose chain has stopped.
#[derive(Debug, Clone, PartialEq)]
pub enum Failover {
    /// Every engine of the chain is usable: the stream stays.
    Stay,
    /// The stream moves to another chain with the same first engine, which keeps what it read.
    Repath(Chain),
    /// The stream starts again at another chain, after the last event that the caller has.
    Resume,
    /// Nothing can take the stream yet.
    Wait,
}

impl Failover {
    /// Decides for one stream; `lines` are the chains that take new streams, and `may_resume` says
    /// whether it may run once more.
    ///
    /// A new path inside the domain reads only the lost layers again, so it goes first. A whole
    /// other chain reads everything again, and goes before a path that crosses domains twice: a
    /// hundred streams at once would fill the pipe for longer than callers wait.
    pub fn new(
        model: &Model,
        engines: &[&Engine],
        chain: &Chain,
        chains: &[&Chain],
        may_resume: bool,
        now: Instant,
    ) -> Self {
        let present: Vec<&Engine> = engines.iter().copied().filter(|e| e.is_usable(now)).collect();
        let usable = |stage: &super::Stage| {
            let engine = engines.iter().find(|engine| engine.upstream == stage.upstream);
            engine.is_some_and(|engine| {
                engine.is_present() && engine.held.is_some_and(|held| held.covers(stage.layers))
            })
        };
        if chain.stages.iter().all(usable) {
            return Self::Stay;
        }
        if usable(chain.head())
            && let Some(path) = alternate(model, &present, chain, true)
        {
            return Self::Repath(path);
        }
        if may_resume
            && chains.iter().any(|other| other.crossings == 0 && other.head() != chain.head())
        {
            return Self::Resume;
        }
        if usable(chain.head())
            && let Some(path) = alternate(model, &present, chain, false)
        {
            return Self::Repath(path);
        }
        Self::Wait
    }
}

/// Returns how many of `count` streams are to move now, so that all have moved within `window`.
///
/// The load it answers: all streams of a chain move at once, and every one of them reads its prompt
/// again. The chains that take them would pause for all their own streams as well.
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
    let left = window.saturating_sub(elapsed).as_secs_f64();
    let rounds = (left / period.as_secs_f64()).max(1.0);
    (count as f64 / rounds).ceil() as usize
}
