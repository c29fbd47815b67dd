//! Weighted max-min fair division of the places of a service between its customers, all with weight
//! 1.
//!
//! Addresses one customer that sends many times its usual load: without a division, its streams take
//! every place that becomes free, and all other customers are refused most of the time.

use std::collections::BTreeMap;

use goldcrestvale_base::customer_load::{Count, CustomerHash, Phase};
use indexmap::IndexMap;

use super::Places;

/// Maximum number of customers of a service that are counted.
pub const MAX_CUSTOMERS: usize = 1_024;

/// Share of the places from which the streams of a single customer show that no other one uses the
/// service. The rest allows for loads that change between two reports.
const ALONE_SHARE: f64 = 0.9;

/// The streams of the customers of one service, and the division of its places between them.
///
/// A customer that needs less than an equal part keeps what it uses; the others divide what is left.
/// Streams that run and streams that wait are both needs. Only customers with streams have an entry,
/// so a part that is no longer used is divided between the others at once.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::customer_load::{Count, CustomerHash, Phase};
/// use goldcrestvale_route::contention::{Places, Shares};
///
/// let (flood, other) = (CustomerHash(1), CustomerHash(2));
/// let running = |running| Count { running, waiting: 0 };
/// let mut shares = Shares::default();
/// shares.set_peers([(flood, running(85)), (other, running(9))], 1.0);
/// assert!(shares.start(flood, Phase::Running));
/// let places = Places { total: 100.0, free: 5.0 };
/// // The other one keeps its 9 places, and the square root of them stays free for it.
/// assert_eq!(shares.share(flood, &places), 88.0);
/// assert!(!shares.is_over_share(flood, &places));
/// shares.set_peers([(flood, running(88)), (other, running(9))], 1.0);
/// assert!(shares.is_over_share(flood, &places));
/// assert!(!shares.is_over_share(other, &places));
/// ```
#[derive(Debug, Clone)]
pub struct Shares {
    customers: IndexMap<CustomerHash, Use>,
    /// Number of customers by the number of streams that they need.
    needs: BTreeMap<u32, u32>,
    /// Sum of the needs.
    needed: u64,
    /// Number of waiting streams.
    waiting: u64,
    /// Number of instances that each stream of this one stands for.
    own_weight: u32,
    ignored: u64,
}

/// The streams of one customer.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    own: Count,
    peers: Count,
}

impl Use {
    fn count(&self, own_weight: u32) -> Count {
        let own = Count {
            running: self.own.running.saturating_mul(own_weight),
            waiting: self.own.waiting.saturating_mul(own_weight),
        };
        own.plus(self.peers)
    }
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            customers: IndexMap::new(),
            needs: BTreeMap::new(),
            needed: 0,
            waiting: 0,
            own_weight: 1,
            ignored: 0,
        }
    }
}

impl Shares {
    /// Counts a stream of this instance that begins a phase. Returns whether it is counted: beyond
    /// [`MAX_CUSTOMERS`] customers, the streams of further ones are not, and must not be ended.
    pub fn start(&mut self, customer: CustomerHash, phase: Phase) -> bool {
        self.change(customer, |used| {
            let count = used.own.phase_mut(phase);
            *count = count.saturating_add(1);
        })
    }

    /// Counts the end of a phase of a stream of this instance.
    pub fn end(&mut self, customer: CustomerHash, phase: Phase) {
        if self.customers.contains_key(&customer) {
            self.change(customer, |used| {
                let count = used.own.phase_mut(phase);
                *count = count.saturating_sub(1);
            });
        }
    }

    /// Sets the streams at the other instances, multiplied by a factor where only a part of these
    /// instances is connected to this one.
    pub fn set_peers(
        &mut self,
        loads: impl IntoIterator<Item = (CustomerHash, Count)>,
        factor: f64,
    ) {
        for used in self.customers.values_mut() {
            used.peers = Count::default();
        }
        for (customer, count) in loads {
            if let Some(used) = self.entry(customer) {
                used.peers = used.peers.plus(count.scaled(factor));
            }
        }
        self.recount();
    }

    /// Sets the number of instances that this one stands for: 1 while it hears its peers, and the
    /// last known number of instances while it hears none.
    pub fn set_own_weight(&mut self, instances: u32) {
        let instances = instances.max(1);
        if self.own_weight != instances {
            self.own_weight = instances;
            self.recount();
        }
    }

