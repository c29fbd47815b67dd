//! The part that connects an instance with its peer tasks: status, dump, metrics and shutdown.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use goldcrestvale_config::sync::Offer;
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

/// Time between reports of the status to the membership, and minimum time between refreshes of the
/// dump.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Number of intervals between refreshes of a dump that nobody reads.
const IDLE_INTERVALS: u32 = 4;

/// Connects an instance with its peer tasks.
#[derive(Debug)]
pub struct Runner {
    handle: Handle,
}

impl Runner {
    pub(super) fn new(handle: Handle) -> Self {
        Self { handle }
    }
}

/// A cached dump of the state of the peer tasks.
///
/// It is refreshed at each interval while it is read, otherwise at every [`IDLE_INTERVALS`]th one,
/// since with hundreds of instances each refresh takes a millisecond.
#[derive(Default)]
struct CachedDump {
    state: ArcSwap<Value>,
    was_read: AtomicBool,
    skipped: AtomicU32,
}

impl CachedDump {
    fn read(&self) -> Value {
        self.was_read.store(true, Ordering::Relaxed);
        self.state.load().as_ref().clone()
    }

    fn is_due(&self) -> bool {
        let was_read = self.was_read.swap(false, Ordering::Relaxed);
        was_read || self.skipped.fetch_add(1, Ordering::Relaxed).is_multiple_of(IDLE_INTERVALS)
    }

    async fn refresh(&self, handle: &Handle) -> Result<()> {
        let state = handle.dump().await?;
        self.state.store(Arc::new(serde_json::to_value(state).unwrap_or_default()));
        Ok(())
    }
}

impl Part for Runner {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let dump = Arc::new(CachedDump::default());
        let cached = dump.clone();
        builder.insert_dump("peers", move || cached.read());
        insert_gauges(&node, &self.handle);
        builder.insert_task(run(node, self.handle.clone(), dump, builder.stop()));
        let handle = self.handle;
        builder.insert_shutdown_hook(move || async move { handle.stop().await });
    }
}

async fn run(node: Arc<Node>, handle: Handle, dump: Arc<CachedDump>, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(STATUS_INTERVAL);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let now = node.clock.now();
        node.crash_watch.remove_expired(now);
        if let Some(report) = node.crash_watch.report(now) {
            node.peers.send_evidence(report);
        }
        let sent = handle.send_event(Event::Status(status(&node))).await;
        let sent = sent.and(handle.send_event(Event::WorkInProgress(in_progress(&node))).await);
        let refreshed = if dump.is_due() { dump.refresh(&handle).await } else { Ok(()) };
        if sent.and(refreshed).is_err() {
            // The shutdown hook has stopped the peer tasks.
            return;
        }
    }
}

/// Returns the amount of work that this instance has in progress at each upstream.
fn in_progress(node: &Node) -> Vec<UpstreamWork> {
    let table = node.upstreams.load();
    let work = |row: &Arc<Row>| UpstreamWork {
        upstream: row.name.clone(),
        units: row.in_progress(),
        tokens: None,
    };
    table.rows.values().map(work).collect()
}

fn status(node: &Node) -> Status {
    let Offer { version, digest } = node.configuration.status().offer;
    let config = (version.0 > 0).then(|| Config { version, digest: digest.short() });
    let draining = node.lifecycle.phase() >= Phase::Leaving;
    Status { config, draining, schema: configuration::min_schema(), ..Status::default() }
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
    let gauge_node = node.clone();
    node.metrics.insert_gauge("goldcrestvale_upstreams_leaving", move || {
        let table = gauge_node.upstreams.load();
        table.rows.values().filter(|row| row.leaving).count() as u64
    });
}
