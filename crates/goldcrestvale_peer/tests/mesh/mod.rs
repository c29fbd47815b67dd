//! Peers over loopback, and a daemon that notes what it is told.
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

/// Longest time that a test waits for anything.
pub const LIMIT: Duration = Duration::from_secs(20);

/// Something that a daemon was told.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    Notice(Notice),
    Offered(Instance, Offset, Digest),
    ConfigAsked(Instance, Offset),
    Received(Instance, Configuration),
    Asked(ResultQuery),
    ListAsked(Instance),
}

/// A daemon that answers every ask with its key, after `silent` is lifted.
#[derive(Debug, Default)]
pub struct Daemon {
    pub told: Mutex<Vec<Told>>,
    pub changed: Notify,
    pub silent: bool,
}

impl Daemon {
    fn note(&self, told: Told) {
        self.told.lock().unwrap().push(told);
        self.changed.notify_waiters();
    }

    pub fn told(&self) -> Vec<Told> {
        self.told.lock().unwrap().clone()
    }

    /// Waits until something is told.
    pub async fn wait(&self, what: impl Fn(&Told) -> bool) -> Told {
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                if let Some(told) = self.told().into_iter().find(&what) {
                    return told;
                }
                changed.await;
            }
        };
        tokio::time::timeout(LIMIT, waiting).await.expect("it is told in time")
    }
}

pub struct Noted(pub Arc<Daemon>);

impl EventHandler for Noted {
    fn notice(&self, notice: Notice) {
        self.0.note(Told::Notice(notice));
    }

    fn config_offered(&self, from: &Instance, version: Offset, digest: Digest) {
        self.0.note(Told::Offered(from.clone(), version, digest));
    }

    fn config_requested(&self, from: &Instance, version: Offset) {
        self.0.note(Told::ConfigAsked(from.clone(), version));
    }

    fn config_received(&self, from: &Instance, configuration: Configuration) {
        self.0.note(Told::Received(from.clone(), configuration));
    }

    fn list_requested(&self, from: &Instance) {
        self.0.note(Told::ListAsked(from.clone()));
    }

    fn result_queried(&self, ask: ResultQuery, reply: Reply) {
        let body = ask.key.to_string().into();
        self.0.note(Told::Asked(ask));
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

pub fn identity(place: usize, incarnation: u128, address: SocketAddr) -> Identity {
    Identity {
        instance: format!("entry-{place}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        domain: "bole".parse().unwrap(),
        address,
    }
}

pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Time between heartbeats in tests.
const HEARTBEAT: Duration = Duration::from_millis(200);

pub fn membership(identity: &Identity) -> Membership {
    Membership::new(identity.clone()).heartbeat(HEARTBEAT).instances(2)
}

/// Starts a peer that knows the seeds.
pub async fn start(place: usize, seeds: &[SocketAddr]) -> Peer {
    start_with(place, seeds, Daemon::default(), |settings| settings).await
}

pub async fn start_with(
    place: usize,
    seeds: &[SocketAddr],
    daemon: Daemon,
    configure: impl FnOnce(Settings) -> Settings,
) -> Peer {
    let listener = listener().await;
    let address = listener.local_addr().unwrap();
    let identity = identity(place, 100 + place as u128, address);
    let membership = membership(&identity).seeds(seeds.to_vec());
    let settings = configure(Settings::new(membership, keys(7)));
    let daemon = Arc::new(daemon);
    let handle = peer::start_on(listener, settings, Noted(Arc::clone(&daemon)));
    Peer { handle, daemon, identity }
}

/// Starts peers that know the first one, and waits until all see each other.
pub async fn mesh(count: usize) -> Vec<Peer> {
    mesh_with(count, HEARTBEAT).await
}

/// Starts peers with a time between heartbeats, and waits until all see each other.
pub async fn mesh_with(count: usize, heartbeat: Duration) -> Vec<Peer> {
    let mut peers: Vec<Peer> = Vec::new();
    for place in 0..count {
        let seeds: Vec<SocketAddr> = peers.iter().map(|peer| peer.identity.address).collect();
        let configure = |settings: Settings| {
            let membership = settings.membership.clone().heartbeat(heartbeat);
            Settings { membership, ..settings }
        };
        peers.push(start_with(place, &seeds, Daemon::default(), configure).await);
    }
    for peer in &peers {
        for other in peers.iter().filter(|other| other.identity != peer.identity) {
            peer.until_up(other).await;
        }
    }
    peers
}

impl Peer {
    pub async fn until_up(&self, other: &Self) {
        let up = Told::Notice(Notice::Up(other.identity.clone()));
        self.daemon.wait(|told| *told == up).await;
    }

    pub async fn until_gone(&self, other: &Self) {
        let Identity { instance, incarnation, .. } = other.identity.clone();
        let gone = Told::Notice(Notice::Gone { instance, incarnation });
        self.daemon.wait(|told| *told == gone).await;
    }

    pub async fn list(&self, seeds: Vec<Seed>) {
        self.handle.send_event(Event::Listed(seeds)).await.unwrap();
    }
}
