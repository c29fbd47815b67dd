//! Watching the instance list and the upstreams' load reports.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream};
use goldcrestvale_base::id::Upstream;
use goldcrestvale_platform::{
    list::List,
    message::{Listed, Listing, Role, State},
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

/// Load reports fetched at the same time.
const CONCURRENT_REPORTS: usize = 64;

/// Weight of the time of a link so far against that of one more fetch.
const LINK_MEMORY: u32 = 3;

/// Longest wait for a first peer, which may know of upstreams that an operator lets leave.
const PEER_WAIT: Duration = Duration::from_secs(1);

/// Keeps the table of upstreams.
#[derive(Debug, Clone, Copy)]
pub struct Watch;

impl Part for Watch {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let dumped = node.clone();
        builder.insert_dump("upstreams", move || {
            serde_json::to_value(&**dumped.upstreams.load()).unwrap_or_default()
        });
        let gauged = node.clone();
        node.metrics.insert_gauge("goldcrestvale_upstreams", move || {
            gauged.upstreams.load().rows.len() as u64
        });
        let loaded = node.clone();
        node.metrics.insert_upstream_gauge("goldcrestvale_upstream_load", move || {
            let load = |row: &Arc<Row>| Some((row.name.clone(), row.report.as_ref()?.1.queued()));
            let table = loaded.upstreams.load();
            let known = table.rows.values().filter_map(load);
            known.map(|(name, queued)| (name, u64::from(queued))).collect()
        });
        let stop = builder.stop();
        let (listed, known) = watch::channel(false);
        builder.insert_task(watch_list(node.clone(), listed, stop.clone()));
        builder.insert_task(watch_loads(node, known, stop));
    }
}

async fn watch_list(node: Arc<Node>, listed: watch::Sender<bool>, stop: CancellationToken) {
    let list = List::new(node.settings.platform.address, node.settings.platform.timeout);
    let interval = node.settings.platform.list_interval;
    let mut up = true;
    let mut pause = Duration::ZERO;
    while sleep(&stop, pause).await {
        match list.fetch().await {
            Ok(listing) => {
                up = true;
                take_list(&node, &listing).await;
                listed.send_replace(true);
            }
            Err(e) => {
                node.metrics.platform_failures.add(1, &[KeyValue::new("call", "list")]);
                if up {
                    warn!(error:% = e; "the instance list cannot be fetched");
                }
                up = false;
                if !*listed.borrow() {
                    let read = take_list_of_peers(&node).await;
                    listed.send_replace(read);
                }
            }
        }
        pause = if up { interval } else { interval * 2 };
    }
}

async fn take_list(node: &Node, listing: &Listing) {
    let known = node.upstreams.load_full();
    node.upstreams.rcu(|table| Arc::new(merge(table, listing)));
    node.peers.apply_list(&known, listing).await;
}

/// Takes the list that a peer read last, or asks for it; returns whether there was one.
async fn take_list_of_peers(node: &Node) -> bool {
    match node.peers.listing() {
        Some(listing) => {
            info!(as_of = listing.as_of.0; "the instance list is taken from another instance");
            take_list(node, &listing).await;
            true
        }
        None => {
            node.peers.request_list().await;
            false
        }
    }
}

/// Waits for a time; returns whether to go on.
async fn sleep(stop: &CancellationToken, time: Duration) -> bool {
    tokio::select! {
        () = stop.cancelled() => false,
        () = tokio::time::sleep(time) => true,
    }
}

/// Returns the table with the instances of a list; rows keep their reports and counts.
fn merge(table: &Table, listing: &Listing) -> Table {
    let mut rows = BTreeMap::new();
    for listed in &listing.instances {
        if listed.role == Role::Entry {
            continue;
        }
        let Ok(name) = listed.name.parse::<Upstream>() else {
            warn!(name = listed.name.as_str(); "the instance list holds an invalid name");
            continue;
        };
        let row = match table.rows.get(&name) {
            Some(old) if old.address == listed.address => old.clone(),
            _ => insert(name.clone(), listed),
        };
        rows.insert(name, row);
    }
    Table { rows }
}

fn insert(name: Upstream, listed: &Listed) -> Arc<Row> {
    info!(upstream:% = name, address:% = listed.address; "upstream is known");
    Arc::new(Row {
        name,
        role: listed.role.clone(),
        pool: listed.pool.clone(),
        address: listed.address,
        domain: listed.domain.clone(),
        leaving: listed.state == State::Leaving,
        report: None,
        link: None,
        own_then: 0,
        in_progress: Arc::default(),
        positions: Arc::default(),
    })
}

async fn watch_loads(node: Arc<Node>, mut listed: watch::Receiver<bool>, stop: CancellationToken) {
    if stop.run_until_cancelled(listed.wait_for(|&listed| listed)).await.is_none() {
        return;
    }
    let mut pause = Duration::ZERO;
    while sleep(&stop, pause).await {
        read_loads(&node).await;
        if pause.is_zero() {
            node.peers.wait_until_synced(PEER_WAIT).await;
            node.lifecycle.satisfy(Prerequisite::Upstreams);
        }
        pause = node.settings.upstream.load_interval;
    }
}

/// Reads the load of all upstreams once.
async fn read_loads(node: &Arc<Node>) {
    let table = node.upstreams.load_full();
    let rows: Vec<Arc<Row>> = table.rows.values().cloned().collect();
    let fetches = rows.into_iter().map(|row| fetch(node.clone(), row));
    let reports: Vec<Fetched> = stream::iter(fetches)
        .buffer_unordered(CONCURRENT_REPORTS)
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

/// A load report, with the time that its fetch took.
struct Fetched {
    name: Upstream,
    report: Report,
    took: Duration,
}

async fn fetch(node: Arc<Node>, row: Arc<Row>) -> Option<Fetched> {
    let asked = node.clock.now();
    let limit = node.settings.upstream.load_timeout;
    let report = match row.role {
        Role::Engine => node.engines.load(row.address, limit).await.map(Report::Engine),
        Role::Service => node.services.load(row.address, limit).await.map(Report::Service),
        Role::Entry => return None,
    };
    match report {
        Ok(report) => {
            let took = node.clock.now().since(asked);
            Some(Fetched { name: row.name.clone(), report, took })
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
    fetched: &Fetched,
) -> Arc<Row> {
    let report = Some((now, fetched.report.clone()));
    let link = row
        .link
        .map_or(fetched.took, |link| (link * LINK_MEMORY + fetched.took) / (LINK_MEMORY + 1));
    Arc::new(Row { report, link: Some(link), own_then: row.in_progress(), ..Row::clone(row) })
}
