//! What instances know of prompts and requests that crash upstreams.

use std::{
    hash::{BuildHasher, BuildHasherDefault, DefaultHasher},
    time::Duration,
};

use goldcrestvale_base::{
    content::Content,
    crash::Crash,
    domain,
    id::Upstream,
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

    /// The end of an upstream under a request.
    pub struct End {
        /// The upstream.
        pub upstream: Upstream,
        /// When this incarnation of it started, in milliseconds since the Unix epoch.
        pub born_ms: Option<u64>,
        /// How long ago it ended, in milliseconds.
        pub age_ms: u32,
    }

    /// A request that was not answered since upstreams ended under it.
    pub struct Suspect {
        /// The request.
        pub request: Content,
        /// The ends of upstreams under it.
        pub ends: Vec<End>,
    }

    /// A request that an instance keeps from upstreams.
    pub struct RequestHold {
        /// The request.
        pub request: Content,
        /// Remaining time, in milliseconds.
        pub left_ms: u32,
    }

    /// What an instance knows of prompts and requests that crash upstreams.
    #[derive(Default)]
    pub struct Evidence {
        /// Engines that ended, with the requests that may have caused it.
        pub crashes: Vec<Crash>,
        /// Parts under suspicion on which an engine has written an answer.
        pub sound: Vec<Part>,
        /// Prompts that the instance keeps from engines. Every instance sends its own, so they are not
        /// forwarded.
        pub holds: Vec<Hold>,
        /// Requests under suspicion.
        pub suspects: Vec<Suspect>,
        /// Requests under suspicion that were answered.
        pub answered: Vec<Content>,
        /// Requests that the instance keeps from upstreams; not forwarded either.
        pub request_holds: Vec<RequestHold>,
    }
}

impl Evidence {
    /// Returns whether it reports anything beside what the instance keeps from upstreams, which
    /// every instance sends by itself.
    fn is_forwarded(&self) -> bool {
        !(self.crashes.is_empty()
            && self.sound.is_empty()
            && self.suspects.is_empty()
            && self.answered.is_empty())
    }

    /// Returns whether it names anything that the instance keeps from upstreams.
    pub(crate) fn has_holds(&self) -> bool {
        !(self.holds.is_empty() && self.request_holds.is_empty())
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
        if !evidence.is_forwarded() {
            return false;
        }
        self.known.len() < MAX_REPORTS && self.known.insert(hash, now).is_none()
    }
}
