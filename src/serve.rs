//! The life cycle of an entry instance: start, serve, drain, end.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use goldcrestvale_base::id::{Incarnation, Request as RequestId};
use goldcrestvale_entry::{
    admission::QueueRegistration,
    body::Body,
    callers, claims,
    configuration::Configuration,
    daemon::{Builder, Daemon},
    health::Evaluator,
    limits::DemandReporter,
    metrics::{self, Metrics},
    node::Node,
    operators::Api,
    orders::Dispatcher,
    phase::Phase,
    refusal::{Cause, Refusal},
    server::{Bounds, Server, ServerHandle},
    settings::Settings,
    trial_stream::TrialStream,
    watch::Watch,
};
use http::Response;
use log::{info, warn};
use rand::{SeedableRng, rngs::StdRng};
use snafu::{ResultExt, Snafu};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tower::{BoxError, ServiceBuilder, ServiceExt, service_fn};
use uuid::Uuid;

/// The result of running an instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Maximum number of requests of operators in progress; further ones are rejected.
const MAX_OPERATOR_REQUESTS: usize = 32;

/// Maximum number of connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// How many of them may use HTTP/2.
const MAX_OPERATOR_HTTP2_CONNECTIONS: usize = 4;

/// A failure to run an instance.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The runtime cannot be started.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address} for {interface}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The interface that it belongs to.
        interface: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The address for peers cannot be bound.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: goldcrestvale_entry::peers::Error,
    },
    /// A signal handler cannot be set.
    #[snafu(display("cannot handle signals: {source}"))]
    Signals {
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

/// A started entry instance.
#[derive(Debug)]
pub struct Instance {
    daemon: Daemon,
    callers: ServerHandle,
    operators: ServerHandle,
}

impl Instance {
    /// Binds the addresses and starts the tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the metrics cannot be set up.
    pub async fn start(settings: Settings) -> Result<Self> {
        let metrics = Metrics::new().context(MetricsSnafu)?;
        let incarnation = Incarnation::random(&mut StdRng::from_os_rng());
        let node = Node::new(settings, incarnation, metrics);
        let peers = node.peers.start(&node).await.context(PeersSnafu)?;
        let daemon = Builder::new(node.clone())
            .with(Identity)
            .with(Configuration)
            .with(Watch)
            .with(Evaluator)
            .with(peers)
            .with(claims::Runner)
            .with(TrialStream)
            .with(DemandReporter)
            .with(Dispatcher)
            .with(QueueRegistration { name: "drafts", admission: node.drafts.clone() })
            .with(QueueRegistration { name: "calls", admission: node.calls.clone() })
            .start();
        let callers = listen_callers(&node).await?;
        let operators = Api::new(node.clone(), daemon.dump().clone());
        let operators = listen_operators(&node, operators).await?;
        info!(
            instance:% = node.settings.instance.name,
            incarnation:% = incarnation,
            callers:% = callers.address(),
            operators:% = operators.address(),
            peers = node.peers.address().map_or_else(|| "none".to_owned(), |peers| peers.to_string());
            "listening"
        );
        Ok(Self { daemon, callers, operators })
    }

    /// Returns the address of the callers' interface.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the operators' interface.
    pub fn operators(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the shared state of the instance.
    pub fn node(&self) -> &Arc<Node> {
        self.daemon.node()
    }

    /// Serves until a signal or an operator requests a stop, then drains.
    ///
    /// Returns whether every request in progress could finish.
    ///
    /// # Errors
    ///
    /// Fails if signal handlers cannot be set.
    pub async fn run(self) -> Result<bool> {
        let mut signals = Signals::new().context(SignalsSnafu)?;
        let dump = self.daemon.dump().clone();
        let drain = self.node().drain.clone();
        loop {
            tokio::select! {
                () = drain.cancelled() => break,
                action = signals.next() => match action {
                    SignalAction::Stop => break,
                    SignalAction::Dump => info!(state:% = dump.collect(); "state dump"),
                },
            }
        }
        tokio::select! {
            clean = self.stop() => Ok(clean),
            () = signals.next_stop() => {
                warn!("second signal: requests in progress are cut off");
                Ok(false)
            }
        }
    }

    /// Drains and stops the instance; returns whether every request in progress could finish.
    ///
    /// The instance first reports that it is not ready, so that the balancer sends no more
    /// requests. Then it stops accepting, finishes the requests in progress and runs its shutdown
    /// hooks.
    pub async fn stop(self) -> bool {
        let node = self.node().clone();
        node.lifecycle.advance(Phase::Leaving);
        info!(in_progress = node.gate.in_progress(); "leaving");
        tokio::time::sleep(node.settings.stop.notice).await;
        node.lifecycle.advance(Phase::Draining);
        let clean = self.callers.finish().await;
        self.daemon.finish().await;
        self.operators.finish().await;
        info!(clean; "stopped");
        clean
    }
}

async fn listen_callers(node: &Arc<Node>) -> Result<ServerHandle> {
    let Settings { callers, machine, .. } = &node.settings;
    let bounds = Bounds {
        header_bytes: callers.header_bytes,
        header_timeout: callers.header_timeout,
        idle_timeout: callers.idle_timeout,
        connections: callers.connections.min(machine.connections()),
        http2_connections: callers.http2_connections.min(machine.multiplexed_connections()),
    };
    let shared = node.clone();
    let drain = node.settings.stop.timeout;
    let service = service_fn(move |request| {
        let answer = callers::serve(shared.clone(), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let context = ListenSnafu { address: callers.address, interface: "callers" };
    let server = Server::bind(callers.address, bounds).await.context(context)?;
    let server = server.with_intake(node.intake.clone(), &node.metrics.meter());
    server.start(service, drain).context(context)
}

async fn listen_operators(node: &Arc<Node>, api: Api) -> Result<ServerHandle> {
    let callers = &node.settings.callers;
    let bounds = Bounds {
        header_bytes: callers.header_bytes,
        header_timeout: callers.header_timeout,
        idle_timeout: callers.idle_timeout,
        connections: MAX_OPERATOR_CONNECTIONS,
        http2_connections: MAX_OPERATOR_HTTP2_CONNECTIONS,
    };
    let drain = node.settings.callers.body_timeout;
    let answer = service_fn(move |request| {
        let answer = api.clone().serve(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let bounded =
        ServiceBuilder::new().load_shed().concurrency_limit(MAX_OPERATOR_REQUESTS).service(answer);
    let service = service_fn(move |request| {
        let answer = bounded.clone().oneshot(request);
        async move { shed(answer.await) }
    });
    let address = node.settings.operators.address;
    let context = ListenSnafu { address, interface: "operators" };
    ServerHandle::start(address, bounds, service, drain).await.context(context)
}

/// Returns the response to an operator's request that exceeded the concurrency limit.
fn shed(
    answer: std::result::Result<Response<Body>, BoxError>,
) -> std::result::Result<Response<Body>, Infallible> {
    Ok(answer.unwrap_or_else(|_| {
        let detail = format!("{MAX_OPERATOR_REQUESTS} requests of operators are in progress");
        Refusal::unsent(Cause::Busy, detail).respond(RequestId(Uuid::now_v7()))
    }))
}

/// The signals that an instance reacts to.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    dump: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            dump: signal(SignalKind::user_defined1())?,
        })
    }

    async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.dump.recv() => SignalAction::Dump,
        }
    }

    async fn next_stop(&mut self) {
        while !matches!(self.next().await, SignalAction::Stop) {}
    }
}

/// The action that a signal requests.
enum SignalAction {
    Stop,
    Dump,
}

/// Adds the identity of the instance to the state dump.
struct Identity;

impl goldcrestvale_entry::daemon::Part for Identity {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        builder.insert_dump("instance", move || {
            serde_json::json!({
                "name": node.settings.instance.name,
                "domain": node.settings.instance.domain,
                "incarnation": node.incarnation,
                "phase": node.lifecycle.phase(),
                "requests_in_progress": node.gate.in_progress(),
            })
        });
    }
}
