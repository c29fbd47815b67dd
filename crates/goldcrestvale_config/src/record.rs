//! The bodies of configured entities.
//!
//! Every body keeps unknown fields in `rest`, so that a rewrite by an instance of an older minor
//! schema version loses nothing.

use std::{fmt, str::FromStr, sync::Arc};

use goldcrestvale_base::{
    domain,
    engine::Layers,
    id::{self, Digest},
};
use serde_json::{Map, Value};

/// Fields of a body that are unknown to this schema version.
pub type UnknownFields = Map<String, Value>;

/// The kind of a configured entity, in kebab case as text.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(from = "String", into = "String")]
pub enum Kind {
    /// A [`Customer`].
    Customer,
    /// A [`Service`].
    Service,
    /// A [`Model`].
    Model,
    /// A [`Placement`].
    Placement,
    /// A [`Trait`].
    Trait,
    /// A [`Binding`].
    Binding,
    /// A [`Limit`].
    Limit,
    /// A kind that only newer software knows.
    Other(Arc<str>),
}

impl Kind {
    /// The kinds known to this version.
    pub const KNOWN: [Self; 7] = [
        Self::Customer,
        Self::Service,
        Self::Model,
        Self::Placement,
        Self::Trait,
        Self::Binding,
        Self::Limit,
    ];

    /// Returns the kind as text.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_config::record::Kind;
    ///
    /// assert_eq!(Kind::Placement.as_str(), "placement");
    /// assert_eq!(Kind::from("placement".to_owned()), Kind::Placement);
    /// ```
    pub fn as_str(&self) -> &str {
        match self {
            Self::Customer => "customer",
            Self::Service => "service",
            Self::Model => "model",
            Self::Placement => "placement",
            Self::Trait => "trait",
            Self::Binding => "binding",
            Self::Limit => "limit",
            Self::Other(name) => name,
        }
    }
}

impl From<String> for Kind {
    fn from(text: String) -> Self {
        let known = Self::KNOWN.into_iter().find(|kind| kind.as_str() == text);
        known.unwrap_or_else(|| Self::Other(text.into()))
    }
}

impl From<Kind> for String {
    fn from(kind: Kind) -> Self {
        kind.as_str().to_owned()
    }
}

impl FromStr for Kind {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(text.to_owned().into())
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The target of a call by a customer.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A model.
    Model(id::Model),
    /// A plain service.
    Service(id::Service),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(f, "model {name}"),
            Self::Service(name) => write!(f, "service {name}"),
        }
    }
}

domain! {
    record
    /// A customer.
    pub struct Customer {
        /// Digest of the bearer credential.
        pub credential: Digest,
        /// Weight in fair sharing.
        pub weight: u32,
        /// Maximum number of requests in flight.
        pub max_in_flight: u32,
        /// Maximum requests per second over all instances, if limited.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub requests_per_second: Option<u32>,
        /// Unknown fields.
        #[serde(flatten)]
        pub rest: UnknownFields,
    }

    /// A group of calls of a plain service.
    pub struct Method {
        /// HTTP method.
        pub method: String,
        /// Prefix of the path.
        pub path: String,
        /// Whether a call may be retried.
        pub idempotent: bool,
        /// Unknown fields.
        #[serde(flatten)]
        pub rest: UnknownFields,
    }

    /// A plain service.
    pub struct Service {
        /// Pool of the instances that serve it.
        pub pool: String,
        /// Maximum time of a call, in milliseconds.
        pub timeout_ms: u64,
        /// Its calls; one that is not listed is not idempotent.
        #[serde(default)]
        pub methods: Vec<Method>,
        /// Whether calls that are not idempotent may be made without a key; each is sent at most
        /// once, also while the log is unavailable.
        #[serde(default)]
        pub run_without_log: bool,
        /// Unknown fields.
        #[serde(flatten)]
        pub rest: UnknownFields,
    }

    /// A model.
    pub struct Model {
        /// Number of layers.
        pub layers: u32,
        /// Version of the weights.
        pub version: String,
        /// Adapters that requests may name.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Maximum context length, in tokens.
        pub context_tokens: u32,
        /// Size of the activation of one position, in bytes.
        pub activation_bytes: u32,
        /// Unknown fields.
        #[serde(flatten)]
        pub rest: UnknownFields,
    }

    /// What an upstream should load; the entity has the name of the upstream.
    pub struct Placement {
        /// The model.
        pub model: id::Model,
        /// The layers.
        pub layers: Layers,
        /// Version of the weights.
        pub version: String,
        /// Adapters to load.
        #[serde(default)]
        pub adapters: Vec<String>,
        /// Unknown fields.
        #[serde(flatten)]
        pub rest: UnknownFields,
    }

    /// How the engines of a pool handle orders; the entity has the name of the pool.
    pub struct Trait {
        /// Whether they verify the sender of an order.
        pub checks_sender: bool,
        /// Whether they reject an order with an old fencing number.
        pub honours_fencing: bool,
        /// Maximum time from sending an order until it takes effect, in milliseconds.
        pub order_delay_ms: u64,
        /// Unknown fields.
        #[serde(flatten)]
        pub rest: UnknownFields,
    }

    /// A target that a customer may call, and the priority of its calls.
    pub struct Binding {
        /// The customer.
        pub customer: id::Customer,
        /// The target that it may call.
        pub target: Target,
        /// Priority; a higher one is served first.
        #[serde(default)]
        pub priority: u8,
        /// Unknown fields.
        #[serde(flatten)]
        pub rest: UnknownFields,
    }

    /// A limit on the use of a target by a customer, over all instances.
    pub struct Limit {
        /// The customer.
        pub customer: id::Customer,
        /// The target.
        pub target: Target,
        /// Maximum requests per second, if limited.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub requests_per_second: Option<u32>,
        /// Maximum tokens per second, if limited.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub tokens_per_second: Option<u32>,
        /// Unknown fields.
        #[serde(flatten)]
        pub rest: UnknownFields,
    }
}

impl Service {
    /// Returns whether a call may be retried, as given by the longest matching prefix.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_config::record::Service;
    ///
    /// let service: Service = serde_json::from_str(
    ///     r#"{"pool": "desk", "timeout_ms": 500,
    ///         "methods": [{"method": "GET", "path": "/", "idempotent": true}]}"#,
    /// )?;
    /// assert!(service.is_idempotent("GET", "/jobs/4"));
    /// assert!(!service.is_idempotent("POST", "/jobs"));
    /// # Ok::<(), serde_json::Error>(())
    /// ```
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matching = self.methods.iter().filter(|listed| {
            listed.method.eq_ignore_ascii_case(method) && path.starts_with(&listed.path)
        });
        matching.max_by_key(|listed| listed.path.len()).is_some_and(|listed| listed.idempotent)
    }
}
