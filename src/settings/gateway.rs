//! Section `gateway`: forwarding to the upstreams of a platform.

use std::{net::SocketAddr, time::Duration};

use goldcrestvale_base::id::{Domain, Instance};
use goldcrestvale_entry::settings::Callers;
use goldcrestvale_gateway::settings::{Mode, Peer, Retry, Settings};
use goldcrestvale_route::intake::Machine;

/// Part of the grace period that is reserved for the shutdown itself.
const STOP_RESERVE: Duration = Duration::from_millis(700);

/// Section `gateway`.
#[derive(Debug, Clone)]
pub struct Gateway {
    /// Address of the platform's store; the section is active if it is set.
    pub store: Option<SocketAddr>,
    /// Address of the readiness endpoint.
    pub ready: Option<SocketAddr>,
    /// Address of the metrics and the state dump.
    pub metrics: Option<SocketAddr>,
    /// Number of threads that serve requests.
    pub threads: usize,
    /// Limits of retries to upstreams.
    pub retry: Retry,
    /// Whether streams count by their expected sizes.
    pub cost_routing: Mode,
    /// Service levels, reservation and waiting.
    pub contention: Mode,
    /// Limits of chains that instances share.
    pub chain_limits: Mode,
    /// Whether instances lend each other retries.
    pub retry_loans: Mode,
    /// Interval at which upstreams renew their registration.
    pub heartbeat: Duration,
    /// Time within which the operator expects a confirmed configuration in force.
    pub configuration_bound: Duration,
    /// Whether all instances start for the first time.
    pub first_start: bool,
    /// Grace period of a stop.
    pub grace: Duration,
}

impl Default for Gateway {
    fn default() -> Self {
        Self {
            store: None,
            ready: None,
            metrics: None,
            threads: 1,
            retry: Retry::default(),
            cost_routing: Mode::Off,
            contention: Mode::Auto,
            chain_limits: Mode::Off,
            retry_loans: Mode::Off,
            heartbeat: Duration::from_millis(1_200),
            configuration_bound: Duration::from_secs(3),
            first_start: false,
            grace: Duration::from_secs(8),
        }
    }
}

impl Gateway {
    /// Returns the settings of a gateway instance and the address of the store, if the section is
    /// active.
    pub fn settings(
        &self,
        name: &Instance,
        domain: &Domain,
        callers: &Callers,
        machine: Machine,
        peer: &goldcrestvale_entry::settings::Peer,
    ) -> Option<(Settings, SocketAddr)> {
        let store = self.store?;
        let mut settings = Settings::new(name.clone(), domain.clone());
        settings.callers = callers.address;
        settings.ready = self.ready?;
        settings.metrics = self.metrics?;
        settings.max_connections = callers.connections;
        settings.max_http2_connections = callers.http2_connections;
        settings.machine = machine;
        settings.retry = self.retry;
        settings.cost_routing = self.cost_routing;
        settings.contention = self.contention;
        settings.chain_limits = self.chain_limits;
        settings.retry_loans = self.retry_loans;
        settings.directory.configuration_bound = self.configuration_bound;
        settings.first_start = self.first_start;
        settings.peer = peer.secret.is_some().then(|| Peer {
            address: peer.address,
            seeds: peer.seeds.clone(),
            secret: peer.secret.clone(),
            heartbeat: peer.heartbeat,
        });
        settings.placement.settle_time = self.heartbeat + self.heartbeat / 6;
        let stop = &mut settings.stop;
        stop.timeout = self.grace.saturating_sub(stop.notice + STOP_RESERVE);
        Some((settings, store))
    }
}
