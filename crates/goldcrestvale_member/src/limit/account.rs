//! One customer's limit at this instance: demand, loans given and loans taken.

use goldcrestvale_base::{id::Instance, time::Instant};
use serde::Serialize;
use smallvec::SmallVec;

use super::{FULL_LIMIT, HEADROOM_DIVISOR, RESERVE_DIVISOR};

/// Parts that a peer needs, lends or borrows, until a time.
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
        self.demand_with_headroom().saturating_sub(base)
    }

    /// Returns what this instance and a peer need together. Customers with a higher value take
    /// precedence where a message cannot hold all.
    pub(super) fn combined_need(&self, now: Instant, base: u32, peer: &Instance) -> u32 {
        let peer_need = self.needs.iter().find(|need| &need.peer == peer && need.until > now);
        self.need(base) + peer_need.map_or(0, |need| need.parts)
    }

    /// Returns how much to lend to a peer, and records the loan.
    ///
    /// A loan expires a fixed time after the need was received. For the borrower it expires the
    /// same time after the need was sent, so earlier than for the lender, whatever the delay of
    /// the message.
    pub(super) fn lend(&mut self, now: Instant, base: u32, to: &Instance) -> u32 {
        self.needs.retain(|need| need.until > now);
        self.lent.retain(|loan| loan.until > now);
        let total: u64 = self.needs.iter().map(|need| u64::from(need.parts)).sum();
        let Some(need) = self.needs.iter().find(|need| &need.peer == to) else { return 0 };
        let reserved = self.demand_with_headroom().max(base / RESERVE_DIVISOR);
        let lendable = base.saturating_sub(reserved);
        let fair_share = u64::from(lendable) * u64::from(need.parts) / total.max(1);
        let available = lendable.saturating_sub(self.outstanding(now, Some(to)));
        let parts = need.parts.min(available).min(u32::try_from(fair_share).unwrap_or(u32::MAX));
        if parts > 0 {
            self.lent.push(Entry { peer: to.clone(), parts, until: need.until });
        }
        parts
    }

    /// Records what a peer needs.
    pub(super) fn set_need(&mut self, peer: &Instance, parts: u32, until: Instant) {
        if parts > 0 {
            self.needs.push(Entry { peer: peer.clone(), parts, until });
        }
    }

    /// Records what a peer lends, after [`Account::clear`] removed what it lent before.
    pub(super) fn borrow(&mut self, peer: &Instance, parts: u32, until: Instant) {
        if parts > 0 {
            self.borrowed.push(Entry { peer: peer.clone(), parts, until });
        }
    }

    /// Removes what a peer needs and lends, before its new message is applied.
    pub(super) fn clear(&mut self, peer: &Instance) {
        self.needs.retain(|need| &need.peer != peer);
        self.borrowed.retain(|loan| &loan.peer != peer);
    }

    /// Returns whether there is demand, a need or a loan.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        let is_running = |entries: &Entries| entries.iter().any(|entry| entry.until > now);
        self.demand > 0
            || is_running(&self.needs)
            || is_running(&self.lent)
            || is_running(&self.borrowed)
    }

    fn demand_with_headroom(&self) -> u32 {
        (self.demand + self.demand / HEADROOM_DIVISOR).min(FULL_LIMIT)
    }

    /// Returns the parts that are lent: of several loans to one peer the largest counts, since
    /// the peer uses only the newest one that it received.
    fn outstanding(&self, now: Instant, except: Option<&Instance>) -> u32 {
        let is_running = |loan: &&Entry| loan.until > now && Some(&loan.peer) != except;
        let mut largest: SmallVec<[(&Instance, u32); 4]> = SmallVec::new();
        for loan in self.lent.iter().filter(is_running) {
            match largest.iter_mut().find(|(peer, _)| *peer == &loan.peer) {
                Some((_, parts)) => *parts = loan.parts.max(*parts),
                None => largest.push((&loan.peer, loan.parts)),
            }
        }
        largest.iter().map(|(_, parts)| parts).sum()
    }
}
