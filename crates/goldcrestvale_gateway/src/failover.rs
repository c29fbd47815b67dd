//! Monitors the chains of the streams in progress and moves streams off chains that are stalled.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use goldcrestvale_base::{
    engine::Layers,
    id::{Service, Upstream},
    time::Instant,
};
use goldcrestvale_route::pipeline::{
    Chain, Engine, Failover, STALL_TIMEOUT, paced_count, probe_share, stuck_timeout,
};
use log::{info, warn};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::{
    gateway::Gateway,
    port::{Error, OrderOutcome, Port, Report, Result},
    registry::Stream,
    rejection::ProbeReason,
    upstream_state::FaultKind,
    view::{Fleet, View},
};

/// Interval between checks of the chains: a fraction of the time after which one counts as stalled.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long an engine counts as silent: longer than streams stall on it, and longer than its record
/// exists after its failure.
pub(crate) const SILENT_DURATION: Duration = Duration::from_millis(4_500);

/// How long an engine that rejects work despite free capacity gets no new work: about as long as a
/// leaving engine still serves.
const REFUSING_DURATION: Duration = Duration::from_millis(6_000);

/// Fraction of memory and slots in use below which an engine has capacity for any request.
const CAPACITY_THRESHOLD: f64 = 0.75;

/// How long streams stay on an engine that is leaving before the first ones move: the time until
/// another engine holds its layers.
const LEAVING_DELAY: Duration = Duration::from_millis(500);

/// Period over which streams move off an engine that is leaving: within the time that it still
/// serves.
const LEAVING_WINDOW: Duration = Duration::from_millis(1_300);

/// Period over which streams move off a silent engine. They have stalled already, and prompts are
/// read between the steps of other streams, so all move at once.
const SILENT_WINDOW: Duration = Duration::ZERO;

/// Checks the chains until the token is cancelled.
pub(crate) async fn run<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let next_check = async {
            tokio::select! {
                _ = ticks.tick() => {}
                () = gateway.failover_wakeup.notified() => {}
            }
        };
        if stop.run_until_cancelled(next_check).await.is_none() {
            return;
        }
        gateway.remove_expired();
        for head in gateway.registry.stalled_heads(gateway.now()) {
            diagnose(&gateway, &head).await;
        }
        for upstream in gateway.due_rechecks() {
            tokio::spawn(recheck(gateway.clone(), upstream));
        }
        if let Some(address) = gateway.due_link_probe() {
            tokio::spawn(probe_link(gateway.clone(), address));
        }
        move_streams(&gateway).await;
    }
}

/// Connects to an upstream to find out whether the links are lost or work again.
async fn probe_link<P: Port>(gateway: Arc<Gateway<P>>, address: SocketAddr) {
    let were_lost = gateway.are_links_lost();
    let result = gateway.pool.probe(address).await;
    match (result, were_lost, gateway.are_links_lost()) {
        (Ok(()), true, _) => info!(upstream_address:% = address; "upstreams are reached again"),
        (Err(why), false, true) => {
            warn!(upstream_address:% = address, why; "links to the upstreams are lost");
        }
        _ => {}
    }
}

/// Reads an engine's state, and records what the answer says of the engine itself.
pub(crate) async fn query<P: Port>(gateway: &Gateway<P>, engine: &Engine) -> Result<Report> {
    let result = gateway.port.report(&engine.upstream, engine.address).await;
    let result = result.and_then(|report| match is_own(gateway, engine, &report) {
        true => Ok(report),
        false => Err(Error::Unknown {
            call: "report",
            detail: format!("another upstream has the address {}", engine.address),
        }),
    });
    if let Ok(report) = &result {
        gateway.limits.record(&engine.upstream, report.rate_limit, gateway.now());
    }
    match &result {
        Ok(report) if report.is_leaving => gateway.mark_leaving(&engine.upstream),
        Err(Error::Refused { retry_after: Some(duration), .. }) => {
            gateway.pause(&engine.upstream, *duration);
        }
        _ => {}
    }
    result
}

/// Returns whether a report comes from the incarnation of the engine that is known, if both state
/// their start.
///
/// While the directory is unreachable, an engine that restarted under its name cannot register.
fn is_own<P>(gateway: &Gateway<P>, engine: &Engine, report: &Report) -> bool {
    let born = gateway.read_state(|state| state.catalog.get(&engine.upstream)?.born_ms);
    born.zip(report.born_ms).is_none_or(|(known, reported)| known == reported)
        || !gateway.is_directory_reached()
}

