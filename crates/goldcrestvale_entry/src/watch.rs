//! Polls the instance list and the load reports of the upstreams.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use goldcrestvale_base::id::Upstream;
use goldcrestvale_platform::{
    list::List,
    message::{Listing, Role},
};
use log::{debug, info, warn};
use opentelemetry::KeyValue;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    daemon::{Builder, Part},
    node::Node,
    phase::Prerequisite,
    table::{Report, Row, Table},
};

/// Maximum number of load reports fetched concurrently.
const MAX_CONCURRENT_FETCHES: usize = 64;

/// Maximum wait for the first peer, which may know of upstreams that an operator marked as leaving.
const MAX_SYNC_WAIT: Duration = Duration::from_secs(1);

/// Maintains the table of upstreams.
#[derive(Debug, Clone, Copy)]
pub struct Watch;

impl Part for Watch {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let dump_node = node.clone();
        builder.insert_dump("upstreams", move || {
            serde_json::to_value(&**dump_node.upstreams.load()).unwrap_or_default()
        });
        let gauge_node = node.clone();
        node.metrics.insert_gauge("goldcrestvale_upstreams", move || {
            gauge_node.upstreams.load().rows.len() as u64
        });
        let load_node = node.clone();
        node.metrics.insert_upstream_gauge("goldcrestvale_upstream_load", move || {
            let load = |row: &Arc<Row>| Some((row.name.clone(), row.report.as_ref()?.1.queued()));
            let table = load_node.upstreams.load();
            let known = table.rows.values().filter_map(load);
            known.map(|(name, queued)| (name, u64::from(queued))).collect()
        });
        let stop = builder.stop();
        let (has_list, has_list_receiver) = watch::channel(false);
        builder.insert_task(poll_list(node.clone(), has_list, stop.clone()));
        builder.insert_task(poll_loads(node, has_list_receiver, stop));
    }
}

async fn poll_list(node: Arc<Node>, has_list: watch::Sender<bool>, stop: CancellationToken) {
    let list = List::new(node.settings.platform.address, node.settings.platform.timeout);
    let interval = node.settings.platform.list_interval;
    let mut is_up = true;
    let mut delay = Duration::ZERO;
    while sleep(&stop, delay).await {
        match list.fetch().await {
            Ok(listing) => {
                is_up = true;
                apply_list(&node, &listing).await;
                has_list.send_replace(true);
            }
            Err(e) => {
                node.metrics.platform_failures.add(1, &[KeyValue::new("call", "list")]);
                if is_up {
                    warn!(error:% = e; "the instance list cannot be fetched");
                }
                is_up = false;
                if !*has_list.borrow() {
                    let applied = apply_peer_list(&node).await;
                    has_list.send_replace(applied);
                }
            }
        }
        delay = if is_up { interval } else { interval * 2 };
    }
}

async fn apply_list(node: &Node, listing: &Listing) {
    let previous = node.upstreams.load_full();
    if listing.as_of < previous.as_of {
        debug!(as_of = listing.as_of.0, newest = previous.as_of.0; "an older instance list is ignored");
        return;
    }
    node.upstreams.rcu(|table| Arc::new(table.merge(listing)));
    node.peers.apply_list(&previous, listing).await;
}

/// Applies the newest list of a peer, or requests one; returns whether a list was applied.
async fn apply_peer_list(node: &Node) -> bool {
    match node.peers.listing() {
        Some(listing) => {
            info!(as_of = listing.as_of.0; "the instance list of another instance is used");
            apply_list(node, &listing).await;
            true
        }
        None => {
            node.peers.request_list().await;
            false
        }
    }
}

/// Sleeps for a time; returns whether the task should continue.
async fn sleep(stop: &CancellationToken, time: Duration) -> bool {
    tokio::select! {
        () = stop.cancelled() => false,
        () = tokio::time::sleep(time) => true,
    }
}

async fn poll_loads(node: Arc<Node>, mut has_list: watch::Receiver<bool>, stop: CancellationToken) {
    if stop.run_until_cancelled(has_list.wait_for(|&has_list| has_list)).await.is_none() {
        return;
    }
    let mut delay = Duration::ZERO;
    while sleep(&stop, delay).await {
        fetch_loads(&node).await;
        if delay.is_zero() {
            node.peers.wait_until_synced(MAX_SYNC_WAIT).await;
            node.lifecycle.satisfy(Prerequisite::Upstreams);
        }
        delay = node.settings.upstream.load_interval;
    }
}

/// Fetches the load reports of all upstreams once.
async fn fetch_loads(node: &Arc<Node>) {
    let table = node.upstreams.load_full();
    let rows: Vec<Arc<Row>> = table.rows.values().cloned().collect();
    let fetches = rows.into_iter().map(|row| fetch(node.clone(), row));
    let reports: Vec<FetchedReport> = stream::iter(fetches)
        .buffer_unordered(MAX_CONCURRENT_FETCHES)
        .filter_map(std::future::ready)
        .collect()
        .await;
    for fetched in &reports {
        node.peers.record_report(node, &fetched.name, &fetched.report).await;
    }
    let now = node.clock.now();
    node.upstreams.rcu(|table| {
        let mut table = Table::clone(table);
        for fetched in &reports {
            if let Some(row) = table.rows.get_mut(&fetched.name) {
                *row = with_report(row, now, fetched);
            }
        }
        Arc::new(table)
    });
}

/// A load report and the duration of its fetch.
struct FetchedReport {
    name: Upstream,
    report: Report,
    duration: Duration,
}

async fn fetch(node: Arc<Node>, row: Arc<Row>) -> Option<FetchedReport> {
    let started = node.clock.now();
    let limit = node.settings.upstream.load_timeout;
    let report = match row.role {
        Role::Engine => node.engines.load(row.address, limit).await.map(Report::Engine),
        Role::Service => node.services.load(row.address, limit).await.map(Report::Service),
        Role::Entry => return None,
    };
    match report {
        Ok(report) => {
            let duration = node.clock.now().since(started);
            Some(FetchedReport { name: row.name.clone(), report, duration })
        }
        Err(e) => {
            debug!(upstream:% = row.name, error:% = e; "no load report");
            None
        }
    }
}

fn with_report(
    row: &Arc<Row>,
    now: goldcrestvale_base::time::Instant,
    fetched: &FetchedReport,
) -> Arc<Row> {
    let report = Some((now, fetched.report.clone()));
    let mut link = row.link.clone();
    link.record(fetched.duration);
    Arc::new(Row { report, link, own_then: row.in_progress(), ..Row::clone(row) })
}
