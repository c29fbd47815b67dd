//! One customer's limit at this instance: demand, loans given, loans taken.

use goldcrestvale_base::{id::Instance, time::Instant};
use serde::Serialize;
use smallvec::SmallVec;

use super::{FULL_LIMIT, HEADROOM_DIVISOR, RESERVE_DIVISOR};

/// Parts that concern one peer, until a time.
#[derive(Debug, Clone, Serialize)]
struct Entry {
    peer: Instance,
    parts: u32,
    until: Instant,
}

type Entries = SmallVec<[Entry; 4]>;

/// The account of one customer.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Account {
    /// Demand at this instance, in parts.
    pub(super) demand: u32,
    needs: Entries,
    lent: Entries,
    borrowed: Entries,
}

impl Account {
    /// Returns the parts that this instance may use.
    pub(super) fn share(&self, now: Instant, base: u32) -> u32 {
        let borrowed: u32 =
            self.borrowed.iter().filter(|loan| loan.until > now).map(|loan| loan.parts).sum();
        (base.saturating_sub(self.outstanding(now, None)) + borrowed).min(FULL_LIMIT)
    }

    /// Returns the parts that this instance needs beyond its base.
    pub(super) fn need(&self, base: u32) -> u32 {
        self.wanted().saturating_sub(base)
    }

    /// Returns what this instance and a peer need together: customers with more go first where
    /// a message cannot name all.
    pub(super) fn pressure(&self, now: Instant, base: u32, peer: &Instance) -> u32 {
        let theirs = self.needs.iter().find(|need| &need.peer == peer && need.until > now);
        self.need(base) + theirs.map_or(0, |need| need.parts)
    }

    /// Decides how much to lend to a peer, and counts it as given away.
    ///
    /// A loan ends a fixed time after the need was heard. The borrower ends it that time after
    /// it told the need, so before the lender does, however long the message is on its way.
    pub(super) fn lend(&mut self, now: Instant, base: u32, to: &Instance) -> u32 {
        self.needs.retain(|need| need.until > now);
        self.lent.retain(|loan| loan.until > now);
        let total: u64 = self.needs.iter().map(|need| u64::from(need.parts)).sum();
        let Some(need) = self.needs.iter().find(|need| &need.peer == to) else { return 0 };
        let kept = self.wanted().max(base / RESERVE_DIVISOR);
        let spare = base.saturating_sub(kept);
        let fair = u64::from(spare) * u64::from(need.parts) / total.max(1);
        let free = spare.saturating_sub(self.outstanding(now, Some(to)));
        let parts = need.parts.min(free).min(u32::try_from(fair).unwrap_or(u32::MAX));
        if parts > 0 {
            self.lent.push(Entry { peer: to.clone(), parts, until: need.until });
        }
        parts
    }

    /// Notes what a peer needs.
    pub(super) fn set_need(&mut self, peer: &Instance, parts: u32, until: Instant) {
        if parts > 0 {
            self.needs.push(Entry { peer: peer.clone(), parts, until });
        }
    }

    /// Notes what a peer lends, in place of what it lent before.
    pub(super) fn borrow(&mut self, peer: &Instance, parts: u32, until: Instant) {
        if parts > 0 {
            self.borrowed.push(Entry { peer: peer.clone(), parts, until });
        }
    }

    /// Drops what a peer needs and lends, before its new message is read.
    pub(super) fn clear(&mut self, peer: &Instance) {
        self.needs.retain(|need| &need.peer != peer);
        self.borrowed.retain(|loan| &loan.peer != peer);
    }

    /// Returns whether anything is in use.
    pub(super) fn is_used(&self, now: Instant) -> bool {
        let runs = |entries: &Entries| entries.iter().any(|entry| entry.until > now);
        self.demand > 0 || runs(&self.needs) || runs(&self.lent) || runs(&self.borrowed)
    }

    fn wanted(&self) -> u32 {
        (self.demand + self.demand / HEADROOM_DIVISOR).min(FULL_LIMIT)
    }

    /// Returns the parts that are given away: of several loans to one peer the largest, since
    /// the peer uses only the newest that it got.
    fn outstanding(&self, now: Instant, except: Option<&Instance>) -> u32 {
        let runs = |loan: &&Entry| loan.until > now && Some(&loan.peer) != except;
        let mut largest: SmallVec<[(&Instance, u32); 4]> = SmallVec::new();
        for loan in self.lent.iter().filter(runs) {
            match largest.iter_mut().find(|(peer, _)| *peer == &loan.peer) {
                Some((_, parts)) => *parts = loan.parts.max(*parts),
                None => largest.push((&loan.peer, loan.parts)),
            }
        }
        largest.iter().map(|(_, parts)| parts).sum()
    }
}
