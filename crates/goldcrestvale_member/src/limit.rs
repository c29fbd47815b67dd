//! Sharing of the customers' limits by lending.
//!
//! Every instance owns an equal base part of each limit. One that needs less lends the rest to
//! peers that need more, for a short time. The lender counts that time from when it heard the
//! request; the borrower counts it from when it sent the request, which is earlier. So the parts in use never exceed the whole, whatever
//! is lost, late or dead, as long as the instances agree on how many they are. One that hears
//! from nobody is back at its base part when its loans end.

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

/// Parts in a whole limit.
pub const FULL_LIMIT: u32 = 1_000_000;

/// Most customers in one message.
pub const MAX_CUSTOMERS_PER_MESSAGE: usize = 32;

/// Most customers that are tracked.
const MAX_CUSTOMERS: usize = 8_192;

/// Share of the base part that is never lent, as a divisor.
const RESERVE_DIVISOR: u32 = 8;

/// Share of its demand that an instance asks for or keeps besides, as a divisor.
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
        /// Parts that the sender needs beyond its own.
        pub need: Parts,
        /// Parts that the sender lends to the receiver.
        pub lent: Parts,
    }

    /// Use of the customers' limits, from one instance to another.
    pub struct Use {
        /// A number that grows with each such message to the receiver.
        pub sequence: u64,
        /// The newest number that the sender got from the receiver.
        pub echo: u64,
        /// Time that the loans last, in milliseconds.
        pub hold_ms: u32,
        /// The customers that need or are lent a part.
        pub customers: Vec<CustomerUse>,
    }

    /// The part of each limit that this instance may use now.
    #[derive(Default)]
    pub struct Shares {
        /// Part of every customer that is not named.
        pub base: Parts,
        /// Parts of the customers of which something was lent.
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

/// This instance's part in sharing the limits.
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
    hold: Duration,
    customers: IndexMap<Customer, Account>,
    peers: IndexMap<Instance, Exchange>,
}

impl Sharing {
    /// Starts with the number of instances that share, and the time that loans last.
    pub fn new(instances: u32, hold: Duration) -> Self {
        let instances = instances.max(1);
        Self { instances, hold, customers: IndexMap::new(), peers: IndexMap::new() }
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

    /// Makes the message to a peer, or returns `None` if there is nothing to say.
    pub fn report(&mut self, now: Instant, to: &Instance) -> Option<Use> {
        let base = self.base();
        let mut pressing: Vec<_> = self
            .customers
            .iter_mut()
            .map(|(customer, account)| (account.pressure(now, base, to), customer, account))
            .filter(|(pressure, ..)| *pressure > 0)
            .collect();
        pressing.sort_by_key(|(pressure, ..)| std::cmp::Reverse(*pressure));
        pressing.truncate(MAX_CUSTOMERS_PER_MESSAGE);
        let customers: Vec<_> = pressing
            .into_iter()
            .map(|(_, customer, account)| CustomerUse {
                customer: customer.clone(),
                need: Parts(account.need(base)),
                lent: Parts(account.lend(now, base, to)),
            })
            .filter(|told| told.need.0 > 0 || told.lent.0 > 0)
            .collect();
        let exchange = self.peers.entry(to.clone()).or_default();
        let quiet = customers.is_empty() && !exchange.told;
        exchange.told = !customers.is_empty();
        if quiet {
            return None;
        }
        let sequence = exchange.send(now);
        let hold_ms = u32::try_from(self.hold.as_millis()).unwrap_or(u32::MAX);
        Some(Use { sequence, echo: exchange.heard, hold_ms, customers })
    }

    /// Takes the message of a peer.
    pub fn receive(&mut self, now: Instant, from: &Instance, told: &Use) {
        let exchange = self.peers.entry(from.clone()).or_default();
        exchange.heard = told.sequence;
        let asked = exchange.sent_at(told.echo);
        let hold = Duration::from_millis(told.hold_ms.into());
        // The margin allows for clocks that run at slightly different rates.
        let until = asked.map(|asked| asked + (hold - hold / 16));
        let needed_until = now + self.hold;
        for account in self.customers.values_mut() {
            account.clear(from);
        }
        for CustomerUse { customer, need, lent } in
            told.customers.iter().take(MAX_CUSTOMERS_PER_MESSAGE)
        {
            let Some(account) = self.account(customer) else { continue };
            account.set_need(from, need.0.min(FULL_LIMIT), needed_until);
            if let Some(until) = until {
                account.borrow(from, lent.0.min(FULL_LIMIT), until);
            }
        }
    }

    /// Starts anew with a peer whose connection ended; loans run on until their time is over.
    pub fn reset(&mut self, peer: &Instance) {
        self.peers.shift_remove(peer);
    }

    /// Drops the customers of which nothing is in use.
    pub fn sweep(&mut self, now: Instant) {
        self.customers.retain(|_, account| account.is_used(now));
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
