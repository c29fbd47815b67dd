//! The life cycle of a gateway instance: start, serve, drain, stop.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestvale_entry::{
    crash_watch::parts_text,
    metrics::{self, Recorder},
    server::{Bounds, Server, ServerHandle},
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use log::{info, warn};
use serde_json::json;
use snafu::{ResultExt, Snafu};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tower::service_fn;

use crate::{
    chain_limits, directory_sync, failover, forward,
    gateway::Gateway,
    metrics::Metrics,
    peers, placement,
    port::Port,
    settings::{Retry, Settings},
};

/// The result of running an instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum size of a request head before a configuration limits it, in bytes.
const MAX_HEADER_BYTES: u32 = 64 << 10;

/// Timeout for receiving a request head before a configuration limits it.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection of a caller may stay idle before a configuration limits it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of connections to the readiness check and to the metrics.
const MAX_CONTROL_CONNECTIONS: usize = 32;

/// How many of them may use HTTP/2.
const MAX_CONTROL_HTTP2_CONNECTIONS: usize = 4;

/// How long a control request in progress may take during the stop.
const CONTROL_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// A failure to run an instance.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address} for {interface}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The interface that it is for.
        interface: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: metrics::Error,
    },
}

/// A started gateway instance.
#[derive(Debug)]
pub struct Instance<P> {
    gateway: Arc<Gateway<P>>,
    callers: ServerHandle,
    ready: ServerHandle,
    metrics: ServerHandle,
    peers: Option<SocketAddr>,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
    placement: JoinHandle<()>,
    placement_stop: CancellationToken,
}

impl<P: Port> Instance<P> {
    /// Binds the addresses and starts the tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the metrics cannot be set up.
    pub async fn start(settings: Settings, port: P) -> Result<Self> {
        let recorder = Recorder::new().context(MetricsSnafu)?;
        let gateway = Arc::new(Gateway::new(settings, port, Metrics::new(recorder)));
        let settings = &gateway.settings;
        let callers = {
            let shared = gateway.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = forward::serve(shared.clone(), request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let address = settings.callers;
            let context = ListenSnafu { address, interface: "callers" };
            let server = Server::bind(address, gateway.callers_bounds.clone()).await;
            let meter = gateway.metrics.recorder().meter();
            let server = server.context(context)?.with_intake(gateway.intake.clone(), &meter);
            server.start(service, settings.stop.timeout).context(context)?
        };
        gateway.set_callers_port(callers.address().port());
        let ready = listen_control(&gateway, settings.ready, "readiness", serve_readiness).await?;
        let metrics = listen_control(&gateway, settings.metrics, "metrics", serve_metrics).await?;
        let peers = match &settings.peer {
            Some(peer) => {
                let address = peer.address;
                let context = ListenSnafu { address, interface: "peers" };
                Some(peers::start(&gateway, peer).await.context(context)?)
            }
            None => None,
        };
        let stop = CancellationToken::new();
        let tasks = vec![
            tokio::spawn(peers::run(gateway.clone(), stop.clone())),
            tokio::spawn(chain_limits::run(gateway.clone(), stop.clone())),
            tokio::spawn(directory_sync::sync_configuration(gateway.clone(), stop.clone())),
            tokio::spawn(directory_sync::sync_upstreams(gateway.clone(), stop.clone())),
            tokio::spawn(failover::run(gateway.clone(), stop.clone())),
            tokio::spawn(goldcrestvale_entry::trial_log::follow(gateway.clone(), stop.clone())),
            tokio::spawn(goldcrestvale_entry::trial_log::write(gateway.clone(), stop.clone())),
        ];
        let placement_stop = stop.child_token();
        let placement = tokio::spawn(placement::run(gateway.clone(), placement_stop.clone()));
        info!(
            instance:% = settings.name,
            domain:% = settings.domain,
            callers:% = callers.address(),
            ready:% = ready.address(),
            metrics:% = metrics.address();
            "listening"
        );
        Ok(Self { gateway, callers, ready, metrics, peers, stop, tasks, placement, placement_stop })
    }

    /// Returns the address of the callers' interface.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the readiness check.
    pub fn ready(&self) -> SocketAddr {
        self.ready.address()
    }

    /// Returns the address of the metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics.address()
    }

