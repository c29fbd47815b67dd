//! The upstreams on which one request may have run.

use std::net::SocketAddr;

use goldcrestvale_base::{domain, id::Upstream};
use smallvec::SmallVec;

/// Number of ended upstreams that do not count. After more ends the request itself may be the cause.
const MAX_EXCUSED: u32 = 2;

domain! {
    value
    /// An upstream on which a request may have run.
    pub struct Run {
        /// The upstream.
        pub upstream: Upstream,
        /// Its address.
        pub address: SocketAddr,
        /// When this incarnation of it started, in milliseconds since the Unix epoch.
        pub born_ms: Option<u64>,
    }
}

/// The upstreams on which one request may have run, and which of them have ended since.
///
/// A route limits the number of upstreams at which a request may be in progress or have been run. One
/// that has ended holds nothing of the request any more, so it does not count.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::retry::{Run, Runs};
///
/// let address = "127.0.0.1:7201".parse().unwrap();
/// let run = Run { upstream: "engine-1".parse()?, address, born_ms: None };
/// let mut runs = Runs::default();
/// runs.insert(run.clone());
/// assert_eq!(runs.remaining(1), 0);
/// runs.record_end(&run);
/// assert_eq!(runs.remaining(1), 1);
/// assert!(!runs.is_empty());
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Runs {
    counted: SmallVec<[Run; 2]>,
    /// Number of upstreams whose runs do not count, since they have ended.
    excused: u32,
}

impl Runs {
    /// Records that the request is sent to an upstream, where it may run.
    pub fn insert(&mut self, run: Run) {
        self.counted.push(run);
    }

    /// Records that an upstream did not run the request that was last sent to it.
    pub fn remove(&mut self, upstream: &Upstream) {
        if let Some(index) = self.counted.iter().rposition(|run| run.upstream == *upstream) {
            self.counted.remove(index);
        }
    }

    /// Records that the incarnation of an upstream to which the request was sent has ended. Its runs
    /// no longer count, for the first upstreams that end.
    pub fn record_end(&mut self, ended: &Run) {
        let is_same = |run: &Run| run.upstream == ended.upstream && run.born_ms == ended.born_ms;
        if self.counted.iter().any(is_same) && self.excused < MAX_EXCUSED {
            self.counted.retain(|run| !is_same(run));
            self.excused += 1;
        }
    }

    /// Returns the runs that count.
    pub fn counted(&self) -> &[Run] {
        &self.counted
    }

    /// Returns whether the request has run nowhere.
    pub fn is_empty(&self) -> bool {
        self.counted.is_empty() && self.excused == 0
    }

    /// Returns how many more runs are allowed if `max` is the limit of the route.
    pub fn remaining(&self, max: u32) -> u32 {
        max.saturating_sub(u32::try_from(self.counted.len()).unwrap_or(u32::MAX))
    }
}
