//! What the gateway needs of the platform that it runs on.
//!
//! An adapter implements these traits; nothing in it decides. The gateway names no header, path or
//! topic of a platform.

use std::{future::Future, net::SocketAddr, time::Duration};

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Offset, Service, Upstream},
};
use goldcrestvale_route::{forward::Configuration, pipeline::Stage};
use http::{HeaderMap, HeaderValue, StatusCode};
use snafu::Snafu;

/// The result of a call to the platform or to an engine's control interface.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to the platform or to an engine's control interface.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The records from the asked offset on were dropped; the subject must be listed again.
    #[snafu(display("the records from offset {from} on are gone"))]
    Trimmed {
        /// The offset that was asked for.
        from: Offset,
    },
    /// The call was refused and had no effect.
    #[snafu(display("{call} was refused with status {status}"))]
    Refused {
        /// The call.
        call: &'static str,
        /// Status of the answer.
        status: StatusCode,
    },
    /// No usable answer came; the call may have had an effect.
    #[snafu(display("{call} failed: {detail}"))]
    Unknown {
        /// The call.
        call: &'static str,
        /// What was seen.
        detail: String,
    },
}

/// What a caller asks beside its method, path and body.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Identifier of the attempt; upstreams echo it.
    pub id: Option<HeaderValue>,
    /// How long the caller waits, from the arrival of the request.
    pub timeout: Option<Duration>,
    /// The caller's credential.
    pub credential: Option<String>,
    /// The last event that the caller has of a resumed stream.
    pub last_event: Option<u64>,
}

/// What an upstream is told beside the caller's method, path, headers and body.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch<'d> {
    /// How long the caller still waits.
    pub time_left: Duration,
    /// The upstream that is to run the request; another one at the address refuses.
    pub upstream: &'d Upstream,
    /// The customer, where the configuration holds customers.
    pub customer: Option<&'d str>,
    /// The chain, for streams that pass through several engines.
    pub chain: Option<&'d [Stage]>,
    /// The last event that the caller has, where a stream goes on.
    pub last_event: Option<u64>,
}

/// The load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What an upstream's answer says beside its status and body.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// Identifier of the attempt that is answered.
    pub id: Option<HeaderValue>,
    /// Whether the upstream itself vouches for the answer.
    pub is_signed: bool,
    /// Whether the request did not run and never will.
    pub is_not_run: bool,
    /// Load of the upstream.
    pub load: Option<Load>,
    /// The engine of the chain that was at fault.
    pub at_fault: Option<SocketAddr>,
}

/// Reads and writes the headers of requests and answers.
pub trait Headers: Send + Sync + 'static {
    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// Reads a caller's request headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Turns a caller's headers into those for an upstream.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Reads the headers of an upstream's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Removes from an answer what concerns one connection only.
    fn strip_hop_headers(&self, headers: &mut HeaderMap);
}

goldcrestvale_base::domain! {
value
/// What an engine holds, as its registration says.
pub struct Holding {
    /// Kind of card.
    pub card: String,
    /// Layers that it holds.
    pub layers: Option<Layers>,
}

/// An upstream as the platform lists it.
pub struct Registration {
    /// Name of this life of the upstream.
    pub upstream: Upstream,
    /// The service that it runs.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Whether it takes new work; false once it is leaving.
    pub ready: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When it started, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// Counts its registrations in this life; a higher one is newer.
    pub revision: u64,
    /// What it holds, for engines.
    pub holding: Option<Holding>,
    /// Counts what was learned of it since that registration.
    pub amended: u32,
}
}

/// What a directory keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Resource {
    /// The configuration.
    Configuration,
    /// The upstreams.
    Upstreams,
}

/// One change of a directory.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A version of the configuration.
    Configuration(Box<Configuration>),
    /// An upstream joined or changed.
    Registered(Registration),
    /// The record of this key is gone.
    Gone(String),
    /// A record that names nothing usable.
    Unreadable {
        /// Key of the record.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
}

/// Changes and where to read on.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Where to read on.
    pub next: Offset,
}

/// Reads what operators and upstreams write.
pub trait Directory: Send + Sync + 'static {
    /// Lists the newest record of every key.
    fn list(&self, resource: Resource) -> impl Future<Output = Result<Page>> + Send;

    /// Reads on from an offset; waits up to `wait` for the first record.
    fn tail(
        &self,
        resource: Resource,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page>> + Send;
}

/// A stream that waits for an engine which does not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StalledStream {
    /// Identifier of the attempt.
    pub id: String,
    /// Address of the engine that is waited for.
    pub address: SocketAddr,
}

/// The state of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Layers that it holds.
    pub layers: Option<Layers>,
    /// Orders that it accepted in this life.
    pub orders: u64,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Streams that run.
    pub running: u32,
    /// Streams that wait.
    pub waiting: u32,
    /// Share of its memory for streams that is taken, from 0 to 1.
    pub memory_used: f64,
    /// Streams that it heads and that are stalled.
    pub stalled: Vec<StalledStream>,
}

/// What an engine does with the streams that pass through layers that it releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// It waits for their end.
    Wait,
    /// It cuts them off.
    Cut,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has begun.
    Begun,
    /// The state already holds.
    Done,
    /// The engine's state does not fit it.
    Conflict,
    /// The engine, or the stream that it names, is not there.
    Missing,
}

/// Speaks to the engines' control interface.
pub trait EngineControl: Send + Sync + 'static {
    /// Reads an engine's state.
    fn report(&self, address: SocketAddr) -> impl Future<Output = Result<Report>> + Send;

    /// Orders an engine to hold a range of layers, if it has accepted `expected` orders so far.
    fn place(
        &self,
        address: SocketAddr,
        layers: Layers,
        release: Release,
        expected: u64,
    ) -> impl Future<Output = Result<OrderOutcome>> + Send;

    /// Moves a running stream to another chain with the same first engine.
    fn repath(
        &self,
        id: &str,
        chain: &[Stage],
    ) -> impl Future<Output = Result<OrderOutcome>> + Send;
}

/// A duty that one instance holds at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Number of the last change of hands that was seen.
    pub generation: u64,
    /// Whether this instance holds the duty.
    pub is_held: bool,
}

/// Hands the duty of placing layers to one instance at a time.
pub trait LeaderElection: Send + Sync + 'static {
    /// Asks for the duty or keeps it for `ttl`.
    fn renew(
        &self,
        member: &str,
        generation: u64,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease>> + Send;

    /// Gives the duty up.
    fn release(&self, member: &str) -> impl Future<Output = Result<()>> + Send;
}

/// Everything that the gateway needs of a platform.
pub trait Port: Headers + Directory + EngineControl + LeaderElection {}

impl<P: Headers + Directory + EngineControl + LeaderElection> Port for P {}
