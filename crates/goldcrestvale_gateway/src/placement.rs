//! Orders engines to hold layers, while this instance has the duty.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{
    id::{Domain, Upstream},
    time::Instant,
};
use goldcrestvale_route::pipeline::{Engine, Placement, is_reachable, rebalance, repair};
use log::{info, warn};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::{
    failover::{SILENT, refresh},
    gateway::Gateway,
    port::{Lease, OrderOutcome, Port, Release},
    upstream_state::Trouble,
    view::Fleet,
};

/// Instances that ask for the duty, the first ones by name.
const CANDIDATES: usize = 4;

/// How often the chains are looked at without news.
const PERIOD: Duration = Duration::from_millis(250);

/// How often an engine is asked whether it has carried out an order.
const ORDER_POLL: Duration = Duration::from_millis(150);

/// How long an order may take beyond the time of its load.
const ORDER_SLACK: Duration = Duration::from_millis(1_500);

/// How much older a report may be than an order that was answered: twice the lag that engines state.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// Tries to give an order to an engine that does not answer.
const ORDER_TRIES: u32 = 4;

/// Pause between two steps that widen a narrow stage.
const WIDEN_PAUSE: Duration = Duration::from_millis(1_500);

/// How long a domain must be whole before a narrow stage in it is widened, so that the loads do not
/// meet those of a repair.
const CALM: Duration = Duration::from_millis(1_200);

/// How long a domain that was cut off is left as it is: all its engines are asked again meanwhile, and
/// those that were not yet are no loss.
const REACHED: Duration = Duration::from_millis(1_500);

/// How often the engines of broken domains are asked what they hold while the directory is away.
const REFRESH_PAUSE: Duration = Duration::from_millis(1_500);

/// The orders in progress, by engine.
type Pending = Arc<Mutex<HashMap<Upstream, Placement>>>;

/// What the placer remembers of the failure domains.
#[derive(Debug, Default)]
struct Seen {
    /// Since when each one is whole.
    calm: HashMap<Domain, Instant>,
    /// When each one was out of reach last.
    cut_off: HashMap<Domain, Instant>,
}

/// Keeps the duty and places layers until the token is cancelled.
pub(crate) async fn attend<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let member = format!("{}-{}", gateway.settings.name, uuid::Uuid::now_v7().simple());
    let keeper = keep(gateway.clone(), member.clone(), stop.clone());
    tokio::join!(keeper, place(gateway.clone(), stop));
    gateway.set_duty(None);
    if let Err(e) = gateway.port.release(&member).await {
        warn!(error:% = e; "the duty was not given up and lapses");
    }
}

async fn keep<P: Port>(gateway: Arc<Gateway<P>>, member: String, stop: CancellationToken) {
    let times = gateway.settings.placement;
    let mut tenure = Lease { generation: 0, is_held: false };
    let mut renewed_at = gateway.now();
    loop {
        // A few candidates are enough for a duty that one holds, and each asks at a price.
        if gateway.peers.snapshot().rank >= CANDIDATES && !tenure.is_held {
            if stop.run_until_cancelled(tokio::time::sleep(times.renew_interval)).await.is_none() {
                return;
            }
            continue;
        }
        // The tenure counts from before the call, so it ends here no later than at the platform.
        let asked = gateway.now();
        match gateway.port.renew(&member, tenure.generation, times.lease_ttl).await {
            Ok(renewed) => {
                if renewed.is_held != tenure.is_held {
                    info!(held = renewed.is_held, generation = renewed.generation; "duty of placing layers");
                }
                tenure = renewed;
                gateway.set_duty(tenure.is_held.then_some(asked + times.lease_ttl));
                renewed_at = asked;
            }
            Err(e) => {
                gateway.metrics.count_store_failure("renew");
                let unasked = gateway.now().since(renewed_at);
                if steps_in(&gateway, tenure, unasked) {
                    if !gateway.has_duty() {
                        info!(unasked_ms = unasked.as_millis() as u64; "places layers without the platform");
                    }
                    gateway.set_duty(Some(gateway.now() + times.lease_ttl));
                }
                log::debug!(error:% = e; "the duty was not renewed");
            }
        }
        if stop.run_until_cancelled(tokio::time::sleep(times.renew_interval)).await.is_none() {
            return;
        }
    }
}

/// Returns whether this instance places layers although the platform cannot be asked.
///
/// The last holder goes on, unless a peer says that it has the duty. Where nobody has it, the first
/// instance by name does. Should only some instances be cut off, two place for a while: the engines
/// refuse orders that do not expect their state, so that costs orders and breaks nothing.
fn steps_in<P>(gateway: &Gateway<P>, tenure: Lease, unasked: Duration) -> bool {
    let times = gateway.settings.placement;
    let peers = gateway.peers.snapshot();
    if peers.has_placement_leader || gateway.is_leaving() {
        return false;
    }
    (tenure.is_held && unasked < times.offline_hold)
        || (peers.rank == 0 && unasked >= times.takeover_delay)
}

