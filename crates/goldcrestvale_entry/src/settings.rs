//! Settings of an entry instance, checked when they are read.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::id::{Domain, Instance};
use goldcrestvale_wire::key::Secret;

/// Settings of an entry instance, one field per section of the settings file.
///
/// # Examples
///
/// ```
/// use goldcrestvale_entry::settings::Settings;
///
/// let mut settings = Settings::default();
/// settings.callers.streams = 10;
/// assert!(settings.operators.token.is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Section `instance`.
    pub instance: Identity,
    /// Section `callers`.
    pub callers: Callers,
    /// Section `operators`.
    pub operators: Operators,
    /// Section `platform`.
    pub platform: Platform,
    /// Section `config`.
    pub config: Config,
    /// Section `peer`.
    pub peer: Peer,
    /// Section `upstream`.
    pub upstream: Upstreams,
    /// Section `draft`.
    pub draft: Draft,
    /// Section `admission`.
    pub admission: Admission,
    /// Section `claims`.
    pub claims: Claims,
    /// Section `orders`.
    pub orders: Orders,
    /// Section `stop`.
    pub stop: Stop,
}

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance, unique among the entry instances.
    pub name: Instance,
    /// Failure domain of the instance.
    pub domain: Domain,
}

impl Default for Identity {
    fn default() -> Self {
        Self {
            name: "entry".parse().expect("a valid name"),
            domain: "local".parse().expect("a valid name"),
        }
    }
}

/// The callers' interface.
#[derive(Debug, Clone)]
pub struct Callers {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Largest accepted request head, in bytes.
    pub header_bytes: u32,
    /// Largest accepted request body, in bytes.
    pub body_bytes: usize,
    /// How long a request head may take to arrive.
    pub header_timeout: Duration,
    /// How long a request body may take to arrive.
    pub body_timeout: Duration,
    /// How long a connection without a request in progress stays open.
    pub idle_timeout: Duration,
    /// Most open connections; further ones are closed at once.
    pub connections: usize,
    /// Most drafts and service calls in progress; further ones are refused.
    pub streams: usize,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            address: loopback(8080),
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            connections: 10_000,
            streams: 4_000,
        }
    }
}

/// The operators' interface.
#[derive(Debug, Clone)]
pub struct Operators {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Bearer token that operators present; may be absent on a loopback address only.
    pub token: Option<String>,
}

impl Default for Operators {
    fn default() -> Self {
        Self { address: loopback(8081), token: None }
    }
}

/// The platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Address of the log and of the instance list.
    pub address: SocketAddr,
    /// How long a call may take, beyond a long poll's own wait.
    pub timeout: Duration,
    /// Wait of a long poll of the log.
    pub poll: Duration,
    /// How often the instance list is fetched.
    pub list_interval: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            address: loopback(7000),
            timeout: Duration::from_secs(1),
            poll: Duration::from_secs(5),
            list_interval: Duration::from_millis(500),
        }
    }
}

/// The configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Time between checkpoints; at most a third of the time that the log keeps records.
    pub checkpoint_interval: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self { checkpoint_interval: Duration::from_secs(1_200) }
    }
}

/// The other entry instances.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Address to listen on, which the other instances are told.
    pub address: SocketAddr,
    /// Secret that all instances share; without it this instance stays alone.
    pub secret: Option<Secret>,
    /// Another secret that is accepted, while instances change to a new one.
    pub accepted_secret: Option<Secret>,
    /// Addresses of instances to try before the platform's list is known.
    pub seeds: Vec<SocketAddr>,
    /// Instances that share the customers' limits while the platform's list is not known.
    pub instances: u32,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Time that a part of a limit is lent for.
    pub limit_hold: Duration,
    /// Longest frame, in bytes.
    pub frame_bytes: usize,
    /// Most bytes that wait for one peer.
    pub queue_bytes: usize,
    /// Most connections of peers.
    pub connections: usize,
    /// Longest time to wait for a peer's answer.
    pub ask_timeout: Duration,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            address: loopback(7070),
            secret: None,
            accepted_secret: None,
            seeds: Vec::new(),
            instances: 1,
            heartbeat: Duration::from_secs(1),
            limit_hold: Duration::from_secs(3),
            frame_bytes: 1 << 20,
            queue_bytes: 4 << 20,
            connections: 1_024,
            ask_timeout: Duration::from_secs(3),
        }
    }
}

/// Calls to upstreams.
#[derive(Debug, Clone)]
pub struct Upstreams {
    /// How long a connection attempt may take.
    pub connect_timeout: Duration,
    /// How often load reports are fetched.
    pub load_interval: Duration,
    /// How long the fetch of a load report may take.
    pub load_timeout: Duration,
    /// Largest accepted answer, in bytes.
    pub answer_bytes: usize,
    /// How long one step of an engine may take.
    pub step_timeout: Duration,
}

impl Default for Upstreams {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            load_interval: Duration::from_millis(1_000),
            load_timeout: Duration::from_millis(500),
            answer_bytes: 8 << 20,
            step_timeout: Duration::from_secs(5),
        }
    }
}

/// Drafts.
#[derive(Debug, Clone)]
pub struct Draft {
    /// Deadline of a draft whose caller names none.
    pub deadline: Duration,
    /// Most tokens that one draft may ask for.
    pub max_tokens: u32,
}

impl Default for Draft {
    fn default() -> Self {
        Self { deadline: Duration::from_secs(120), max_tokens: 4_096 }
    }
}

/// Admission of requests.
#[derive(Debug, Clone)]
pub struct Admission {
    /// Drafts that run at once.
    pub draft_slots: usize,
    /// Calls of plain services that run at once.
    pub service_slots: usize,
    /// Requests of each kind that wait at most.
    pub waiting: usize,
}

impl Default for Admission {
    fn default() -> Self {
        Self { draft_slots: 512, service_slots: 512, waiting: 4_000 }
    }
}

/// Calls with an idempotency key.
#[derive(Debug, Clone)]
pub struct Claims {
    /// Longest age of an idempotency key.
    pub window: Duration,
    /// Most calls of one stream that wait for the log or for their service.
    pub calls: usize,
    /// Appends a second that the platform's log takes from all instances.
    pub appends_per_second: u32,
    /// Most bytes of answers kept for repeated calls.
    pub answer_bytes: usize,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            calls: 4_096,
            appends_per_second: 300,
            answer_bytes: 8 << 20,
        }
    }
}

/// Orders to engines.
#[derive(Debug, Clone)]
pub struct Orders {
    /// Token that engines which check the sender expect.
    pub token: String,
    /// Time that the lease of the orders lasts without renewal.
    pub lease: Duration,
    /// Longest time between the sending of an order and its effect.
    pub delay: Duration,
    /// Engines of the failure domain that load at the same time, since they share the rate of the
    /// store of weights.
    pub loads: usize,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            token: String::new(),
            lease: Duration::from_secs(10),
            delay: Duration::from_secs(2),
            loads: 4,
        }
    }
}

/// Planned stops.
#[derive(Debug, Clone)]
pub struct Stop {
    /// How long after it stops being ready the instance still takes new connections.
    pub notice: Duration,
    /// How long requests in progress may still run.
    pub timeout: Duration,
}

impl Default for Stop {
    fn default() -> Self {
        Self { notice: Duration::from_secs(2), timeout: Duration::from_secs(150) }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
