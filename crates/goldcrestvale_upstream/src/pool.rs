//! Connections to upstreams, kept for reuse.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use goldcrestvale_base::exchange::{Exchange, Unsent};
use http::{Request, Response, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

pub use crate::connection::Protocol;
use crate::{
    carrier::Carrier,
    connection::Connection,
    error::{BrokenSnafu, Error, LateSnafu, MalformedSnafu, OversizedSnafu, Result, UnsentSnafu},
};

/// Bounds of the calls through a pool.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// How long a connection attempt may take.
    pub connect_timeout: Duration,
    /// Idle HTTP/1.1 connections kept per upstream.
    pub idle_per_upstream: usize,
    /// Largest accepted answer, in bytes.
    pub answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_per_upstream: 64,
            answer_bytes: 8 << 20,
        }
    }
}

/// A whole answer of an upstream.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Bytes,
}

type Idle = HashMap<SocketAddr, Vec<Connection>>;

/// Connections of one protocol to any number of upstreams.
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
    idle: Arc<Mutex<Idle>>,
}

/// A request head and body with the proof that it is unsent.
struct Unsendable {
    head: Parts,
    body: Bytes,
    exchange: Exchange<Unsent>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(protocol: Protocol, limits: Limits) -> Self {
        Self { protocol, limits, idle: Arc::default() }
    }

    /// Returns the number of connections kept for reuse.
    pub fn idle(&self) -> usize {
        self.with_idle(|idle| idle.values().map(Vec::len).sum())
    }

    /// Drops the connections to upstreams that a predicate rejects.
    pub fn retain(&self, mut keep: impl FnMut(&SocketAddr) -> bool) {
        self.with_idle(|idle| idle.retain(|address, _| keep(address)));
    }

    /// Sends a request and returns its whole answer.
    ///
    /// The request is sent at most once: it moves to a fresh connection only if the transport
    /// handed it back unsent.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        exchange: Exchange<Unsent>,
        limit: Duration,
    ) -> Result<Reply> {
        let (head, body) = request.into_parts();
        let call = self.exchange(address, Unsendable { head, body, exchange });
        match timeout(limit, call).await {
            Ok(reply) => reply,
            Err(_) => LateSnafu { address, waited_ms: limit.as_millis() }.fail(),
        }
    }

    async fn exchange(&self, address: SocketAddr, mut unsent: Unsendable) -> Result<Reply> {
        while let Some(connection) = self.take(address) {
            match self.send(address, connection, unsent).await? {
                Attempt::Answered(reply) => return Ok(reply),
                Attempt::HandedBack(back, _) => unsent = back,
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
            Attempt::Answered(reply) => Ok(reply),
            Attempt::HandedBack(back, detail) => {
                UnsentSnafu { address, detail, verdict: back.exchange.refuse() }.fail()
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> std::result::Result<Connection, String> {
        let limit = self.limits.connect_timeout;
        match timeout(limit, Connection::open(address, self.protocol)).await {
            Ok(connection) => connection,
            Err(_) => Err(format!("no connection within {} ms", limit.as_millis())),
        }
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        unsent: Unsendable,
    ) -> Result<Attempt> {
        if let Some(shared) = connection.try_share() {
            self.put(address, shared);
        }
        let carrier = Carrier::new(unsent.body, unsent.exchange);
        let request = Request::from_parts(unsent.head, carrier);
        let response = match connection.send(request).await {
            Ok(response) => response,
            Err(mut failure) => {
                let detail = failure.error().to_string();
                let Some(request) = failure.take_message() else {
                    return BrokenSnafu { address, detail }.fail();
                };
                let (head, carrier) = request.into_parts();
                let (body, exchange) = carrier.into_parts();
                return Ok(Attempt::HandedBack(Unsendable { head, body, exchange }, detail));
            }
        };
        let reply = self.collect(address, response).await?;
        if self.protocol == Protocol::Http1 {
            self.put(address, connection);
        }
        Ok(Attempt::Answered(reply))
    }

    async fn collect(&self, address: SocketAddr, response: Response<Incoming>) -> Result<Reply> {
        let limit = self.limits.answer_bytes;
        let (head, body) = response.into_parts();
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(Reply { head, body: body.to_bytes() }),
            Err(e) if e.is::<LengthLimitError>() => OversizedSnafu { address, limit }.fail(),
            Err(e) => BrokenSnafu { address, detail: e.to_string() }.fail(),
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.with_idle(|idle| {
            let kept = idle.get_mut(&address)?;
            while let Some(connection) = kept.pop() {
                if connection.is_ready() {
                    return Some(connection);
                }
            }
            None
        })
    }

    fn put(&self, address: SocketAddr, connection: Connection) {
        let most = match self.protocol {
            Protocol::Http1 => self.limits.idle_per_upstream,
            Protocol::Http2 => 1,
        };
        self.with_idle(|idle| {
            let kept = idle.entry(address).or_default();
            if kept.len() < most {
                kept.push(connection);
            }
        });
    }

    fn with_idle<T>(&self, change: impl FnOnce(&mut Idle) -> T) -> T {
        change(&mut self.idle.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

enum Attempt {
    Answered(Reply),
    HandedBack(Unsendable, String),
}

/// Decodes a JSON body of an upstream's answer.
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