async fn place<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let pending: Pending = Arc::default();
    let mut seen = Seen::default();
    let mut refreshed = Instant(0);
    loop {
        let news = timeout(PERIOD, gateway.changed.notified());
        if stop.run_until_cancelled(news).await.is_none() {
            return;
        }
        if !gateway.has_duty() || gateway.is_leaving() {
            continue;
        }
        let view = gateway.view.load_full();
        for fleet in view.fleets.values() {
            if !gateway.is_directory_reached() && refreshed + REFRESH_PAUSE <= gateway.now() {
                refreshed = gateway.now();
                refresh(&gateway, fleet.broken());
                continue;
            }
            step(&gateway, fleet, &pending, &mut seen);
        }
    }
}

/// Gives the orders that are due in each domain.
fn step<P: Port>(
    gateway: &Arc<Gateway<P>>,
    fleet: &Arc<Fleet>,
    pending: &Pending,
    Seen { calm, cut_off }: &mut Seen,
) {
    let now = gateway.now();
    let mut domains: BTreeMap<&Domain, Vec<&Engine>> = BTreeMap::new();
    for engine in &fleet.engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    for (domain, engines) in domains {
        if !is_reachable(&engines) {
            cut_off.insert(domain.clone(), now);
        }
        if cut_off.get(domain).is_some_and(|at| now.since(*at) < REACHED) {
            continue;
        }
        // A domain without layers is laid out once all its engines are known.
        let is_empty = engines.iter().all(|engine| engine.held.is_none());
        if is_empty && !is_settled(gateway, now) {
            continue;
        }
        let in_progress = lock(pending).clone();
        let target = |engine: &Engine| in_progress.get(&engine.upstream).map(|order| order.layers);
        let mut orders = repair(&fleet.model, &engines, target);
        // A chain that lost a stage is down: its streams move, and must not hold up its repair.
        let release = if orders.is_empty() { Release::Wait } else { Release::Cut };
        if orders.is_empty() {
            let since = *calm.entry(domain.clone()).or_insert(now + CALM);
            if since <= now && !engines.iter().any(|engine| target(engine).is_some()) {
                orders.extend(rebalance(&fleet.model, &engines));
                if !orders.is_empty() {
                    calm.insert(domain.clone(), now + WIDEN_PAUSE);
                }
            }
        } else {
            calm.remove(domain);
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
            let load = fleet.model.load_time;
            tokio::spawn(async move {
                order(&gateway, &engine, &placement, release, load).await;
                lock(&pending).remove(&placement.upstream);
                gateway.changed.notify_one();
            });
        }
    }
}

/// Returns whether no engine joined for a while, so that the layout sees all of them.
fn is_settled<P>(gateway: &Gateway<P>, now: Instant) -> bool {
    let last = gateway.read(|known| known.catalog.last_join());
    last.is_some_and(|last| now.since(last) >= gateway.settings.placement.settle_time)
}

/// Gives one order and waits until it is carried out.
async fn order<P: Port>(
    gateway: &Arc<Gateway<P>>,
    engine: &Engine,
    placement: &Placement,
    release: Release,
    load: Duration,
) {
    let limit = gateway.now() + load + ORDER_SLACK;
    let mut tries = 0;
    // Reports are older than the answers to orders: until one counts the last order, it is stale.
    let mut ordered: Option<(u64, Instant)> = None;
    while gateway.now() < limit {
        let report = match gateway.port.report(engine.address).await {
            Ok(report) => report,
            Err(e) => {
                // Out of reach, so that the next plan does without it.
                gateway.metrics.count_order("unreachable");
                gateway.note(&engine.upstream, Trouble::Silent, SILENT, &e.to_string());
                return;
            }
        };
        if report.layers == Some(placement.layers) && !report.busy {
            gateway.metrics.count_order("done");
            gateway.learn(|known| known.catalog.set_layers(&engine.upstream, report.layers));
            return;
        }
        let is_stale = ordered
            .is_some_and(|(expected, until)| report.orders == expected && gateway.now() < until);
        if report.busy || is_stale {
            tokio::time::sleep(ORDER_POLL).await;
            continue;
        }
        // An order that was accepted is seen through also without the duty; no further one is given.
        if tries == ORDER_TRIES || !gateway.has_duty() {
            break;
        }
        tries += 1;
        ordered = Some((report.orders, gateway.now() + REPORT_LAG));
        // An order that got no answer may be carried out late; the count of orders that it expects
        // no longer fits by then, if another one was accepted in between.
        match gateway.port.place(engine.address, placement.layers, release, report.orders).await {
            Ok(OrderOutcome::Begun | OrderOutcome::Done) => {}
            Ok(outcome) => {
                warn!(engine:% = engine.upstream, outcome:? = outcome; "engine did not take the order");
                gateway.metrics.count_order("conflict");
            }
            Err(e) => {
                warn!(engine:% = engine.upstream, error:% = e; "order was not answered");
                gateway.metrics.count_order("unanswered");
            }
        }
        tokio::time::sleep(ORDER_POLL).await;
    }
    warn!(engine:% = engine.upstream, tries; "order is given up");
    gateway.metrics.count_order("given up");
}

fn lock(pending: &Pending) -> std::sync::MutexGuard<'_, HashMap<Upstream, Placement>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
