//! Sharing of the customers' limits by short-term loans.
//!
//! Every instance owns an equal base part of each limit. An instance that needs less lends the
//! rest to peers that need more, for a short time. The lender counts that time from the receipt of
//! the request; the borrower counts it from sending the request, which is earlier. So the parts in
//! use never exceed the full limit, whatever messages are lost or delayed and whichever instances
//! fail, as long as the instances agree on their number. An instance that receives no messages
//! returns to its base part when its loans expire.

mod account;
mod exchange;

use std::time::Duration;

use goldcrestvale_base::{
    domain,
    id::{Customer, Instance},
    time::Instant,
};
use indexmap::IndexMap;
use serde::Serialize;

use self::{account::Account, exchange::Exchange};

/// Number of parts in a full limit.
pub const FULL_LIMIT: u32 = 1_000_000;

/// Maximum number of customers in one message.
pub const MAX_CUSTOMERS_PER_MESSAGE: usize = 32;

/// Maximum number of tracked customers.
const MAX_CUSTOMERS: usize = 8_192;

/// Divisor of the base part that gives the share that is never lent.
const RESERVE_DIVISOR: u32 = 8;

/// Divisor of the demand that gives the headroom which an instance requests or keeps beyond it.
const HEADROOM_DIVISOR: u32 = 8;

domain! {
    copy
    /// Parts per million of a customer's limit.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct Parts(pub u32);
}

domain! {
    value
    /// Use of one customer's limit.
    pub struct CustomerUse {
        /// The customer.
        pub customer: Customer,
        /// Parts that the sender needs beyond its base part.
        pub need: Parts,
        /// Parts that the sender lends to the receiver.
        pub lent: Parts,
    }

    /// Use of the customers' limits, from one instance to another.
    pub struct Use {
        /// Sequence number, which increases with each such message to the receiver.
        pub sequence: u64,
        /// Newest sequence number that the sender received from the receiver.
        pub echo: u64,
        /// Duration of the loans, in milliseconds.
        pub hold_ms: u32,
        /// The customers for which a part is needed or lent.
        pub customers: Vec<CustomerUse>,
    }

    /// The part of each limit that this instance may use now.
    #[derive(Default)]
    pub struct Shares {
        /// Part of every customer that is not in `customers`.
        pub base: Parts,
        /// Parts of the customers with loans.
        pub customers: Vec<CustomerShare>,
    }

    /// The part of one customer's limit that this instance may use now.
    pub struct CustomerShare {
        /// The customer.
        pub customer: Customer,
        /// The part.
        pub parts: Parts,
    }
}

/// The state of one instance in the sharing of limits.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_member::limit::{Parts, Sharing};
///
/// let mut sharing = Sharing::new(4, Duration::from_secs(3));
/// sharing.set_demand(&"label-1".parse()?, Parts(900_000));
/// assert_eq!(sharing.share(Instant(0), &"label-1".parse()?), Parts(250_000));
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Serialize)]
pub struct Sharing {
    instances: u32,
    #[serde(rename = "hold")]
    loan_duration: Duration,
    customers: IndexMap<Customer, Account>,
    peers: IndexMap<Instance, Exchange>,
}

impl Sharing {
    /// Creates the state from the number of instances that share and the duration of loans.
    pub fn new(instances: u32, loan_duration: Duration) -> Self {
        let instances = instances.max(1);
        Self { instances, loan_duration, customers: IndexMap::new(), peers: IndexMap::new() }
    }

    /// Sets the number of instances that share.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Sets the demand of a customer at this instance.
    pub fn set_demand(&mut self, customer: &Customer, demand: Parts) {
        if let Some(account) = self.account(customer) {
            account.demand = demand.0.min(FULL_LIMIT);
        }
    }

    /// Returns the part of a customer's limit that this instance may use.
    pub fn share(&self, now: Instant, customer: &Customer) -> Parts {
        let base = self.base();
        Parts(self.customers.get(customer).map_or(base, |account| account.share(now, base)))
    }

    /// Returns the parts of all limits that this instance may use.
    pub fn shares(&self, now: Instant) -> Shares {
        let base = self.base();
        let customers = self.customers.iter().map(|(customer, account)| CustomerShare {
            customer: customer.clone(),
            parts: Parts(account.share(now, base)),
        });
        Shares {
            base: Parts(base),
            customers: customers.filter(|share| share.parts.0 != base).collect(),
        }
    }

    /// Returns the next message to a peer, or `None` if there is nothing to report.
    pub fn report(&mut self, now: Instant, to: &Instance) -> Option<Use> {
        let base = self.base();
        let mut candidates: Vec<_> = self
            .customers
            .iter_mut()
            .map(|(customer, account)| (account.combined_need(now, base, to), customer, account))
            .filter(|(combined_need, ..)| *combined_need > 0)
            .collect();
        candidates.sort_by_key(|(combined_need, ..)| std::cmp::Reverse(*combined_need));
        candidates.truncate(MAX_CUSTOMERS_PER_MESSAGE);
        let customers: Vec<_> = candidates
            .into_iter()
            .map(|(_, customer, account)| CustomerUse {
                customer: customer.clone(),
                need: Parts(account.need(base)),
                lent: Parts(account.lend(now, base, to)),
            })
            .filter(|limit_use| limit_use.need.0 > 0 || limit_use.lent.0 > 0)
            .collect();
        let exchange = self.peers.entry(to.clone()).or_default();
        let nothing_to_report = customers.is_empty() && !exchange.sent_customers;
        exchange.sent_customers = !customers.is_empty();
        if nothing_to_report {
            return None;
        }
        let sequence = exchange.next_sequence(now);
        let hold_ms = u32::try_from(self.loan_duration.as_millis()).unwrap_or(u32::MAX);
        Some(Use { sequence, echo: exchange.last_received, hold_ms, customers })
    }

    /// Applies a message from a peer.
    pub fn receive(&mut self, now: Instant, from: &Instance, message: &Use) {
        let exchange = self.peers.entry(from.clone()).or_default();
        exchange.last_received = message.sequence;
        let requested_at = exchange.sent_at(message.echo);
        let loan_duration = Duration::from_millis(message.hold_ms.into());
        // The margin allows for clocks that run at slightly different rates.
        let until =
            requested_at.map(|requested_at| requested_at + (loan_duration - loan_duration / 16));
        let needed_until = now + self.loan_duration;
        for account in self.customers.values_mut() {
            account.clear(from);
        }
        for CustomerUse { customer, need, lent } in
            message.customers.iter().take(MAX_CUSTOMERS_PER_MESSAGE)
        {
            let Some(account) = self.account(customer) else { continue };
            account.set_need(from, need.0.min(FULL_LIMIT), needed_until);
            if let Some(until) = until {
                account.borrow(from, lent.0.min(FULL_LIMIT), until);
            }
        }
    }

    /// Resets the exchange with a peer whose connection ended; loans run until they expire.
    pub fn reset(&mut self, peer: &Instance) {
        self.peers.shift_remove(peer);
    }

    /// Removes the customers without demand, needs or loans.
    pub fn sweep(&mut self, now: Instant) {
        self.customers.retain(|_, account| account.is_active(now));
    }

    fn base(&self) -> u32 {
        FULL_LIMIT / self.instances
    }

    fn account(&mut self, customer: &Customer) -> Option<&mut Account> {
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(customer) {
            return None;
        }
        Some(self.customers.entry(customer.clone()).or_default())
    }
}
