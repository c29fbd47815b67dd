//! The interface between the gateway and the platform that it runs on.
//!
//! An adapter implements these traits and makes no decisions. The gateway knows no header, path or
//! topic of a platform.

use std::{collections::HashMap, future::Future, net::SocketAddr, time::Duration};

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Offset, Service, Upstream},
    prompt::{Part, Parts},
};
use goldcrestvale_route::{forward::Configuration, pipeline::Stage, trials::Record};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The result of a call to the platform or to an engine's control interface.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to the platform or to an engine's control interface.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The records from the requested offset on were dropped; the resource must be listed again.
    #[snafu(display("the records from offset {from} on are gone"))]
    Trimmed {
        /// The requested offset.
        from: Offset,
    },
    /// The platform came back from an older copy, whose offsets are not those of before; the resource
    /// must be listed again, and what was written since the copy may be missing for a while.
    #[snafu(display("the records from offset {from} on are those of an older copy"))]
    Restored {
        /// The requested offset.
        from: Offset,
    },
    /// The call was rejected and had no effect.
    #[snafu(display("{call} was refused with status {status}"))]
    Refused {
        /// The call.
        call: &'static str,
        /// Status of the answer.
        status: StatusCode,
        /// How long the callee wants no further call, if it is overloaded.
        retry_after: Option<Duration>,
    },
    /// No valid answer arrived; the call may have had an effect.
    #[snafu(display("{call} failed: {detail}"))]
    Unknown {
        /// The call.
        call: &'static str,
        /// Description of the failure.
        detail: String,
    },
}

/// Maximum number of tokens in a statement of a caller; larger ones count as this one.
pub const MAX_TOKENS: u32 = 1_000_000;

/// Values decoded from the headers of a caller's request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Identifier of the attempt; upstreams echo it.
    pub id: Option<HeaderValue>,
    /// How long the caller waits, from the arrival of the request.
    pub timeout: Option<Duration>,
    /// The caller's credential.
    pub credential: Option<String>,
    /// The last event that the caller received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// The parts of the prompt that other requests may share.
    pub parts: Parts,
    /// The whole prompt, if the caller names its parts.
    pub prompt: Option<Part>,
    /// The sizes that the caller states.
    pub sizes: Option<Sizes>,
    /// The caller's estimate of the answer, in tokens; exact at the median and often far off.
    pub answer_hint: Option<u32>,
}

/// The sizes of a request that its caller states, from 1 to [`MAX_TOKENS`] each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum tokens of the answer.
    pub max_answer: u32,
}

/// Values that are added to a request for an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch<'d> {
    /// How long the caller still waits.
    pub time_left: Duration,
    /// The upstream that is to run the request; another one at the same address rejects it.
    pub upstream: &'d Upstream,
    /// The customer, if the configuration has customers.
    pub customer: Option<&'d str>,
    /// The chain, for streams that pass through several engines.
    pub chain: Option<&'d [Stage]>,
    /// The last event that the caller received, if the stream is resumed.
    pub last_event: Option<u64>,
}

/// The load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Values decoded from the headers of an upstream's answer.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// Identifier of the attempt that is answered.
    pub id: Option<HeaderValue>,
    /// Whether the upstream signed the answer.
    pub is_signed: bool,
    /// Whether the request did not run and never will.
    pub is_not_run: bool,
    /// Load of the upstream.
    pub load: Option<Load>,
    /// The engine of the chain that was at fault.
    pub at_fault: Option<SocketAddr>,
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
    /// How long the upstream wants no further request, if it is overloaded.
    pub retry_after: Option<Duration>,
    /// Requests per second that the upstream takes from all instances together, if it is overloaded.
    pub rate_limit: Option<f64>,
}

/// Reads and writes the headers of requests and answers.
pub trait Headers: Send + Sync + 'static {
    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// Reads a caller's request headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Converts a caller's headers into those for an upstream.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Converts a caller's headers into those for a peer, which serves the request in its place.
    fn write_relay(&self, headers: &mut HeaderMap, time_left: Duration);

    /// Reads the headers of an upstream's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Removes the hop-by-hop headers of an answer.
    fn strip_hop_headers(&self, headers: &mut HeaderMap);
}

goldcrestvale_base::domain! {
value
/// The accelerator and the layers of an engine, from its registration.
pub struct Holding {
    /// Kind of card.
    pub card: String,
    /// Layers that the engine holds.
    pub layers: Option<Layers>,
}

/// An upstream in the platform's directory.
pub struct Registration {
    /// Name of this incarnation of the upstream.
    pub upstream: Upstream,
    /// The service that it runs.
    pub service: Service,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Domain,
    /// Whether it accepts new work; false once it is leaving.
    pub ready: bool,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// When it started, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// Number of its registrations since it started; a higher one is newer.
    pub revision: u64,
    /// Accelerator and layers, for engines.
    pub holding: Option<Holding>,
    /// Number of corrections by instances since that registration.
    pub amended: u32,
}
}

/// A registration as an instance sends it to others, with the age of what it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Presence {
    /// The registration.
    #[serde(flatten)]
    pub registration: Registration,
    /// Offset up to which the directory is known to list the upstream; 0 if the sender does not say.
    #[serde(default)]
    pub listed_to: Offset,
}

/// A resource that the directory keeps.
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
    /// A record that cannot be decoded.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Description of the error.
        detail: String,
    },
}

impl Change {
    /// Returns the key of the upstream's record, if the change is one of an upstream.
    pub fn upstream_key(&self) -> Option<&str> {
        match self {
            Self::Registered(registration) => Some(registration.upstream.as_str()),
            Self::Gone(key) | Self::Unreadable { key, .. } => Some(key),
            Self::Configuration(_) => None,
        }
    }
}