/// Probes a silent engine before it is used again.
async fn recheck<P: Port>(gateway: Arc<Gateway<P>>, upstream: Upstream) {
    let view = gateway.view.load_full();
    let Some(engine) = view.engine(&upstream).filter(|_| !gateway.is_paused(&upstream)) else {
        return;
    };
    match query(&gateway, engine).await {
        Ok(report) => {
            gateway.set_layers(&upstream, report.layers);
            gateway.clear_silent(&upstream);
        }
        Err(e) => {
            gateway.record_fault(&upstream, FaultKind::Silent, SILENT_DURATION, &e.to_string());
        }
    }
}

/// Reads an engine's state; an engine that does not answer is reported as silent.
async fn read_report<P: Port>(gateway: &Gateway<P>, engine: &Engine) -> Option<Report> {
    if gateway.is_paused(&engine.upstream) {
        return None;
    }
    match query(gateway, engine).await {
        Ok(report) => Some(report),
        Err(Error::Refused { retry_after: Some(_), .. }) => None,
        Err(e) => {
            gateway.report_fault(
                &engine.upstream,
                FaultKind::Silent,
                SILENT_DURATION,
                &e.to_string(),
            );
            None
        }
    }
}

/// Reads the layers that engines hold from the engines, while the directory is unreachable.
pub(crate) fn refresh<'a, P: Port>(
    gateway: &Arc<Gateway<P>>,
    engines: impl Iterator<Item = &'a Engine>,
) {
    for engine in engines {
        let (gateway, engine) = (gateway.clone(), engine.clone());
        tokio::spawn(async move {
            if let Some(report) = read_report(&gateway, &engine).await {
                gateway.set_layers(&engine.upstream, report.layers);
            }
        });
    }
}

/// Looks for the engine that the streams of a stalled chain wait for.
///
/// The report of the first engine names it, but lags behind: a dead engine is found sooner by
/// queries of the engines of the chain, unless one of them is known to be lost already. All
/// instances with streams on the chain notice the stall, so each one queries a share of the
/// engines.
async fn diagnose<P: Port>(gateway: &Arc<Gateway<P>>, head: &Upstream) {
    let view = gateway.view.load_full();
    let Some(engine) = view.engine(head).filter(|_| !gateway.is_lost(head)) else { return };
    let others = engines_behind(gateway, &view, head);
    let is_known = others.iter().any(|engine| gateway.is_lost(&engine.upstream));
    if !is_known && gateway.registry.try_probe_chain(head, gateway.now()) {
        let share = probe_share(gateway.peers.instance_count().unwrap_or(1));
        for engine in others.into_iter().filter(|_| gateway.random_unit() < share) {
            let (gateway, engine) = (gateway.clone(), engine.clone());
            tokio::spawn(async move { read_report(&gateway, &engine).await });
        }
    }
    if gateway.is_paused(head) {
        return;
    }
    match query(gateway, engine).await {
        Ok(report) => {
            let stalled_on = stalled_on(gateway, &report);
            join_all(
                stalled_on.iter().map(|(upstream, layers)| {
                    check_suspect(gateway, view.engine(upstream), layers)
                }),
            )
            .await;
        }
        Err(Error::Refused { retry_after: Some(_), .. }) => {}
        Err(e) => {
            let why = format!("its chain is stalled: {e}");
            gateway.report_fault(head, FaultKind::Silent, SILENT_DURATION, &why);
        }
    }
}

/// Returns the engines behind the first one in the chains that streams in progress pass through.
fn engines_behind<'v, P>(gateway: &Gateway<P>, view: &'v View, head: &Upstream) -> Vec<&'v Engine> {
    let streams = gateway.registry.find(|stream| stream.chain.head().upstream == *head);
    let stages = streams.iter().flat_map(|(_, stream)| &stream.chain.stages);
    let names: BTreeSet<&Upstream> =
        stages.map(|stage| &stage.upstream).filter(|upstream| *upstream != head).collect();
    names.into_iter().filter_map(|upstream| view.engine(upstream)).collect()
}

