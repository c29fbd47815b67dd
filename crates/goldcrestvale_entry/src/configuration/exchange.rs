//! Passing the configuration between instances.

use std::sync::{Arc, Weak};

use goldcrestvale_base::id::{Digest, Instance, Offset};
use goldcrestvale_config::sync::{Answer, Decision, Frame, Request};
use goldcrestvale_peer::events::Configuration;
use log::{error, info, warn};

use super::State;
use crate::{node::Node, peers::ConfigHandler, phase::Prerequisite};

/// Serves the configuration to other instances and takes theirs.
pub(super) struct Exchange {
    node: Weak<Node>,
}

impl Exchange {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self { node: Arc::downgrade(node) }
    }

    /// Runs work on the state outside the peer tasks, which must not wait for it.
    fn spawn(&self, work: impl FnOnce(&Arc<Node>) + Send + 'static) {
        if let Some(node) = self.node.upgrade() {
            tokio::task::spawn_blocking(move || work(&node));
        }
    }
}

impl ConfigHandler for Exchange {
    fn offered(&self, from: &Instance, version: Offset, brief: u64) {
        let from = from.clone();
        self.spawn(move |node| offered(node, from, version, brief));
    }

    fn requested(&self, from: &Instance, version: Offset) {
        // Asked for is the lowest version that helps, the one after the asker's.
        let ask = Request { version: Offset(version.0.saturating_sub(1)), chunk: None };
        let from = from.clone();
        self.spawn(move |node| answer(node, from, &ask));
    }

    fn received(&self, from: &Instance, configuration: Configuration) {
        let from = from.clone();
        self.spawn(move |node| received(node, from, &configuration));
    }
}

fn offered(node: &Arc<Node>, from: Instance, version: Offset, brief: u64) {
    let now = node.clock.now();
    let weighed = {
        let mut state = node.configuration.state();
        let State { fold, sync, offered, .. } = &mut *state;
        *offered = version.max(*offered);
        sync.evaluate_short(now, fold, version, brief)
    };
    match weighed {
        Decision::Ask(ask) => send_ask(node, from, ask),
        Decision::Diverged => {
            error!(instance:% = from, version = version.0; "another instance has another state");
        }
        Decision::Same | Decision::Older | Decision::Wait => {}
    }
}

fn answer(node: &Arc<Node>, to: Instance, ask: &Request) {
    let answer = {
        let mut state = node.configuration.state();
        let State { fold, sync, .. } = &mut *state;
        sync.answer(fold, ask)
    };
    if answer != Answer::Nothing {
        send(node, to, &Frame::Answer(answer));
    }
}

fn received(node: &Arc<Node>, from: Instance, configuration: &Configuration) {
    if Digest::of(&configuration.bytes) != configuration.digest {
        warn!(instance:% = from; "a configuration does not match its digest");
        return;
    }
    match serde_json::from_slice(&configuration.bytes) {
        Ok(Frame::Ask(ask)) => answer(node, from, &ask),
        Ok(Frame::Answer(answer)) => take(node, from, answer),
        Err(e) => warn!(instance:% = from, error:% = e; "a configuration is malformed"),
    }
}

fn take(node: &Arc<Node>, from: Instance, answer: Answer) {
    let now = node.clock.now();
    let before = node.configuration.status().offer.version;
    let (ask, version, whole) = node.configuration.edit(node, |state| {
        let State { fold, sync, offered, .. } = state;
        let ask = sync.receive(now, fold, answer);
        // Software that cannot read a newer schema version stops before it.
        let whole = fold.version() >= *offered && fold.stop().is_none();
        (ask, fold.version(), whole)
    });
    if version > before {
        info!(instance:% = from, version = version.0; "configuration taken from a peer");
        if whole {
            node.lifecycle.satisfy(Prerequisite::Config);
        }
    }
    if let Some(ask) = ask {
        send_ask(node, from, ask);
    }
}

fn send_ask(node: &Arc<Node>, to: Instance, ask: Request) {
    if ask.chunk.is_some() {
        send(node, to, &Frame::Ask(ask));
        return;
    }
    let Some(handle) = node.peers.handle().cloned() else { return };
    tokio::runtime::Handle::current().spawn(async move {
        if let Err(e) = handle.request_config(to, ask.version.next()).await {
            warn!(error:% = e; "configuration not asked for");
        }
    });
}

fn send(node: &Arc<Node>, to: Instance, frame: &Frame) {
    let Some(handle) = node.peers.handle().cloned() else { return };
    let bytes = serde_json::to_vec(frame).expect("a frame has only text as map keys");
    let version = node.configuration.status().offer.version;
    let configuration = Configuration { version, digest: Digest::of(&bytes), bytes: bytes.into() };
    tokio::runtime::Handle::current().spawn(async move {
        if let Err(e) = handle.send_config(to, configuration).await {
            warn!(error:% = e; "configuration not sent");
        }
    });
}
