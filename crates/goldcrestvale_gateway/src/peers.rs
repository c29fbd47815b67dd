//! Communication with the other instances: their state replaces the directory while it is
//! unreachable, and faults of upstreams that one instance finds are sent to all.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak},
    time::Duration,
};

use bytes::Bytes;
use goldcrestvale_base::{
    id::{Digest, Incarnation, Instance, Offset, Upstream},
    time::{Instant, Wall},
};
use goldcrestvale_member::{
    action::Notice,
    chain_limit::ChainLimits,
    config_request::{Offer, Request, Requests},
    event::Event,
    evidence::Evidence,
    identity::Identity,
    in_flight::UpstreamWork,
    leaving::{Mark, Source},
    message::{Config, Status},
    settings::Settings as Membership,
    silence::Silence,
    view::Relays,
};
use goldcrestvale_peer::{
    events::{
        AnswerState, Changes, Configuration as Sealed, EventHandler, Held, List, Reply,
        ResultQuery, StoredResult,
    },
    handle::Handle,
    peer,
    settings::Settings as Tasks,
    snapshot::Snapshot,
};
use goldcrestvale_wire::key::{Keyring, Secret};
use log::{debug, info, warn};
use rand::{SeedableRng, rngs::StdRng};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    crash_watch::handle_evidence,
    directory_changes::{decode_entries, handle_changes, merge_list, millis, send_amendments},
    failover::probe,
    gateway::Gateway,
    port::{Port, Presence, Registration},
    rejection::ProbeReason,
    settings::Peer,
    upstream_state::FaultKind,
};

/// Interval at which the status and the work in progress are sent to the peers.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Number of status intervals between two reports of the prompts that are kept from engines. They
/// reach instances that started or returned since.
const HOLDS_INTERVALS: u64 = 4;

/// Maximum number of connections to instances of the own failure domain, and of other domains.
/// Chains serve streams of all instances, so up to this number each one reports its streams to
/// every other.
const MAX_LINKS: usize = 48;

/// Schema of the configuration that instances send to each other.
const SCHEMA: u32 = 1;

/// The connection to the other instances.
#[derive(Debug)]
pub(crate) struct Peers {
    handle: OnceLock<Handle>,
    requests: Mutex<Requests>,
}

impl Peers {
    /// Creates the state of an instance whose operator expects a version of the configuration in
    /// force after `bound`; `draw` differs between instances.
    pub(crate) fn new(bound: Duration, draw: usize) -> Self {
        Self { handle: OnceLock::new(), requests: Mutex::new(Requests::new(bound, draw)) }
    }

