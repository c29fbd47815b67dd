//! One version of the forwarding configuration.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::id::Service;
use smallvec::SmallVec;

use crate::pipeline::Model;

goldcrestvale_base::domain! {
    copy
    /// Whether the requests of a route may be retried.
    #[serde(rename_all = "kebab-case")]
    pub enum Kind {
        /// May run more than once.
        Safe,
        /// May run at most once.
        Unsafe,
        /// Answered by a stream of events.
        Stream,
    }

    /// Limits on what a caller may send, and on how long it may take or stay idle.
    pub struct Bounds {
        /// Maximum size of a request head, in bytes.
        pub header_bytes: u32,
        /// Maximum size of a request body, in bytes.
        pub body_bytes: u64,
        /// Maximum time for a request head to arrive.
        pub header_timeout: Duration,
        /// Maximum time that a connection without a request stays open.
        pub idle_timeout: Duration,
    }
}

goldcrestvale_base::domain! {
    value
    /// A service and its weight in the traffic split of a route.
    pub struct Share {
        /// The service.
        pub service: Service,
        /// Weight relative to the other services of the split.
        pub weight: u32,
    }

    /// Where requests of one host and path prefix go.
    pub struct Route {
        /// Name, for logs.
        pub name: String,
        /// Host of the request.
        pub host: String,
        /// Prefix of the path; begins and ends with a slash.
        pub prefix: String,
        /// Whether requests may be retried.
        pub kind: Kind,
        /// Maximum time to the end of the answer.
        pub timeout: Duration,
        /// Target time to the answer; to the first event for a stream. Later answers are worth
        /// less.
        pub target: Duration,
        /// Maximum pause between the events of a stream that still counts as on time.
        pub target_gap: Option<Duration>,
        /// Priority; 0 is the highest.
        pub priority: u8,
        /// Services and their weights.
        pub split: SmallVec<[Share; 2]>,
        /// Maximum number of upstreams that one request is sent to.
        pub attempts: u32,
        /// Whether requests need no credential.
        pub public: bool,
        /// Whether a stream may continue at another upstream.
        pub resumable: bool,
    }

    /// A customer and its credentials.
    pub struct Customer {
        /// Name, as sent to upstreams.
        pub name: String,
        /// Accepted credentials.
        pub credentials: Vec<String>,
        /// Priority that overrides the route's.
        pub priority: Option<u8>,
    }
}

goldcrestvale_base::domain! {
    record
    /// The upstreams of one service.
    pub struct Pool {
        /// The service.
        pub service: Service,
        /// Maximum number of connections that one upstream accepts from all instances together.
        pub connections: u32,
        /// The model, if the upstreams of the service hold layers of one.
        pub model: Option<Model>,
    }

    /// One complete version of the configuration.
    pub struct Configuration {
        /// Version number; a higher one replaces a lower one.
        pub version: u64,
        /// Routes. Versions share those that are equal.
        pub routes: Vec<Arc<Route>>,
        /// Services.
        pub pools: Vec<Pool>,
        /// Limits on what callers may send.
        pub bounds: Bounds,
        /// Customers; `None` if requests need no credential.
        pub customers: Option<Vec<Customer>>,
    }
}

impl Route {
    /// Returns whether a request of the route may run more than once.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use goldcrestvale_route::forward::{Kind, Route};
    ///
    /// # let booking = Route {
    /// #     name: "bookings".to_owned(),
    /// #     host: "a.example".to_owned(),
    /// #     prefix: "/book/".to_owned(),
    /// #     kind: Kind::Unsafe,
    /// #     timeout: Duration::from_secs(1),
    /// #     target: Duration::from_secs(1),
    /// #     target_gap: None,
    /// #     priority: 0,
    /// #     split: Default::default(),
    /// #     attempts: 1,
    /// #     public: false,
    /// #     resumable: false,
    /// # };
    /// assert!(!booking.is_idempotent());
    /// assert!(Route { kind: Kind::Safe, ..booking }.is_idempotent());
    /// ```
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }
}
