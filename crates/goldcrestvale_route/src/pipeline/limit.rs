//! Limits on the streams of a chain, learned from refusals.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

/// Streams by which a learned limit rises per second: about a third of those that end on a full
/// chain in that time, since several instances learn limits of the same chain.
const LIMIT_GROWTH_PER_S: f64 = 10.0;

/// How long a shared limit applies. It rises above the capacity of its chain before that, so that
/// its end does not let all instances send at once.
pub const SHARED_LIMIT_TTL: Duration = Duration::from_secs(8);

/// Time after which a shared limit is back at the streams of the refusal. Each rise costs the chain
/// one or two refusals, so this time keeps them below 2 in 100 of its arrivals.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Distance of a shared limit from the streams of the refusal, as a multiple of their square root.
/// The memory that a number of streams takes varies by the root of the number. In the replay tests,
/// twice this distance leaves more than a tenth of the memory unused with 84 instances.
const SHARED_BACKOFF: f64 = 0.5;

/// Time after which a shared limit rises faster: about the time of an average stream, in which the
/// streams of the refusal have ended.
const FAST_GROWTH_AFTER: Duration = Duration::from_secs(5);

/// Share by which a shared limit rises per second then, and share by which this rate rises in each
/// second. Faster growth lets several instances exceed the capacity at once.
const FAST_GROWTH: [f64; 2] = [0.05, 0.1];

/// Minimum number of streams that the growth of a shared limit is calculated from.
const MIN_GROWTH_BASE: f64 = 20.0;

/// Smallest share of the streams that an instance counts on a chain to which a limit from a peer
/// may lower them.
const MIN_PEER_LIMIT: f64 = 0.75;

/// An upper bound on the streams of a chain, learned from a refusal.
///
/// When many callers return at once, every chain is short of memory for a moment. A chain that
/// refused a stream is limited to the streams it holds at that time, and the limit then rises. If
/// the chain were excluded instead, all streams would go to the next one, until no chain is left.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::pipeline::Limit;
///
/// let limit = Limit { streams: 60, token_capacity: 80_000.0, at: Instant(0) };
/// assert_eq!(limit.max_streams(80_000.0, Instant(0)), 60.0);
/// assert_eq!(limit.max_streams(120_000.0, Instant(0)), 90.0);
/// assert!(limit.max_streams(80_000.0, Instant(0) + Duration::from_secs(1)) > 65.0);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Streams on the chain when it refused one.
    pub streams: u32,
    /// Tokens that the chain could hold then.
    pub token_capacity: f64,
    /// When it refused.
    pub at: Instant,
}

impl Limit {
    /// Returns the number of streams that the chain may hold now, given the tokens that it can hold.
    ///
    /// This is for a limit that each instance learns by itself.
    ///
    /// A chain that was refused a stream while one of its engines moved layers has more capacity
    /// afterwards.
    pub fn max_streams(&self, token_capacity: f64, now: Instant) -> f64 {
        let growth = (token_capacity / self.token_capacity.max(1.0)).max(1.0);
        let passed = now.since(self.at).as_secs_f64();
        f64::from(self.streams) * growth + passed * LIMIT_GROWTH_PER_S
    }

    /// Returns the number of streams that the chain may hold now if all instances share the limit;
    /// `None` once it no longer applies.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_route::pipeline::Limit;
    ///
    /// let limit = Limit { streams: 100, token_capacity: 80_000.0, at: Instant(0) };
    /// let after = |seconds| Instant(0) + Duration::from_secs(seconds);
    /// assert!(limit.max_shared_streams(80_000.0, after(0)) < Some(100.0));
    /// assert!(limit.max_shared_streams(80_000.0, after(5)) > Some(100.0));
    /// assert_eq!(limit.max_shared_streams(80_000.0, after(9)), None);
    /// ```
    pub fn max_shared_streams(&self, token_capacity: f64, now: Instant) -> Option<f64> {
        let passed = now.since(self.at);
        if passed >= SHARED_LIMIT_TTL {
            return None;
        }
        let scale = (token_capacity / self.token_capacity.max(1.0)).max(1.0);
        let streams = f64::from(self.streams);
        let base = streams.max(MIN_GROWTH_BASE);
        let recovered = passed.as_secs_f64() / RECOVERY_TIME.as_secs_f64();
        let distance = SHARED_BACKOFF * base.sqrt() * (recovered * recovered - 1.0);
        let late = passed.saturating_sub(FAST_GROWTH_AFTER).as_secs_f64();
        let fast = base * late * (FAST_GROWTH[0] + FAST_GROWTH[1] * late);
        Some((streams * scale + distance + fast).max(1.0))
    }

    /// Returns this limit of a peer as an instance applies it that has `own` of `streams` streams
    /// on the chain; `None` if its own limit is as new.
    ///
    /// A false limit lowers the use of the chain by a quarter at most. The chain itself stays the
    /// one that refuses.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_route::pipeline::Limit;
    ///
    /// let limit = |streams, at| Limit { streams, token_capacity: 80_000.0, at: Instant(at) };
    /// let applied = limit(0, 5).from_peer(8, 100, Some(limit(90, 1))).expect("it is newer");
    /// assert_eq!(applied.streams, 75);
    /// assert!(limit(0, 5).from_peer(8, 100, Some(limit(90, 9))).is_none());
    /// ```
    pub fn from_peer(self, own: u32, streams: u32, current: Option<Self>) -> Option<Self> {
        let is_newer = current.is_none_or(|current| current.at < self.at);
        let least = (f64::from(streams) * MIN_PEER_LIMIT) as u32;
        is_newer.then(|| Self { streams: self.streams.max(own).max(least), ..self })
    }
}