    /// Returns the last published snapshot of the membership.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.handle.get().map(Handle::snapshot).unwrap_or_default()
    }

    /// Returns the number of instances including this one, once a peer sent a message.
    pub(crate) fn instance_count(&self) -> Option<u32> {
        let snapshot = self.snapshot();
        (snapshot.is_synced && snapshot.instance_count > 0).then_some(snapshot.instance_count)
    }

    /// Returns whether a peer takes requests that this instance cannot serve itself.
    pub(crate) fn has_relays(&self) -> bool {
        let snapshot = self.snapshot();
        !(snapshot.relays.near.is_empty() && snapshot.relays.far.is_empty())
    }

    /// Returns the peers that take such requests, those of the own failure domain first, each group
    /// from a random one on.
    pub(crate) fn relays(&self, random_unit: f64) -> Vec<SocketAddr> {
        let Relays { mut near, mut far } = self.snapshot().relays.clone();
        for group in [&mut near, &mut far] {
            let start = (random_unit * group.len() as f64) as usize;
            group.rotate_left(start);
        }
        near.append(&mut far);
        near
    }

    /// Returns the number of streams that the other instances have on a chain. Instances without a
    /// connection to this one count with the average of the connected ones.
    pub(crate) fn stream_count(&self, head: &Upstream) -> u32 {
        let snapshot = self.snapshot();
        let reported = snapshot.peer_work.total(head);
        let peers = snapshot.instance_count.saturating_sub(1);
        match snapshot.linked {
            linked if linked == 0 || linked >= peers => reported,
            linked => (f64::from(reported) * f64::from(peers) / f64::from(linked)) as u32,
        }
    }

    fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a version that a peer offers; returns the request to send, if there is one.
    pub(crate) fn receive_offer(&self, offer: Offer<'_>, now: Instant) -> Option<Request> {
        self.requests().receive(offer, now)
    }

    /// Returns whether no peer of the own failure domain has offered a version yet.
    pub(crate) fn is_unknown(&self, version: u64) -> bool {
        self.requests().is_unknown(version)
    }

    /// Records the version in force; returns the request for a newer one that was offered.
    pub(crate) fn record_version(&self, version: u64, now: Instant) -> Option<Request> {
        self.requests().record_held(version, now)
    }

    /// Records a complete answer and the version that is in force after it; returns the request for
    /// a newer one that was offered.
    pub(crate) fn record_answer(
        &self,
        from: &Instance,
        version: u64,
        now: Instant,
    ) -> Option<Request> {
        self.requests().record_answer(from, version, now)
    }

    /// Returns whether a newer version is being received.
    pub(crate) fn is_receiving(&self, now: Instant) -> bool {
        self.requests().is_receiving(now)
    }

    /// Requests the changes since the held version from a peer.
    pub(crate) async fn request_changes(&self, to: Instance, version: Offset, held: Held) {
        if let Some(handle) = self.handle.get()
            && let Err(e) = handle.request_changes(to, version, held).await
        {
            debug!(error:% = e; "configuration not requested");
        }
    }

    /// Sends the configuration to a peer.
    pub(crate) async fn send_config(&self, to: Instance, sealed: Sealed) {
        if let Some(handle) = self.handle.get()
            && let Err(e) = handle.send_config(to, sealed).await
        {
            debug!(error:% = e; "configuration not sent");
        }
    }

    /// Sends a fault of an upstream to the peers.
    pub(crate) fn send_fault(&self, upstream: &Upstream, kind: FaultKind, duration: Duration) {
        let silence = Silence {
            upstream: upstream.clone(),
            left_ms: u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
            refuses: kind == FaultKind::Refusing,
        };
        self.send(Event::Silent(silence));
    }

    /// Notifies the peers of an upstream that is leaving.
    pub(crate) fn send_leaving(&self, registration: &Registration, source: Source, as_of: Wall) {
        self.send(Event::Leaving(Mark {
            upstream: registration.upstream.clone(),
            incarnation: registration.born_ms.map(|born| born.to_string()),
            source,
            as_of,
        }));
    }

    /// Sends the peers what this instance knows of prompts that crash engines.
    pub(crate) fn send_evidence(&self, evidence: Evidence) {
        self.send(Event::Evidence(evidence));
    }

    /// Sends the peers limits of chains that this instance learned.
    pub(crate) fn send_chain_limits(&self, limits: ChainLimits) {
        self.send(Event::ChainLimits(limits));
    }

    /// Requests the list of upstreams from the peers.
    pub(crate) async fn request_list(&self) {
        if let Some(handle) = self.handle.get()
            && let Err(e) = handle.request_list().await
        {
            debug!(error:% = e; "list not requested");
        }
    }

    /// Sends changes of the directory to the peers of the own failure domain.
    pub(crate) async fn send_changes(&self, changes: Changes) {
        if let Some(handle) = self.handle.get()
            && let Err(e) = handle.send_changes(changes).await
        {
            debug!(error:% = e; "changes of the directory not sent");
        }
    }

    pub(crate) async fn stop(&self) {
        if let Some(handle) = self.handle.get() {
            handle.stop().await;
        }
    }

    pub(crate) fn send(&self, event: Event) {
        if let Some(handle) = self.handle.get()
            && let Err(e) = handle.try_send_event(event)
        {
            warn!(error:% = e; "peers were not notified");
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
        .links(MAX_LINKS, MAX_LINKS)
        .report_to_all_domains()
        .gossip(settings.heartbeat * 4);
    let secret = settings.secret.clone().unwrap_or_else(|| Secret::new([0; 32]));
    let tasks = Tasks::new(membership, Keyring::new(secret)).origin(gateway.clock.origin());
    let max_connections = tasks.max_connections.min(gateway.settings.machine.peer_connections());
    let tasks = Tasks { max_connections, ..tasks };
    let handler = Handler { gateway: Arc::downgrade(gateway) };
    // A second start keeps the tasks of the first one.
    let _ = gateway.peers.handle.set(peer::start_on(listener, tasks, handler));
    Ok(address)
}

/// Sends the status of this instance to the peers until the token is cancelled.
pub(crate) async fn run<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let Some(handle) = gateway.peers.handle.get() else { return };
    let mut ticks = tokio::time::interval(STATUS_INTERVAL);
    let mut interval = 0_u64;
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        interval += 1;
        if interval.is_multiple_of(HOLDS_INTERVALS)
            && let Some(report) = gateway.crash_watch.report(gateway.now())
        {
            gateway.peers.send_evidence(report);
        }
        let status = Event::Status(status(&gateway));
        let heads = gateway.registry.stream_counts().into_iter();
        let work = heads
            .map(|(upstream, units)| {
                let tokens = gateway.registry.cost(&upstream).reported_tokens(units);
                UpstreamWork { upstream, units, tokens }
            })
            .collect();
        let result = handle
            .send_event(status)
            .await
            .and(handle.send_event(Event::WorkInProgress(work)).await)
            .and(handle.send_event(Event::CustomerLoads(gateway.customer_loads.own())).await);
        gateway.return_retries();
        if let Some(demand) = gateway.shared_limits.take_demand(gateway.now()) {
            gateway.peers.send(demand);
        }
        if let Err(e) = result {
            debug!(error:% = e; "status was not sent to the peers");
            return;
        }
    }
}

/// Returns the status that this instance reports with each heartbeat.
pub(crate) fn status<P>(gateway: &Gateway<P>) -> Status {
    Status {
        config: offer(gateway),
        draining: gateway.is_leaving(),
        schema: SCHEMA,
        leads: gateway.is_placement_leader(),
        relay_port: (!gateway.are_links_lost()).then(|| gateway.callers_port()).flatten(),
    }
}

