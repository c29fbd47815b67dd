//! Settings of an entry instance, checked when they are read.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::id::{Domain, Instance};
use goldcrestvale_route::intake::Machine;
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
    /// Section `machine`.
    pub machine: Machine,
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

/// The identity of this instance.
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
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub header_timeout: Duration,
    /// Maximum time for a request body to arrive.
    pub body_timeout: Duration,
    /// Time after which a connection without requests in progress is closed.
    pub idle_timeout: Duration,
    /// Maximum number of open connections; the machine may hold fewer.
    pub connections: usize,
    /// How many of them may use HTTP/2; the machine may hold fewer.
    pub http2_connections: usize,
    /// Maximum number of drafts and service calls in progress; further ones are refused.
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
            http2_connections: 10_000,
            streams: 4_000,
        }
    }
}

/// The operators' interface.
#[derive(Debug, Clone)]
pub struct Operators {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Bearer token that operators present; it may be absent only on a loopback address.
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
    /// Maximum time for a call, in addition to the wait of a long poll.
    pub timeout: Duration,
    /// Wait of a long poll of the log.
    pub poll: Duration,
    /// Time between fetches of the instance list.
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
    /// Time between checkpoints; at most a third of the retention time of the log.
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
    /// Address to listen on, which is advertised to the other instances.
    pub address: SocketAddr,
    /// Secret shared by all instances; without it this instance contacts no peers.
    pub secret: Option<Secret>,
    /// Another secret that is accepted while the shared secret is rotated.
    pub accepted_secret: Option<Secret>,
    /// Addresses of instances to contact before the platform's list is known.
    pub seeds: Vec<SocketAddr>,
    /// Number of instances assumed to share the customers' limits until the platform's list is
    /// known.
    pub instances: u32,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Duration of a loan of a part of a limit.
    pub limit_hold: Duration,
    /// Maximum size of a frame, in bytes.
    pub frame_bytes: usize,
    /// Maximum size of the messages queued for one peer, in bytes.
    pub queue_bytes: usize,
    /// Maximum number of connections from peers; the machine may hold fewer.
    pub connections: usize,
    /// Maximum time to wait for a peer's answer to a query.
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
    /// Maximum time for a connection attempt.
    pub connect_timeout: Duration,
    /// Time between fetches of the load reports.
    pub load_interval: Duration,
    /// Maximum time for the fetch of a load report.
    pub load_timeout: Duration,
    /// Maximum size of an answer, in bytes.
    pub answer_bytes: usize,
    /// Maximum time for one step of an engine.
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
    /// Deadline of a draft for which the caller sets none.
    pub deadline: Duration,
    /// Maximum number of tokens that a draft may request.
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
    /// Maximum number of drafts that run at the same time.
    pub draft_slots: usize,
    /// Maximum number of calls of plain services that run at the same time.
    pub service_slots: usize,
    /// Maximum number of waiting requests of each kind.
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
    /// Maximum age of an idempotency key.
    pub window: Duration,
    /// Maximum number of calls of one stream that wait for the log or for their service.
    pub calls: usize,
    /// Appends per second that the platform's log accepts from all instances together.
    pub appends_per_second: u32,
    /// Maximum size of the answers kept for retried calls, in bytes.
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
    /// Token expected by engines that check the sender.
    pub token: String,
    /// Time after which the lease of the orders expires without renewal.
    pub lease: Duration,
    /// Maximum time between the sending of an order and its effect.
    pub delay: Duration,
    /// Maximum number of engines of the failure domain that load at the same time, since they share
    /// the bandwidth of the weight store.
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
    /// Time for which the instance still accepts new connections after it stops being ready.
    pub notice: Duration,
    /// Maximum time for the requests in progress to finish.
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
