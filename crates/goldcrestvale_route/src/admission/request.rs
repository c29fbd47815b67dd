//! What is asked of admission, and what it decides.

use std::time::Duration;

use goldcrestvale_base::{domain, id::Customer, time::Instant};

domain! {
    copy
    /// The number of one request at one queue.
    pub struct Ticket(pub u64);

    /// Why a request is refused.
    #[serde(rename_all = "kebab-case")]
    pub enum Cause {
        /// The queue is full.
        Full,
        /// The request cannot meet its deadline.
        Deadline,
    }
}

/// A request that asks for admission.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::admission::Request;
///
/// let ask = Request::new("tezeta".parse()?, Instant(0) + Duration::from_secs(2))
///     .weight(4)
///     .priority(9)
///     .cost(200);
/// assert_eq!(ask.cost, 200);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Request {
    /// The customer.
    pub customer: Customer,
    /// Weight of the customer in fair sharing, at least 1.
    pub weight: u32,
    /// Requests of the customer that may run at once.
    pub max_running: u32,
    /// Priority; higher goes first.
    pub priority: u8,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Expected work, in the unit in which the queue measures its rate.
    pub cost: u32,
    /// Expected time from admission to the end.
    pub service: Duration,
}

impl Request {
    /// Creates a request of weight 1, priority 0 and cost 1.
    pub fn new(customer: Customer, deadline: Instant) -> Self {
        Self {
            customer,
            weight: 1,
            max_running: u32::MAX,
            priority: 0,
            deadline,
            cost: 1,
            service: Duration::ZERO,
        }
    }

    /// Sets the weight of the customer.
    pub fn weight(mut self, weight: u32) -> Self {
        self.weight = weight.max(1);
        self
    }

    /// Sets how many requests of the customer may run at once.
    pub fn max_running(mut self, max_running: u32) -> Self {
        self.max_running = max_running.max(1);
        self
    }

    /// Sets the priority.
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the expected work.
    pub fn cost(mut self, cost: u32) -> Self {
        self.cost = cost.max(1);
        self
    }

    /// Sets the expected time from admission to the end.
    pub fn service(mut self, service: Duration) -> Self {
        self.service = service;
        self
    }
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub cause: Cause,
    /// When coming back helps; spread so that callers do not return together.
    pub retry_after: Duration,
}

/// What becomes of a request at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Run(Ticket),
    /// It waits; a later call of the queue releases it.
    Wait(Ticket),
    /// It does not run.
    Reject(Rejection),
}
