//! The memory that requests and answers of callers hold together.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use goldcrestvale_base::time::Instant;
use smallvec::SmallVec;

/// Size up to which a holder counts as small, in bytes.
const SMALL_BYTES: u64 = 64 << 10;

/// Shortest and longest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Age from which a holder gives way to a new connection.
const MIN_YIELDING_AGE: Duration = Duration::from_millis(500);

/// Time without a read after which an answer counts as unread. Callers on slow links read in steps: the
/// system takes the next bytes once it has sent a part of its buffer.
const MAX_READ_PAUSE: Duration = Duration::from_secs(2);

goldcrestvale_base::domain! {
    copy
    /// Identifies a holder.
    #[serde(transparent)]
    pub struct Ticket(pub u64);

    /// The customer that a holder counts for.
    #[serde(transparent)]
    pub struct Owner(pub u64);
}

impl Owner {
    /// Returns the owner with a name.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_route::intake::Owner;
    ///
    /// assert_eq!(Owner::named("family"), Owner::named("family"));
    /// assert_ne!(Owner::named("family"), Owner::named("neighbours"));
    /// ```
    pub fn named(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Holders that are to give way.
pub type Yielding = SmallVec<[Ticket; 4]>;

/// Whether a holder may take more memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It may, and the memory counts.
    Granted,
    /// It has to wait until holders that are giving way have ended; these begin to.
    Wait(Yielding),
    /// It may not; there may be room after the time.
    Refused(Duration),
}

/// The memory that callers' requests and answers hold, within a total.
///
/// One half is for small holders and the other for large ones, so that large bodies never take the
/// room of small ones. Bodies that are arriving and answers that are not read can give way; those
/// that were received completely cannot, since their requests may run. Once a half is used up, the
/// holders of the customer that holds most give way, first the one that has held most for longest:
/// its bytes multiplied by its age.
///
/// An answer that is being read does not give way: its request has run, and its memory is free soon.
/// The answers of other requests wait for that, in the order in which they began; requests are
/// refused.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::intake::{Budget, Decision, Owner};
///
/// let mut budget = Budget::new(2_000);
/// let until = Instant(0) + Duration::from_secs(5);
/// let stalled = budget.enter(Instant(0), until, Owner(1));
/// budget.set_yields(stalled, true);
/// assert_eq!(budget.grow(Instant(0), stalled, 900), Decision::Granted);
///
/// let other = budget.enter(Instant(10), until, Owner(1));
/// let decision = budget.grow(Instant(10), other, 300);
/// assert!(matches!(decision, Decision::Wait(yielding) if yielding[..] == [stalled]));
/// budget.leave(stalled);
/// assert_eq!(budget.grow(Instant(20), other, 300), Decision::Granted);
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    half: u64,
    holders: BTreeMap<Ticket, Holder>,
    next: u64,
    /// Number of holders that wait.
    waiting: usize,
    small: Pool,
    large: Pool,
}

#[derive(Debug, Clone, Copy)]
struct Holder {
    owner: Owner,
    bytes: u64,
    /// Whether it has ever held more than a small holder does.
    is_large: bool,
    since: Instant,
    until: Instant,
    /// Whether it can give way.
    yields: bool,
    /// Whether it is giving way.
    is_leaving: bool,
    /// When the caller last read of the answer; `None` for a body, and for an answer that is being
    /// received.
    read_at: Option<Instant>,
    /// Whether it is an answer, which waits for memory: its request has run.
    is_patient: bool,
    /// Whether it waits, and if so, for the half of large holders.
    waits_for_large: Option<bool>,
}

impl Holder {
    /// Returns whether it is an answer that its caller is reading.
    fn is_read(&self, now: Instant) -> bool {
        self.read_at.is_some_and(|at| now.since(at) < MAX_READ_PAUSE)
    }

    /// Returns whether its memory becomes free without its giving way, and without that of another.
    fn is_ending(&self, now: Instant) -> bool {
        self.waits_for_large.is_none() && (self.is_read(now) || !self.yields)
    }
}

#[derive(Debug, Clone, Default)]
struct Pool {
    bytes: u64,
    /// Bytes of the holders that are giving way.
    leaving: u64,
    owners: HashMap<Owner, u64>,
}

/// Order in which holders give way: the last one first.
type Rank = (u64, u128);

impl Budget {
    /// Creates a budget of a total in bytes.
    pub fn new(total: u64) -> Self {
        Self {
            half: total / 2,
            holders: BTreeMap::new(),
            next: 0,
            waiting: 0,
            small: Pool::default(),
            large: Pool::default(),
        }
    }

