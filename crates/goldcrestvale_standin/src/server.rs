//! Serves a stand-in on a socket, with the faults common to all stand-ins.

mod connection;
mod listen;

use std::{fmt, io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use goldcrestvale_base::id::Incarnation;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body::Incoming};
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::fault::{Faults, Switch};

/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Closed>;

/// The result of serving one request; an error closes the connection without an answer.
pub type Result<T> = std::result::Result<T, Closed>;

/// The error that closes the connection, or resets the stream, instead of answering.
#[derive(Debug, Clone, Copy)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed by a fault setting")
    }
}

impl std::error::Error for Closed {}

/// The request handling of a stand-in.
pub trait Server: Send + Sync + 'static {
    /// Faults of the stand-in.
    type Faults: Faults;
    /// Counts of the stand-in.
    type Counts: Serialize;

    /// Returns the current faults, which can be changed.
    fn faults(&self) -> &Switch<Self::Faults>;

    /// Returns the counts of the stand-in.
    fn counts(&self) -> Self::Counts;

    /// Stops accepting new work; requests in progress are completed.
    fn leave(&self) {}

    /// Waits until work that spans several requests is complete, after [`Server::leave`].
    fn drain(&self) -> impl Future<Output = ()> + Send {
        std::future::ready(())
    }

    /// Answers a request.
    fn answer(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Body>>> + Send;
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    Draining,
    Dead,
}

/// A running stand-in. Dropping the handle ends it immediately.
#[derive(Debug)]
pub struct Handle<S: Server> {
    address: SocketAddr,
    control: SocketAddr,
    server: Arc<S>,
    phase: watch::Sender<Phase>,
    main: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl<S: Server> Handle<S> {
    pub(crate) async fn start(address: SocketAddr, server: Arc<S>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let control = TcpListener::bind(SocketAddr::new(address.ip(), 0)).await?;
        let phase = watch::Sender::new(Phase::Serving);
        Ok(Self {
            address: listener.local_addr()?,
            control: control.local_addr()?,
            main: tokio::spawn(listen::serve(listener, server.clone(), phase.clone())),
            tasks: vec![tokio::spawn(listen::control(control, server.clone(), phase.clone()))],
            server,
            phase,
        })
    }

    /// Adds a task that ends with the stand-in.
    pub(crate) fn attach(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.push(tokio::spawn(task));
    }

    /// Returns the address for requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that answers `/faults`, `/counts` and `/leave`, also while connections
    /// to the address for requests are refused.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the stand-in itself.
    pub fn server(&self) -> &S {
        &self.server
    }

    /// Returns the current faults, which can be changed.
    pub fn faults(&self) -> &Switch<S::Faults> {
        self.server.faults()
    }

    /// Changes individual faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut S::Faults)) {
        self.server.faults().change(change);
    }

    /// Returns the counts of the stand-in.
    pub fn counts(&self) -> S::Counts {
        self.server.counts()
    }

    /// Starts leaving: new work is refused, requests in progress are completed.
    pub fn leave(&self) {
        self.server.leave();
    }

    /// Leaves, waits for the requests in progress and ends.
    pub async fn stop(mut self) {
        self.server.leave();
        self.server.drain().await;
        self.phase.send_if_modified(|phase| {
            let serving = *phase == Phase::Serving;
            if serving {
                *phase = Phase::Draining;
            }
            serving
        });
        self.wait().await;
    }

    /// Ends immediately and closes every connection, like a crash.
    pub async fn kill(mut self) {
        self.phase.send_replace(Phase::Dead);
        self.wait().await;
    }

    /// Waits until the stand-in has ended, by a fault or on its own.
    pub async fn wait(&mut self) {
        if !self.main.is_finished() {
            let _ = (&mut self.main).await;
        }
    }
}

impl<S: Server> Drop for Handle<S> {
    fn drop(&mut self) {
        self.phase.send_replace(Phase::Dead);
        self.main.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Returns a random incarnation, as hexadecimal text.
pub(crate) fn incarnation() -> String {
    Incarnation::random(&mut StdRng::from_os_rng()).to_string()
}
