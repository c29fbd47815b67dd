//! Peers over loopback, and a daemon that records the events it receives.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use goldcrestvale_base::id::{Digest, Incarnation, Instance, Key, Offset};
use goldcrestvale_member::prelude::{Event, Identity, Notice, Seed, Settings as Membership};
use goldcrestvale_peer::{
    events::{AnswerState, Configuration, EventHandler, Reply, ResultQuery, StoredResult},
    handle::Handle,
    peer,
    settings::Settings,
};
use goldcrestvale_wire::key::{Keyring, Secret};
use tokio::{net::TcpListener, sync::Notify};

/// Maximum time that a test waits for anything.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// An event that a daemon received.
#[derive(Debug, Clone, PartialEq)]
pub enum DaemonEvent {
    Notice(Notice),
    ConfigOffered(Instance, Offset, Digest),
    ConfigRequested(Instance, Offset),
    ConfigReceived(Instance, Configuration),
    ResultQueried(ResultQuery),
    ListRequested(Instance),
}

/// A daemon that answers every query with its key, unless it is `silent`.
#[derive(Debug, Default)]
pub struct Daemon {
    pub events: Mutex<Vec<DaemonEvent>>,
    pub changed: Notify,
    pub silent: bool,
}

impl Daemon {
    fn record(&self, event: DaemonEvent) {
        self.events.lock().unwrap().push(event);
        self.changed.notify_waiters();
    }

    pub fn events(&self) -> Vec<DaemonEvent> {
        self.events.lock().unwrap().clone()
    }

    /// Waits for an event that matches, and returns it.
    pub async fn wait(&self, matches: impl Fn(&DaemonEvent) -> bool) -> DaemonEvent {
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                if let Some(event) = self.events().into_iter().find(&matches) {
                    return event;
                }
                changed.await;
            }
        };
        tokio::time::timeout(TIMEOUT, waiting).await.expect("the event arrives in time")
    }
}

pub struct RecordingHandler(pub Arc<Daemon>);

impl EventHandler for RecordingHandler {
    fn notice(&self, notice: Notice) {
        self.0.record(DaemonEvent::Notice(notice));
    }

    fn config_offered(&self, from: &Instance, version: Offset, digest: Digest) {
        self.0.record(DaemonEvent::ConfigOffered(from.clone(), version, digest));
    }

    fn config_requested(&self, from: &Instance, version: Offset) {
        self.0.record(DaemonEvent::ConfigRequested(from.clone(), version));
    }

    fn config_received(&self, from: &Instance, configuration: Configuration) {
        self.0.record(DaemonEvent::ConfigReceived(from.clone(), configuration));
    }

    fn list_requested(&self, from: &Instance) {
        self.0.record(DaemonEvent::ListRequested(from.clone()));
    }

    fn result_queried(&self, query: ResultQuery, reply: Reply) {
        let body = query.key.to_string().into();
        self.0.record(DaemonEvent::ResultQueried(query));
        if !self.0.silent {
            let state = AnswerState::Settled;
            reply.send(StoredResult { state, status: 200, headers: Vec::new(), body });
        }
    }
}

pub struct Peer {
    pub handle: Handle,
    pub daemon: Arc<Daemon>,
    pub identity: Identity,
}

pub fn keys(byte: u8) -> Keyring {
    Keyring::new(Secret::new([byte; 32]))
}

pub fn key(number: u128) -> Key {
    Key(uuid::Uuid::from_u128(number))
}

pub fn identity(index: usize, incarnation: u128, address: SocketAddr) -> Identity {
    Identity {
        instance: format!("entry-{index}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        domain: "bole".parse().unwrap(),
        address,
    }
}

pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Heartbeat interval in tests.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

pub fn membership(identity: &Identity) -> Membership {
    Membership::new(identity.clone()).heartbeat(HEARTBEAT_INTERVAL).instances(2)
}

/// Starts a peer with the given seeds.
pub async fn start(index: usize, seeds: &[SocketAddr]) -> Peer {
    start_with(index, seeds, Daemon::default(), |settings| settings).await
}

pub async fn start_with(
    index: usize,
    seeds: &[SocketAddr],
    daemon: Daemon,
    configure: impl FnOnce(Settings) -> Settings,
) -> Peer {
    let listener = listener().await;
    let address = listener.local_addr().unwrap();
    let identity = identity(index, 100 + index as u128, address);
    let membership = membership(&identity).seeds(seeds.to_vec());
    let settings = configure(Settings::new(membership, keys(7)));
    let daemon = Arc::new(daemon);
    let handle = peer::start_on(listener, settings, RecordingHandler(Arc::clone(&daemon)));
    Peer { handle, daemon, identity }
}

/// Starts connected peers, and waits until all see each other.
pub async fn mesh(count: usize) -> Vec<Peer> {
    mesh_with(count, HEARTBEAT_INTERVAL).await
}

/// Starts connected peers with a heartbeat interval, and waits until all see each other.
pub async fn mesh_with(count: usize, heartbeat: Duration) -> Vec<Peer> {
    let mut peers: Vec<Peer> = Vec::new();
    for index in 0..count {
        let seeds: Vec<SocketAddr> = peers.iter().map(|peer| peer.identity.address).collect();
        let configure = |settings: Settings| {
            let membership = settings.membership.clone().heartbeat(heartbeat);
            Settings { membership, ..settings }
        };
        peers.push(start_with(index, &seeds, Daemon::default(), configure).await);
    }
    for peer in &peers {
        for other in peers.iter().filter(|other| other.identity != peer.identity) {
            peer.wait_until_up(other).await;
        }
    }
    peers
}

impl Peer {
    pub async fn wait_until_up(&self, other: &Self) {
        let up = DaemonEvent::Notice(Notice::Up(other.identity.clone()));
        self.daemon.wait(|event| *event == up).await;
    }

    pub async fn wait_until_gone(&self, other: &Self) {
        let Identity { instance, incarnation, .. } = other.identity.clone();
        let gone = DaemonEvent::Notice(Notice::Gone { instance, incarnation });
        self.daemon.wait(|event| *event == gone).await;
    }

    pub async fn list(&self, seeds: Vec<Seed>) {
        self.handle.send_event(Event::Listed(seeds)).await.unwrap();
    }
}
