//! The byte stream of a connection, which applies the limits that depend on what arrives and on whether
//! the caller reads.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use snafu::Snafu;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use super::{
    SharedBounds,
    slots::{Limit, Place},
};
use crate::activity::{ActiveRequest, Activity};

/// The first bytes of a connection of HTTP/2, by which no method of HTTP/1 begins.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// A limit has ended the connection.
#[derive(Debug, Snafu)]
#[snafu(display("the connection has reached a limit: {}", limit.as_str()))]
struct Exceeded {
    limit: Limit,
}

/// The protocol of a connection, by the bytes that have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Protocol {
    /// This number of bytes of the preface of HTTP/2 have arrived.
    Unknown(usize),
    Http1,
    Http2,
}

/// The byte stream of a connection.
pub(super) struct Stream {
    stream: TcpStream,
    activity: Activity,
    bounds: SharedBounds,
    place: Place,
    protocol: Protocol,
    /// Returns whether the connection may use HTTP/2; nothing is read until then.
    opening: Option<Pin<Box<dyn Future<Output = bool> + Send>>>,
    blocked: Option<Blocked>,
}

/// A write that waits for the caller to read.
struct Blocked {
    /// Ends the connection if nothing can be written until then.
    timeout: Pin<Box<Sleep>>,
    /// The response is in progress until it is written, also once its body was handed over.
    _response: ActiveRequest,
}

impl Stream {
    pub(super) fn new(
        stream: TcpStream,
        activity: Activity,
        bounds: SharedBounds,
        place: Place,
    ) -> Self {
        let protocol = Protocol::Unknown(0);
        Self { stream, activity, bounds, place, protocol, opening: None, blocked: None }
    }

    /// Records bytes that have arrived. Frames of HTTP/2 may arrive without a request.
    fn record_read(&mut self, bytes: &[u8]) {
        if let Protocol::Unknown(seen) = self.protocol {
            let expected = &HTTP2_PREFACE[seen..];
            let length = expected.len().min(bytes.len());
            self.protocol = if expected[..length] != bytes[..length] {
                Protocol::Http1
            } else if length < expected.len() {
                Protocol::Unknown(seen + length)
            } else {
                let place = self.place.clone();
                self.opening = Some(Box::pin(async move { place.multiplex().await }));
                Protocol::Http2
            };
        }
        if self.protocol == Protocol::Http1 {
            self.activity.start_head();
        }
    }

    fn poll_opening(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(opening) = &mut self.opening {
            if !ready!(opening.as_mut().poll(cx)) {
                // Nothing is read after the error.
                self.opening = Some(Box::pin(std::future::pending()));
                return Poll::Ready(Err(self.exceed(Limit::NoHttp2Place)));
            }
            self.opening = None;
        }
        Poll::Ready(Ok(()))
    }

    fn check_blocked<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let Self { activity, bounds, .. } = self;
        let blocked = self.blocked.get_or_insert_with(|| Blocked {
            timeout: Box::pin(sleep(bounds.load().idle_timeout)),
            _response: activity.start_request(),
        });
        ready!(blocked.timeout.as_mut().poll(cx));
        Poll::Ready(Err(self.exceed(Limit::Unread)))
    }

    /// Counts the connection as ended by a limit, and returns the error that ends it.
    fn exceed(&self, limit: Limit) -> io::Error {
        self.place.count(limit);
        io::Error::new(io::ErrorKind::TimedOut, Exceeded { limit })
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_opening(cx))?;
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let read = &buffer.filled()[before..];
        if !read.is_empty() {
            self.record_read(read);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_blocked(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.check_blocked(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
