//! The other instances: what they know is used while the directory is away, and what one finds of an
//! upstream is known to all.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock, PoisonError, Weak},
    time::Duration,
};

use bytes::Bytes;
use goldcrestvale_base::{
    id::{Digest, Incarnation, Instance, Offset, Upstream},
    time::{Instant, Wall},
};
use goldcrestvale_member::{
    action::Notice,
    event::Event,
    identity::Identity,
    in_flight::UpstreamWork,
    leaving::{Mark, Source},
    message::{Config, Status},
    settings::Settings as Membership,
    silence::Silence,
};
use goldcrestvale_peer::{
    events::{
        AnswerState, Configuration as Sealed, EventHandler, Reply, ResultQuery, StoredResult,
    },
    handle::Handle,
    peer,
    settings::Settings as Tasks,
    snapshot::Snapshot,
};
use goldcrestvale_route::forward::Configuration;
use goldcrestvale_wire::key::{Keyring, Secret};
use log::{debug, info, warn};
use rand::{SeedableRng, rngs::StdRng};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    config_request::ConfigRequestLimiter,
    failover::probe,
    gateway::Gateway,
    port::{Port, Registration},
    rejection::Blame,
    settings::Peer,
    upstream_state::Trouble,
};

/// How often the peers are told what this instance has in progress.
const STATUS_PERIOD: Duration = Duration::from_millis(250);

/// Most connections to instances of the own failure domain, and of others. Chains take streams from
/// all instances, so up to this size each one tells every other what it sent.
const MOST_LINKS: usize = 48;

/// Schema of the configuration that instances pass to each other.
const SCHEMA: u32 = 1;

/// The way to the other instances.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    handle: OnceLock<Handle>,
    asked: Mutex<ConfigRequestLimiter>,
}

impl Peers {
    /// Returns what the membership published last.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.handle.get().map(Handle::snapshot).unwrap_or_default()
    }

    /// Returns the number of instances, this one included, once a peer was heard.
    pub(crate) fn instances(&self) -> Option<u32> {
        let snapshot = self.snapshot();
        (snapshot.is_synced && snapshot.instance_count > 0).then_some(snapshot.instance_count)
    }

    /// Returns the streams that the other instances have on a chain. Those without a connection to
    /// this one count as having as many as the rest on average.
    pub(crate) fn streams(&self, head: &Upstream) -> u32 {
        let snapshot = self.snapshot();
        let told = snapshot.peer_work.total(head);
        let peers = snapshot.instance_count.saturating_sub(1);
        match snapshot.linked {
            linked if linked == 0 || linked >= peers => told,
            linked => (f64::from(told) * f64::from(peers) / f64::from(linked)) as u32,
        }
    }

    /// Returns whether a peer is to be asked for a version of the configuration that it offers.
    fn try_request(&self, version: u64, now: Instant) -> bool {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner).try_request(version, now)
    }

    /// Tells the peers of an upstream that is in trouble.
    pub(crate) fn tell(&self, upstream: &Upstream, trouble: Trouble, time: Duration) {
        let silence = Silence {
            upstream: upstream.clone(),
            left_ms: u32::try_from(time.as_millis()).unwrap_or(u32::MAX),
            refuses: trouble == Trouble::Refusing,
        };
        self.send(Event::Silent(silence));
    }

    /// Tells the peers of an upstream that is leaving.
    pub(crate) fn tell_leaving(&self, registration: &Registration, as_of: Wall) {
        self.send(Event::Leaving(Mark {
            upstream: registration.upstream.clone(),
            incarnation: registration.born_ms.map(|born| born.to_string()),
            source: Source::List,
            as_of,
        }));
    }

    /// Asks the peers for the upstreams that they know.
    pub(crate) async fn ask_list(&self) {
        if let Some(handle) = self.handle.get()
            && let Err(e) = handle.request_list().await
        {
            debug!(error:% = e; "list not asked for");
        }
    }

    pub(crate) async fn stop(&self) {
        if let Some(handle) = self.handle.get() {
            handle.stop().await;
        }
    }

    fn send(&self, event: Event) {
        if let Some(handle) = self.handle.get()
            && let Err(e) = handle.try_send_event(event)
        {
            warn!(error:% = e; "peers were not told of an upstream");
        }
    }
}

/// Binds the address for peers and starts the tasks.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub(crate) async fn start<P: Port>(
    gateway: &Arc<Gateway<P>>,
    settings: &Peer,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(settings.address).await?;
    let address = listener.local_addr()?;
    let own = Identity {
        instance: gateway.settings.name.clone(),
        incarnation: Incarnation::random(&mut StdRng::from_os_rng()),
        domain: gateway.settings.domain.clone(),
        address,
    };
    let membership = Membership::new(own)
        .seeds(settings.seeds.clone())
        .heartbeat(settings.heartbeat)
        .links(MOST_LINKS, MOST_LINKS)
        .report_to_all_domains()
        .gossip(settings.heartbeat * 4);
    let secret = settings.secret.clone().unwrap_or_else(|| Secret::new([0; 32]));
    let tasks = Tasks::new(membership, Keyring::new(secret)).origin(gateway.clock.origin());
    let inbox = Inbox { gateway: Arc::downgrade(gateway) };
    // A second start keeps the first tasks.
    let _ = gateway.peers.handle.set(peer::start_on(listener, tasks, inbox));
    Ok(address)
}

