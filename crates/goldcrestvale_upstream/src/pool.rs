//! A pool of reusable connections to upstreams.

use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use goldcrestvale_base::exchange::{Exchange, Unsent};
use http::{Request, Response, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use snafu::ensure;
use tokio::{net::TcpStream, time::timeout};

pub use crate::connection::Protocol;
use crate::{
    connection::Connection,
    error::{
        BrokenSnafu, Error, MalformedSnafu, OversizedSnafu, Result, TimeoutSnafu, UnsentSnafu,
    },
    exchange_body::ExchangeBody,
    status,
};

/// Limits of a pool and of the calls through it.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum time of a connection attempt.
    pub connect_timeout: Duration,
    /// Maximum number of idle HTTP/1.1 connections per upstream.
    pub max_idle_per_upstream: usize,
    /// Maximum time for which an idle connection is kept for reuse.
    pub idle_timeout: Duration,
    /// Maximum size of an answer, in bytes.
    pub max_answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            max_idle_per_upstream: 64,
            idle_timeout: Duration::from_secs(3_600),
            max_answer_bytes: 8 << 20,
        }
    }
}

/// An answer whose body is still being received.
#[derive(Debug)]
pub struct StreamingReply {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body. Dropping it before its end closes the connection.
    pub body: Incoming,
    pooled: PooledConnection,
}

impl StreamingReply {
    /// Splits the answer into its head, its body and the connection that carries the body.
    pub fn into_parts(self) -> (http::response::Parts, Incoming, PooledConnection) {
        (self.head, self.body, self.pooled)
    }
}

/// How an address answers a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// It accepts it.
    Accepted,
    /// Its host answers, and nothing listens at the address.
    Refused,
    /// Nothing answers in time.
    Silent,
}

/// A connection that carries an answer. Dropping this value closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: SocketAddr,
    connection: Connection,
}

impl PooledConnection {
    /// Returns the connection to the pool for reuse; call it once the complete body was received.
    pub fn return_to_pool(self) {
        self.pool.put(self.address, self.connection);
    }
}

/// A complete answer of an upstream.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The complete body.
    pub body: Bytes,
}

/// The idle connections of each upstream, and when each was returned.
type IdleConnections = HashMap<SocketAddr, Vec<(Connection, Instant)>>;

/// A pool of connections of one protocol to any number of upstreams.
///
/// # Examples
///
/// ```
/// use goldcrestvale_upstream::pool::{Limits, Pool, Protocol};
///
/// let pool = Pool::new(Protocol::Http2, Limits::default());
/// assert_eq!(pool.idle(), 0);
/// ```
#[derive(Debug, Clone)]
pub struct Pool {
    protocol: Protocol,
    limits: Limits,
    idle: Arc<Mutex<IdleConnections>>,
    observer: Option<Observer>,
}

/// Is told of each attempt to open a connection, and whether it was opened.
#[derive(Clone)]
struct Observer(Arc<dyn Fn(SocketAddr, bool) + Send + Sync>);

impl fmt::Debug for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Observer")
    }
}

/// A request with the proof that it is unsent.
struct UnsentRequest {
    head: Parts,
    body: Bytes,
    exchange: Exchange<Unsent>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(protocol: Protocol, limits: Limits) -> Self {
        Self { protocol, limits, idle: Arc::default(), observer: None }
    }

    /// Sets what is told of each attempt to open a connection: the address, and whether it was opened.
    pub fn observe(self, observer: impl Fn(SocketAddr, bool) + Send + Sync + 'static) -> Self {
        Self { observer: Some(Observer(Arc::new(observer))), ..self }
    }

    /// Opens a connection and keeps it for the next request, to find out whether an address can be
    /// reached.
    ///
    /// # Errors
    ///
    /// Fails with the reason if no connection can be opened.
    pub async fn probe(&self, address: SocketAddr) -> std::result::Result<(), String> {
        let connection = self.connect(address).await?;
        self.put(address, connection);
        Ok(())
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.with_idle(|idle| idle.values().map(Vec::len).sum())
    }