/// A page of changes.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Offset of the next read.
    pub next: Offset,
}

impl Page {
    /// Returns the page with the last change of each upstream only, so that what a later change
    /// undoes has no effect.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::id::Offset;
    /// use goldcrestvale_gateway::port::{Change, Page};
    ///
    /// let gone = || Change::Gone("engine-1".to_owned());
    /// let unreadable = Change::Unreadable { key: "engine-1".to_owned(), detail: String::new() };
    /// let page = Page { changes: vec![gone(), unreadable, gone()], next: Offset(3) };
    /// assert_eq!(page.newest().changes, [gone()]);
    /// ```
    pub fn newest(self) -> Self {
        let mut last: HashMap<String, usize> = HashMap::new();
        for (index, change) in self.changes.iter().enumerate() {
            if let Some(key) = change.upstream_key() {
                last.insert(key.to_owned(), index);
            }
        }
        let is_last = |index: usize, change: &Change| {
            change.upstream_key().is_none_or(|key| last.get(key) == Some(&index))
        };
        let changes = self.changes.into_iter().enumerate();
        let changes = changes.filter(|(index, change)| is_last(*index, change));
        Self { changes: changes.map(|(_, change)| change).collect(), next: self.next }
    }
}

/// The newest record of every key.
#[derive(Debug, Clone, PartialEq)]
pub struct List<P> {
    /// The records, as a page of changes.
    pub page: P,
    /// Whether the list did not reach all records. It then has those that were written lately.
    pub is_partial: bool,
}

/// Reads the records of operators and upstreams.
pub trait Directory: Send + Sync + 'static {
    /// Returns the newest record of every key.
    fn list(&self, resource: Resource) -> impl Future<Output = Result<List<Page>>> + Send;

    /// Reads the changes from an offset on; waits up to `wait` for the first one.
    fn tail(
        &self,
        resource: Resource,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page>> + Send;
}

/// A stream that waits for an engine that does not answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StalledStream {
    /// Identifier of the attempt.
    pub id: String,
    /// Address of the engine that the stream waits for.
    pub address: SocketAddr,
}

/// The state of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// When the engine that answered started, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// Layers that it holds.
    pub layers: Option<Layers>,
    /// Number of orders that it accepted since it started.
    pub orders: u64,
    /// Whether it is executing an order.
    pub busy: bool,
    /// Streams in progress.
    pub running: u32,
    /// Streams in the queue.
    pub waiting: u32,
    /// Fraction of its memory for streams that is in use, from 0 to 1.
    pub memory_used: f64,
    /// Stalled streams of the chains that it is the first engine of.
    pub stalled: Vec<StalledStream>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Requests per second that it takes from all instances together, if it is overloaded.
    pub rate_limit: Option<f64>,
}

/// How an engine treats the streams that pass through layers that it releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// Waits until they end.
    Wait,
    /// Cuts them off.
    Cut,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine started to execute it.
    Begun,
    /// The engine is already in the ordered state.
    Done,
    /// The engine's state does not match the expected one.
    Conflict,
    /// The engine or the stream does not exist.
    Missing,
}

/// Client of the engines' control interface.
pub trait EngineControl: Send + Sync + 'static {
    /// Reads an engine's state. Another upstream at its address may refuse the call.
    fn report(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
    ) -> impl Future<Output = Result<Report>> + Send;

    /// Orders an engine to hold a range of layers, if it has accepted `expected` orders so far.
    /// Another upstream at its address does not execute the order.
    fn place(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        layers: Layers,
        release: Release,
        expected: u64,
    ) -> impl Future<Output = Result<OrderOutcome>> + Send;

    /// Moves a running stream to another chain with the same first engine. Another upstream at its
    /// address does not execute the order.
    fn repath(
        &self,
        id: &str,
        chain: &[Stage],
    ) -> impl Future<Output = Result<OrderOutcome>> + Send;
}

/// The state of the placement lease, which one instance holds at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Number of the last change of the holder that was observed.
    pub generation: u64,
    /// Whether this instance holds the lease.
    pub is_held: bool,
    /// Number of times that the platform came back from an older copy, which may name an earlier
    /// holder.
    pub era: u64,
}

/// Elects the instance that places layers.
pub trait LeaderElection: Send + Sync + 'static {
    /// Acquires the lease or renews it for `duration`.
    fn renew(
        &self,
        member: &str,
        generation: u64,
        duration: Duration,
    ) -> impl Future<Output = Result<Lease>> + Send;

    /// Releases the lease.
    fn release(&self, member: &str) -> impl Future<Output = Result<()>> + Send;
}

/// A page of the log of trials.
#[derive(Debug, Clone, PartialEq)]
pub struct TrialPage {
    /// The records, in the order of the log.
    pub records: Vec<Record>,
    /// Offset of the next read.
    pub next: Offset,
}

/// Keeps the trials of requests in a log that all instances read, by key.
pub trait TrialLog: Send + Sync + 'static {
    /// Returns the newest record of every key.
    fn list_trials(&self) -> impl Future<Output = Result<List<TrialPage>>> + Send;

    /// Reads the records from an offset on; waits up to `wait` for the first one.
    fn tail_trials(
        &self,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<TrialPage>> + Send;

    /// Appends records, all of them or none.
    fn append_trials(&self, records: &[Record]) -> impl Future<Output = Result<()>> + Send;
}

/// The complete interface of a platform.
pub trait Port: Headers + Directory + EngineControl + LeaderElection + TrialLog {}

impl<P: Headers + Directory + EngineControl + LeaderElection + TrialLog> Port for P {}
