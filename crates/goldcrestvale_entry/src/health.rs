//! Evaluates the health of upstreams from the outcomes of requests, and publishes a snapshot.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use goldcrestvale_base::id::{Incarnation, Upstream};
use goldcrestvale_platform::message::Role;
use goldcrestvale_route::health::{Change, Monitor, Outcome, Settings};
use log::{info, warn};
use serde_json::json;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::{
    daemon::{Builder, Part},
    node::Node,
    table::{Row, Table},
};

/// Maximum number of outcomes that wait for evaluation; further ones are dropped.
const MAX_PENDING_OUTCOMES: usize = 4_096;

/// The outcome of a step at an upstream.
type Observation = (Upstream, Outcome);

/// The queue of outcomes for the evaluation task, and the snapshot that it publishes.
#[derive(Debug)]
pub struct Health {
    snapshot: ArcSwap<Monitor>,
    sender: mpsc::Sender<Observation>,
    receiver: Mutex<Option<mpsc::Receiver<Observation>>>,
}

impl Default for Health {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(MAX_PENDING_OUTCOMES);
        Self {
            snapshot: ArcSwap::from_pointee(Monitor::new(Settings::default())),
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }
}

impl Health {
    /// Returns the newest snapshot.
    pub fn load(&self) -> Arc<Monitor> {
        self.snapshot.load_full()
    }

    /// Queues the outcome of a step for evaluation, or drops it if the queue is full.
    pub fn observe(&self, upstream: &Upstream, outcome: Outcome) {
        // A lost outcome only delays the evaluation.
        let _ = self.sender.try_send((upstream.clone(), outcome));
    }

    fn take_receiver(&self) -> Option<mpsc::Receiver<Observation>> {
        self.receiver.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Evaluates the health of upstreams from the outcomes of steps.
#[derive(Debug, Clone, Copy)]
pub struct Evaluator;

impl Part for Evaluator {
    fn register(self, builder: &mut Builder) {
        let node = builder.node().clone();
        let dump_node = node.clone();
        builder.insert_dump("health", move || {
            let monitor = dump_node.health.load();
            let unusable: Vec<_> = monitor.iter_unusable(dump_node.clock.now()).collect();
            let slow_links: Vec<_> = monitor.iter_slow_links().collect();
            json!({ "unusable": unusable, "slow_links": slow_links })
        });
        let gauge_node = node.clone();
        node.metrics.insert_gauge("goldcrestvale_unusable_upstreams", move || {
            gauge_node.health.load().iter_unusable(gauge_node.clock.now()).count() as u64
        });
        if let Some(receiver) = node.health.take_receiver() {
            let stop = builder.stop();
            builder.insert_task(evaluate(node, receiver, stop));
        }
    }
}

async fn evaluate(
    node: Arc<Node>,
    mut receiver: mpsc::Receiver<Observation>,
    stop: CancellationToken,
) {
    let mut monitor = Monitor::new(Settings::default());
    let mut ticks = interval(node.settings.upstream.load_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {
                sync(&mut monitor, &node);
                node.health.snapshot.store(Arc::new(monitor.clone()));
            }
            Some((upstream, outcome)) = receiver.recv() => {
                let changes = monitor.observe(node.clock.now(), &upstream, outcome);
                if !changes.is_empty() {
                    changes.iter().for_each(report);
                    node.health.snapshot.store(Arc::new(monitor.clone()));
                }
            }
        }
    }
}

/// Updates the monitor from the table: the known engines, their incarnations, and which of them are
/// leaving.
fn sync(monitor: &mut Monitor, node: &Node) {
    let now = node.clock.now();
    let table: Arc<Table> = node.upstreams.load_full();
    for row in table.rows.values().filter(|row| row.role == Role::Engine) {
        let Some(incarnation) = incarnation(row) else { continue };
        monitor.join(now, &row.name, &row.domain, incarnation);
        if row.leaving {
            monitor.leave(&row.name, incarnation).iter().for_each(report);
        }
    }
    monitor.retain(|upstream| table.rows.contains_key(upstream));
}

fn incarnation(row: &Row) -> Option<Incarnation> {
    row.engine()?.incarnation.parse().ok()
}

fn report(change: &Change) {
    match change {
        Change::Ejected { upstream, .. } => warn!(upstream:% = upstream; "upstream is ejected"),
        Change::Leaving { upstream } => info!(upstream:% = upstream; "upstream gets no new work"),
        Change::LinkSlow { domain } => warn!(domain:% = domain; "link to domain is slow"),
        Change::LinkRestored { domain } => info!(domain:% = domain; "link to domain is restored"),
    }
}