    /// Drops the idle connections to upstreams for which the predicate returns `false`.
    pub fn retain(&self, mut keep: impl FnMut(&SocketAddr) -> bool) {
        self.with_idle(|idle| idle.retain(|address, _| keep(address)));
    }

    /// Sends a request and returns its complete answer.
    ///
    /// The request is sent at most once: it is sent on another connection only if the transport
    /// returned it unsent.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Unsent`] if no byte was sent, and otherwise with the failure seen.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        exchange: Exchange<Unsent>,
        time_limit: Duration,
    ) -> Result<Reply> {
        let (head, body) = request.into_parts();
        let call = self.exchange(address, UnsentRequest { head, body, exchange });
        match timeout(time_limit, call).await {
            Ok(reply) => reply,
            Err(_) => TimeoutSnafu { address, waited_ms: time_limit.as_millis() }.fail(),
        }
    }

    /// Sends a request and returns its complete answer, however long it takes to arrive.
    ///
    /// `head_limit` is the maximum time until the head of the answer arrives, and `pause_limit` the
    /// maximum time without a further byte of it: the time of a long answer depends on the link.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::call`] does.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        exchange: Exchange<Unsent>,
        head_limit: Duration,
        pause_limit: Duration,
    ) -> Result<Reply> {
        let late = |limit: Duration| TimeoutSnafu { address, waited_ms: limit.as_millis() };
        let opened = timeout(head_limit, self.open(address, request, exchange)).await;
        let Ok(opened) = opened else { return late(head_limit).fail() };
        let (head, mut body, pooled) = opened?.into_parts();
        let limit = self.limits.max_answer_bytes;
        let mut received = BytesMut::new();
        loop {
            let frame = match timeout(pause_limit, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(e))) => {
                    return BrokenSnafu { address, detail: e.to_string() }.fail();
                }
                Ok(None) => break,
                Err(_) => return late(pause_limit).fail(),
            };
            let Some(data) = frame.data_ref() else { continue };
            ensure!(received.len() + data.len() <= limit, OversizedSnafu { address, limit });
            received.extend_from_slice(data);
        }
        if self.protocol == Protocol::Http1 {
            pooled.return_to_pool();
        }
        Ok(Reply { head, body: received.freeze() })
    }

    async fn exchange(&self, address: SocketAddr, unsent: UnsentRequest) -> Result<Reply> {
        let opened = self.open_unsent(address, unsent).await?;
        let (head, body, pooled) = opened.into_parts();
        let reply = self.collect(address, Response::from_parts(head, body)).await?;
        if self.protocol == Protocol::Http1 {
            pooled.return_to_pool();
        }
        Ok(reply)
    }

    /// Sends a request and returns its answer once the head was received.
    ///
    /// The request is sent at most once, as by [`Pool::call`]. The caller has to apply a timeout.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Unsent`] if no byte was sent, and otherwise with [`Error::Broken`].
    pub async fn open(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        exchange: Exchange<Unsent>,
    ) -> Result<StreamingReply> {
        let (head, body) = request.into_parts();
        self.open_unsent(address, UnsentRequest { head, body, exchange }).await
    }

    /// Returns whether the host of an address answers and refuses connections to it, as after the
    /// end of its process.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        self.try_connect(address).await == Acceptance::Refused
    }

    /// Returns how an address answers a connection, which is closed at once.
    pub async fn try_connect(&self, address: SocketAddr) -> Acceptance {
        match timeout(self.limits.connect_timeout, TcpStream::connect(address)).await {
            Ok(Ok(_)) => Acceptance::Accepted,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Acceptance::Refused,
            Ok(Err(_)) | Err(_) => Acceptance::Silent,
        }
    }

    async fn open_unsent(
        &self,
        address: SocketAddr,
        mut unsent: UnsentRequest,
    ) -> Result<StreamingReply> {
        while let Some(connection) = self.take(address) {
            match self.send(address, connection, unsent).await? {
                Attempt::Answered(opened) => return Ok(opened),
                Attempt::Returned(request, _) => unsent = request,
            }
        }
        let connection = match self.connect(address).await {
            Ok(connection) => connection,
            Err(detail) => {
                let verdict = unsent.exchange.refuse();
                return UnsentSnafu { address, detail, verdict }.fail();
            }
        };
        match self.send(address, connection, unsent).await? {
            Attempt::Answered(opened) => Ok(opened),
            Attempt::Returned(request, detail) => {
                UnsentSnafu { address, detail, verdict: request.exchange.refuse() }.fail()
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> std::result::Result<Connection, String> {
        let time_limit = self.limits.connect_timeout;
        let opening = timeout(time_limit, Connection::open(address, self.protocol));
        let connection = opening
            .await
            .unwrap_or_else(|_| Err(format!("no connection within {} ms", time_limit.as_millis())));
        if let Some(Observer(observer)) = &self.observer {
            observer(address, connection.is_ok());
        }
        connection
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        unsent: UnsentRequest,
    ) -> Result<Attempt> {
        if let Some(shared) = connection.try_share() {
            self.put(address, shared);
        }
        let body = ExchangeBody::new(unsent.body, unsent.exchange);
        let request = Request::from_parts(unsent.head, body);
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(mut failure) => {
                let detail = failure.error().to_string();
                let Some(request) = failure.take_message() else {
                    return BrokenSnafu { address, detail }.fail();
                };
                let (head, body) = request.into_parts();
                let (body, exchange) = body.into_parts();
                return Ok(Attempt::Returned(UnsentRequest { head, body, exchange }, detail));
            }
        };
        let (head, body) = response.into_parts();
        if !status::is_final(head.status) {
            let detail = format!("status {} ends no request", head.status.as_u16());
            return BrokenSnafu { address, detail }.fail();
        }
        let pooled = PooledConnection { pool: self.clone(), address, connection };
        Ok(Attempt::Answered(StreamingReply { head, body, pooled }))
    }

    async fn collect(&self, address: SocketAddr, response: Response<Incoming>) -> Result<Reply> {
        let limit = self.limits.max_answer_bytes;
        let (head, body) = response.into_parts();
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(Reply { head, body: body.to_bytes() }),
            Err(e) if e.is::<LengthLimitError>() => OversizedSnafu { address, limit }.fail(),
            Err(e) => BrokenSnafu { address, detail: e.to_string() }.fail(),
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.with_idle(|idle| {
            let available = idle.get_mut(&address)?;
            while let Some((connection, since)) = available.pop() {
                if since.elapsed() <= self.limits.idle_timeout && connection.is_ready() {
                    return Some(connection);
                }
            }
            None
        })
    }

    fn put(&self, address: SocketAddr, connection: Connection) {
        let max_idle = match self.protocol {
            Protocol::Http1 => self.limits.max_idle_per_upstream,
            Protocol::Http2 => 1,
        };
        self.with_idle(|idle| {
            let available = idle.entry(address).or_default();
            if available.len() < max_idle {
                available.push((connection, Instant::now()));
            }
        });
    }

    fn with_idle<T>(&self, change: impl FnOnce(&mut IdleConnections) -> T) -> T {
        change(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

enum Attempt {
    Answered(StreamingReply),
    Returned(UnsentRequest, String),
}

/// Decodes the JSON body of an answer.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(
    address: SocketAddr,
    body: &[u8],
) -> Result<T> {
    serde_json::from_slice(body)
        .or_else(|e| MalformedSnafu { address, detail: e.to_string() }.fail())
}

/// Builds a request with a JSON body.
pub(crate) fn json_request(
    method: http::Method,
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body.into())
        .map_err(|e| Error::Malformed { address, detail: e.to_string() })
}
