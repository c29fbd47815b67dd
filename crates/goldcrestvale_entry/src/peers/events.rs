//! Handles the events of the peer tasks.

use std::sync::{Arc, Weak};

use goldcrestvale_base::id::{Digest, Instance, Offset};
use goldcrestvale_member::{action::Notice, evidence::Evidence};
use goldcrestvale_peer::{
    events::{AnswerState, Configuration, EventHandler, List, Reply, ResultQuery, StoredResult},
    snapshot::Snapshot,
};
use log::{debug, info, warn};
use rand::Rng;

use crate::{
    crash_watch::MAX_REPLY_DELAY,
    node::Node,
    table::{Row, Table},
};

/// Handles the events of the peer tasks; the node is held weakly, since the tasks may outlive it.
pub(super) struct NodeEventHandler {
    node: Weak<Node>,
}

impl NodeEventHandler {
    pub(super) fn new(node: Weak<Node>) -> Self {
        Self { node }
    }

    fn offered(&self, from: &Instance, version: Offset, short_digest: u64) {
        if let Some(node) = self.node.upgrade()
            && let Some(handler) = node.peers.config_handler.get()
        {
            handler.offered(from, version, short_digest);
        }
    }
}

/// Applies what a peer knows of prompts that crash engines, and tells the peers which parts are
/// known to be sound here, unless another instance has done so.
fn handle_evidence(node: Arc<Node>, evidence: &Evidence) {
    let received = node.clock.now();
    let known = node.crash_watch.apply(received, evidence);
    if known.is_empty() {
        return;
    }
    tokio::spawn(async move {
        let delay = node.with_rng(Rng::random::<f64>);
        tokio::time::sleep(MAX_REPLY_DELAY.mul_f64(delay)).await;
        if let Some(reply) = node.crash_watch.reply(received, known) {
            node.peers.send_evidence(reply);
        }
    });
}

impl EventHandler for NodeEventHandler {
    fn published(&self, snapshot: &Arc<Snapshot>) {
        let Some(node) = self.node.upgrade() else { return };
        let stale = |row: &Arc<Row>| row.leaving != snapshot.is_leaving(&row.name);
        if node.upstreams.load().rows.values().any(stale) {
            node.upstreams.rcu(|table| Arc::new(with_leaving(table, snapshot)));
        }
    }

    fn notice(&self, notice: Notice) {
        match notice {
            Notice::Up(peer) => {
                info!(instance:% = peer.instance, incarnation:% = peer.incarnation; "peer is live");
            }
            Notice::Suspect(instance) => info!(instance:%; "peer missed heartbeats"),
            Notice::Dead(instance) => warn!(instance:%; "peer counts as dead"),
            Notice::Gone { instance, incarnation } => {
                info!(instance:%, incarnation:%; "peer has ended");
            }
            Notice::Leaving(mark) => {
                info!(upstream:% = mark.upstream, source:? = mark.source; "upstream is leaving");
            }
            // Relayed steps have their own health evaluation, so the notice is only logged.
            Notice::Silent(silence) => {
                debug!(upstream:% = silence.upstream; "a peer avoids an upstream");
            }
            Notice::Evidence(evidence) => {
                if let Some(node) = self.node.upgrade() {
                    handle_evidence(node, &evidence);
                }
            }
            // Instances of this kind do not choose chains.
            Notice::ChainLimits { from, .. } => {
                debug!(instance:% = from; "limits of chains ignored");
            }
            // They have no common retry budget either.
            Notice::RetryLoans { from, .. } => {
                debug!(instance:% = from; "loans of retries ignored");
            }
            Notice::Config { instance, config, .. } => {
                self.offered(&instance, config.version, config.digest);
            }
        }
    }

    fn config_offered(&self, from: &Instance, version: Offset, digest: Digest) {
        self.offered(from, version, digest.short());
    }

    fn config_requested(&self, from: &Instance, version: Offset) {
        if let Some(node) = self.node.upgrade()
            && let Some(handler) = node.peers.config_handler.get()
        {
            handler.requested(from, version);
        }
    }

    fn config_received(&self, from: &Instance, configuration: Configuration) {
        if let Some(node) = self.node.upgrade()
            && let Some(handler) = node.peers.config_handler.get()
        {
            handler.received(from, configuration);
        }
    }

    fn list_requested(&self, from: &Instance) {
        let Some(node) = self.node.upgrade() else { return };
        let Some(listing) = node.peers.listing() else { return };
        let Ok(bytes) = serde_json::to_vec(&*listing) else { return };
        let list = List { as_of_ms: listing.as_of.0, bytes: bytes.into(), ..List::default() };
        let from = from.clone();
        tokio::spawn(async move {
            if let Some(handle) = node.peers.handle()
                && let Err(e) = handle.send_list(from, list).await
            {
                debug!(error:% = e; "list not sent");
            }
        });
    }

    fn list_received(&self, from: &Instance, list: List) {
        let Some(node) = self.node.upgrade() else { return };
        match serde_json::from_slice(&list.bytes) {
            Ok(listing) => node.peers.store_list(listing),
            Err(e) => warn!(instance:% = from, error:% = e; "a peer's list is malformed"),
        }
    }

    fn result_queried(&self, query: ResultQuery, reply: Reply) {
        let node = self.node.upgrade();
        match node.as_ref().and_then(|node| node.peers.owner.get()) {
            Some(owner) => owner.answer(query, reply),
            None => reply.send(StoredResult::without_answer(AnswerState::Unknown)),
        }
    }
}

fn with_leaving(table: &Table, snapshot: &Snapshot) -> Table {
    let mut table = table.clone();
    for row in table.rows.values_mut() {
        let leaving = snapshot.is_leaving(&row.name);
        if row.leaving != leaving {
            *row = Arc::new(Row { leaving, ..Row::clone(row) });
        }
    }
    table
}
