//! Communication with the other entry instances, also about upstreams that are leaving.
//!
//! Every source that reports a leaving upstream is passed to the membership, which distributes the
//! report; the table of upstreams only shows what the membership has published.

mod events;
mod tasks;

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use goldcrestvale_base::{
    id::{Instance, Offset, Upstream},
    time::Wall,
};
use goldcrestvale_member::{
    event::Event,
    evidence::Evidence,
    identity::{Identity, Seed},
    leaving::{Mark, Source},
    settings::Settings as MembershipSettings,
};
use goldcrestvale_peer::{
    events::{Configuration, Reply, ResultQuery},
    handle::Handle,
    peer,
    settings::Settings,
    snapshot::Snapshot,
};
use goldcrestvale_platform::message::{Listed, Listing, Role, State};
use goldcrestvale_wire::key::{Keyring, Secret};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

use self::events::NodeEventHandler;
pub use self::tasks::Runner;
use crate::{
    node::Node,
    settings,
    table::{Report, Row, Table},
};

/// The result of starting the peer tasks.
pub type Result<T> = std::result::Result<T, Error>;

/// The address for peers cannot be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address} for peers: {source}"))]
pub struct Error {
    /// The address in the settings.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// Answers queries of other instances for the result of an idempotent call.
pub trait Owner: Send + Sync {
    /// Handles a query; the reply may be sent later.
    fn answer(&self, query: ResultQuery, reply: Reply);
}

/// Handles the configuration messages of other instances.
pub trait ConfigHandler: Send + Sync {
    /// Handles a peer's offer of its configuration, with the first 8 bytes of the digest.
    fn offered(&self, from: &Instance, version: Offset, short_digest: u64);

    /// Handles a request for the configuration.
    fn requested(&self, from: &Instance, version: Offset);

    /// Handles a received configuration.
    fn received(&self, from: &Instance, configuration: Configuration);
}

/// The connection to the other entry instances.
#[derive(Default)]
pub struct Peers {
    started: OnceLock<Started>,
    owner: OnceLock<Arc<dyn Owner>>,
    config_handler: OnceLock<Arc<dyn ConfigHandler>>,
    /// The newest instance list of the platform, read by this instance or a peer.
    listing: ArcSwapOption<Listing>,
}

struct Started {
    handle: Handle,
    address: Option<SocketAddr>,
}

impl std::fmt::Debug for Peers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Peers").field("address", &self.address()).finish_non_exhaustive()
    }
}

