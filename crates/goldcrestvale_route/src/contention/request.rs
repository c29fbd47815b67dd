//! A stream that needs a place, and what is decided on it.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

use super::Priorities;
use crate::forward::MAX_PRIORITY;

/// Range of the places that one stream counts as; others are clamped.
const COSTS: (f64, f64) = (0.01, 1_000.0);

goldcrestvale_base::domain! {
    copy
    /// The place of a waiting stream in the queue.
    pub struct Ticket(pub(super) u64);

    /// Why a stream waits or is refused.
    #[serde(rename_all = "kebab-case")]
    pub enum Cause {
        /// No chain has a place for it in time.
        NoPlace,
        /// Its customer uses more than its share.
        OverShare,
        /// Too many streams wait.
        QueueFull,
    }

    /// What is ahead of a stream.
    pub struct Standing {
        /// Number of streams ahead.
        pub position: usize,
        /// Time until they have places; `None` if no place became free lately.
        pub estimate: Option<Duration>,
    }

    /// What is decided on a stream.
    pub enum Decision {
        /// It may take a place if there is one.
        Place,
        /// It waits.
        Wait(Ticket),
        /// It is refused; its caller may retry after this time.
        Refuse {
            /// When the caller may retry.
            retry_after: Duration,
            /// Why it is refused.
            cause: Cause,
        },
    }
}

goldcrestvale_base::domain! {
    record
    /// A stream that needs a place.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_route::contention::Request;
    ///
    /// let request = Request::new(200, Instant(1_000)).customer(Some("family")).cost(f64::NAN);
    /// assert_eq!(request.priority, 9);
    /// assert_eq!(request.cost, 1.0);
    /// ```
    pub struct Request {
        /// Priority; 0 is the highest.
        pub priority: u8,
        /// Name of its route.
        pub route: String,
        /// Name of its customer.
        pub customer: Option<String>,
        /// Whether its customer uses more than its share.
        pub is_over_share: bool,
        /// Whether its caller returns after a refusal.
        pub is_returning: bool,
        /// Latest start with which its first event is still on time.
        pub latest_start: Instant,
        /// Places that it takes, in streams of average size.
        pub cost: f64,
    }
}

impl Request {
    /// Creates a request of average size.
    pub fn new(priority: u8, latest_start: Instant) -> Self {
        Self {
            priority: priority.min(MAX_PRIORITY),
            route: String::new(),
            customer: None,
            is_over_share: false,
            is_returning: false,
            latest_start,
            cost: 1.0,
        }
    }

    /// Sets the name of the route.
    pub fn route(mut self, name: &str) -> Self {
        name.clone_into(&mut self.route);
        self
    }

    /// Sets the name of the customer; an empty one counts as none.
    pub fn customer(mut self, name: Option<&str>) -> Self {
        self.customer = name.filter(|name| !name.is_empty()).map(str::to_owned);
        self
    }

    /// Sets whether the customer uses more than its share.
    pub fn over_share(mut self, is_over_share: bool) -> Self {
        self.is_over_share = is_over_share;
        self
    }

    /// Sets whether the caller returns after a refusal.
    pub fn returning(mut self, is_returning: bool) -> Self {
        self.is_returning = is_returning;
        self
    }

    /// Sets the places that it takes; a value that is no number counts as one place.
    pub fn cost(mut self, places: f64) -> Self {
        self.cost = if places.is_nan() { 1.0 } else { places.clamp(COSTS.0, COSTS.1) };
        self
    }
}

/// Circumstances under which a stream is offered to the queue.
#[derive(Debug, Clone, Copy, Default)]
pub struct Offer {
    /// Whether no chain had a place for it.
    pub is_full: bool,
    /// Priorities that go first, since they were served too seldom.
    pub starved: Priorities,
    /// Streams of other services that wait at this instance.
    pub waiting_elsewhere: usize,
    /// From what the delay of a refusal is calculated.
    pub delay: Delay,
}

/// From what the delay of a refusal is calculated.
#[derive(Debug, Clone, Copy, Default)]
pub struct Delay {
    /// Delay if no place became free lately.
    pub fallback: Duration,
    /// How long the caller still waits for its answer.
    pub time_left: Duration,
    /// Random number in `0..1` that spreads the delays.
    pub draw: f64,
}