    /// Returns the customers with streams at this instance.
    pub fn own(&self) -> impl Iterator<Item = (CustomerHash, Count)> {
        let own = self.customers.iter().map(|(customer, used)| (*customer, used.own));
        own.filter(|(_, count)| !count.is_empty())
    }

    /// Returns whether no customer has streams.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns the streams of a customer at all instances.
    pub fn streams(&self, customer: CustomerHash) -> Count {
        self.customers.get(&customer).map_or(Count::default(), |used| used.count(self.own_weight))
    }

    /// Returns how often a stream was not counted because of [`MAX_CUSTOMERS`].
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Returns whether the customers compete for the places of the service.
    pub fn is_contested(&self, places: &Places) -> bool {
        self.waiting > 0 || places.is_scarce()
    }

    /// Returns whether a further stream of a customer would exceed its share while the service is
    /// contested. A customer without running streams is never above its share, nor is one that uses
    /// the service alone.
    pub fn is_over_share(&self, customer: CustomerHash, places: &Places) -> bool {
        let running = self.streams(customer).running;
        running > 0
            && self.is_contested(places)
            && !self.is_alone(places)
            && f64::from(running) >= self.share(customer, places)
    }

    /// Returns whether one customer has all streams of the service.
    fn is_alone(&self, places: &Places) -> bool {
        let known = self.needed as f64 + places.free;
        self.customers.len() == 1 && known >= places.total * ALONE_SHARE
    }

    /// Returns the places that a customer may take if it wants as many as possible, at least one.
    ///
    /// The square root of what the others keep stays free, since their use varies by about that
    /// much: a flood that took every place would leave none for their next streams. The share is
    /// never below an equal part.
    pub fn share(&self, customer: CustomerHash, places: &Places) -> f64 {
        let own_need =
            self.customers.get(&customer).map(|used| used.count(self.own_weight).total());
        // Streams that no report attributes to a customer leave fewer places to divide.
        let divided = (self.needed as f64 + places.free).clamp(0.0, places.total.max(0.0));
        let mut customers = self.customers.len() as f64 + f64::from(u8::from(own_need.is_none()));
        let equal_part = divided / customers;
        let mut left = divided;
        for (&need, &count) in &self.needs {
            let count = f64::from(count - u32::from(own_need == Some(need)));
            if f64::from(need) * customers > left {
                break;
            }
            left -= f64::from(need) * count;
            customers -= count;
        }
        let variance = (divided - left).max(0.0).sqrt();
        ((left - variance) / customers).max(equal_part).max(1.0)
    }

    /// Returns the entry of a customer, unless there are too many.
    fn entry(&mut self, customer: CustomerHash) -> Option<&mut Use> {
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(&customer) {
            self.ignored += 1;
            return None;
        }
        Some(self.customers.entry(customer).or_default())
    }

    /// Changes the streams of a customer; returns whether it has an entry.
    fn change(&mut self, customer: CustomerHash, change: impl FnOnce(&mut Use)) -> bool {
        let own_weight = self.own_weight;
        let Some(used) = self.entry(customer) else { return false };
        let before = used.count(own_weight);
        change(used);
        let (after, is_empty) =
            (used.count(own_weight), used.own.is_empty() && used.peers.is_empty());
        if is_empty {
            self.customers.swap_remove(&customer);
        }
        self.subtract(before);
        self.add(after);
        true
    }

    fn recount(&mut self) {
        self.customers.retain(|_, used| !used.own.is_empty() || !used.peers.is_empty());
        self.needs.clear();
        (self.needed, self.waiting) = (0, 0);
        let counts: Vec<Count> =
            self.customers.values().map(|used| used.count(self.own_weight)).collect();
        for count in counts {
            self.add(count);
        }
    }

    fn add(&mut self, count: Count) {
        if count.is_empty() {
            return;
        }
        *self.needs.entry(count.total()).or_default() += 1;
        self.needed += u64::from(count.total());
        self.waiting += u64::from(count.waiting);
    }

    fn subtract(&mut self, count: Count) {
        if let Some(customers) = self.needs.get_mut(&count.total()) {
            *customers -= 1;
            if *customers == 0 {
                self.needs.remove(&count.total());
            }
            self.needed -= u64::from(count.total());
            self.waiting -= u64::from(count.waiting);
        }
    }
}
