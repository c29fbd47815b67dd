//! Accepting connections, with bounds and a graceful end.

use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use log::debug;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::sync::CancellationToken;

use crate::body::Body;

/// How long the listener pauses after it failed to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Largest accepted request head, in bytes.
    pub header_bytes: u32,
    /// How long a request head may take to arrive; also bounds idle HTTP/1.1 connections.
    pub header_timeout: Duration,
    /// Most open connections; further ones are closed at once.
    pub connections: usize,
}

/// A bound listener that serves HTTP/1.1 and HTTP/2 on one address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    bounds: Bounds,
}

impl Server {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr, bounds: Bounds) -> std::io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(address).await?, bounds })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell it.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the token is cancelled, then lets the requests in progress finish.
    ///
    /// Connections still open after `drain` are dropped.
    pub async fn run<H, F>(self, handler: H, stop: CancellationToken, drain: Duration)
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let graceful = GracefulShutdown::new();
        let builder = self.connection_builder();
        let room = std::sync::Arc::new(Semaphore::new(self.bounds.connections));
        loop {
            let stream = tokio::select! {
                () = stop.cancelled() => break,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(e) => {
                        debug!(error:% = e; "accept failed");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                        continue;
                    }
                },
            };
            let Ok(permit) = room.clone().try_acquire_owned() else {
                drop(stream);
                continue;
            };
            let connection = serve(&builder, stream, handler.clone());
            let connection = graceful.watch(connection);
            tokio::spawn(async move {
                if let Err(e) = connection.await {
                    debug!(error:% = e; "connection ended");
                }
                drop(permit);
            });
        }
        drop(self.listener);
        if tokio::time::timeout(drain, graceful.shutdown()).await.is_err() {
            log::warn!(waited_ms = drain.as_millis() as u64; "requests cut off by the stop timeout");
        }
    }

    fn connection_builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        let header_bytes = self.bounds.header_bytes;
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.bounds.header_timeout)
            .max_buf_size((header_bytes as usize).max(8 << 10));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(header_bytes)
            .keep_alive_interval(self.bounds.header_timeout)
            .keep_alive_timeout(self.bounds.header_timeout);
        builder
    }
}

fn serve<H, F>(
    builder: &auto::Builder<TokioExecutor>,
    stream: TcpStream,
    handler: H,
) -> auto::Connection<
    'static,
    TokioIo<TcpStream>,
    impl hyper::service::Service<
        Request<Incoming>,
        Response = Response<Body>,
        Error = Infallible,
        Future: Send + 'static,
    > + use<H, F>,
    TokioExecutor,
>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(e) = stream.set_nodelay(true) {
        debug!(error:% = e; "TCP_NODELAY cannot be set");
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    builder.serve_connection(TokioIo::new(stream), service).into_owned()
}
