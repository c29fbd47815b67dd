//! The client for plain services.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use goldcrestvale_base::exchange::{Exchange, Unsent};
use http::{HeaderMap, Method, Request, StatusCode};

use crate::{
    error::{Error, Result},
    message::ServiceLoad,
    pool::{Limits, Pool, Protocol, StreamingReply, decode, json_request},
};

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers to send.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A complete answer of a plain service.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A client for any number of instances of plain services, over HTTP/1.1.
#[derive(Debug, Clone)]
pub struct Service {
    pool: Pool,
}

impl Service {
    /// Creates a client without connections.
    pub fn new(limits: Limits) -> Self {
        Self { pool: Pool::new(Protocol::Http1, limits) }
    }

    /// Returns the connection pool, for example to drop idle connections.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Sends a call once and returns its complete answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails if the transport fails; the verdict of the error states whether the call may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: Call,
        exchange: Exchange<Unsent>,
        timeout: Duration,
    ) -> Result<Answer> {
        let (request, exchange) = request(address, call, exchange)?;
        let reply = self.pool.call(address, request, exchange, timeout).await?;
        Ok(Answer { status: reply.head.status, headers: reply.head.headers, body: reply.body })
    }

    /// Sends a call once and returns its answer once the head was received.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::open`] does.
    pub async fn open(
        &self,
        address: SocketAddr,
        call: Call,
        exchange: Exchange<Unsent>,
    ) -> Result<StreamingReply> {
        let (request, exchange) = request(address, call, exchange)?;
        self.pool.open(address, request, exchange).await
    }

    /// Fetches the load report of an instance, which may be stale.
    ///
    /// # Errors
    ///
    /// Fails if the transport fails.
    pub async fn load(&self, address: SocketAddr, timeout: Duration) -> Result<ServiceLoad> {
        let request = json_request(Method::GET, address, "/load", Vec::new())?;
        let reply = self.pool.call(address, request, Exchange::new(), timeout).await?;
        decode(address, &reply.body)
    }
}

fn request(
    address: SocketAddr,
    call: Call,
    exchange: Exchange<Unsent>,
) -> Result<(Request<Bytes>, Exchange<Unsent>)> {
    let mut request = Request::new(call.body);
    *request.method_mut() = call.method;
    *request.headers_mut() = call.headers;
    match call.path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(_) => {
            let detail = format!("{:?} is not a path", call.path);
            return Err(Error::Unsent { address, detail, verdict: exchange.refuse() });
        }
    }
    let host = address.to_string().try_into().expect("an address is a valid header value");
    request.headers_mut().insert(http::header::HOST, host);
    Ok((request, exchange))
}