    /// Adds a holder that holds nothing yet and ends by `until`.
    pub fn enter(&mut self, now: Instant, until: Instant, owner: Owner) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let holder = Holder {
            owner,
            bytes: 0,
            is_large: false,
            since: now,
            until,
            yields: false,
            is_leaving: false,
            read_at: None,
            is_patient: false,
            waits_for_large: None,
        };
        self.holders.insert(ticket, holder);
        ticket
    }

    /// Sets whether a holder can give way. Fails, and returns `false`, for a holder that is giving way:
    /// others wait for its memory.
    pub fn set_yields(&mut self, ticket: Ticket, yields: bool) -> bool {
        let holder = self.holders.get_mut(&ticket).filter(|holder| !holder.is_leaving);
        let Some(holder) = holder else { return false };
        holder.yields = yields;
        true
    }

    /// Lets a holder wait for memory in place of being refused: it is the answer of a request that has
    /// run.
    pub fn set_patient(&mut self, ticket: Ticket) {
        if let Some(holder) = self.holders.get_mut(&ticket) {
            holder.is_patient = true;
        }
    }

    /// Records that a holder is an answer of which its caller last read at a time. It can give way
    /// unless the caller goes on reading.
    pub fn record_read(&mut self, ticket: Ticket, at: Instant) {
        if let Some(holder) = self.holders.get_mut(&ticket) {
            holder.yields = true;
            holder.read_at = Some(at);
        }
    }

    /// Returns whether there is room for more memory of a holder without any giving way.
    pub fn has_room(&self, ticket: Ticket, bytes: u64) -> bool {
        let Some(holder) = self.holders.get(&ticket) else { return false };
        let size = holder.bytes + bytes;
        let is_large = holder.is_large || size > SMALL_BYTES;
        let added = if is_large == holder.is_large { bytes } else { size };
        self.pool(is_large).bytes + added <= self.half
    }

    /// Asks for more memory for a holder.
    pub fn grow(&mut self, now: Instant, ticket: Ticket, bytes: u64) -> Decision {
        let Some(holder) = self.holders.get_mut(&ticket) else {
            return Decision::Refused(MIN_RETRY_AFTER);
        };
        self.waiting -= usize::from(holder.waits_for_large.take().is_some());
        let holder = *holder;
        let size = holder.bytes + bytes;
        let grown =
            Holder { bytes: size, is_large: holder.is_large || size > SMALL_BYTES, ..holder };
        let added = if grown.is_large == holder.is_large { bytes } else { size };
        if holder.is_leaving || added > self.half {
            return Decision::Refused(self.retry_after(now, &grown));
        }
        if grown.is_patient && self.is_preceded(ticket, grown.is_large) {
            return self.wait(ticket, grown.is_large);
        }
        let pool = self.pool(grown.is_large);
        let missing = (pool.bytes + added).saturating_sub(self.half);
        if missing == 0 {
            self.resize(ticket, size);
            return Decision::Granted;
        }
        let Some(missing) = missing.checked_sub(pool.leaving).filter(|missing| *missing > 0) else {
            return Decision::Wait(Yielding::new());
        };
        match self.choose(now, ticket, &grown, missing) {
            Some(yielding) => {
                yielding.iter().for_each(|ticket| self.set_leaving(*ticket));
                Decision::Wait(yielding)
            }
            None if grown.is_patient && self.is_any_ending(now, ticket, grown.is_large) => {
                self.wait(ticket, grown.is_large)
            }
            None => Decision::Refused(self.retry_after(now, &grown)),
        }
    }

    /// Returns whether an earlier answer waits for memory of this half.
    fn is_preceded(&self, ticket: Ticket, is_large: bool) -> bool {
        let mut earlier = self.holders.range(..ticket);
        self.waiting > 0 && earlier.any(|(_, holder)| holder.waits_for_large == Some(is_large))
    }

    /// Returns whether memory of this half becomes free by itself.
    fn is_any_ending(&self, now: Instant, own: Ticket, is_large: bool) -> bool {
        let others = self.holders.iter().filter(|(ticket, _)| **ticket != own);
        let mut same_half = others.filter(|(_, holder)| holder.is_large == is_large);
        same_half.any(|(_, holder)| holder.bytes > 0 && holder.is_ending(now))
    }

    fn wait(&mut self, ticket: Ticket, is_large: bool) -> Decision {
        if let Some(holder) = self.holders.get_mut(&ticket) {
            holder.waits_for_large = Some(is_large);
            self.waiting += 1;
        }
        Decision::Wait(Yielding::new())
    }

    /// Sets the memory of a holder that needs less.
    pub fn shrink(&mut self, ticket: Ticket, bytes: u64) {
        if self.holders.get(&ticket).is_some_and(|holder| bytes < holder.bytes) {
            self.resize(ticket, bytes);
        }
    }

    /// Removes a holder.
    pub fn leave(&mut self, ticket: Ticket) {
        self.resize(ticket, 0);
        let holder = self.holders.remove(&ticket);
        self.waiting -= usize::from(holder.is_some_and(|holder| holder.waits_for_large.is_some()));
    }

    /// Chooses the holder that gives way to a new connection, if there is one.
    pub fn make_way(&mut self, now: Instant) -> Option<Ticket> {
        let is_old = |holder: &&Holder| now.since(holder.since) >= MIN_YIELDING_AGE;
        let candidates = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.yields && !holder.is_leaving && is_old(holder))
            .filter(|(_, holder)| !holder.is_read(now));
        let (ticket, _) = candidates.max_by_key(|(_, holder)| self.rank(now, holder))?;
        let ticket = *ticket;
        self.set_leaving(ticket);
        Some(ticket)
    }

    /// Returns the memory that all holders take, in bytes.
    pub fn held(&self) -> u64 {
        self.small.bytes + self.large.bytes
    }

    /// Returns the total, in bytes.
    pub fn total(&self) -> u64 {
        2 * self.half
    }

    /// Returns the number of holders.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Chooses holders that give way until `missing` bytes are free; `None` if there are not enough
    /// that rank after the one that asks.
    fn choose(&self, now: Instant, own: Ticket, grown: &Holder, missing: u64) -> Option<Yielding> {
        let own_rank = self.rank(now, grown);
        let mut candidates: Vec<(Rank, Ticket, u64)> = self
            .holders
            .iter()
            .filter(|(ticket, holder)| {
                let is_same_half = holder.is_large == grown.is_large;
                let can_yield = holder.yields && !holder.is_leaving && !holder.is_read(now);
                **ticket != own && can_yield && is_same_half
            })
            .map(|(ticket, holder)| (self.rank(now, holder), *ticket, holder.bytes))
            .filter(|(rank, _, _)| *rank >= own_rank || !grown.yields)
            .collect();
        candidates.sort_unstable();
        let mut yielding = Yielding::new();
        let mut freed = 0;
        while freed < missing {
            let (_, ticket, bytes) = candidates.pop()?;
            yielding.push(ticket);
            freed += bytes;
        }
        Some(yielding)
    }

    fn rank(&self, now: Instant, holder: &Holder) -> Rank {
        let age = now.since(holder.since).as_micros();
        let owned = self.pool(holder.is_large).owners.get(&holder.owner).copied().unwrap_or(0);
        (owned, u128::from(holder.bytes) * age)
    }

    /// Returns when the first of the holders ends at the latest.
    fn retry_after(&self, now: Instant, asking: &Holder) -> Duration {
        let same_half = self.holders.values().filter(|h| h.is_large == asking.is_large);
        let left = same_half.map(|holder| holder.until.since(now)).min();
        left.unwrap_or(MAX_RETRY_AFTER).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn set_leaving(&mut self, ticket: Ticket) {
        let Some(holder) = self.holders.get_mut(&ticket) else { return };
        holder.is_leaving = true;
        let Holder { bytes, is_large, .. } = *holder;
        self.pool_mut(is_large).leaving += bytes;
    }

    fn resize(&mut self, ticket: Ticket, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&ticket) else { return };
        let before = *holder;
        holder.bytes = bytes;
        holder.is_large |= bytes > SMALL_BYTES;
        let after = *holder;
        self.pool_mut(before.is_large).remove(&before);
        self.pool_mut(after.is_large).add(&after);
    }

    fn pool(&self, is_large: bool) -> &Pool {
        if is_large { &self.large } else { &self.small }
    }

    fn pool_mut(&mut self, is_large: bool) -> &mut Pool {
        if is_large { &mut self.large } else { &mut self.small }
    }
}

impl Pool {
    fn add(&mut self, holder: &Holder) {
        self.bytes += holder.bytes;
        self.leaving += if holder.is_leaving { holder.bytes } else { 0 };
        if holder.bytes > 0 {
            *self.owners.entry(holder.owner).or_default() += holder.bytes;
        }
    }

    fn remove(&mut self, holder: &Holder) {
        self.bytes -= holder.bytes;
        self.leaving -= if holder.is_leaving { holder.bytes } else { 0 };
        if let Some(owned) = self.owners.get_mut(&holder.owner) {
            *owned -= holder.bytes;
            if *owned == 0 {
                self.owners.remove(&holder.owner);
            }
        }
    }
}
