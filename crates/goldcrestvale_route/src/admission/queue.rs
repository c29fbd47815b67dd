//! The queue: slots shared by weight, with immediate and final refusals.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use goldcrestvale_base::{id::Customer, time::Instant};
use rand::Rng;

use super::{
    customer_queue::{Line, Place},
    rate::Rate,
    request::{Cause, Decision, Rejection, Request, Ticket},
    settings::Settings,
};

/// Share by which the time to come back is spread at random, upwards.
const SPREAD: f64 = 0.5;

/// One in this many slots is added for customers that run less than their share.
///
/// A backlog that arrives at once ends at once as well, and would block every slot meanwhile.
const EXTRA_DIVISOR: usize = 8;

/// What a call released from the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Released {
    /// The request runs now.
    Run(Ticket),
    /// The request can no longer meet its deadline and does not run.
    Reject(Ticket, Rejection),
}

/// Requests of many customers that share slots by weight (start-time fair queueing).
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
/// let ask = Request::new("a".parse()?, deadline);
/// let Decision::Run(first) = queue.offer(Instant(0), ask.clone(), &mut rng) else { panic!() };
/// let Decision::Wait(second) = queue.offer(Instant(0), ask, &mut rng) else { panic!() };
/// let released = queue.finish(Instant(1_000), first, &mut rng);
/// assert_eq!(released, [Released::Run(second)]);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Queue {
    settings: Settings,
    lines: HashMap<Customer, Line>,
    /// Customers with a request that could run, by the virtual time of its start.
    eligible: BTreeSet<(u64, Customer)>,
    /// Waiting requests by the latest time at which they must start.
    latest: BTreeSet<(Instant, Ticket)>,
    places: HashMap<Ticket, (Customer, Place)>,
    running: HashMap<Ticket, (Customer, u32)>,
    virtual_time: u64,
    backlog: u64,
    /// Sum of the weights of the customers with waiting or running requests.
    weights: u64,
    rate: Rate,
    next: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            rate: Rate::new(settings.window),
            settings,
            lines: HashMap::new(),
            eligible: BTreeSet::new(),
            latest: BTreeSet::new(),
            places: HashMap::new(),
            running: HashMap::new(),
            virtual_time: 0,
            backlog: 0,
            weights: 0,
            next: 0,
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.places.len()
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.settings.slots
    }

    /// Decides on a request: it runs, waits, or is refused at once and for good.
    pub fn offer(&mut self, now: Instant, ask: Request, rng: &mut impl Rng) -> Decision {
        if self.running.is_empty() {
            self.rate.restart(now);
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.update_line(&ask);
        let line = &self.lines[&ask.customer];
        if line.running < line.max_running && line.waiting.is_empty() && self.is_free_for(line) {
            if now + ask.service > ask.deadline {
                return Decision::Reject(self.refuse(Cause::Deadline, ask.service, rng));
            }
            self.start(ticket, &ask);
            return Decision::Run(ticket);
        }
        let wait = self.wait(&ask);
        if now + wait + ask.service > ask.deadline {
            let over = (now + wait + ask.service).since(ask.deadline);
            return Decision::Reject(self.refuse(Cause::Deadline, over, rng));
        }
        if self.places.len() >= self.settings.max_waiting {
            return Decision::Reject(self.refuse(Cause::Full, wait, rng));
        }
        self.enqueue(ticket, ask);
        Decision::Wait(ticket)
    }

    /// Ends a running request, or removes a waiting one whose caller has gone.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, rng: &mut impl Rng) -> Vec<Released> {
        let was_full = self.running.len() >= self.settings.slots;
        if let Some((customer, cost)) = self.running.remove(&ticket) {
            if was_full {
                self.rate.finish(now, cost);
            } else {
                self.rate.restart(now);
            }
            if let Some(line) = self.lines.get_mut(&customer) {
                line.running -= 1;
            }
            self.refresh(&customer);
        } else if let Some(ask) = self.dequeue(ticket) {
            self.refresh(&ask.customer);
        }
        self.release(now, rng)
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, now: Instant, slots: usize, rng: &mut impl Rng) -> Vec<Released> {
        self.settings.slots = slots.max(1);
        self.release(now, rng)
    }

    /// Refuses the waiting requests that can no longer meet their deadline.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Released> {
        self.release(now, rng)
    }

    /// Returns when [`Queue::tick`] has to be called next.
    pub fn wake(&self) -> Option<Instant> {
        self.latest.first().map(|&(at, _)| at)
    }

    /// Returns how long a request would wait, by the customer's share of the measured rate.
    ///
    /// Zero before the rate is known.
    pub fn wait(&self, ask: &Request) -> Duration {
        let line = &self.lines[&ask.customer];
        let ahead = line
            .waiting
            .iter()
            .take_while(|(place, _)| (place.0, place.1) <= (Reverse(ask.priority), ask.deadline));
        // Counting the requests ahead is bounded, since beyond it the whole line is ahead.
        let counted: u64 =
            ahead.take(MAX_COUNTED).map(|(_, waiting)| u64::from(waiting.cost)).sum();
        let own = if line.waiting.len() > MAX_COUNTED { line.backlog } else { counted };
        let active: u64 = self
            .eligible
            .iter()
            .take(MAX_COUNTED)
            .filter(|(_, customer)| *customer != ask.customer)
            .map(|(_, customer)| u64::from(self.lines[customer].weight))
            .sum();
        let weight = f64::from(line.weight);
        let share = weight / (weight + active as f64);
        let fair = (own + u64::from(ask.cost)) as f64 / share;
        let whole = (self.backlog + u64::from(ask.cost)) as f64;
        self.rate.time(fair.min(whole)).unwrap_or_default()
    }

    /// Returns whether a customer may take a slot now.
    fn is_free_for(&self, line: &Line) -> bool {
        let (running, slots) = (self.running.len(), self.settings.slots);
        if running < slots {
            return true;
        }
        let own = if line.is_active { 0 } else { u64::from(line.weight) };
        let share = slots as u64 * u64::from(line.weight) / (self.weights + own).max(1);
        u64::from(line.running) < share && running < slots + slots / EXTRA_DIVISOR
    }

    fn update_line(&mut self, ask: &Request) {
        let start = self.virtual_time;
        let line = self.lines.entry(ask.customer.clone()).or_insert_with(|| Line::new(start));
        if line.is_active {
            self.weights = self.weights - u64::from(line.weight) + u64::from(ask.weight);
        }
        line.weight = ask.weight;
        line.max_running = ask.max_running;
        if line.is_empty() {
            // A customer that was idle has no claim to the time that went by.
            line.start = line.start.max(start);
        }
    }

    fn enqueue(&mut self, ticket: Ticket, ask: Request) {
        let customer = ask.customer.clone();
        let place = (Reverse(ask.priority), ask.deadline, ticket);
        self.backlog += u64::from(ask.cost);
        self.latest.insert((ask.deadline - ask.service, ticket));
        self.places.insert(ticket, (customer.clone(), place));
        if let Some(line) = self.lines.get_mut(&customer) {
            line.insert(ticket, ask);
        }
        self.refresh(&customer);
    }

    /// Takes a waiting request out of the queue; the caller refreshes its customer.
    fn dequeue(&mut self, ticket: Ticket) -> Option<Request> {
        let (customer, place) = self.places.remove(&ticket)?;
        let line = self.lines.get_mut(&customer)?;
        let ask = line.remove(&place)?;
        self.backlog -= u64::from(ask.cost);
        self.latest.remove(&(ask.deadline - ask.service, ticket));
        Some(ask)
    }

    fn start(&mut self, ticket: Ticket, ask: &Request) {
        self.running.insert(ticket, (ask.customer.clone(), ask.cost));
        if let Some(line) = self.lines.get_mut(&ask.customer) {
            let start = line.start;
            self.eligible.remove(&(start, ask.customer.clone()));
            self.virtual_time = self.virtual_time.max(start);
            line.charge(ask.cost);
        }
        self.refresh(&ask.customer);
    }

    /// Brings the index of eligible customers up to date for one customer.
    fn refresh(&mut self, customer: &Customer) {
        let Some(line) = self.lines.get_mut(customer) else {
            return;
        };
        if line.is_active == line.is_empty() {
            line.is_active = !line.is_active;
            let weight = u64::from(line.weight);
            self.weights =
                if line.is_active { self.weights + weight } else { self.weights - weight };
        }
        let key = (line.start, customer.clone());
        if line.is_eligible() {
            self.eligible.insert(key);
        } else {
            self.eligible.remove(&key);
        }
        if line.is_empty() && line.start <= self.virtual_time {
            self.lines.remove(customer);
        }
    }

    fn release(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<Released> {
        let mut released = Vec::new();
        while let Some(&(at, ticket)) = self.latest.first() {
            if at >= now {
                break;
            }
            match self.dequeue(ticket) {
                Some(ask) => self.refresh(&ask.customer),
                None => {
                    self.latest.pop_first();
                    continue;
                }
            }
            let refused = self.refuse(Cause::Deadline, Duration::ZERO, rng);
            released.push(Released::Reject(ticket, refused));
        }
        while let Some((_, customer)) = self.eligible.first().cloned() {
            if !self.is_free_for(&self.lines[&customer]) {
                break;
            }
            let first = self.lines[&customer].waiting.keys().next().copied();
            let Some((_, _, ticket)) = first else {
                break;
            };
            if let Some(ask) = self.dequeue(ticket) {
                self.start(ticket, &ask);
                released.push(Released::Run(ticket));
            }
        }
        released
    }

    /// Builds a refusal whose time to come back covers a wait and is spread at random.
    fn refuse(&self, cause: Cause, wait: Duration, rng: &mut impl Rng) -> Rejection {
        let drain = self.rate.time(self.backlog as f64).unwrap_or_default();
        let least = wait.max(drain).max(self.settings.min_retry_after);
        let spread = least.mul_f64(1.0 + SPREAD * rng.random::<f64>());
        Rejection { cause, retry_after: spread.min(self.settings.max_retry_after) }
    }
}

/// Most entries of an index that one estimate looks at.
const MAX_COUNTED: usize = 64;
