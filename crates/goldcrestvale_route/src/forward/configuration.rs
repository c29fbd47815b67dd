//! One version of the forwarding configuration.

use std::time::Duration;

use goldcrestvale_base::id::Service;
use smallvec::SmallVec;

use crate::pipeline::Model;

goldcrestvale_base::domain! {
    copy
    /// What may be repeated.
    #[serde(rename_all = "kebab-case")]
    pub enum Kind {
        /// May run more than once.
        Safe,
        /// May run at most once.
        Unsafe,
        /// Answered by a series of events.
        Stream,
    }

    /// What a caller may send, and how long it may take or stay idle.
    pub struct Bounds {
        /// Largest request head, in bytes.
        pub header_bytes: u32,
        /// Largest request body, in bytes.
        pub body_bytes: u64,
        /// How long a request head may take to arrive.
        pub header_timeout: Duration,
        /// How long a connection without a request stays open.
        pub idle_timeout: Duration,
    }
}

goldcrestvale_base::domain! {
    value
    /// A service and its weight in a route's split.
    pub struct Share {
        /// The service.
        pub service: Service,
        /// Weight against the other services of the split.
        pub weight: u32,
    }

    /// Where requests of one host and path prefix go.
    pub struct Route {
        /// Name, for logs.
        pub name: String,
        /// Host that the caller names.
        pub host: String,
        /// Prefix of the path; begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub kind: Kind,
        /// Longest time to the final answer.
        pub timeout: Duration,
        /// Time within which an answer is of full use; to the first event for a stream.
        pub target: Duration,
        /// Longest pause between events that is still on time, for streams.
        pub target_gap: Option<Duration>,
        /// Rank; 0 is the most urgent.
        pub priority: u8,
        /// The services and their weights.
        pub split: SmallVec<[Share; 2]>,
        /// Most upstreams that one request is sent to.
        pub attempts: u32,
        /// Whether requests need no credential.
        pub public: bool,
        /// Whether a stream may go on at another upstream.
        pub resumable: bool,
    }

    /// A customer and its credentials.
    pub struct Customer {
        /// Name, as upstreams are told.
        pub name: String,
        /// Accepted credentials.
        pub credentials: Vec<String>,
        /// Rank that goes before the route's.
        pub priority: Option<u8>,
    }
}

goldcrestvale_base::domain! {
    record
    /// The upstreams of one service.
    pub struct Pool {
        /// The service.
        pub service: Service,
        /// Connections that one upstream accepts from all instances together.
        pub connections: u32,
        /// The model, where the service's upstreams hold layers of one.
        pub model: Option<Model>,
    }

    /// One whole version of the configuration.
    pub struct Configuration {
        /// Version; a higher one replaces a lower one.
        pub version: u64,
        /// Routes.
        pub routes: Vec<Route>,
        /// Services.
        pub pools: Vec<Pool>,
        /// What callers may send.
        pub bounds: Bounds,
        /// Customers; `None` if requests need no credential.
        pub customers: Option<Vec<Customer>>,
    }
}
