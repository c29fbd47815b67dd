//! The waiting and running requests of one customer.

use std::{cmp::Reverse, collections::BTreeMap};

use goldcrestvale_base::time::Instant;

use super::request::{Request, Ticket};

/// Sort key of the requests of one customer: priority, then deadline, then arrival.
pub(super) type RequestKey = (Reverse<u8>, Instant, Ticket);

/// Virtual time of one unit of cost at weight 1.
const VIRTUAL_TIME_UNIT: u64 = 1 << 20;

/// The requests of one customer at one queue.
#[derive(Debug)]
pub(super) struct CustomerQueue {
    pub(super) weight: u32,
    pub(super) max_running: u32,
    pub(super) running: u32,
    /// Whether the weight is included in the total weight of the queue.
    pub(super) is_active: bool,
    /// Total cost of the waiting requests.
    pub(super) backlog: u64,
    /// Virtual start time of the next request of the customer.
    pub(super) virtual_start: u64,
    pub(super) waiting: BTreeMap<RequestKey, Request>,
}

impl CustomerQueue {
    pub(super) fn new(virtual_start: u64) -> Self {
        Self {
            weight: 1,
            max_running: u32::MAX,
            running: 0,
            is_active: false,
            backlog: 0,
            virtual_start,
            waiting: BTreeMap::new(),
        }
    }

    pub(super) fn insert(&mut self, ticket: Ticket, request: Request) {
        self.backlog += u64::from(request.cost);
        self.waiting.insert((Reverse(request.priority), request.deadline, ticket), request);
    }

    pub(super) fn remove(&mut self, key: &RequestKey) -> Option<Request> {
        let request = self.waiting.remove(key)?;
        self.backlog -= u64::from(request.cost);
        Some(request)
    }

    /// Returns whether a waiting request could run in a free slot.
    pub(super) fn is_eligible(&self) -> bool {
        !self.waiting.is_empty() && self.running < self.max_running
    }

    /// Charges the cost of a started request to the share of the customer.
    pub(super) fn charge(&mut self, cost: u32) {
        self.running += 1;
        self.virtual_start += u64::from(cost) * VIRTUAL_TIME_UNIT / u64::from(self.weight);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }
}
