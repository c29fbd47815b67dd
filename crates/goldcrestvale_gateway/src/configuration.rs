//! Puts versions of the configuration in force, and requests newer ones from peers.

use std::sync::{Arc, MutexGuard, PoisonError};

use goldcrestvale_base::id::{Instance, Offset};
use goldcrestvale_entry::server;
use goldcrestvale_member::{
    config_request::{Offer, Request},
    event::Event,
};
use goldcrestvale_peer::events::{Changes, Configuration as Sealed, Held};
use goldcrestvale_route::forward::{Configuration, Table};
use log::{debug, info, warn};

use crate::{
    config_document::Document, config_version::Versions, gateway::Gateway, peers::status,
    port::Port,
};

impl<P> Gateway<P> {
    fn versions(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the limits of the configuration to the callers' connections.
    fn set_callers_bounds(&self, table: &Table) {
        let Some(bounds) = table.bounds() else { return };
        self.callers_bounds.store(server::Bounds {
            header_bytes: bounds.header_bytes,
            header_timeout: bounds.header_timeout,
            idle_timeout: bounds.idle_timeout,
            ..self.callers_bounds.load()
        });
    }

    /// Puts a version in force that `insert` adds. The lock is held until it is in force, so that an
    /// older version that arrives at the same time cannot replace it.
    fn put_in_force(
        &self,
        source: &str,
        bytes: usize,
        insert: impl FnOnce(&mut Versions) -> Option<Arc<Configuration>>,
    ) -> bool {
        let mut versions = self.versions();
        let current = self.table.load().version();
        let Some(configuration) = insert(&mut versions) else { return false };
        let table = Arc::new(Table::new(configuration));
        let version = table.version();
        self.table.store(table.clone());
        self.set_callers_bounds(&table);
        self.contentions.reconfigure(&table);
        drop(versions);
        info!(from = current, to = version, source, bytes; "configuration in force");
        self.rebuild();
        true
    }
}

impl<P: Port> Gateway<P> {
    /// Puts a version in force that this instance read, if it is newer than the current one.
    pub(crate) fn configure(self: &Arc<Self>, configuration: Configuration) {
        if self.put_in_force("directory", 0, |versions| versions.insert_read(configuration)) {
            let held = self.table.load().version();
            self.send_version(self.peers.record_version(held, self.now()));
        }
    }

    /// Reports the version in force to the peers and sends the request for a newer one, if there is
    /// one.
    fn send_version(self: &Arc<Self>, request: Option<Request>) {
        self.peers.send(Event::Status(status(self)));
        self.send_request(request);
    }

    /// Handles a version that a peer offers.
    pub(crate) fn handle_offer(self: &Arc<Self>, offer: Offer<'_>) {
        let request = self.peers.receive_offer(offer, self.now());
        self.send_request(request);
    }

    /// Handles the news that a peer of the own failure domain read the configuration and has
    /// `version` in force; 0 if the peer's build does not say which.
    ///
    /// The news counts as a read of this instance only if the version is in force here as well, is
    /// being received, or is offered for the first time, so that there is time to request it.
    pub(crate) fn handle_read(self: &Arc<Self>, from: &Instance, version: u64) {
        let now = self.now();
        let held = self.table.load().version();
        let is_first = self.peers.is_unknown(version);
        if version > held {
            self.handle_offer(Offer { from, version, is_near: true });
        }
        let is_unspecified = version == 0;
        if version == held || is_unspecified || is_first || self.peers.is_receiving(now) {
            let precedes = *from < self.settings.name;
            self.directory.configuration().record_update(now, precedes);
        }
    }

    /// Sends the news that this instance read the configuration.
    pub(crate) async fn send_read(&self) {
        let update = Changes {
            scope: goldcrestvale_peer::events::Scope::Configuration.into(),
            next: self.table.load().version(),
            ..Changes::default()
        };
        self.peers.send_changes(update).await;
    }

    fn send_request(self: &Arc<Self>, request: Option<Request>) {
        let Some(Request { to, version }) = request else { return };
        let held = self.versions().held();
        let gateway = self.clone();
        tokio::spawn(async move {
            gateway.peers.request_changes(to, Offset(version), held).await;
        });
    }

    /// Returns the version in force for a peer that holds another one.
    pub(crate) fn changes_since(&self, held: Held) -> Option<Sealed> {
        self.versions().seal_for(held).unwrap_or_else(|e| {
            warn!(error:% = e; "configuration cannot be sent");
            None
        })
    }

    /// Sends the version in force whole to a peer whose build cannot apply changes.
    pub(crate) fn send_configuration(self: &Arc<Self>, to: &Instance) {
        let sealed = self.versions().seal_plain();
        match sealed {
            Ok(Some(sealed)) => {
                let (gateway, to) = (self.clone(), to.clone());
                tokio::spawn(async move { gateway.peers.send_config(to, sealed).await });
            }
            Ok(None) => debug!(instance:% = to; "no configuration to send"),
            Err(e) => warn!(instance:% = to, error:% = e; "configuration cannot be sent"),
        }
    }

    /// Handles the answer of a peer.
    pub(crate) fn receive_configuration(self: &Arc<Self>, from: &Instance, sealed: &Sealed) {
        let bytes = sealed.bytes.len();
        match Document::decode(&sealed.bytes) {
            Ok(document) => {
                let is_newer = self.put_in_force(from.as_str(), bytes, |versions| {
                    versions.insert_received(document).unwrap_or_else(|e| {
                        // The version changed after the request; the next one names the new version.
                        info!(instance:% = from, error:% = e; "changes do not apply");
                        None
                    })
                });
                let held = self.table.load().version();
                let request = self.peers.record_answer(from, held, self.now());
                match is_newer {
                    true => self.send_version(request),
                    false => self.send_request(request),
                }
            }
            Err(e) => warn!(instance:% = from, error:% = e; "a peer's configuration is malformed"),
        }
    }
}
