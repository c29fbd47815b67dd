//! Callers that were refused and told when to return.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use goldcrestvale_base::{content::Content, time::Instant};

/// How long a refusal is remembered: longer than callers wait for an answer.
const MEMORY: Duration = Duration::from_secs(30);

/// Maximum number of refusals that are remembered.
const MAX_REFUSALS: usize = 4_096;

/// Rounding of the delays that callers receive.
const ROUNDING: Duration = Duration::from_millis(1);

/// Recognizes callers that return after the delay of a refusal.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::{content::Content, time::Instant};
/// use goldcrestvale_route::contention::Returns;
///
/// let (caller, delay) = (Content::of(&[b"family"]), Duration::from_millis(300));
/// let mut returns = Returns::default();
/// returns.record_refusal(Instant(0), caller, delay);
/// assert!(returns.take(Instant(0) + delay, caller));
/// assert!(!returns.take(Instant(0) + delay, caller));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Returns {
    refusals: HashMap<Content, Refusal>,
    /// The oldest refusal first.
    order: VecDeque<(Content, Instant)>,
}

#[derive(Debug, Clone, Copy)]
struct Refusal {
    at: Instant,
    earliest_return: Instant,
}

impl Returns {
    /// Records that a caller was refused; returns whether an older refusal had to be dropped.
    pub fn record_refusal(&mut self, now: Instant, caller: Content, delay: Duration) -> bool {
        self.remove_expired(now);
        let is_dropped = self.order.len() >= MAX_REFUSALS;
        if is_dropped {
            self.remove_oldest();
        }
        let earliest_return = now + delay.saturating_sub(ROUNDING);
        self.refusals.insert(caller, Refusal { at: now, earliest_return });
        self.order.push_back((caller, now));
        is_dropped
    }

    /// Returns whether a caller returns after the delay of its refusal, and forgets the refusal. One
    /// that repeats earlier counts as new.
    pub fn take(&mut self, now: Instant, caller: Content) -> bool {
        let refusal = self.refusals.remove(&caller);
        refusal
            .is_some_and(|refusal| now >= refusal.earliest_return && now.since(refusal.at) < MEMORY)
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(_, at)| now.since(*at) >= MEMORY) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((caller, at)) = self.order.pop_front() else { return };
        if self.refusals.get(&caller).is_some_and(|refusal| refusal.at == at) {
            self.refusals.remove(&caller);
        }
    }
}
