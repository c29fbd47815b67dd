//! An HTTP server with bounded connections and a graceful shutdown.

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
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinHandle,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tower::{BoxError, Service, ServiceExt};

use crate::activity::Activity;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: u32,
    /// Maximum time for a request head to arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without requests in progress is closed.
    pub idle_timeout: Duration,
    /// Maximum number of open connections; further ones are closed at once.
    pub connections: usize,
}

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
    bounds: Bounds,
    permits: Arc<Semaphore>,
    connections: TaskTracker,
}

impl Server {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr, bounds: Bounds) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let permits = Arc::new(Semaphore::new(bounds.connections));
        Ok(Self { listener, bounds, permits, connections: TaskTracker::new() })
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
        while let Some((stream, permit)) = self.accept(&stop).await {
            let connection = serve(stream, self.bounds, service.clone(), stop.clone());
            let abort = abort.clone();
            self.connections.spawn(async move {
                abort.run_until_cancelled(connection).await;
                drop(permit);
            });
        }
        drop(self.listener);
        self.connections.close();
        let clean = tokio::time::timeout(drain, self.connections.wait()).await.is_ok();
        abort.cancel();
        clean
    }

    /// Accepts one connection, or returns `None` once the token is cancelled.
    async fn accept(&self, stop: &CancellationToken) -> Option<(TcpStream, OwnedSemaphorePermit)> {
        loop {
            let accepted = stop.run_until_cancelled(self.listener.accept()).await?;
            match accepted {
                Ok((stream, _)) => {
                    // A connection beyond the limit is closed by dropping it.
                    if let Ok(permit) = self.permits.clone().try_acquire_owned() {
                        return Some((stream, permit));
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
        bounds: Bounds,
        service: S,
        drain: Duration,
    ) -> std::io::Result<Self>
    where
        S: Handler,
        S::Future: Send,
    {
        let server = Server::bind(address, bounds).await?;
        let address = server.address()?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(server.run(service, stop.clone(), drain));
        Ok(Self { address, stop, task })
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

async fn serve<S>(stream: TcpStream, bounds: Bounds, service: S, stop: CancellationToken)
where
    S: Handler,
    S::Future: Send,
{
    if let Err(e) = stream.set_nodelay(true) {
        debug!(error:% = e; "TCP_NODELAY cannot be set");
    }
    let activity = Activity::new();
    let tracker = activity.clone();
    let service = service_fn(move |request| {
        let active = tracker.start_request();
        let response = service.clone().oneshot(request);
        async move { response.await.map(|response| response.map(|body| active.attach_to(body))) }
    });
    let builder = builder(bounds);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = stop.cancelled() => None,
        () = activity.idle(bounds.idle_timeout) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        debug!(error:% = e; "connection ended");
    }
}

fn builder(bounds: Bounds) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .max_buf_size(bounds.header_bytes as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(bounds.header_bytes)
        .keep_alive_interval(bounds.idle_timeout)
        .keep_alive_timeout(bounds.header_timeout);
    builder
}
