//! Decides from which peer a newer configuration is requested, and when.

use std::time::Duration;

use goldcrestvale_base::{id::Instance, time::Instant};
use smallvec::SmallVec;

/// Maximum number of peers remembered that offer the newest version.
const MAX_CANDIDATES: usize = 8;

/// Part of the operator's bound for which an answer may make no progress before another peer is
/// requested to send the version as well.
const STALL_PART: u32 = 8;

/// Part of the operator's bound for which a version that peers of other failure domains offer may come
/// from the own one. Bytes between failure domains are expensive.
const FAR_PART: u32 = 6;

/// A version that a peer offers.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'o> {
    /// The peer.
    pub from: &'o Instance,
    /// The version.
    pub version: u64,
    /// Whether the peer is in the own failure domain.
    pub is_near: bool,
}

/// A request for a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The peer to send it to.
    pub to: Instance,
    /// The lowest version that is requested.
    pub version: u64,
}

/// The request whose answer is expected.
#[derive(Debug, Clone)]
struct Pending {
    request: Request,
    /// When it was sent or its answer last made progress.
    progress: Instant,
    /// Whether a part of the answer arrived.
    is_answered: bool,
}

/// The requests of this instance for newer versions of the configuration.
///
/// Every peer offers a new version, so that an instance would receive it many times. It requests the
/// version from one of them at a time, and from another one only if the answer makes no progress:
/// the time of a transfer depends on the size of the configuration and on the links.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_member::config_request::{Offer, Request, Requests};
///
/// let peer = "bole-1".parse()?;
/// let mut requests = Requests::new(Duration::from_secs(3), 0);
/// let offer = Offer { from: &peer, version: 7, is_near: true };
/// let request = Request { to: peer.clone(), version: 7 };
/// assert_eq!(requests.receive(offer, Instant(0)), Some(request));
/// assert_eq!(requests.receive(offer, Instant(0)), None);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Requests {
    /// Decides which of several peers is requested.
    draw: usize,
    stall: Duration,
    far_delay: Duration,
    held: u64,
    near: Offers,
    far: Offers,
    /// Since when only other failure domains offer a newer version.
    far_since: Option<Instant>,
    pending: Option<Pending>,
}

/// The newest version that a group of peers offers.
#[derive(Debug, Clone, Default)]
struct Offers {
    version: u64,
    /// The last peers that offered it.
    peers: SmallVec<[Instance; MAX_CANDIDATES]>,
}

impl Offers {
    fn add(&mut self, offer: Offer<'_>) {
        if offer.version > self.version {
            self.version = offer.version;
            self.peers.clear();
        }
        if offer.version == self.version && !self.peers.contains(offer.from) {
            if self.peers.len() == MAX_CANDIDATES {
                self.peers.remove(0);
            }
            self.peers.push(offer.from.clone());
        }
    }

    /// Returns the request to one of the peers, another one than `silent` if there is one; `draw`
    /// spreads the instances over the peers.
    fn choose(&self, silent: Option<&Instance>, draw: usize) -> Option<Request> {
        let others = || self.peers.iter().filter(|peer| Some(*peer) != silent);
        let index = draw.checked_rem(others().count());
        let to = index.map_or_else(|| self.peers.last(), |index| others().nth(index))?.clone();
        Some(Request { to, version: self.version })
    }
}

impl Requests {
    /// Creates the state of an instance whose operator expects a version in force after `bound`.
    /// Instances with different draws request a version from different peers.
    pub fn new(bound: Duration, draw: usize) -> Self {
        Self {
            draw,
            stall: bound / STALL_PART,
            far_delay: bound / FAR_PART,
            held: 0,
            near: Offers::default(),
            far: Offers::default(),
            far_since: None,
            pending: None,
        }
    }

    /// Records an offer; returns the request to send, if there is one.
    pub fn receive(&mut self, offer: Offer<'_>, now: Instant) -> Option<Request> {
        if offer.version <= self.held {
            return None;
        }
        match offer.is_near {
            true => self.near.add(offer),
            false => self.far.add(offer),
        }
        self.next(now)
    }

    /// Returns whether no peer of the own failure domain has offered a version or a newer one yet.
    pub fn is_unknown(&self, version: u64) -> bool {
        version > self.held.max(self.near.version)
    }

    /// Records that a part of an answer arrived.
    pub fn record_part(&mut self, from: &Instance, now: Instant) {
        if let Some(pending) = self.pending.as_mut().filter(|it| it.request.to == *from) {
            pending.progress = now;
            pending.is_answered = true;
        }
    }

    /// Records that the answer of a peer is complete, and the version that is in force now; returns
    /// the request for a newer version that was offered meanwhile.
    pub fn record_answer(&mut self, from: &Instance, held: u64, now: Instant) -> Option<Request> {
        if self.pending.as_ref().is_some_and(|it| it.request.to == *from) {
            self.pending = None;
        }
        self.record_held(held, now)
    }

    /// Records the version in force; returns the request for a newer one that was offered.
    pub fn record_held(&mut self, held: u64, now: Instant) -> Option<Request> {
        self.held = self.held.max(held);
        if self.pending.as_ref().is_some_and(|it| it.request.version <= self.held) {
            self.pending = None;
        }
        self.next(now)
    }

    /// Returns whether a newer version is arriving. A request that is not answered yet does not count.
    pub fn is_receiving(&self, now: Instant) -> bool {
        self.is_waiting(now) && self.pending.as_ref().is_some_and(|it| it.is_answered)
    }

    fn is_waiting(&self, now: Instant) -> bool {
        self.pending.as_ref().is_some_and(|it| now.since(it.progress) < self.stall)
    }

    fn next(&mut self, now: Instant) -> Option<Request> {
        let is_far = self.far.version > self.held.max(self.near.version);
        let far_since = is_far.then(|| self.far_since.unwrap_or(now));
        self.far_since = far_since;
        if self.is_waiting(now) {
            return None;
        }
        let is_late = far_since.is_some_and(|since| now.since(since) >= self.far_delay);
        let offers = match self.near.version > self.held {
            _ if is_late => &self.far,
            true => &self.near,
            false => return None,
        };
        let silent = self.pending.as_ref().map(|it| &it.request.to);
        self.draw = self.draw.wrapping_add(1);
        let request = offers.choose(silent, self.draw)?;
        self.pending =
            Some(Pending { request: request.clone(), progress: now, is_answered: false });
        Some(request)
    }
}
