//! Serves a stand-in on a socket, with the faults that all stand-ins share.

use std::{convert::Infallible, fmt, io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use goldcrestvale_base::id::Incarnation;
use http::{Method, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use rand::{SeedableRng, rngs::StdRng};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use crate::reply;

/// Longest body that a stand-in reads, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Closed>;

/// The result of serving one request; an error closes the connection with no answer.
pub type Result<T> = std::result::Result<T, Closed>;

/// The stand-in closes the connection instead of answering.
#[derive(Debug, Clone, Copy)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("closed by a fault setting")
    }
}

impl std::error::Error for Closed {}

impl From<Infallible> for Closed {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Faults of a stand-in as far as the server carries them out.
pub trait Faults:
    Clone + fmt::Debug + Default + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// Returns whether connections are refused and open ones closed.
    fn refuse(&self) -> bool;

    /// Returns whether the stand-in ends at once.
    fn die(&self) -> bool {
        false
    }
}

/// What a stand-in answers.
pub trait Site: Send + Sync + 'static {
    /// Its faults.
    type Faults: Faults;
    /// Its counts.
    type Counts: Serialize;

    /// Returns the switch of its faults.
    fn faults(&self) -> &watch::Sender<Self::Faults>;

    /// Returns its counts.
    fn counts(&self) -> Self::Counts;

    /// Takes no new work from now on; requests in progress are finished.
    fn leave(&self) {}

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
pub struct Handle<S: Site> {
    address: SocketAddr,
    control: SocketAddr,
    site: Arc<S>,
    phase: watch::Sender<Phase>,
    tasks: Vec<JoinHandle<()>>,
}

impl<S: Site> Handle<S> {
    pub(crate) async fn start(address: SocketAddr, site: Arc<S>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let control = TcpListener::bind(SocketAddr::new(address.ip(), 0)).await?;
        let phase = watch::Sender::new(Phase::Serving);
        let mut handle = Self {
            address: listener.local_addr()?,
            control: control.local_addr()?,
            site: site.clone(),
            phase: phase.clone(),
            tasks: Vec::new(),
        };
        let address = handle.address;
        handle.tasks.push(tokio::spawn(serve(listener, address, site.clone(), phase.clone())));
        handle.tasks.push(tokio::spawn(serve_control(control, site, phase)));
        Ok(handle)
    }

    /// Returns the address that it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address that answers `/faults` and `/counts` while the other is refused.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the stand-in itself.
    pub fn site(&self) -> &S {
        &self.site
    }

    /// Returns the switch of its faults.
    pub fn faults(&self) -> &watch::Sender<S::Faults> {
        self.site.faults()
    }

    /// Changes its faults in place.
    pub fn set(&self, change: impl FnOnce(&mut S::Faults)) {
        self.site.faults().send_modify(change);
    }

    /// Returns its counts.
    pub fn counts(&self) -> S::Counts {
        self.site.counts()
    }

    /// Becomes leaving: new work is refused, requests in progress are finished.
    pub fn leave(&self) {
        self.site.leave();
    }

    /// Leaves, waits for the requests in progress, and ends.
    pub async fn stop(mut self) {
        self.site.leave();
        self.phase.send_if_modified(|phase| {
            let serving = *phase == Phase::Serving;
            if serving {
                *phase = Phase::Draining;
            }
            serving
        });
        if let Some(main) = self.tasks.first_mut() {
            let _ = main.await;
        }
    }

    /// Ends at once and closes every connection, as a crash does.
    pub fn kill(self) {}

    /// Waits until the stand-in has ended, by a fault or by itself.
    pub async fn ended(&mut self) {
        if let Some(main) = self.tasks.first_mut() {
            let _ = main.await;
        }
    }
}

impl<S: Site> Drop for Handle<S> {
    fn drop(&mut self) {
        self.phase.send_replace(Phase::Dead);
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn serve<S: Site>(
    listener: TcpListener,
    address: SocketAddr,
    site: Arc<S>,
    phase: watch::Sender<Phase>,
) {
    let mut faults = site.faults().subscribe();
    let mut phases = phase.subscribe();
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        let (refuse, die) = {
            let faults = faults.borrow_and_update();
            (faults.refuse(), faults.die())
        };
        if die || *phases.borrow_and_update() == Phase::Dead {
            phase.send_replace(Phase::Dead);
            return;
        }
        if *phases.borrow() == Phase::Draining {
            break;
        }
        if refuse {
            listener = None;
            connections.abort_all();
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        tokio::select! {
            accepted = accept(listener.as_ref()) => {
                if let Ok(stream) = accepted {
                    let connection = connection(stream, site.clone(), phases.clone(), false);
                    connections.spawn(connection);
                }
            }
            _ = faults.changed() => {}
            _ = phases.changed() => {}
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn serve_control<S: Site>(listener: TcpListener, site: Arc<S>, phase: watch::Sender<Phase>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(connection(stream, site.clone(), phase.subscribe(), true));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connection<S: Site>(
    stream: TcpStream,
    site: Arc<S>,
    mut phases: watch::Receiver<Phase>,
    control: bool,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let site = site.clone();
        async move { route(&*site, request, control).await }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let phase = *phases.borrow_and_update();
        match phase {
            Phase::Serving => {}
            Phase::Draining => connection.as_mut().graceful_shutdown(),
            Phase::Dead => return,
        }
        tokio::select! {
            _ = connection.as_mut() => return,
            Ok(()) = phases.changed() => {}
        }
    }
}

async fn route<S: Site>(
    site: &S,
    request: Request<Incoming>,
    control: bool,
) -> Result<Response<Body>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/counts") => Ok(reply::json(StatusCode::OK, &site.counts())),
        (&Method::GET, "/faults") => Ok(reply::json(StatusCode::OK, &*site.faults().borrow())),
        (&Method::PUT, "/faults") => match reply::read_json(request).await? {
            Ok(faults) => {
                site.faults().send_replace(faults);
                Ok(reply::text(StatusCode::OK, "set"))
            }
            Err(fault) => Ok(reply::text(StatusCode::BAD_REQUEST, fault)),
        },
        (&Method::POST, "/leave") => {
            site.leave();
            Ok(reply::text(StatusCode::OK, "leaving"))
        }
        _ if control => Ok(reply::text(StatusCode::NOT_FOUND, "not a control path")),
        _ => site.answer(request).await,
    }
}

/// Draws the random bits of one life of a stand-in, as hexadecimal text.
pub(crate) fn incarnation() -> String {
    Incarnation::random(&mut StdRng::from_os_rng()).to_string()
}