/// Tells the peers the status of this instance until the token is cancelled.
pub(crate) async fn attend<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let Some(handle) = gateway.peers.handle.get() else { return };
    let mut ticks = tokio::time::interval(STATUS_PERIOD);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let status = Event::Status(Status {
            config: offer(&gateway),
            draining: gateway.is_leaving(),
            schema: SCHEMA,
            leads: gateway.has_duty(),
        });
        let heads = gateway.registry.heads().into_iter();
        let sent = heads.map(|(upstream, units)| UpstreamWork { upstream, units }).collect();
        let told = handle
            .send_event(status)
            .await
            .and(handle.send_event(Event::WorkInProgress(sent)).await);
        if let Err(e) = told {
            debug!(error:% = e; "peers are not told the status");
            return;
        }
    }
}

/// Names the configuration in force. A version is only ever written once, so it stands for the
/// contents.
fn offer<P>(gateway: &Gateway<P>) -> Option<Config> {
    let version = gateway.table.load().version();
    (version > 0).then_some(Config { version: Offset(version), digest: version })
}

/// Takes what the peer tasks tell.
struct Inbox<P> {
    gateway: Weak<Gateway<P>>,
}

impl<P: Port> EventHandler for Inbox<P> {
    fn notice(&self, notice: Notice) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        match notice {
            Notice::Up(peer) => info!(instance:% = peer.instance; "peer is live"),
            Notice::Suspect(_) => {}
            Notice::Dead(instance) => warn!(instance:% = instance; "peer counts as dead"),
            Notice::Gone { instance, .. } => info!(instance:% = instance; "peer has ended"),
            Notice::Leaving(mark) => {
                let now = gateway.now();
                gateway.learn(|known| {
                    known.catalog.set_leaving(&mark.upstream, mark.incarnation.as_deref(), now)
                });
            }
            Notice::Silent(silence) => {
                let time = Duration::from_millis(silence.left_ms.into());
                if silence.refuses {
                    gateway.note(&silence.upstream, Trouble::Refusing, time, "a peer says so");
                } else {
                    // The peer may be the one that is cut off.
                    tokio::spawn(probe(gateway, silence.upstream, Blame::Failure));
                }
            }
            Notice::Config { instance, config } => {
                if !gateway.peers.try_request(config.version.0, gateway.now()) {
                    return;
                }
                tokio::spawn(async move {
                    if let Some(handle) = gateway.peers.handle.get()
                        && let Err(e) = handle.request_config(instance, config.version).await
                    {
                        debug!(error:% = e; "configuration not asked for");
                    }
                });
            }
        }
    }

    fn config_offered(&self, _from: &Instance, _version: Offset, _digest: Digest) {}

    fn config_requested(&self, from: &Instance, _version: Offset) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        let table = gateway.table.load_full();
        let Some(configuration) = table.source() else { return };
        let bytes: Bytes = match serde_json::to_vec(configuration) {
            Ok(bytes) => bytes.into(),
            Err(e) => {
                warn!(error:% = e; "configuration cannot be passed on");
                return;
            }
        };
        let sealed = Sealed { version: Offset(table.version()), digest: Digest::of(&bytes), bytes };
        let from = from.clone();
        tokio::spawn(async move {
            if let Some(handle) = gateway.peers.handle.get()
                && let Err(e) = handle.send_config(from, sealed).await
            {
                debug!(error:% = e; "configuration not sent");
            }
        });
    }

    fn config_received(&self, from: &Instance, sealed: Sealed) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        if Digest::of(&sealed.bytes) != sealed.digest {
            warn!(instance:% = from; "a peer's configuration does not match its digest");
            return;
        }
        match serde_json::from_slice::<Configuration>(&sealed.bytes) {
            Ok(configuration) => gateway.configure(configuration),
            Err(e) => warn!(instance:% = from, error:% = e; "a peer's configuration is malformed"),
        }
    }

    fn list_requested(&self, from: &Instance) {
        let Some(gateway) = self.gateway.upgrade().filter(|gateway| gateway.is_listed()) else {
            return;
        };
        let list: Vec<Registration> = gateway.read(|known| known.catalog.registrations().collect());
        let bytes: Bytes = match serde_json::to_vec(&list) {
            Ok(bytes) => bytes.into(),
            Err(e) => {
                warn!(error:% = e; "list cannot be passed on");
                return;
            }
        };
        let from = from.clone();
        tokio::spawn(async move {
            if let Some(handle) = gateway.peers.handle.get()
                && let Err(e) = handle.send_list(from, gateway.clock.wall(), bytes).await
            {
                debug!(error:% = e; "list not sent");
            }
        });
    }

    fn list_received(&self, from: &Instance, list: Bytes) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        // What the directory says itself goes before hearsay.
        if gateway.is_directory_reached() {
            return;
        }
        match serde_json::from_slice::<Vec<Registration>>(&list) {
            Ok(list) => {
                let now = gateway.now();
                gateway.learn(|known| !known.catalog.merge(&list, now).is_empty());
                gateway.set_listed();
            }
            Err(e) => warn!(instance:% = from, error:% = e; "a peer's list is malformed"),
        }
    }

    fn result_queried(&self, _ask: ResultQuery, reply: Reply) {
        reply.send(StoredResult::without_answer(AnswerState::Unknown));
    }
}