/// Returns the engines that streams of this instance wait for, with the layers of their stages
/// there.
fn stalled_on<P>(gateway: &Gateway<P>, report: &Report) -> HashMap<Upstream, Vec<Layers>> {
    let addresses: HashMap<&str, SocketAddr> =
        report.stalled.iter().map(|stalled| (stalled.id.as_str(), stalled.address)).collect();
    let stalled = gateway.registry.find(|stream| addresses.contains_key(stream.id.as_str()));
    let mut stalled_on: HashMap<Upstream, Vec<Layers>> = HashMap::new();
    for (_, stream) in stalled {
        let address = addresses.get(stream.id.as_str());
        let stage = stream.chain.stages.iter().find(|stage| Some(&stage.address) == address);
        if let Some(stage) = stage {
            stalled_on.entry(stage.upstream.clone()).or_default().push(stage.layers);
        }
    }
    stalled_on
}

/// Checks whether an engine that a chain waits for is unreachable for the chain.
///
/// An engine that executes or executed an order has released layers that streams still pass
/// through: it stays in use, and those streams move.
async fn check_suspect<P: Port>(gateway: &Gateway<P>, engine: Option<&Engine>, layers: &[Layers]) {
    let Some(engine) = engine.filter(|engine| !gateway.is_lost(&engine.upstream)) else { return };
    let upstream = &engine.upstream;
    let holds = |held: Option<Layers>| {
        held.is_some_and(|held| layers.iter().any(|layers| held.covers(*layers)))
    };
    let Some(report) = read_report(gateway, engine).await else { return };
    if !report.busy && holds(report.layers) {
        gateway.report_fault(upstream, FaultKind::Silent, SILENT_DURATION, "a chain waits for it");
    } else if gateway.set_layers(upstream, report.layers) {
        info!(upstream:% = upstream, busy = report.busy; "a chain waits for layers that were released");
    }
}

/// Probes whether an engine that failed or rejected streams is dead, leaving or only full.
pub(crate) async fn probe<P: Port>(
    gateway: Arc<Gateway<P>>,
    upstream: Upstream,
    reason: ProbeReason,
) {
    let view = gateway.view.load_full();
    let Some(engine) = view.engine(&upstream).filter(|_| !gateway.is_lost(&upstream)) else {
        return;
    };
    let slots = view.fleets.values().map(|fleet| fleet.model.slots).min().unwrap_or_default();
    let Some(report) = read_report(&gateway, engine).await else { return };
    if reason == ProbeReason::RepeatedRejections && has_capacity(&report, slots) {
        // With free capacity and no order in progress, the only remaining cause is that it is
        // leaving.
        gateway.report_fault(
            &upstream,
            FaultKind::Refusing,
            REFUSING_DURATION,
            "it rejects streams despite free capacity",
        );
    } else {
        info!(upstream:% = upstream, memory_taken = report.memory_used, busy = report.busy; "blamed upstream answers");
    }
}

/// Returns whether an engine could accept a stream, according to its report.
fn has_capacity(report: &Report, slots: u32) -> bool {
    let streams = f64::from(report.running + report.waiting);
    !report.busy
        && report.memory_used < CAPACITY_THRESHOLD
        && streams < f64::from(slots) * CAPACITY_THRESHOLD
}

/// Moves the streams whose chains contain a silent or leaving engine, some of them at each check.
async fn move_streams<P: Port>(gateway: &Arc<Gateway<P>>) {
    let view = gateway.view.load_full();
    for (service, fleet) in &view.fleets {
        for (upstream, window) in engines_to_evacuate(&view, fleet, gateway.now()) {
            let now = gateway.now();
            let is_affected = |stream: &Stream| {
                stream.service == *service
                    && stream.chain.contains(&upstream)
                    && stream.moves.is_due_after(now, window.start)
            };
            let mut streams = gateway.registry.find(is_affected);
            // The newest streams have the most events left; the others may end on their own.
            streams.sort_by_key(|(number, _)| std::cmp::Reverse(*number));
            let elapsed = now.since(window.start);
            streams.truncate(paced_count(streams.len(), elapsed, window.length, CHECK_INTERVAL));
            for (number, stream) in streams {
                move_stream(gateway, fleet, number, stream);
            }
        }
        // An engine that released layers cuts off some of its streams, while its chain keeps
        // running.
        let now = gateway.now();
        let is_cut_off = |stream: &Stream| {
            stream.service == *service
                && now.since(stream.last_event) >= STALL_TIMEOUT
                && stream.moves.is_due(now)
                && !stream.chain.is_held(&fleet.engines)
        };
        for (number, stream) in gateway.registry.find(is_cut_off) {
            move_stream(gateway, fleet, number, stream);
        }
        if let Some(levels) = gateway.differing_levels(service)
            && let Some(timeout) = stuck_timeout(&levels)
        {
            resume_stuck(gateway, fleet, service, timeout);
        }
    }
}