/// Returns the version of the configuration in force as an offer to the peers. Each version is
/// written only once, so it also serves as the digest.
fn offer<P>(gateway: &Gateway<P>) -> Option<Config> {
    let version = gateway.table.load().version();
    (version > 0).then_some(Config { version: Offset(version), digest: version })
}

/// Handles the events of the peer tasks.
struct Handler<P> {
    gateway: Weak<Gateway<P>>,
}

impl<P: Port> EventHandler for Handler<P> {
    fn notice(&self, notice: Notice) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        match notice {
            Notice::Up(peer) => info!(instance:% = peer.instance; "peer is live"),
            Notice::Suspect(_) => {}
            Notice::Dead(instance) => warn!(instance:% = instance; "peer counts as dead"),
            Notice::Gone { instance, .. } => {
                info!(instance:% = instance; "peer has ended");
                gateway.shared_limits.forget(&instance);
            }
            Notice::Leaving(mark) => {
                let now = gateway.now();
                let born = mark.incarnation.as_deref();
                gateway.update(|state| match mark.source {
                    Source::Report => state.catalog.set_said_leaving(&mark.upstream, born, now),
                    _ => state.catalog.set_leaving(&mark.upstream, born, now),
                });
            }
            Notice::Silent(silence) => {
                let duration = Duration::from_millis(silence.left_ms.into());
                if silence.refuses {
                    gateway.record_fault(
                        &silence.upstream,
                        FaultKind::Refusing,
                        duration,
                        "reported by a peer",
                    );
                } else {
                    // The peer itself may be the one that is disconnected.
                    tokio::spawn(probe(gateway, silence.upstream, ProbeReason::Failure));
                }
            }
            Notice::Evidence(evidence) => handle_evidence(&gateway, &evidence),
            Notice::ChainLimits { from, limits } => gateway.apply_chain_limits(&from, &limits),
            Notice::RetryLoans { from, loans } => gateway.apply_retry_loans(&from, &loans),
            Notice::Config { instance, is_near, config } => {
                let version = config.version.0;
                gateway.handle_offer(Offer { from: &instance, version, is_near });
            }
        }
    }

    fn config_offered(&self, _from: &Instance, _version: Offset, _digest: Digest) {}

    fn config_requested(&self, from: &Instance, _version: Offset) {
        if let Some(gateway) = self.gateway.upgrade() {
            gateway.send_configuration(from);
        }
    }

    fn changes_since(&self, _to: &Instance, held: Held) -> Option<Sealed> {
        self.gateway.upgrade()?.changes_since(held)
    }

    fn part_received(&self, from: &Instance) {
        if let Some(gateway) = self.gateway.upgrade() {
            gateway.peers.requests().record_part(from, gateway.now());
        }
    }

    fn config_received(&self, from: &Instance, sealed: Sealed) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        if Digest::of(&sealed.bytes) != sealed.digest {
            warn!(instance:% = from; "a peer's configuration does not match its digest");
            return;
        }
        gateway.receive_configuration(from, &sealed);
    }

    fn list_requested(&self, from: &Instance) {
        let Some(gateway) = self.gateway.upgrade().filter(|gateway| gateway.is_listed()) else {
            return;
        };
        let (presences, known_to): (Vec<Presence>, Offset) = gateway.read_state(|state| {
            (state.catalog.presences().collect(), state.catalog.known_to().unwrap_or_default())
        });
        let bytes: Bytes = match serde_json::to_vec(&presences) {
            Ok(bytes) => bytes.into(),
            Err(e) => {
                warn!(error:% = e; "list cannot be serialized");
                return;
            }
        };
        let list = List {
            as_of_ms: gateway.clock.wall().0,
            bytes,
            offset: known_to.0,
            grace_ms: millis(gateway.directory.grace(gateway.now())),
        };
        let from = from.clone();
        tokio::spawn(async move {
            if let Some(handle) = gateway.peers.handle.get()
                && let Err(e) = handle.send_list(from, list).await
            {
                debug!(error:% = e; "list not sent");
            }
        });
    }

    fn list_received(&self, from: &Instance, list: List) {
        let Some(gateway) = self.gateway.upgrade() else { return };
        // The directory takes precedence over the lists of peers.
        if gateway.is_directory_reached() {
            return;
        }
        let Some(presences) = decode_entries::<Presence>(from, &list.bytes) else { return };
        let merged = merge_list(&gateway, from, &list, &presences);
        gateway.set_listed();
        if !merged.is_empty() {
            tokio::spawn(async move { send_amendments(&gateway, merged).await });
        }
    }

    fn changes_received(&self, from: &Instance, changes: Changes) {
        if let Some(gateway) = self.gateway.upgrade() {
            handle_changes(&gateway, from, &changes);
        }
    }

    fn result_queried(&self, _query: ResultQuery, reply: Reply) {
        reply.send(StoredResult::without_answer(AnswerState::Unknown));
    }
}
