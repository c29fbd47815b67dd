//! The waiting and running requests of one customer.

use std::{cmp::Reverse, collections::BTreeMap};

use goldcrestvale_base::time::Instant;

use super::request::{Request, Ticket};

/// Order of the requests of one customer: priority, then deadline, then arrival.
pub(super) type Place = (Reverse<u8>, Instant, Ticket);

/// Work units of virtual time that one unit of weight buys.
const VIRTUAL_UNIT: u64 = 1 << 20;

/// The requests of one customer at one queue.
#[derive(Debug)]
pub(super) struct Line {
    pub(super) weight: u32,
    pub(super) max_running: u32,
    pub(super) running: u32,
    /// Whether the weight is part of the queue's total.
    pub(super) is_active: bool,
    /// Cost of the waiting requests.
    pub(super) backlog: u64,
    /// Virtual time at which the customer's next request starts.
    pub(super) start: u64,
    pub(super) waiting: BTreeMap<Place, Request>,
}

impl Line {
    pub(super) fn new(start: u64) -> Self {
        Self {
            weight: 1,
            max_running: u32::MAX,
            running: 0,
            is_active: false,
            backlog: 0,
            start,
            waiting: BTreeMap::new(),
        }
    }

    pub(super) fn insert(&mut self, ticket: Ticket, ask: Request) {
        self.backlog += u64::from(ask.cost);
        self.waiting.insert((Reverse(ask.priority), ask.deadline, ticket), ask);
    }

    pub(super) fn remove(&mut self, place: &Place) -> Option<Request> {
        let ask = self.waiting.remove(place)?;
        self.backlog -= u64::from(ask.cost);
        Some(ask)
    }

    /// Returns whether a waiting request could run if there were a free slot.
    pub(super) fn is_eligible(&self) -> bool {
        !self.waiting.is_empty() && self.running < self.max_running
    }

    /// Counts the cost of a request that starts against the customer's share.
    pub(super) fn charge(&mut self, cost: u32) {
        self.running += 1;
        self.start += u64::from(cost) * VIRTUAL_UNIT / u64::from(self.weight);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }
}
