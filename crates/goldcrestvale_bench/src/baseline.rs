//! A minimal pass-through proxy, the lower bound for the cost of any router.

use std::{io, net::SocketAddr};

use hyper::{Request, body::Incoming, client::conn::http1 as client, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Mutex,
};

/// Forwards HTTP/1.1 requests to one address, with one outgoing connection per incoming connection.
///
/// It does no validation, load balancing or limiting, and keeps no metrics.
#[derive(Debug)]
pub struct Proxy {
    listener: TcpListener,
    target: SocketAddr,
}

impl Proxy {
    /// Binds a free port on the loopback address.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::bind("127.0.0.1:0").await?, target })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Fails when the operating system reports no address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Forwards requests until the task is dropped.
    ///
    /// # Errors
    ///
    /// Fails when no more connections can be accepted.
    pub async fn run(self) -> io::Result<()> {
        loop {
            let (stream, _) = self.listener.accept().await?;
            let target = self.target;
            tokio::spawn(async move {
                if let Err(error) = forward(stream, target).await {
                    log::debug!("connection closed: {error}");
                }
            });
        }
    }
}

async fn forward(stream: TcpStream, target: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let upstream = TcpStream::connect(target).await?;
    upstream.set_nodelay(true)?;
    let handshake = client::handshake(TokioIo::new(upstream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let sender = Mutex::new(sender);
    let service = service_fn(|request: Request<Incoming>| async {
        let mut sender = sender.lock().await;
        sender.ready().await?;
        sender.send_request(request).await
    });
    let builder = hyper::server::conn::http1::Builder::new();
    builder.serve_connection(TokioIo::new(stream), service).await.map_err(io::Error::other)
}
