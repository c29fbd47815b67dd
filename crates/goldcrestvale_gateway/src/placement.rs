//! Places layers on engines while this instance holds the placement lease.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{
    id::{Domain, Upstream},
    time::Instant,
};
use goldcrestvale_route::pipeline::{
    Engine, Placement, is_reachable, may_start_loads, rebalance, repair,
};
use log::{info, warn};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::{
    directory_changes::send_amendment,
    failover::{SILENT_DURATION, query, refresh},
    gateway::Gateway,
    port::{Error, Lease, OrderOutcome, Port, Release},
    upstream_state::FaultKind,
    view::Fleet,
};

/// Number of instances that request the lease, the first ones by name.
const MAX_CANDIDATES: usize = 4;

/// Interval between placement runs if nothing changes.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which an engine is polled during an order.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// How long an order may take beyond the load time of the model.
const ORDER_SLACK: Duration = Duration::from_millis(1_500);

/// How long a report may lag behind the answer to an order: twice the lag that engines specify.
const MAX_REPORT_LAG: Duration = Duration::from_millis(600);

/// Maximum number of attempts to send an order to an engine.
const MAX_ORDER_ATTEMPTS: u32 = 4;

/// Interval between two rebalancing steps of a domain.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long a domain must be complete before it is rebalanced, so that its loads do not coincide
/// with those of a repair.
const REBALANCE_DELAY: Duration = Duration::from_millis(1_200);

/// How long a domain that was unreachable is left unchanged: all its engines are probed again in
/// this time, and one that was not probed yet must not count as lost.
const REACHABLE_DELAY: Duration = Duration::from_millis(1_500);

/// Interval at which the layers of engines in incomplete domains are read while the directory is
/// unreachable.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_500);

/// Orders in progress by engine.
type PendingOrders = Arc<Mutex<HashMap<Upstream, Placement>>>;

/// Times of past events in the failure domains.
#[derive(Debug, Default)]
struct DomainHistory {
    /// Time from which each complete one may be rebalanced.
    rebalance_after: HashMap<Domain, Instant>,
    /// Time at which each one was last unreachable.
    last_unreachable: HashMap<Domain, Instant>,
}

/// Renews the lease and places layers until the token is cancelled.
pub(crate) async fn run<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let member = format!("{}-{}", gateway.settings.name, uuid::Uuid::now_v7().simple());
    let renewal = renew_lease(gateway.clone(), member.clone(), stop.clone());
    tokio::join!(renewal, place_layers(gateway.clone(), stop));
    gateway.set_placement_lease(None);
    if let Err(e) = gateway.port.release(&member).await {
        warn!(error:% = e; "the placement lease was not released and expires");
    }
}

async fn renew_lease<P: Port>(gateway: Arc<Gateway<P>>, member: String, stop: CancellationToken) {
    let times = gateway.settings.placement;
    let mut lease = Lease { generation: 0, is_held: false, era: 0 };
    let mut withheld_until = Instant(0);
    let mut renewed_at = gateway.now();
    loop {
        // A few candidates are enough for a lease with one holder, and every request has a cost.
        if gateway.peers.snapshot().rank >= MAX_CANDIDATES && !lease.is_held {
            if stop.run_until_cancelled(tokio::time::sleep(times.renew_interval)).await.is_none() {
                return;
            }
            continue;
        }
        // The lease is counted from before the call, so it ends here no later than at the platform.
        let requested_at = gateway.now();
        match gateway.port.renew(&member, lease.generation, times.lease_duration).await {
            Ok(renewed) => {
                if renewed.is_held != lease.is_held {
                    info!(held = renewed.is_held, generation = renewed.generation; "duty of placing layers");
                }
                // The platform may have forgotten a holder whose lease still runs.
                if renewed.era > lease.era && !gateway.is_placement_leader() {
                    withheld_until = gateway.now() + times.lease_duration;
                }
                lease = renewed;
                let is_usable = lease.is_held && gateway.now() >= withheld_until;
                gateway
                    .set_placement_lease(is_usable.then_some(requested_at + times.lease_duration));
                renewed_at = requested_at;
            }
            Err(e) => {
                gateway.metrics.count_directory_failure("renew");
                let unreachable_for = gateway.now().since(renewed_at);
                if leads_offline(&gateway, lease, unreachable_for) {
                    if !gateway.is_placement_leader() {
                        info!(unasked_ms = unreachable_for.as_millis() as u64; "places layers without the platform");
                    }
                    gateway.set_placement_lease(Some(gateway.now() + times.lease_duration));
                }
                log::debug!(error:% = e; "the placement lease was not renewed");
            }
        }
        if stop.run_until_cancelled(tokio::time::sleep(times.renew_interval)).await.is_none() {
            return;
        }
    }
}

