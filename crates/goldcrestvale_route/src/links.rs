//! Whether an instance has lost its links to the upstreams while its peers may still have theirs.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::time::Instant;
use smallvec::SmallVec;

/// Number of different upstreams to which connections fail before the links count as lost.
const MIN_FAILED: usize = 3;

/// Minimum time without a new connection: upstreams that end together refuse connections as well,
/// and others accept some meanwhile.
const MIN_TIME: Duration = Duration::from_millis(200);

/// How long a failed connection counts.
const MEMORY: Duration = Duration::from_secs(5);

/// How long after the end of a cut the instance may still miss upstreams that answer again.
const RETURN_TIME: Duration = Duration::from_secs(5);

/// Minimum interval between attempts to reach an upstream during a cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval between such attempts until it is known whether the links are lost.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// The outcomes of the last attempts to connect to upstreams.
///
/// Only new connections count: during a cut those that exist may live on.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::links::Links;
///
/// let mut links = Links::default();
/// for number in 1..=3 {
///     links.record_failure(Instant(0), ([10, 0, 0, number], 80).into());
/// }
/// let now = Instant(0) + Duration::from_secs(1);
/// assert!(links.are_lost(now, 40));
/// links.record_success(now);
/// assert!(!links.are_lost(now, 40));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Links {
    /// Upstreams to which connections failed since the last one that did not.
    failed: SmallVec<[(SocketAddr, Instant); 4]>,
    /// Time of the first of these failures.
    since: Option<Instant>,
    /// When a cut was last seen.
    last_lost: Option<Instant>,
    last_probe: Option<Instant>,
}

impl Links {
    /// Records that a connection to an upstream was opened.
    pub fn record_success(&mut self, now: Instant) {
        self.update(now);
        self.failed.clear();
        self.since = None;
    }

    /// Records that no connection to an upstream could be opened.
    pub fn record_failure(&mut self, now: Instant, upstream: SocketAddr) {
        self.update(now);
        self.since.get_or_insert(now);
        self.failed.retain(|(failed, _)| *failed != upstream);
        if self.failed.len() >= MIN_FAILED {
            self.failed.remove(0);
        }
        self.failed.push((upstream, now));
    }

    /// Returns whether no upstream can be reached, of a known number of them.
    pub fn are_lost(&self, now: Instant, known: usize) -> bool {
        let since = self.since.is_some_and(|since| now.since(since) >= MIN_TIME);
        let failed = self.failed.iter().filter(|(_, at)| now.since(*at) < MEMORY).count();
        since && failed > 0 && failed >= MIN_FAILED.min(known)
    }

    /// Returns whether no upstream can be reached, or could a moment ago.
    pub fn were_lost(&self, now: Instant, known: usize) -> bool {
        self.are_lost(now, known)
            || self.last_lost.is_some_and(|lost| now.since(lost) < RETURN_TIME)
    }

    /// Returns whether an attempt to reach an upstream is due, to find out whether the links are lost or
    /// work again.
    pub fn is_probe_due(&mut self, now: Instant, known: usize) -> bool {
        let is_lost = self.are_lost(now, known);
        if is_lost {
            self.last_lost = Some(now);
        }
        let interval = match is_lost {
            true => PROBE_INTERVAL,
            false => FIRST_PROBE_INTERVAL,
        };
        let start = self.last_probe.max(self.since);
        let is_due =
            !self.failed.is_empty() && start.is_none_or(|start| now.since(start) >= interval);
        if is_due {
            self.last_probe = Some(now);
        }
        is_due
    }

    /// Returns whether a connection to an upstream has failed lately.
    pub fn has_failed(&self, upstream: SocketAddr) -> bool {
        self.failed.iter().any(|(failed, _)| *failed == upstream)
    }

    fn update(&mut self, now: Instant) {
        self.failed.retain(|(_, at)| now.since(*at) < MEMORY);
        if self.failed.is_empty() {
            self.since = None;
        }
    }
}