impl Peers {
    /// Binds the address for peers and starts the tasks; without a shared secret the instance
    /// contacts no peers.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(&self, node: &Arc<Node>) -> Result<Runner> {
        let settings = &node.settings;
        let events = NodeEventHandler::new(Arc::downgrade(node));
        let (handle, address) = match &settings.peer.secret {
            Some(secret) => {
                let address = settings.peer.address;
                let listener = TcpListener::bind(address).await.context(Snafu { address })?;
                let address = listener.local_addr().context(Snafu { address })?;
                let settings = peer_settings(node, address, secret);
                (peer::start_on(listener, settings, events), Some(address))
            }
            None => {
                // No peer is contacted, so the secret is never used.
                let secret = Secret::new([0; 32]);
                let settings = peer_settings(node, settings.peer.address, &secret);
                (peer::start_without_listener(settings, events), None)
            }
        };
        // A second start keeps the first tasks.
        let _ = self.started.set(Started { handle: handle.clone(), address });
        Ok(Runner::new(handle))
    }

    /// Returns the address that is advertised to peers, if this instance communicates with any.
    pub fn address(&self) -> Option<SocketAddr> {
        self.started.get()?.address
    }

    /// Returns the handle to the tasks, once they are started.
    pub fn handle(&self) -> Option<&Handle> {
        self.started.get().map(|started| &started.handle)
    }

    /// Returns the newest snapshot of the membership.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.handle().map(Handle::snapshot).unwrap_or_default()
    }

    /// Sets the handler of result queries; later calls have no effect.
    pub fn set_owner(&self, owner: Arc<dyn Owner>) {
        let _ = self.owner.set(owner);
    }

    /// Sets the handler of configuration messages; later calls have no effect.
    pub fn set_config_handler(&self, handler: Arc<dyn ConfigHandler>) {
        let _ = self.config_handler.set(handler);
    }

    /// Waits until another instance has sent its state, for at most `limit`.
    pub async fn wait_until_synced(&self, limit: Duration) {
        let Some(handle) = self.handle() else { return };
        let synced = async {
            while !handle.snapshot().is_synced {
                tokio::time::sleep(SYNC_POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(limit, synced).await.is_err() {
            log::warn!("no other instance was reached before serving");
        }
    }

    /// Returns the newest instance list of the platform, read by this instance or a peer.
    pub fn listing(&self) -> Option<Arc<Listing>> {
        self.listing.load_full()
    }

    /// Requests the platform's list from the peers, for when this instance cannot read it.
    pub async fn request_list(&self) {
        if let Some(handle) = self.handle()
            && let Err(e) = handle.request_list().await
        {
            log::debug!(error:% = e; "list not requested");
        }
    }

    /// Stores a list, unless a newer one is known.
    fn store_list(&self, listing: Listing) {
        let listing = Arc::new(listing);
        self.listing.rcu(|known| match known {
            Some(known) if known.as_of >= listing.as_of => Some(known.clone()),
            _ => Some(listing.clone()),
        });
    }

    /// Sends the changes in the platform's list to the membership.
    pub async fn apply_list(&self, previous: &Table, listing: &Listing) {
        self.store_list(listing.clone());
        let Some(Started { handle, address }) = self.started.get() else { return };
        if address.is_some() {
            self.send(handle, Event::Listed(seeds(listing))).await;
        }
        for listed in listing.instances.iter().filter(|listed| listed.role != Role::Entry) {
            let Ok(upstream) = listed.name.parse::<Upstream>() else { continue };
            if listed.state == State::Leaving {
                let (incarnation, source, as_of) = (None, Source::List, listing.as_of);
                let mark = Mark { upstream, incarnation, source, as_of };
                self.send(handle, Event::Leaving(mark)).await;
            }
        }
        for name in previous.rows.keys() {
            let is_listed = listing.instances.iter().any(|listed| listed.name == name.as_str());
            if !is_listed {
                self.send(handle, Event::Removed(name.clone())).await;
            }
        }
    }

    /// Sends the incarnation in a load report to the membership, and whether the upstream is
    /// leaving.
    pub async fn record_report(&self, node: &Node, upstream: &Upstream, report: &Report) {
        let Some(handle) = self.handle() else { return };
        let at = node.clock.wall();
        let table = node.upstreams.load();
        let previous = table.rows.get(upstream).and_then(|row| row.report.as_ref());
        let incarnation = report.incarnation().to_owned();
        if previous.is_none_or(|(_, old)| old.incarnation() != incarnation) {
            let upstream = upstream.clone();
            self.send(handle, Event::IncarnationReported { upstream, incarnation, at }).await;
        }
        if report.is_leaving() {
            let (upstream, incarnation) = (upstream.clone(), Some(report.incarnation().into()));
            let mark = Mark { upstream, incarnation, source: Source::Report, as_of: at };
            self.send(handle, Event::Leaving(mark)).await;
        }
    }

    /// Records that an upstream refused a request because it is leaving.
    pub fn record_refusal(&self, row: &Row, as_of: Wall) {
        let mark = mark_of(row, Source::Refusal, as_of);
        if let Some(handle) = self.handle()
            && let Err(e) = handle.try_send_event(Event::Leaving(mark))
        {
            // The next load report carries the same information.
            log::debug!(upstream:% = row.name, error:% = e; "refusal not recorded");
        }
    }

    /// Sends the peers what this instance knows of prompts that crash engines.
    pub fn send_evidence(&self, evidence: Evidence) {
        if let Some(handle) = self.handle()
            && let Err(e) = handle.try_send_event(Event::Evidence(evidence))
        {
            log::warn!(error:% = e; "peers were not notified of prompts that crash engines");
        }
    }

    /// Marks an upstream as leaving, and waits until this instance sends it no new work.
    pub async fn mark_leaving(
        &self,
        table: &Table,
        upstream: &Upstream,
        source: Source,
        as_of: Wall,
    ) {
        if let (Some(handle), Some(row)) = (self.handle(), table.rows.get(upstream))
            && let Err(e) = handle.apply(Event::Leaving(mark_of(row, source, as_of))).await
        {
            log::warn!(upstream:% = upstream, error:% = e; "leaving upstream not recorded");
        }
    }

    async fn send(&self, handle: &Handle, event: Event) {
        if let Err(e) = handle.send_event(event).await {
            log::debug!(error:% = e; "event not sent");
        }
    }
}

fn mark_of(row: &Row, source: Source, as_of: Wall) -> Mark {
    let incarnation = row.report.as_ref().map(|(_, report)| report.incarnation().to_owned());
    Mark { upstream: row.name.clone(), incarnation, source, as_of }
}

/// Returns the entry instances of a list, with their addresses for peers.
fn seeds(listing: &Listing) -> Vec<Seed> {
    let entries = listing.instances.iter().filter(|listed| listed.role == Role::Entry);
    let seed = |listed: &Listed| {
        let instance = listed.name.parse().ok()?;
        Some(Seed { instance, domain: listed.domain.clone(), address: listed.address })
    };
    entries.filter_map(seed).collect()
}

fn peer_settings(node: &Node, address: SocketAddr, secret: &Secret) -> Settings {
    let settings::Settings { instance, machine, peer, .. } = &node.settings;
    let own = Identity {
        instance: instance.name.clone(),
        incarnation: node.incarnation,
        domain: instance.domain.clone(),
        address,
    };
    let membership = MembershipSettings::new(own)
        .seeds(if peer.secret.is_some() { peer.seeds.clone() } else { Vec::new() })
        .instances(peer.instances)
        .heartbeat(peer.heartbeat)
        .gossip(peer.heartbeat * 5)
        .loan_duration(peer.limit_hold);
    let keys = Keyring { primary: secret.clone(), secondary: peer.accepted_secret.clone() };
    let max_connections = peer.connections.min(machine.peer_connections());
    Settings { max_connections, ..Settings::new(membership, keys) }
        .origin(node.clock.origin())
        .max_frame(peer.frame_bytes)
        .queue(MAX_QUEUED_MESSAGES, peer.queue_bytes)
        .query_timeout(peer.ask_timeout)
}

/// Time between checks whether a peer has sent its state.
const SYNC_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of messages queued for one peer.
const MAX_QUEUED_MESSAGES: usize = 256;
