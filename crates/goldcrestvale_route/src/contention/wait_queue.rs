//! Streams that wait for a place.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use goldcrestvale_base::time::Instant;
use smallvec::SmallVec;

use super::{
    Cause, Decision, Delay, Freed, Offer, Priorities, Request, Standing, Ticket,
    priorities::{COUNT, index},
};

/// Maximum number of streams that wait at an instance.
pub const MAX_WAITING: usize = 1_024;

/// Minimum delay that a refused caller is told.
const MIN_DELAY: Duration = Duration::from_millis(300);

/// Share of the delay over which the returns of callers are spread.
const DELAY_SPREAD: f64 = 0.5;

/// Part of the time that a caller has left which a delay may take.
const MAX_DELAY_PART: u32 = 3;

/// Order within a priority: customers above their share last, returning callers first, then by
/// latest start and by arrival.
type Key = (bool, bool, Instant, Ticket);

/// Streams of one service that found no place.
///
/// A burst of some seconds is longer than callers wait, so a stream waits only if the places that
/// become free reach it while its first event is still on time. Others are refused at once and
/// learn when to return.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::contention::{Decision, Offer, Priorities, Request, WaitQueue};
///
/// let mut queue = WaitQueue::default();
/// let now = Instant(0);
/// queue.record_freed(now, 1.0);
/// let offer = Offer { is_full: true, ..Offer::default() };
/// let request = Request::new(1, now + Duration::from_millis(500));
/// let Decision::Wait(ticket) = queue.offer(now, &request, &offer) else { panic!() };
/// assert_eq!(queue.first(Priorities::default()), Some(ticket));
/// ```
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    priorities: [Waiting; COUNT],
    keys: HashMap<Ticket, (u8, Key)>,
    last_ticket: u64,
    freed: Freed,
}

/// The waiting streams of one priority.
#[derive(Debug, Clone, Default)]
struct Waiting {
    requests: BTreeMap<Key, Request>,
    cost: f64,
}

impl WaitQueue {
    /// Decides on a stream: it may take a place if none is ahead of it and a place may be free;
    /// otherwise it waits, or is refused if it would not get a place in time.
    pub fn offer(&mut self, now: Instant, request: &Request, offer: &Offer) -> Decision {
        let (position, ahead) = self.ahead(request, offer.starved);
        if position == 0 && !offer.is_full {
            return Decision::Place;
        }
        let rate = self.freed.rate(now);
        let refuse = |cause| {
            let retry_after = retry_after(ahead, rate, &offer.delay);
            Decision::Refuse { retry_after, cause }
        };
        if self.len() + offer.waiting_elsewhere >= MAX_WAITING {
            return refuse(Cause::QueueFull);
        }
        let is_in_time = rate.is_some_and(|rate| {
            now < request.latest_start && now + wait(ahead, rate) < request.latest_start
        });
        if !is_in_time {
            return refuse(cause(request));
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let key = key(request, ticket);
        let waiting = &mut self.priorities[index(request.priority)];
        waiting.cost += request.cost;
        waiting.requests.insert(key, request.clone());
        self.keys.insert(ticket, (request.priority, key));
        Decision::Wait(ticket)
    }

    /// Returns what is ahead of a stream.
    pub fn standing(&self, now: Instant, request: &Request, starved: Priorities) -> Standing {
        let (position, ahead) = self.ahead(request, starved);
        Standing { position, estimate: self.freed.rate(now).map(|rate| wait(ahead, rate)) }
    }

    /// Returns the delay that a caller is told whose stream has waited in vain, with what waits now
    /// ahead of it.
    pub fn retry_after(
        &self,
        now: Instant,
        request: &Request,
        starved: Priorities,
        delay: &Delay,
    ) -> Duration {
        let (_, ahead) = self.ahead(request, starved);
        retry_after(ahead, self.freed.rate(now), delay)
    }

    /// Returns the stream that takes the next place.
    pub fn first(&self, starved: Priorities) -> Option<Ticket> {
        let first = |priority: &usize| self.priorities[*priority].requests.keys().next();
        let is_starved = |priority: &usize| starved.contains(*priority as u8);
        let starved = (0..COUNT).filter(is_starved).find_map(|priority| first(&priority));
        let key = starved.or_else(|| (0..COUNT).find_map(|priority| first(&priority)));
        key.map(|(.., ticket)| *ticket)
    }

    /// Returns whether a stream still waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.keys.contains_key(&ticket)
    }

