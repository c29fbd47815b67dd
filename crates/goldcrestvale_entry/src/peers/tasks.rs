//! The part that attends to the peer tasks: status, dump, metrics, goodbye.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use goldcrestvale_config::sync::{Offer, short_digest};
use goldcrestvale_member::{
    event::Event,
    in_flight::UpstreamWork,
    message::{Config, Status},
};
use goldcrestvale_peer::handle::{Handle, Result};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::{
    configuration,
    daemon::{Builder, Part},
    node::Node,
    phase::Phase,
    table::Row,
};

/// How often the status is told to the membership, and its state may be read for the dump.
const INTERVAL: Duration = Duration::from_millis(500);

/// Intervals between readings of the state while nobody looks at it.
const SELDOM: u32 = 4;

/// Attends to the peer tasks.
#[derive(Debug)]
pub struct Runner {
    handle: Handle,
}

impl Runner {
    pub(super) fn new(handle: Handle) -> Self {
        Self { handle }
    }
}

/// The state of the peer tasks as it was read last.
///
/// It is read at each interval while somebody looks at it, else seldom, since at hundreds of
/// instances each reading costs a millisecond.
#[derive(Default)]
struct Shown {
    state: ArcSwap<Value>,
    asked: AtomicBool,
    skipped: AtomicU32,
}

impl Shown {
    fn read(&self) -> Value {
        self.asked.store(true, Ordering::Relaxed);
        self.state.load().as_ref().clone()
    }

    fn is_due(&self) -> bool {
        let asked = self.asked.swap(false, Ordering::Relaxed);
        asked || self.skipped.fetch_add(1, Ordering::Relaxed).is_multiple_of(SELDOM)
    }

    async fn renew(&self, handle: &Handle) -> Result<()> {
        let state = handle.dump().await?;
        self.state.store(Arc::new(serde_json::to_value(state).unwrap_or_default()));
        Ok(())
    }
}

impl Part for Runner {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let dump = Arc::new(Shown::default());
        let shown = dump.clone();
        builder.insert_dump("peers", move || shown.read());
        insert_gauges(&node, &self.handle);
        builder.insert_task(attend(node, self.handle.clone(), dump, builder.stop()));
        let handle = self.handle;
        builder.insert_shutdown_hook(move || async move { handle.stop().await });
    }
}

async fn attend(node: Arc<Node>, handle: Handle, dump: Arc<Shown>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let told = handle.send_event(Event::Status(status(&node))).await;
        let told = told.and(handle.send_event(Event::WorkInProgress(in_progress(&node))).await);
        let shown = if dump.is_due() { dump.renew(&handle).await } else { Ok(()) };
        if told.and(shown).is_err() {
            // The goodbye ended the tasks.
            return;
        }
    }
}

/// Returns what this instance has in progress at each upstream.
fn in_progress(node: &Node) -> Vec<UpstreamWork> {
    let table = node.upstreams.load();
    let sent =
        |row: &Arc<Row>| UpstreamWork { upstream: row.name.clone(), units: row.in_progress() };
    table.rows.values().map(sent).collect()
}

fn status(node: &Node) -> Status {
    let Offer { version, digest } = node.configuration.status().offer;
    let config = (version.0 > 0).then(|| Config { version, digest: short_digest(&digest) });
    let draining = node.lifecycle.phase() >= Phase::Leaving;
    Status { config, draining, schema: configuration::min_schema(), leads: false }
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
    node.metrics
        .insert_gauge("goldcrestvale_instances", move || read.snapshot().instance_count.into());
    let leaving = node.clone();
    node.metrics.insert_gauge("goldcrestvale_upstreams_leaving", move || {
        let table = leaving.upstreams.load();
        table.rows.values().filter(|row| row.leaving).count() as u64
    });
}
