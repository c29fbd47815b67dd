//! Starts the peer tasks.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use arc_swap::ArcSwap;
use goldcrestvale_member::member::Member;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, mpsc},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock::Clock,
    connection::{self, Shared},
    core::Core,
    count::Counts,
    events::EventHandler,
    handle::Handle,
    settings::Settings,
    snapshot::Snapshot,
};

/// The result of starting the tasks.
pub type Result<T> = std::result::Result<T, Error>;

/// Capacity of the input channel of the task that holds the membership.
const INPUT_CAPACITY: usize = 4_096;

/// Pause after the operating system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The tasks could not be started.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen for peers on {address}: {source}"))]
pub struct Error {
    /// The address in the settings.
    pub address: SocketAddr,
    /// The cause.
    pub source: std::io::Error,
}

/// Binds the listener and starts the tasks.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(settings: Settings, events: impl EventHandler) -> Result<Handle> {
    let address = settings.listen;
    let listener = TcpListener::bind(address).await.context(Snafu { address })?;
    Ok(start_on(listener, settings, events))
}

/// Starts the tasks on a listener that is already bound.
pub fn start_on(listener: TcpListener, settings: Settings, events: impl EventHandler) -> Handle {
    let handle = start_without_listener(settings, events);
    tokio::spawn(listen(listener, Arc::clone(&handle.shared)));
    handle
}

/// Starts the tasks of an instance that accepts no connections from peers.
pub fn start_without_listener(settings: Settings, events: impl EventHandler) -> Handle {
    let (inputs, receiver) = mpsc::channel(INPUT_CAPACITY);
    let member = Member::new(settings.membership.clone());
    let clock = Clock::start(settings.origin);
    let shared = Arc::new(Shared {
        settings,
        counts: Arc::new(Counts::default()),
        inputs,
        tasks: TaskTracker::new(),
        closing: CancellationToken::new(),
        stop: CancellationToken::new(),
        clock,
        next_id: AtomicU64::new(0),
    });
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let core = Core::new(Arc::clone(&shared), Arc::clone(&snapshot), events, member);
    core.publish();
    tokio::spawn(core.run(receiver));
    Handle { shared, snapshot }
}

async fn listen(listener: TcpListener, shared: Arc<Shared>) {
    let permits = Arc::new(Semaphore::new(shared.settings.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.closing.cancelled() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            shared.counts.crowded.inc();
            continue;
        };
        let serving = connection::accept(Arc::clone(&shared), stream);
        shared.tasks.spawn(async move {
            serving.await;
            drop(permit);
        });
    }
}