    /// Removes a stream that got a place, was refused or whose caller left; returns whether it
    /// waited.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some((priority, key)) = self.keys.remove(&ticket) else { return false };
        let waiting = &mut self.priorities[index(priority)];
        if let Some(request) = waiting.requests.remove(&key) {
            waiting.cost -= request.cost;
        }
        // Rounding errors of the sum do not outlast the queue.
        if waiting.requests.is_empty() {
            waiting.cost = 0.0;
        }
        true
    }

    /// Removes the streams that a new configuration does not serve, and returns their tickets.
    pub fn retain(&mut self, mut is_served: impl FnMut(&Request) -> bool) -> Vec<Ticket> {
        let waiting = self.priorities.iter().flat_map(|waiting| &waiting.requests);
        let unserved = waiting.filter(|(_, request)| !is_served(request));
        let tickets: Vec<Ticket> = unserved.map(|((.., ticket), _)| *ticket).collect();
        for ticket in &tickets {
            self.remove(*ticket);
        }
        tickets
    }

    /// Removes the streams whose latest start has passed, and returns their tickets.
    pub fn remove_late(&mut self, now: Instant) -> Vec<Ticket> {
        self.retain(|request| request.latest_start > now)
    }

    /// Records that places became free.
    pub fn record_freed(&mut self, now: Instant, places: f64) {
        self.freed.record(now, places);
    }

    /// Returns the places that became free per second; `None` if none did.
    pub fn freed_rate(&self, now: Instant) -> Option<f64> {
        self.freed.rate(now)
    }

    /// Returns the number of waiting streams.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no stream waits.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the number of waiting streams by priority, without those of which none waits.
    pub fn counts(&self) -> SmallVec<[(u8, usize); 4]> {
        let counts = (0..).zip(&self.priorities).map(|(p, waiting)| (p, waiting.requests.len()));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns the number of streams ahead of a new one, and the places that they take.
    fn ahead(&self, request: &Request, starved: Priorities) -> (usize, f64) {
        let rank = |priority: u8| (!starved.contains(priority), priority);
        let own = rank(request.priority);
        let (mut position, mut cost) = (0, 0.0);
        for (priority, waiting) in (0..).zip(&self.priorities) {
            if rank(priority) < own {
                position += waiting.requests.len();
                cost += waiting.cost;
            } else if priority == request.priority {
                let key = key(request, Ticket(u64::MAX));
                for request in waiting.requests.range(..key).map(|(_, request)| request) {
                    position += 1;
                    cost += request.cost;
                }
            }
        }
        (position, cost)
    }
}

fn key(request: &Request, ticket: Ticket) -> Key {
    (request.is_over_share, !request.is_returning, request.latest_start, ticket)
}

fn cause(request: &Request) -> Cause {
    if request.is_over_share { Cause::OverShare } else { Cause::NoPlace }
}

/// Returns the time until a number of places became free.
fn wait(places: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(places / rate).unwrap_or(Duration::MAX)
}

fn retry_after(ahead: f64, rate: Option<f64>, delay: &Delay) -> Duration {
    let Some(rate) = rate else { return delay.fallback };
    // A longer time than a caller has left is cut below.
    let until_free = wait(ahead, rate).clamp(MIN_DELAY, delay.time_left.max(MIN_DELAY));
    let draw = if delay.draw.is_nan() { 0.0 } else { delay.draw.clamp(0.0, 1.0) };
    let spread = until_free.mul_f64(DELAY_SPREAD * draw);
    (until_free + spread).min(delay.time_left / MAX_DELAY_PART)
}
