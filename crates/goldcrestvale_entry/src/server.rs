//! An HTTP server with bounded connections and a graceful shutdown.

mod bounds;
mod reader;
mod slots;
mod stream;

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use log::{debug, error};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tower::{BoxError, Service, ServiceExt};

pub use bounds::{Bounds, SharedBounds};
use opentelemetry::metrics::Meter;
pub use reader::Reader;
use slots::{Limit, Slot, Slots};
use stream::Stream;

use crate::{
    activity::{Activity, Expiry},
    intake::Intake,
};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest read buffer of a connection, in bytes.
const MIN_READ_BUFFER: u32 = 8 << 10;

/// Maximum number of streams of a connection of HTTP/2.
const MAX_HTTP2_STREAMS: u32 = 16;

/// Bytes that a caller may send on a connection of HTTP/2 before they are read, and on each stream.
const HTTP2_WINDOW: u32 = 64 << 10;

/// A service that answers every request.
pub trait Handler:
    Service<Request<Incoming>, Response = Response<Self::Body>, Error = Infallible>
    + Clone
    + Send
    + 'static
{
    /// The body of its responses; a failing body ends its connection.
    type Body: Body<Data = Bytes, Error: Into<BoxError>> + Unpin + Send + 'static;
}

impl<S, B> Handler for S
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    B: Body<Data = Bytes, Error: Into<BoxError>> + Unpin + Send + 'static,
{
    type Body = B;
}

/// A bound listener that serves HTTP/1.1 and HTTP/2 on one address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    bounds: SharedBounds,
    slots: Slots,
    connections: TaskTracker,
}

impl Server {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        bounds: impl Into<SharedBounds>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let bounds = bounds.into();
        let slots = Slots::new(&bounds.load());
        Ok(Self { listener, bounds, slots, connections: TaskTracker::new() })
    }

    /// Ends bodies that are arriving and answers that are not read for new connections, once all are
    /// in use, and reports the connections as metrics.
    pub fn with_intake(mut self, intake: Arc<Intake>, meter: &Meter) -> Self {
        self.slots = Slots::with_intake(&self.bounds.load(), intake, meter);
        self
    }

    /// Serves in a task; at the end, requests in progress have `drain` to finish.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot report the address.
    pub fn start<S>(self, service: S, drain: Duration) -> std::io::Result<ServerHandle>
    where
        S: Handler,
        S::Future: Send,
    {
        let address = self.address()?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(self.run(service, stop.clone(), drain));
        Ok(ServerHandle { address, stop, task })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot report it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the token is cancelled, then lets the requests in progress finish.
    ///
    /// Returns whether all of them finished within `drain`; those that did not are aborted.
    pub async fn run<S>(self, service: S, stop: CancellationToken, drain: Duration) -> bool
    where
        S: Handler,
        S::Future: Send,
    {
        let abort = CancellationToken::new();
        while let Some((stream, slot)) = self.accept(&stop).await {
            let (bounds, service) = (self.bounds.clone(), service.clone());
            let (stop, abort) = (stop.clone(), abort.clone());
            self.connections.spawn(async move {
                let connection = serve(stream, bounds, service, stop, &slot);
                abort.run_until_cancelled(connection).await;
            });
        }
        drop(self.listener);
        self.connections.close();
        let clean = tokio::time::timeout(drain, self.connections.wait()).await.is_ok();
        abort.cancel();
        clean
    }

    /// Accepts one connection, or returns `None` once the token is cancelled.
    async fn accept(&self, stop: &CancellationToken) -> Option<(TcpStream, Slot)> {
        loop {
            let accepted = stop.run_until_cancelled(self.listener.accept()).await?;
            match accepted {
                Ok((stream, _)) => {
                    // A connection without a place is closed by dropping it.
                    if let Some(slot) = self.slots.open().await {
                        return Some((stream, slot));
                    }
                }
                Err(e) => {
                    debug!(error:% = e; "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// A handle to a server that runs in a task.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<bool>,
}

impl ServerHandle {
    /// Binds an address and serves there in a task; at the end, requests in progress have `drain`
    /// to finish.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start<S>(
        address: SocketAddr,
        bounds: impl Into<SharedBounds>,
        service: S,
        drain: Duration,
    ) -> std::io::Result<Self>
    where
        S: Handler,
        S::Future: Send,
    {
        Server::bind(address, bounds).await?.start(service, drain)
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; returns whether all requests in progress finished.
    pub async fn finish(self) -> bool {
        self.stop.cancel();
        self.task.await.unwrap_or_else(|e| {
            error!(error:% = e; "server task failed");
            false
        })
    }
}

async fn serve<S>(
    stream: TcpStream,
    bounds: SharedBounds,
    service: S,
    stop: CancellationToken,
    slot: &Slot,
) where
    S: Handler,
    S::Future: Send,
{
    if let Err(e) = stream.set_nodelay(true) {
        debug!(error:% = e; "TCP_NODELAY cannot be set");
    }
    let activity = Activity::new();
    let tracker = activity.clone();
    let closer = CancellationToken::new();
    let closed = closer.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let active = tracker.start_request();
        let reader = Reader::new(closer.clone());
        request.extensions_mut().insert(reader.clone());
        let service = service.clone();
        async move {
            // On the heap from here on: a stream that was not looked at yet holds its head only.
            let response = Box::pin(service.oneshot(request)).await;
            response.map(|response| response.map(|body| active.attach_to(body, reader)))
        }
    });
    let builder = builder(bounds.load());
    let stream = Stream::new(stream, activity.clone(), bounds.clone(), slot.place.clone());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let times = || {
        let bounds = bounds.load();
        (bounds.idle_timeout, bounds.header_timeout)
    };
    let following = slot.follow(&activity);
    tokio::pin!(following);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = &mut following => None,
        () = stop.cancelled() => None,
        () = closed.cancelled() => return,
        () = slot.closer.cancelled() => match activity.is_busy() {
            true => None,
            false => return,
        },
        expiry = activity.expired(times) => match expiry {
            Expiry::Idle => {
                slot.place.count(Limit::Idle);
                None
            }
            Expiry::Head => {
                slot.place.count(Limit::LateHead);
                return;
            }
        },
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            loop {
                tokio::select! {
                    ended = connection.as_mut() => break ended,
                    () = closed.cancelled() => return,
                    () = tokio::time::sleep(bounds.load().header_timeout) => {
                        if !activity.is_busy() {
                            return;
                        }
                    }
                }
            }
        }
    };
    if let Err(e) = ended {
        debug!(error:% = e; "connection ended");
    }
}

fn builder(bounds: Bounds) -> auto::Builder<TokioExecutor> {
    let buffer_bytes = bounds.header_bytes.max(MIN_READ_BUFFER) as usize;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Option::<Duration>::None)
        .max_buf_size(buffer_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(bounds.header_bytes)
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_WINDOW)
        .initial_connection_window_size(HTTP2_WINDOW)
        .max_send_buf_size(HTTP2_WINDOW as usize)
        .keep_alive_interval(bounds.idle_timeout)
        .keep_alive_timeout(bounds.header_timeout);
    builder
}
