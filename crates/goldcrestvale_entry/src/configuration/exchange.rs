//! Exchanges the configuration with other instances.

use std::sync::{Arc, Weak};

use goldcrestvale_base::id::{Digest, Instance, Offset};
use goldcrestvale_config::sync::{Answer, Decision, Frame, Request};
use goldcrestvale_peer::events::Configuration;
use log::{error, info, warn};

use super::State;
use crate::{node::Node, peers::ConfigHandler, phase::Prerequisite};

/// Serves the configuration to other instances and applies what they send.
pub(super) struct Exchange {
    node: Weak<Node>,
}

impl Exchange {
    pub(super) fn new(node: &Arc<Node>) -> Self {
        Self { node: Arc::downgrade(node) }
    }

    /// Runs work on the state on a blocking thread, since the peer tasks must not wait for it.
    fn spawn(&self, work: impl FnOnce(&Arc<Node>) + Send + 'static) {
        if let Some(node) = self.node.upgrade() {
            tokio::task::spawn_blocking(move || work(&node));
        }
    }
}

impl ConfigHandler for Exchange {
    fn offered(&self, from: &Instance, version: Offset, short_digest: u64) {
        let from = from.clone();
        self.spawn(move |node| evaluate_offer(node, from, version, short_digest));
    }

    fn requested(&self, from: &Instance, version: Offset) {
        // The peer requests the lowest version that it lacks, one above its own.
        let request = Request { version: Offset(version.0.saturating_sub(1)), chunk: None };
        let from = from.clone();
        self.spawn(move |node| send_answer(node, from, &request));
    }

    fn received(&self, from: &Instance, configuration: Configuration) {
        let from = from.clone();
        self.spawn(move |node| apply_frame(node, from, &configuration));
    }
}

fn evaluate_offer(node: &Arc<Node>, from: Instance, version: Offset, short_digest: u64) {
    let now = node.clock.now();
    let decision = {
        let mut state = node.configuration.state();
        let State { fold, sync, highest_offered, .. } = &mut *state;
        *highest_offered = version.max(*highest_offered);
        sync.evaluate_short(now, fold, version, short_digest)
    };
    match decision {
        Decision::Ask(request) => send_request(node, from, request),
        Decision::Diverged => {
            error!(instance:% = from, version = version.0; "another instance has another state");
        }
        Decision::Same | Decision::Older | Decision::Wait => {}
    }
}

fn send_answer(node: &Arc<Node>, to: Instance, request: &Request) {
    let answer = {
        let mut state = node.configuration.state();
        let State { fold, sync, .. } = &mut *state;
        sync.answer(fold, request)
    };
    if answer != Answer::Nothing {
        send(node, to, &Frame::Answer(answer));
    }
}

fn apply_frame(node: &Arc<Node>, from: Instance, configuration: &Configuration) {
    if Digest::of(&configuration.bytes) != configuration.digest {
        warn!(instance:% = from; "a configuration does not match its digest");
        return;
    }
    match serde_json::from_slice(&configuration.bytes) {
        Ok(Frame::Ask(request)) => send_answer(node, from, &request),
        Ok(Frame::Answer(answer)) => apply_answer(node, from, answer),
        Err(e) => warn!(instance:% = from, error:% = e; "a configuration is malformed"),
    }
}

fn apply_answer(node: &Arc<Node>, from: Instance, answer: Answer) {
    let now = node.clock.now();
    let before = node.configuration.status().offer.version;
    let (request, version, is_current) = node.configuration.update(node, |state| {
        let State { fold, sync, highest_offered, .. } = state;
        let request = sync.receive(now, fold, answer);
        // A fold stops before a schema version that this software cannot read.
        let is_current = fold.version() >= *highest_offered && fold.stop().is_none();
        (request, fold.version(), is_current)
    });
    if version > before {
        info!(instance:% = from, version = version.0; "configuration received from a peer");
        if is_current {
            node.lifecycle.satisfy(Prerequisite::Config);
        }
    }
    if let Some(request) = request {
        send_request(node, from, request);
    }
}

fn send_request(node: &Arc<Node>, to: Instance, request: Request) {
    if request.chunk.is_some() {
        send(node, to, &Frame::Ask(request));
        return;
    }
    let Some(handle) = node.peers.handle().cloned() else { return };
    tokio::runtime::Handle::current().spawn(async move {
        if let Err(e) = handle.request_config(to, request.version.next()).await {
            warn!(error:% = e; "configuration not requested");
        }
    });
}

fn send(node: &Arc<Node>, to: Instance, frame: &Frame) {
    let Some(handle) = node.peers.handle().cloned() else { return };
    let bytes = serde_json::to_vec(frame).expect("a frame has only string map keys");
    let version = node.configuration.status().offer.version;
    let configuration = Configuration { version, digest: Digest::of(&bytes), bytes: bytes.into() };
    tokio::runtime::Handle::current().spawn(async move {
        if let Err(e) = handle.send_config(to, configuration).await {
            warn!(error:% = e; "configuration not sent");
        }
    });
}
