//! The part that attends to the peer tasks: status, dump, metrics, goodbye.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use goldcrestvale_config::sync::{Offer, brief_of};
use goldcrestvale_member::{
    event::Event,
    message::{Config, Status},
    sends::Sent,
};
use goldcrestvale_peer::handle::Handle;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::{
    configuration,
    daemon::{Builder, Part},
    node::Node,
    phase::Phase,
    table::Row,
};

/// How often the status is told to the membership, and its state is read for the dump.
const INTERVAL: Duration = Duration::from_millis(500);

/// Attends to the peer tasks.
#[derive(Debug)]
pub struct Attend {
    handle: Handle,
}

impl Attend {
    pub(super) fn new(handle: Handle) -> Self {
        Self { handle }
    }
}

impl Part for Attend {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let dump = Arc::new(ArcSwap::from_pointee(Value::Null));
        let shown = dump.clone();
        builder.insert_dump("peers", move || shown.load().as_ref().clone());
        insert_gauges(&node, &self.handle);
        builder.insert_task(attend(node, self.handle.clone(), dump, builder.stop()));
        let handle = self.handle;
        builder.insert_farewell(move || async move { handle.stop().await });
    }
}

async fn attend(
    node: Arc<Node>,
    handle: Handle,
    dump: Arc<ArcSwap<Value>>,
    stop: CancellationToken,
) {
    let mut ticks = tokio::time::interval(INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let told = handle.tell(Event::Status(status(&node))).await;
        let told = told.and(handle.tell(Event::Sent(in_progress(&node))).await);
        let state = handle.dump().await;
        match (told, state) {
            (Ok(()), Ok(state)) => {
                dump.store(Arc::new(serde_json::to_value(state).unwrap_or_default()));
            }
            // The goodbye ended the tasks.
            _ => return,
        }
    }
}

/// Returns what this instance has in progress at each upstream.
fn in_progress(node: &Node) -> Vec<Sent> {
    let table = node.upstreams.load();
    let sent = |row: &Arc<Row>| Sent { upstream: row.name.clone(), units: row.in_progress() };
    table.rows.values().map(sent).collect()
}

fn status(node: &Node) -> Status {
    let Offer { version, digest } = node.configuration.seen().offer;
    let config = (version.0 > 0).then(|| Config { version, digest: brief_of(&digest) });
    let draining = node.life.phase() >= Phase::Leaving;
    Status { config, draining, schema: configuration::schema() }
}

fn insert_gauges(node: &Arc<Node>, handle: &Handle) {
    macro_rules! gauges {
        ($($name:literal: $count:ident,)+) => {$(
            let read = handle.clone();
            node.metrics.insert_gauge($name, move || read.counts().$count);
        )+};
    }
    gauges! {
        "goldcrestvale_peer_bytes_out": bytes_out,
        "goldcrestvale_peer_bytes_in": bytes_in,
        "goldcrestvale_peer_frames_unknown": unknown,
        "goldcrestvale_peer_frames_broken": broken,
        "goldcrestvale_peer_frames_oversized": oversized,
        "goldcrestvale_peer_frames_forged": forged,
        "goldcrestvale_peer_messages_dropped": dropped,
        "goldcrestvale_peer_connections_refused": refused,
        "goldcrestvale_peer_asks_unanswered": unanswered,
    }
    let read = handle.clone();
    node.metrics.insert_gauge("goldcrestvale_instances", move || read.snapshot().instances.into());
    let leaving = node.clone();
    node.metrics.insert_gauge("goldcrestvale_upstreams_leaving", move || {
        let table = leaving.upstreams.load();
        table.rows.values().filter(|row| row.leaving).count() as u64
    });
}
