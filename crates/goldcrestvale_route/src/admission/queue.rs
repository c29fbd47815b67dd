//! The admission queue, which shares slots by weight and rejects requests immediately.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use goldcrestvale_base::{id::Customer, time::Instant};
use rand::Rng;

use super::{
    customer_queue::{CustomerQueue, RequestKey},
    rate::Rate,
    request::{Cause, Decision, Rejection, Request, Ticket},
    settings::Settings,
};

/// Maximum share by which a retry time is randomly extended.
const RETRY_SPREAD: f64 = 0.5;

/// One extra slot per this many slots is available to customers that run less than their share.
///
/// Requests of a backlog that start together also end together, and would block all slots until
/// then.
const EXTRA_SLOTS_DIVISOR: usize = 8;

/// A waiting request that a call removed from the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Released {
    /// The request runs now.
    Run(Ticket),
    /// The request can no longer meet its deadline and is rejected.
    Reject(Ticket, Rejection),
}

/// A queue that shares slots between customers by weight (start-time fair queueing).
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::admission::{Decision, Queue, Released, Request, Settings};
/// use rand::{SeedableRng, rngs::StdRng};
///
/// let mut rng = StdRng::seed_from_u64(1);
/// let mut queue = Queue::new(Settings::new(1));
/// let deadline = Instant(0) + Duration::from_secs(9);
/// let request = Request::new("a".parse()?, deadline);
/// let Decision::Run(first) = queue.offer(Instant(0), request.clone(), &mut rng) else { panic!() };
/// let Decision::Wait(second) = queue.offer(Instant(0), request, &mut rng) else { panic!() };
/// let released = queue.finish(Instant(1_000), first, &mut rng);
/// assert_eq!(released, [Released::Run(second)]);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    customers: HashMap<Customer, CustomerQueue>,
    /// Customers with a request that could run, by its virtual start time.
    eligible: BTreeSet<(u64, Customer)>,
    /// Waiting requests by their latest possible start.
    latest_starts: BTreeSet<(Instant, Ticket)>,
    waiting_keys: HashMap<Ticket, (Customer, RequestKey)>,
    running: HashMap<Ticket, (Customer, u32)>,
    virtual_time: u64,
    backlog: u64,
    /// Total weight of the customers with waiting or running requests.
    total_weight: u64,
    rate: Rate,
    next_ticket: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            rate: Rate::new(settings.window),
            settings,
            customers: HashMap::new(),
            eligible: BTreeSet::new(),
            latest_starts: BTreeSet::new(),
            waiting_keys: HashMap::new(),
            running: HashMap::new(),
            virtual_time: 0,
            backlog: 0,
            total_weight: 0,
            next_ticket: 0,
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting_keys.len()
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.settings.slots
    }

    /// Decides whether a request runs, waits or is rejected; a rejection is final.
    pub fn offer(&mut self, now: Instant, request: Request, rng: &mut impl Rng) -> Decision {
        if self.running.is_empty() {
            self.rate.restart(now);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.update_customer(&request);
        let customer_queue = &self.customers[&request.customer];
        if customer_queue.running < customer_queue.max_running
            && customer_queue.waiting.is_empty()
            && self.may_use_slot(customer_queue)
        {
            if now + request.service_time > request.deadline {
                return Decision::Reject(self.reject(Cause::Deadline, request.service_time, rng));
            }
            self.start(ticket, &request);
            return Decision::Run(ticket);
        }
        let wait = self.wait(&request);
        if now + wait + request.service_time > request.deadline {
            let overrun = (now + wait + request.service_time).since(request.deadline);
            return Decision::Reject(self.reject(Cause::Deadline, overrun, rng));
        }
        if self.waiting_keys.len() >= self.settings.max_waiting {
            return Decision::Reject(self.reject(Cause::Full, wait, rng));
        }
        self.enqueue(ticket, request);
        Decision::Wait(ticket)
    }

    /// Ends a running request, or removes a waiting one whose caller disconnected.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, rng: &mut impl Rng) -> Vec<Released> {
        let was_full = self.running.len() >= self.settings.slots;
        if let Some((customer, cost)) = self.running.remove(&ticket) {
            if was_full {
                self.rate.finish(now, cost);
            } else {
                self.rate.restart(now);
            }
            if let Some(customer_queue) = self.customers.get_mut(&customer) {
                customer_queue.running -= 1;
            }
            self.refresh(&customer);
        } else if let Some(request) = self.dequeue(ticket) {
            self.refresh(&request.customer);
        }
        self.release(now, rng)
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, now: Instant, slots: usize, rng: &mut impl Rng) -> Vec<Released> {
        self.settings.slots = slots.max(1);
        self.release(now, rng)
    }

    /// Rejects the waiting requests that can no longer meet their deadline.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Released> {
        self.release(now, rng)
    }

    /// Returns the time at which [`Queue::tick`] must be called next.
    pub fn wake(&self) -> Option<Instant> {
        self.latest_starts.first().map(|&(at, _)| at)
    }

    /// Returns the expected wait of a request at the share of its customer in the measured rate.
    ///
    /// The wait is zero until the rate is known.
    pub fn wait(&self, request: &Request) -> Duration {
        let customer_queue = &self.customers[&request.customer];
        let ahead = customer_queue
            .waiting
            .iter()
            .take_while(|(key, _)| (key.0, key.1) <= (Reverse(request.priority), request.deadline));
        // At most `MAX_COUNTED` requests are counted; a longer queue counts its complete backlog.
        let counted_work: u64 =
            ahead.take(MAX_COUNTED).map(|(_, waiting)| u64::from(waiting.cost)).sum();
        let own_work = if customer_queue.waiting.len() > MAX_COUNTED {
            customer_queue.backlog
        } else {
            counted_work
        };
        let other_weights: u64 = self
            .eligible
            .iter()
            .take(MAX_COUNTED)
            .filter(|(_, customer)| *customer != request.customer)
            .map(|(_, customer)| u64::from(self.customers[customer].weight))
            .sum();
        let weight = f64::from(customer_queue.weight);
        let share = weight / (weight + other_weights as f64);
        let fair_work = (own_work + u64::from(request.cost)) as f64 / share;
        let total_work = (self.backlog + u64::from(request.cost)) as f64;
        self.rate.time_for(fair_work.min(total_work)).unwrap_or_default()
    }

    /// Returns whether a customer may use a slot now.
    fn may_use_slot(&self, customer_queue: &CustomerQueue) -> bool {
        let (running, slots) = (self.running.len(), self.settings.slots);
        if running < slots {
            return true;
        }
        let added_weight =
            if customer_queue.is_active { 0 } else { u64::from(customer_queue.weight) };
        let share = slots as u64 * u64::from(customer_queue.weight)
            / (self.total_weight + added_weight).max(1);
        u64::from(customer_queue.running) < share && running < slots + slots / EXTRA_SLOTS_DIVISOR
    }

    fn update_customer(&mut self, request: &Request) {
        let virtual_time = self.virtual_time;
        let customer_queue = self
            .customers
            .entry(request.customer.clone())
            .or_insert_with(|| CustomerQueue::new(virtual_time));
        if customer_queue.is_active {
            self.total_weight =
                self.total_weight - u64::from(customer_queue.weight) + u64::from(request.weight);
        }
        customer_queue.weight = request.weight;
        customer_queue.max_running = request.max_running;
        if customer_queue.is_empty() {
            // A customer gains no credit for the time in which it was idle.
            customer_queue.virtual_start = customer_queue.virtual_start.max(virtual_time);
        }
    }

    fn enqueue(&mut self, ticket: Ticket, request: Request) {
        let customer = request.customer.clone();
        let key = (Reverse(request.priority), request.deadline, ticket);
        self.backlog += u64::from(request.cost);
        self.latest_starts.insert((request.deadline - request.service_time, ticket));
        self.waiting_keys.insert(ticket, (customer.clone(), key));
        if let Some(customer_queue) = self.customers.get_mut(&customer) {
            customer_queue.insert(ticket, request);
        }
        self.refresh(&customer);
    }

    /// Removes a waiting request from the queue; the caller then calls `refresh` for its customer.
    fn dequeue(&mut self, ticket: Ticket) -> Option<Request> {
        let (customer, key) = self.waiting_keys.remove(&ticket)?;
        let customer_queue = self.customers.get_mut(&customer)?;
        let request = customer_queue.remove(&key)?;
        self.backlog -= u64::from(request.cost);
        self.latest_starts.remove(&(request.deadline - request.service_time, ticket));
        Some(request)
    }

    fn start(&mut self, ticket: Ticket, request: &Request) {
        self.running.insert(ticket, (request.customer.clone(), request.cost));
        if let Some(customer_queue) = self.customers.get_mut(&request.customer) {
            let virtual_start = customer_queue.virtual_start;
            self.eligible.remove(&(virtual_start, request.customer.clone()));
            self.virtual_time = self.virtual_time.max(virtual_start);
            customer_queue.charge(request.cost);
        }
        self.refresh(&request.customer);
    }

    /// Updates the total weight and the index of eligible customers for one customer.
    fn refresh(&mut self, customer: &Customer) {
        let Some(customer_queue) = self.customers.get_mut(customer) else {
            return;
        };
        if customer_queue.is_active == customer_queue.is_empty() {
            customer_queue.is_active = !customer_queue.is_active;
            let weight = u64::from(customer_queue.weight);
            self.total_weight = if customer_queue.is_active {
                self.total_weight + weight
            } else {
                self.total_weight - weight
            };
        }
        let key = (customer_queue.virtual_start, customer.clone());
        if customer_queue.is_eligible() {
            self.eligible.insert(key);
        } else {
            self.eligible.remove(&key);
        }
        if customer_queue.is_empty() && customer_queue.virtual_start <= self.virtual_time {
            self.customers.remove(customer);
        }
    }

    fn release(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Released> {
        let mut released = Vec::new();
        while let Some(&(at, ticket)) = self.latest_starts.first() {
            if at >= now {
                break;
            }
            match self.dequeue(ticket) {
                Some(request) => self.refresh(&request.customer),
                None => {
                    self.latest_starts.pop_first();
                    continue;
                }
            }
            let rejection = self.reject(Cause::Deadline, Duration::ZERO, rng);
            released.push(Released::Reject(ticket, rejection));
        }
        while let Some((_, customer)) = self.eligible.first().cloned() {
            if !self.may_use_slot(&self.customers[&customer]) {
                break;
            }
            let first = self.customers[&customer].waiting.keys().next().copied();
            let Some((_, _, ticket)) = first else {
                break;
            };
            if let Some(request) = self.dequeue(ticket) {
                self.start(ticket, &request);
                released.push(Released::Run(ticket));
            }
        }
        released
    }

    /// Creates a rejection whose randomised retry time covers `wait` and the backlog.
    fn reject(&self, cause: Cause, wait: Duration, rng: &mut impl Rng) -> Rejection {
        let drain_time = self.rate.time_for(self.backlog as f64).unwrap_or_default();
        let min_delay = wait.max(drain_time).max(self.settings.min_retry_after);
        let delay = min_delay.mul_f64(1.0 + RETRY_SPREAD * rng.random::<f64>());
        Rejection { cause, retry_after: delay.min(self.settings.max_retry_after) }
    }
}

/// Maximum number of index entries examined for one estimate.
const MAX_COUNTED: usize = 64;