/// Returns whether this instance places layers while the platform is unreachable.
///
/// The last holder of the lease continues, unless a peer reports that it is the leader. Without a
/// holder the first instance by name takes over. If only some instances cannot reach the platform,
/// two of them place layers for a while: the engines reject orders that do not match their state,
/// so this costs additional orders and does no harm.
fn leads_offline<P>(gateway: &Gateway<P>, lease: Lease, unreachable_for: Duration) -> bool {
    let times = gateway.settings.placement;
    let peers = gateway.peers.snapshot();
    if peers.has_placement_leader || gateway.is_leaving() {
        return false;
    }
    (lease.is_held && unreachable_for < times.offline_hold)
        || (peers.rank == 0 && unreachable_for >= times.takeover_delay)
}

async fn place_layers<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let pending: PendingOrders = Arc::default();
    let mut history = DomainHistory::default();
    let mut last_refresh = Instant(0);
    loop {
        let next_run = timeout(PLACEMENT_INTERVAL, gateway.placement_wakeup.notified());
        if stop.run_until_cancelled(next_run).await.is_none() {
            return;
        }
        if !gateway.is_placement_leader() || gateway.is_leaving() {
            continue;
        }
        let view = gateway.view.load_full();
        for fleet in view.fleets.values() {
            if !gateway.is_directory_reached() && last_refresh + REFRESH_INTERVAL <= gateway.now() {
                last_refresh = gateway.now();
                refresh(&gateway, fleet.incomplete());
                continue;
            }
            issue_orders(&gateway, fleet, &pending, &mut history);
        }
    }
}

/// Starts the orders that are due in each domain.
fn issue_orders<P: Port>(
    gateway: &Arc<Gateway<P>>,
    fleet: &Arc<Fleet>,
    pending: &PendingOrders,
    DomainHistory { rebalance_after, last_unreachable }: &mut DomainHistory,
) {
    let now = gateway.now();
    let mut domains: BTreeMap<&Domain, Vec<&Engine>> = BTreeMap::new();
    for engine in &fleet.engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    for (domain, engines) in domains {
        if !is_reachable(&engines) {
            last_unreachable.insert(domain.clone(), now);
        }
        if last_unreachable.get(domain).is_some_and(|at| now.since(*at) < REACHABLE_DELAY) {
            continue;
        }
        // A domain without layers gets its layout once all its engines are known.
        let is_empty = engines.iter().all(|engine| engine.held.is_none());
        if is_empty && !is_settled(gateway, now) {
            continue;
        }
        let in_progress = lock(pending).clone();
        let loads_at_once = fleet.model.loads_at_once;
        if !may_start_loads(loads_at_once, in_progress.len(), fleet.is_complete(domain)) {
            continue;
        }
        let target = |engine: &Engine| in_progress.get(&engine.upstream).map(|order| order.layers);
        let mut orders = repair(&fleet.model, &engines, target);
        // A chain that lost a stage is down: its streams move, and must not delay its repair.
        let release = if orders.is_empty() { Release::Wait } else { Release::Cut };
        if orders.is_empty() {
            let due = *rebalance_after.entry(domain.clone()).or_insert(now + REBALANCE_DELAY);
            if due <= now && !engines.iter().any(|engine| target(engine).is_some()) {
                orders.extend(rebalance(&fleet.model, &engines));
                if !orders.is_empty() {
                    rebalance_after.insert(domain.clone(), now + REBALANCE_INTERVAL);
                }
            }
        } else {
            rebalance_after.remove(domain);
        }
        for placement in orders {
            let Some(engine) = fleet.engine(&placement.upstream) else { continue };
            if engine.held == Some(placement.layers) {
                continue;
            }
            lock(pending).insert(placement.upstream.clone(), placement.clone());
            info!(
                engine:% = placement.upstream,
                domain:% = domain,
                held:? = engine.held.map(|held| (held.from, held.to)),
                layers:? = (placement.layers.from, placement.layers.to);
                "layers are placed"
            );
            let gateway = gateway.clone();
            let pending = pending.clone();
            let engine = engine.clone();
            let load_time = fleet.model.load_time;
            tokio::spawn(async move {
                execute_order(&gateway, &engine, &placement, release, load_time).await;
                lock(&pending).remove(&placement.upstream);
                gateway.placement_wakeup.notify_one();
            });
        }
    }
}

