//! Upstreams that some instance found not to answer, or not to take work.
//!
//! Unlike leaving, a silence passes by itself, since whoever saw it may be the one that is cut off.

use std::time::Duration;

use goldcrestvale_base::{domain, id::Upstream, time::Instant};
use indexmap::IndexMap;

/// Most upstreams that are tracked.
const MAX_UPSTREAMS: usize = 4_096;

/// Two statements whose ends lie closer together than this are the same one, heard over two ways.
const SAME: Duration = Duration::from_millis(500);

domain! {
    value
    /// A statement that an upstream is to be left alone.
    pub struct Silence {
        /// The upstream.
        pub upstream: Upstream,
        /// How much longer it is to be left alone, in milliseconds.
        pub left_ms: u32,
        /// Whether it answers but takes no new work.
        pub refuses: bool,
    }
}

/// The silences that were heard of.
#[derive(Debug, Clone, Default)]
pub struct Silences {
    until: IndexMap<(Upstream, bool), Instant>,
}

impl Silences {
    /// Notes a statement; returns whether it is news that others should hear.
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
            Some(known) if until.since(*known) < SAME => false,
            Some(known) => {
                *known = until;
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
