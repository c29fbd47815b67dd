//! Requests for admission and the decisions on them.

use std::time::Duration;

use goldcrestvale_base::{domain, id::Customer, time::Instant};

domain! {
    copy
    /// The number of a request at a queue.
    pub struct Ticket(pub u64);

    /// The cause of a rejection.
    #[serde(rename_all = "kebab-case")]
    pub enum Cause {
        /// The queue is full.
        Full,
        /// The request cannot meet its deadline.
        Deadline,
    }
}

/// A request for admission.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::admission::Request;
///
/// let request = Request::new("tezeta".parse()?, Instant(0) + Duration::from_secs(2))
///     .weight(4)
///     .priority(9)
///     .cost(200);
/// assert_eq!(request.cost, 200);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Request {
    /// The customer.
    pub customer: Customer,
    /// Weight of the customer in fair queueing, at least 1.
    pub weight: u32,
    /// Maximum number of running requests of the customer.
    pub max_running: u32,
    /// Priority; requests with a higher one run first.
    pub priority: u8,
    /// Time by which the request must end.
    pub deadline: Instant,
    /// Expected work, in the unit of the rate of the queue.
    pub cost: u32,
    /// Expected time from the start to the end.
    pub service_time: Duration,
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
            service_time: Duration::ZERO,
        }
    }

    /// Sets the weight of the customer.
    pub fn weight(mut self, weight: u32) -> Self {
        self.weight = weight.max(1);
        self
    }

    /// Sets the maximum number of running requests of the customer.
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

    /// Sets the expected time from the start to the end.
    pub fn service_time(mut self, service_time: Duration) -> Self {
        self.service_time = service_time;
        self
    }
}

/// The rejection of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The cause.
    pub cause: Cause,
    /// Time after which to retry, randomised so that callers do not retry together.
    pub retry_after: Duration,
}

/// The immediate decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request runs now.
    Run(Ticket),
    /// The request waits until a later call of the queue releases it.
    Wait(Ticket),
    /// The request does not run.
    Reject(Rejection),
}
