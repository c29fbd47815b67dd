//! What instances know of prompts that crash engines.

use std::{
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    time::Duration,
};

use goldcrestvale_base::{
    crash::Crash,
    domain,
    prompt::{Part, Parts},
    time::Instant,
};
use indexmap::IndexMap;

/// How long a report is known, so that it is not forwarded again: longer than it takes to reach all
/// instances.
const MEMORY: Duration = Duration::from_secs(2);

/// Maximum number of reports that are known.
const MAX_REPORTS: usize = 1_024;

domain! {
    value
    /// Prompts that an instance keeps from engines.
    pub struct Hold {
        /// The parts that all of them have.
        pub parts: Parts,
        /// Remaining time, in milliseconds.
        pub left_ms: u32,
    }

    /// What an instance knows of prompts that crash engines.
    #[derive(Default)]
    pub struct Evidence {
        /// Engines that ended, with the requests that may have caused it.
        pub crashes: Vec<Crash>,
        /// Parts under suspicion on which an engine has written an answer.
        pub sound: Vec<Part>,
        /// Prompts that the instance keeps from engines. Every instance sends its own, so they are not
        /// forwarded.
        pub holds: Vec<Hold>,
    }
}

/// The reports that were received or sent lately.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    known: IndexMap<u64, Instant>,
}

impl Reports {
    /// Records a report; returns whether it is new and must be forwarded to the peers.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::{prompt::Part, time::Instant};
    /// use goldcrestvale_member::evidence::{Evidence, Reports};
    ///
    /// let mut reports = Reports::default();
    /// let evidence = Evidence { sound: vec![Part(7)], ..Evidence::default() };
    /// assert!(reports.record(Instant(0), &evidence));
    /// assert!(!reports.record(Instant(10), &evidence));
    /// ```
    pub fn record(&mut self, now: Instant, evidence: &Evidence) -> bool {
        self.known.retain(|_, at| now.since(*at) < MEMORY);
        let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(evidence);
        if evidence.crashes.is_empty() && evidence.sound.is_empty() {
            return false;
        }
        self.known.len() < MAX_REPORTS && self.known.insert(hash, now).is_none()
    }
}
