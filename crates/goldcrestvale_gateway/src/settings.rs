//! Settings of a gateway instance.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::id::{Domain, Instance};
use goldcrestvale_route::intake::Machine;
use goldcrestvale_wire::key::Secret;

/// Settings of a gateway instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance.
    pub name: Instance,
    /// Failure domain of the instance.
    pub domain: Domain,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the metrics and the state dump.
    pub metrics: SocketAddr,
    /// Maximum number of open connections of callers; the machine may hold fewer.
    pub max_connections: usize,
    /// How many of them may use HTTP/2; the machine may hold fewer.
    pub max_http2_connections: usize,
    /// Memory and descriptors of the process.
    pub machine: Machine,
    /// Retry budget.
    pub retry: Retry,
    /// Whether streams count by their expected sizes.
    pub cost_routing: Mode,
    /// Whether all instances start for the first time, so that none has sent retries before.
    pub first_start: bool,
    /// Service levels, reservation and waiting.
    pub contention: Mode,
    /// Limits of chains that instances share.
    pub chain_limits: Mode,
    /// Retries that instances lend to each other.
    pub retry_loans: Mode,
    /// Timing of a graceful stop.
    pub stop: Stop,
    /// Timing of directory reads.
    pub directory: Directory,
    /// Timing of layer placement.
    pub placement: Placement,
    /// Connection to the other instances; without it the instance runs alone.
    pub peer: Option<Peer>,
}

/// Settings of the connection to the other instances.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Address for peers.
    pub address: SocketAddr,
    /// Addresses to connect to first; stale ones do no harm.
    pub seeds: Vec<SocketAddr>,
    /// Secret that all instances share.
    pub secret: Option<Secret>,
    /// Time between heartbeats.
    pub heartbeat: Duration,
}

/// Retry budget of a service.
#[derive(Debug, Clone, Copy)]
pub struct Retry {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries beyond that within a span, over all instances.
    pub floor: f64,
    /// Length of the sliding window.
    pub span: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        Self { ratio: 0.1, floor: 50.0, span: Duration::from_secs(10) }
    }
}

/// Whether a part of the decisions is active.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Where the configuration calls for it.
    #[default]
    Auto,
    /// Nowhere.
    Off,
}

impl Mode {
    /// Returns whether the configuration decides.
    pub fn is_auto(self) -> bool {
        self == Self::Auto
    }
}

/// Timing of a graceful stop.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// How long the instance still accepts connections after it stopped being ready: the time of
    /// two failed readiness checks, a second apart.
    pub notice: Duration,
    /// How long requests in progress may take after that.
    pub timeout: Duration,
}

/// Timing of directory reads.
#[derive(Debug, Clone, Copy)]
pub struct Directory {
    /// Time within which the operator expects a confirmed configuration in force. The waits and
    /// timeouts on the way to an instance derive from it.
    pub configuration_bound: Duration,
    /// Interval between reads of the upstreams.
    pub upstream_interval: Duration,
    /// Interval between reads of the upstreams while a chain is incomplete.
    pub degraded_interval: Duration,
    /// How long upstreams whose records vanished while the directory was unreachable may take to
    /// register again.
    pub return_grace: Duration,
}

/// Timing of layer placement.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// Lifetime of the placement lease without a renewal.
    pub lease_duration: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// How long the last leader continues while the platform is unreachable.
    pub offline_hold: Duration,
    /// How long the platform must be unreachable before the first instance by name takes over
    /// placement without a leader.
    pub takeover_delay: Duration,
    /// How long no engine may have joined before an empty domain gets its first layout: one
    /// heartbeat of the engines.
    pub settle_time: Duration,
}

impl Settings {
    /// Creates settings with the default timing for an instance that listens on loopback.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_gateway::settings::Settings;
    ///
    /// let settings = Settings::new("bole-1".parse()?, "bole".parse()?);
    /// assert!(settings.callers.ip().is_loopback());
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    pub fn new(name: Instance, domain: Domain) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name,
            domain,
            callers: loopback,
            ready: loopback,
            metrics: loopback,
            max_connections: 2_000,
            max_http2_connections: 2_000,
            machine: Machine::default(),
            retry: Retry::default(),
            cost_routing: Mode::Off,
            contention: Mode::Auto,
            chain_limits: Mode::Off,
            retry_loans: Mode::Off,
            first_start: false,
            stop: Stop {
                notice: Duration::from_millis(2_500),
                timeout: Duration::from_millis(4_800),
            },
            directory: Directory {
                configuration_bound: Duration::from_secs(3),
                upstream_interval: Duration::from_millis(900),
                degraded_interval: Duration::from_millis(300),
                return_grace: Duration::from_millis(2_200),
            },
            placement: Placement {
                lease_duration: Duration::from_millis(2_500),
                renew_interval: Duration::from_millis(800),
                offline_hold: Duration::from_secs(15),
                takeover_delay: Duration::from_millis(1_500),
                settle_time: Duration::from_millis(1_400),
            },
            peer: None,
        }
    }
}
