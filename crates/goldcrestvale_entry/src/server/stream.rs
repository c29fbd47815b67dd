//! The byte stream of a connection, which notices heads that arrive and callers that do not read.

use std::{
    error::Error,
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

use super::SharedBounds;
use crate::activity::Activity;

/// The first bytes of a connection of HTTP/2, by which no method of HTTP/1 begins.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// The caller did not read anything for too long.
#[derive(Debug, Snafu)]
#[snafu(display("the caller does not read"))]
struct Unread;

/// Returns whether a connection ended since its caller did not read.
pub(super) fn is_unread(error: &(dyn Error + 'static)) -> bool {
    let mut source = Some(error);
    while let Some(error) = source {
        let inner = error.downcast_ref::<io::Error>().and_then(io::Error::get_ref);
        if let Some(inner) = inner
            && inner.is::<Unread>()
        {
            return true;
        }
        source = error.source();
    }
    false
}

/// The byte stream of a connection.
#[derive(Debug)]
pub(super) struct Stream {
    stream: TcpStream,
    activity: Activity,
    bounds: SharedBounds,
    /// Number of bytes of the preface of HTTP/2 that have arrived; `None` for HTTP/1.
    preface: Option<usize>,
    /// Ends the connection if nothing can be written until then.
    blocked: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub(super) fn new(stream: TcpStream, activity: Activity, bounds: SharedBounds) -> Self {
        Self { stream, activity, bounds, preface: Some(0), blocked: None }
    }

    /// Records bytes that have arrived. Frames of HTTP/2 may arrive without a request.
    fn record_read(&mut self, bytes: &[u8]) {
        if let Some(seen) = self.preface {
            let rest = &HTTP2_PREFACE[seen..];
            let length = rest.len().min(bytes.len());
            self.preface = (rest[..length] == bytes[..length]).then_some(seen + length);
        }
        if self.preface.is_none() {
            self.activity.start_head();
        }
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
        let timeout = self.bounds.load().idle_timeout;
        let blocked = self.blocked.get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(blocked.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, Unread)))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
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
