//! Serves a stand-in on a socket, with the faults that all stand-ins share.

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

/// Longest body that a stand-in reads, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Closed>;

/// The result of serving one request; an error closes the connection with no answer.
pub type Result<T> = std::result::Result<T, Closed>;

/// The stand-in closes the connection, or resets the stream, instead of answering.
#[derive(Debug, Clone, Copy)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed by a fault setting")
    }
}

impl std::error::Error for Closed {}

/// What a stand-in answers.
pub trait Server: Send + Sync + 'static {
    /// Its faults.
    type Faults: Faults;
    /// Its counts.
    type Counts: Serialize;

    /// Returns the switch of its faults.
    fn faults(&self) -> &Switch<Self::Faults>;

    /// Returns its counts.
    fn counts(&self) -> Self::Counts;

    /// Takes no new work from now on; requests in progress are finished.
    fn leave(&self) {}

    /// Waits until the work that spans several requests is done, after [`Server::leave`].
    fn drain(&self) -> impl Future<Output = ()> + Send {
        std::future::ready(())
    }

    /// Answers one request.
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

/// A running stand-in. Dropping the handle ends it at once.
#[derive(Debug)]
pub struct Handle<S: Server> {
    address: SocketAddr,
    control: SocketAddr,
    server: Arc<S>,
    phase: watch::Sender<Phase>,
    main: JoinHandle<()>,
    others: Vec<JoinHandle<()>>,
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
            others: vec![tokio::spawn(listen::control(control, server.clone(), phase.clone()))],
            server,
            phase,
        })
    }

    /// Adds a task that ends with the stand-in.
    pub(crate) fn attach(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.others.push(tokio::spawn(task));
    }

    /// Returns the address that it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that answers `/faults`, `/counts` and `/leave` while the other is
    /// refused.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the stand-in itself.
    pub fn server(&self) -> &S {
        &self.server
    }

    /// Returns the switch of its faults.
    pub fn faults(&self) -> &Switch<S::Faults> {
        self.server.faults()
    }

    /// Changes some of its faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut S::Faults)) {
        self.server.faults().change(change);
    }

    /// Returns its counts.
    pub fn counts(&self) -> S::Counts {
        self.server.counts()
    }

    /// Becomes leaving: new work is refused, requests in progress are finished.
    pub fn leave(&self) {
        self.server.leave();
    }

    /// Leaves, waits for the requests in progress, and ends.
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

    /// Ends at once and closes every connection, as a crash does.
    pub async fn kill(mut self) {
        self.phase.send_replace(Phase::Dead);
        self.wait().await;
    }

    /// Waits until the stand-in has ended, by a fault or by itself.
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
        for task in &self.others {
            task.abort();
        }
    }
}

/// Draws the random bits of one life of a stand-in, as hexadecimal text.
pub(crate) fn incarnation() -> String {
    Incarnation::random(&mut StdRng::from_os_rng()).to_string()
}
