//! Upstreams that some instance found not to respond, or to reject new work.
//!
//! Unlike leaving, silence expires by itself, since the instance that reported it may be the one
//! that is partitioned.

use std::time::Duration;

use goldcrestvale_base::{domain, id::Upstream, time::Instant};
use indexmap::IndexMap;

/// Maximum number of tracked upstreams, counted once for each kind of report.
const MAX_UPSTREAMS: usize = 4_096;

/// Two reports whose ends differ by less than this are one report, received over two paths.
const DUPLICATE_WINDOW: Duration = Duration::from_millis(500);

domain! {
    value
    /// A report that an upstream must not be used for a while.
    pub struct Silence {
        /// The upstream.
        pub upstream: Upstream,
        /// Remaining time, in milliseconds, during which it must not be used.
        pub left_ms: u32,
        /// Whether it responds but rejects new work.
        pub refuses: bool,
    }
}

/// The silent upstreams that were reported, and until when.
#[derive(Debug, Clone, Default)]
pub struct Silences {
    until: IndexMap<(Upstream, bool), Instant>,
}

impl Silences {
    /// Records a report; returns whether it is new and must be forwarded to the peers.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_member::silence::{Silence, Silences};
    ///
    /// let mut silences = Silences::default();
    /// let silence = Silence { upstream: "engine-1".parse()?, left_ms: 3_000, refuses: false };
    /// assert!(silences.record(Instant(0), &silence));
    /// assert!(!silences.record(Instant(10), &silence));
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    pub fn record(&mut self, now: Instant, silence: &Silence) -> bool {
        self.until.retain(|_, until| *until > now);
        let until = now + Duration::from_millis(silence.left_ms.into());
        let key = (silence.upstream.clone(), silence.refuses);
        let is_full = self.until.len() >= MAX_UPSTREAMS;
        match self.until.get_mut(&key) {
            Some(recorded) if until.since(*recorded) < DUPLICATE_WINDOW => false,
            Some(recorded) => {
                *recorded = until;
                true
            }
            None if is_full => false,
            None => {
                self.until.insert(key, until);
                true
            }
        }
    }
}
