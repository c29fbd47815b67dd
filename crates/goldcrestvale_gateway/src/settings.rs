//! Settings of a gateway instance.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::id::{Domain, Instance};
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
    /// Most open connections of callers.
    pub max_connections: usize,
    /// Bounds of repeated arrivals at upstreams.
    pub retry: Retry,
    /// Times of a stop.
    pub stop: Stop,
    /// Times of directory reads.
    pub directory: Directory,
    /// Placing of layers.
    pub placement: Placement,
    /// The other instances; without it the instance stays alone.
    pub peer: Option<Peer>,
}

/// The way to the other instances.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Address for peers.
    pub address: SocketAddr,
    /// Addresses to try first; stale ones do no harm.
    pub seeds: Vec<SocketAddr>,
    /// Secret that all instances share.
    pub secret: Option<Secret>,
    /// Time between heartbeats.
    pub heartbeat: Duration,
}

/// Bounds of repeated arrivals at upstreams.
#[derive(Debug, Clone, Copy)]
pub struct Retry {
    /// Repeats for each first try.
    pub ratio: f64,
    /// Repeats beyond that in a span, over all instances.
    pub floor: f64,
    /// The span.
    pub span: Duration,
}

impl Default for Retry {
    fn default() -> Self {
        Self { ratio: 0.1, floor: 50.0, span: Duration::from_secs(10) }
    }
}

/// Times of a stop.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// How long the instance still accepts connections after it stopped being ready: two missed
    /// readiness checks, a second apart.
    pub notice: Duration,
    /// How long requests in progress may take after that.
    pub timeout: Duration,
}

/// Times of directory reads.
#[derive(Debug, Clone, Copy)]
pub struct Directory {
    /// How long a read of the configuration waits for a change; bounds how long a silent connection
    /// goes unnoticed.
    pub configuration_wait: Duration,
    /// Pause between reads of the upstreams.
    pub upstream_interval: Duration,
    /// The same while a chain is incomplete.
    pub degraded_interval: Duration,
    /// Longest pause between reads of the upstreams, with many instances.
    pub max_upstream_interval: Duration,
    /// Longest wait of a read of the configuration, with many instances, which tell each other of a
    /// new version.
    pub max_configuration_wait: Duration,
    /// How long upstreams that vanished while the directory was away may take to come back.
    pub return_grace: Duration,
}

/// Placing of layers.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// How long the duty lasts without being renewed.
    pub lease_ttl: Duration,
    /// Pause between renewals.
    pub renew_interval: Duration,
    /// How long the last holder goes on while the platform cannot be asked.
    pub offline_hold: Duration,
    /// How long the platform may be silent before the first instance takes a duty nobody has.
    pub takeover_delay: Duration,
    /// How long no engine may join before an empty domain is laid out: one heartbeat of the
    /// engines.
    pub settle_time: Duration,
}

impl Settings {
    /// Returns settings with the usual times, for an instance that listens on loopback.
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
            retry: Retry::default(),
            stop: Stop {
                notice: Duration::from_millis(2_500),
                timeout: Duration::from_millis(4_800),
            },
            directory: Directory {
                max_upstream_interval: Duration::from_millis(1_800),
                max_configuration_wait: Duration::from_millis(4_000),
                configuration_wait: Duration::from_millis(1_500),
                upstream_interval: Duration::from_millis(900),
                degraded_interval: Duration::from_millis(300),
                return_grace: Duration::from_millis(2_200),
            },
            placement: Placement {
                lease_ttl: Duration::from_millis(2_500),
                renew_interval: Duration::from_millis(800),
                offline_hold: Duration::from_secs(15),
                takeover_delay: Duration::from_millis(1_500),
                settle_time: Duration::from_millis(1_400),
            },
            peer: None,
        }
    }
}
