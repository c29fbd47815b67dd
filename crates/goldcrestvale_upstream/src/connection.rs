//! One connection to an upstream.

use std::{net::SocketAddr, time::Duration};

use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1, http2},
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::exchange_body::ExchangeBody;

/// Interval between the keep-alive pings that probe an idle HTTP/2 connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an unanswered keep-alive ping closes the connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which unacknowledged bytes close the connection: several round trips of a lossy
/// link, but less than a caller waits for an event.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of the read buffer of an HTTP/1.1 connection, and of the head of an answer, in bytes.
const MAX_READ_BUFFER: usize = 32 << 10;

/// The protocol of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Protocol {
    /// HTTP/1.1, one request at a time.
    Http1,
    /// HTTP/2 without TLS, by prior knowledge, many requests at a time.
    Http2,
}

/// The sending half of a connection; its task runs until the connection ends.
#[derive(Debug)]
pub(crate) enum Connection {
    Http1(http1::SendRequest<ExchangeBody>),
    Http2(http2::SendRequest<ExchangeBody>),
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr, protocol: Protocol) -> Result<Self, String> {
        let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
            .map_err(|e| e.to_string())?;
        let io = TokioIo::new(stream);
        match protocol {
            Protocol::Http1 => {
                let (sender, task) = http1::Builder::new()
                    .max_buf_size(MAX_READ_BUFFER)
                    .handshake(io)
                    .await
                    .map_err(|e| e.to_string())?;
                tokio::spawn(task);
                Ok(Self::Http1(sender))
            }
            Protocol::Http2 => {
                let (sender, task) = http2::Builder::new(TokioExecutor::new())
                    .timer(TokioTimer::new())
                    .keep_alive_interval(KEEP_ALIVE_INTERVAL)
                    .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
                    .handshake(io)
                    .await
                    .map_err(|e| e.to_string())?;
                tokio::spawn(task);
                Ok(Self::Http2(sender))
            }
        }
    }

    /// Returns whether the connection is ready for a request.
    pub(crate) fn is_ready(&self) -> bool {
        match self {
            Self::Http1(sender) => sender.is_ready(),
            Self::Http2(sender) => sender.is_ready(),
        }
    }

    /// Returns another handle to the connection, if it supports several requests at a time.
    pub(crate) fn try_share(&self) -> Option<Self> {
        match self {
            Self::Http1(_) => None,
            Self::Http2(sender) => Some(Self::Http2(sender.clone())),
        }
    }

    pub(crate) async fn send(
        &mut self,
        request: Request<ExchangeBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<ExchangeBody>>> {
        match self {
            Self::Http1(sender) => sender.try_send_request(request).await,
            Self::Http2(sender) => sender.try_send_request(request).await,
        }
    }
}
