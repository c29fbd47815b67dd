//! A plain HTTP client for tests and measurement, without a connection pool or retries.

use std::{fmt, io, net::SocketAddr};

use bytes::Bytes;
use http::{Method, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;

/// The result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// The error of a call without a complete answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be made.
    #[snafu(display("{address} cannot be reached"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection ended before the complete answer was received.
    #[snafu(display("the answer is incomplete"))]
    Exchange {
        /// The cause.
        source: hyper::Error,
    },
    /// The request could not be built.
    #[snafu(display("the request is malformed"))]
    Request {
        /// The cause.
        source: http::Error,
    },
}

/// The protocol of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 with prior knowledge.
    Http2,
}

enum Sender {
    Http1(conn::http1::SendRequest<Full<Bytes>>),
    Http2(conn::http2::SendRequest<Full<Bytes>>),
}

/// An open connection.
pub struct Connection {
    address: SocketAddr,
    sender: Sender,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be reached or does not support the protocol.
    pub async fn open(address: SocketAddr, protocol: Protocol) -> Result<Self> {
        let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let io = TokioIo::new(stream);
        let sender = match protocol {
            Protocol::Http1 => {
                let (sender, connection) =
                    conn::http1::handshake(io).await.context(ExchangeSnafu)?;
                tokio::spawn(connection);
                Sender::Http1(sender)
            }
            Protocol::Http2 => {
                let handshake = conn::http2::handshake(TokioExecutor::new(), io);
                let (sender, connection) = handshake.await.context(ExchangeSnafu)?;
                tokio::spawn(connection);
                Sender::Http2(sender)
            }
        };
        Ok(Self { address, sender })
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends before the complete answer is received.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        let response = match &mut self.sender {
            Sender::Http1(sender) => {
                sender.ready().await.context(ExchangeSnafu)?;
                sender.send_request(request).await
            }
            Sender::Http2(sender) => sender.send_request(request).await,
        };
        let (parts, body) = response.context(ExchangeSnafu)?.into_parts();
        let body = body.collect().await.context(ExchangeSnafu)?.to_bytes();
        Ok(Response::from_parts(parts, body))
    }

    /// Builds a request to the address of the connection.
    ///
    /// # Errors
    ///
    /// Fails when the path is malformed.
    pub fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        request(self.address, method, path, body)
    }
}

/// Builds a request to an address.
///
/// # Errors
///
/// Fails when the path is malformed.
pub fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .context(RequestSnafu)
}

/// Sends one request with a JSON body over a new connection.
///
/// # Errors
///
/// Fails when no complete answer is received.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Result<Answer> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut connection = Connection::open(address, Protocol::Http1).await?;
    let request = connection.request(method, path, body.into())?;
    let response = connection.send(request).await?;
    Ok(Answer { status: response.status(), body: response.into_body() })
}

/// Sends one `GET` request over a new connection.
///
/// # Errors
///
/// Fails when no complete answer is received.
pub async fn get(address: SocketAddr, path: &str) -> Result<Answer> {
    call(address, Method::GET, path, &()).await
}

/// Sends one `POST` request with a JSON body over a new connection.
///
/// # Errors
///
/// Fails when no complete answer is received.
pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Result<Answer> {
    call(address, Method::POST, path, body).await
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body does not parse as `T`.
    pub fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}