/// Resumes the streams elsewhere that stand still although their chains are complete.
fn resume_stuck<P>(gateway: &Gateway<P>, fleet: &Fleet, service: &Service, timeout: Duration) {
    let now = gateway.now();
    let is_stuck = |stream: &Stream| {
        stream.service == *service
            && stream.may_resume
            && now.since(stream.last_event) >= timeout
            && stream.moves.is_due(now)
    };
    for (number, stream) in gateway.registry.find(is_stuck) {
        let head = &stream.chain.head().upstream;
        if gateway.has_capacity_elsewhere(fleet, head) {
            let idle_ms = now.since(stream.last_event).as_millis() as u64;
            info!(request = stream.id.as_str(), head:% = head, idle_ms; "stuck stream goes on elsewhere");
            gateway.metrics.count_failover("stuck");
            gateway.registry.record_move(number, now);
            stream.resume.notify_one();
        }
    }
}

fn move_stream<P: Port>(gateway: &Arc<Gateway<P>>, fleet: &Fleet, number: u64, stream: Stream) {
    let engines: Vec<&Engine> = fleet.engines();
    let chains: Vec<&Chain> = fleet.chains.iter().map(Arc::as_ref).collect();
    let now = gateway.now();
    match Failover::new(&fleet.model, &engines, &stream.chain, &chains, stream.may_resume, now) {
        Failover::Stay | Failover::Wait => {}
        Failover::Resume => {
            info!(request = stream.id.as_str(), head:% = stream.chain.head().upstream; "stream goes on elsewhere");
            gateway.registry.record_move(number, now);
            stream.resume.notify_one();
        }
        Failover::Repath(chain) => {
            // The stream counts as moved before the answer arrives, so that only one order is sent.
            let ordered = Arc::new(chain);
            gateway.registry.repath(number, ordered.clone());
            gateway.registry.record_move(number, now);
            let gateway = gateway.clone();
            tokio::spawn(async move {
                if repath(&gateway, &stream.id, &ordered).await {
                    return;
                }
                // It stays, and is checked again, unless another chain takes it.
                gateway.registry.restore_path(number, &ordered, stream.chain);
                if stream.may_resume {
                    stream.resume.notify_one();
                }
            });
        }
    }
}

/// The period in which streams move off an engine.
struct MoveWindow {
    start: Instant,
    length: Duration,
}

/// Returns the engines that streams in progress have to move off, with the period for it.
fn engines_to_evacuate(view: &View, fleet: &Fleet, now: Instant) -> Vec<(Upstream, MoveWindow)> {
    let window = |engine: &Engine| {
        if let Some(start) = view.silent.get(&engine.upstream) {
            return Some(MoveWindow { start: *start, length: SILENT_WINDOW });
        }
        let start = *view.leaving.get(&engine.upstream)? + LEAVING_DELAY;
        (start <= now).then_some(MoveWindow { start, length: LEAVING_WINDOW })
    };
    let engines = fleet.engines.iter();
    engines.filter_map(|engine| Some((engine.upstream.clone(), window(engine)?))).collect()
}

/// Moves a running stream to another chain with the same first engine; returns whether it moved.
async fn repath<P: Port>(gateway: &Gateway<P>, id: &str, chain: &Chain) -> bool {
    match gateway.port.repath(id, &chain.stages).await {
        Ok(OrderOutcome::Begun | OrderOutcome::Done) => {
            gateway.metrics.count_failover("repathed");
            true
        }
        Ok(outcome) => {
            info!(request = id, outcome:? = outcome; "stream was not moved");
            false
        }
        Err(e) => {
            warn!(request = id, error:% = e; "stream was not moved");
            false
        }
    }
}