/// Returns whether no engine joined for the settle time, so that the layout includes all of them.
fn is_settled<P>(gateway: &Gateway<P>, now: Instant) -> bool {
    let last = gateway.read_state(|state| state.catalog.last_join());
    last.is_some_and(|last| now.since(last) >= gateway.settings.placement.settle_time)
}

/// Sends one order and waits until the engine has executed it.
async fn execute_order<P: Port>(
    gateway: &Arc<Gateway<P>>,
    engine: &Engine,
    placement: &Placement,
    release: Release,
    load_time: Duration,
) {
    let deadline = gateway.now() + load_time + ORDER_SLACK;
    let mut tries = 0;
    // Reports lag behind the answers to orders: a report is stale until it counts the last order.
    let mut last_order: Option<(u64, Instant)> = None;
    while gateway.now() < deadline {
        if gateway.is_paused(&engine.upstream) {
            tokio::time::sleep(ORDER_POLL_INTERVAL).await;
            continue;
        }
        let report = match query(gateway, engine).await {
            Ok(report) => report,
            Err(Error::Refused { retry_after: Some(_), .. }) => continue,
            Err(e) => {
                // The next plan has to do without the unreachable engine.
                gateway.metrics.count_order("unreachable");
                gateway.record_fault(
                    &engine.upstream,
                    FaultKind::Silent,
                    SILENT_DURATION,
                    &e.to_string(),
                );
                return;
            }
        };
        if report.layers == Some(placement.layers) && !report.busy {
            gateway.metrics.count_order("done");
            gateway.set_layers(&engine.upstream, report.layers);
            send_amendment(gateway, &engine.upstream).await;
            return;
        }
        let is_stale = last_order
            .is_some_and(|(expected, until)| report.orders == expected && gateway.now() < until);
        if report.busy || is_stale {
            tokio::time::sleep(ORDER_POLL_INTERVAL).await;
            continue;
        }
        // An accepted order is followed to its end even without the lease, but no further one is
        // sent.
        if tries == MAX_ORDER_ATTEMPTS || !gateway.is_placement_leader() {
            break;
        }
        tries += 1;
        last_order = Some((report.orders, gateway.now() + MAX_REPORT_LAG));
        // An order without an answer may be executed late. If another order was accepted in
        // between, the expected number of orders no longer matches and the engine rejects the late
        // one.
        let order = gateway.port.place(
            &engine.upstream,
            engine.address,
            placement.layers,
            release,
            report.orders,
        );
        match order.await {
            Ok(OrderOutcome::Begun | OrderOutcome::Done) => {}
            Ok(outcome) => {
                warn!(engine:% = engine.upstream, outcome:? = outcome; "engine did not accept the order");
                gateway.metrics.count_order("conflict");
            }
            Err(e) => {
                warn!(engine:% = engine.upstream, error:% = e; "order was not answered");
                gateway.metrics.count_order("unanswered");
            }
        }
        tokio::time::sleep(ORDER_POLL_INTERVAL).await;
    }
    warn!(engine:% = engine.upstream, tries; "order is given up");
    gateway.metrics.count_order("given up");
}

fn lock(pending: &PendingOrders) -> std::sync::MutexGuard<'_, HashMap<Upstream, Placement>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