    /// Returns the address for peers, if this instance has peers configured.
    pub fn peers(&self) -> Option<SocketAddr> {
        self.peers
    }

    /// Applies a changed retry budget.
    pub fn reload(&self, retry: Retry) {
        self.gateway.set_retry(retry);
    }

    /// Drains and stops the instance; returns whether every request in progress could finish.
    ///
    /// The instance stops being ready at once, but accepts connections until the load balancer has
    /// noticed. Then it finishes the requests in progress.
    pub async fn stop(self) -> bool {
        let settings = self.gateway.settings.stop;
        self.gateway.start_leaving();
        info!(streams = self.gateway.registry.len(); "leaving");
        // Another instance takes over placement while this one drains.
        self.placement_stop.cancel();
        tokio::time::sleep(settings.notice).await;
        let clean = self.callers.finish().await;
        self.stop.cancel();
        if let Err(e) = self.placement.await {
            warn!(error:% = e; "the placement task failed");
        }
        self.gateway.peers.stop().await;
        for task in self.tasks {
            task.abort();
        }
        self.ready.finish().await;
        self.metrics.finish().await;
        info!(clean; "stopped");
        clean
    }
}

/// Returns the bounds of a server before a configuration limits them.
pub(crate) fn bounds(connections: usize, http2_connections: usize) -> Bounds {
    Bounds {
        header_bytes: MAX_HEADER_BYTES,
        header_timeout: HEADER_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        connections,
        http2_connections,
    }
}

/// Starts the listener of the readiness check or the metrics.
async fn listen_control<P: Port>(
    gateway: &Arc<Gateway<P>>,
    address: SocketAddr,
    interface: &'static str,
    answer: fn(&Gateway<P>, &Request<Incoming>) -> Response<Full<Bytes>>,
) -> Result<ServerHandle> {
    let gateway = gateway.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer(&gateway, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let bounds = bounds(MAX_CONTROL_CONNECTIONS, MAX_CONTROL_HTTP2_CONNECTIONS);
    let context = ListenSnafu { address, interface };
    ServerHandle::start(address, bounds, service, CONTROL_DRAIN_TIMEOUT).await.context(context)
}

fn serve_readiness<P: Port>(
    gateway: &Gateway<P>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let status = match (request.uri().path() == gateway.port.ready_path(), gateway.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    respond(status, Bytes::new())
}

fn serve_metrics<P>(gateway: &Gateway<P>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/metrics" => match gateway.metrics.recorder().scrape() {
            Ok(text) => respond(StatusCode::OK, text.into()),
            Err(e) => respond(StatusCode::INTERNAL_SERVER_ERROR, e.to_string().into()),
        },
        "/dump" => respond(StatusCode::OK, dump(gateway).to_string().into()),
        path => respond(StatusCode::NOT_FOUND, format!("no page {path}\n").into()),
    }
}

fn dump<P>(gateway: &Gateway<P>) -> serde_json::Value {
    let view = gateway.view.load();
    let fleets: Vec<_> = view
        .fleets
        .iter()
        .map(|(service, fleet)| {
            let chains: Vec<_> = fleet.chains.iter().map(|chain| json!(chain.as_ref())).collect();
            json!({ "service": service, "engines": fleet.engines, "lines": chains })
        })
        .collect();
    json!({
        "instance": gateway.settings.name,
        "domain": gateway.settings.domain,
        "configuration": gateway.table.load().version(),
        "ready": gateway.is_ready(),
        "directory_age_ms": gateway.directory.age(gateway.now()).map(|age| age.as_millis() as u64),
        "duty": gateway.is_placement_leader(),
        "streams": gateway.registry.len(),
        "quarantined": gateway
            .crash_watch
            .holds(gateway.now())
            .iter()
            .map(|hold| json!({ "parts": parts_text(&hold.parts), "left_s": hold.left.as_secs() }))
            .collect::<Vec<_>>(),
        "quarantined_requests": gateway
            .crash_watch
            .request_holds(gateway.now())
            .iter()
            .map(|(request, left)| json!({ "content": request.to_string(), "left_s": left.as_secs() }))
            .collect::<Vec<_>>(),
        "links_lost": gateway.are_links_lost(),
        "fleets": fleets,
    })
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
