//! Watches the chains of the streams in progress and moves streams off those that stopped.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use goldcrestvale_base::{engine::Layers, id::Upstream, time::Instant};
use goldcrestvale_route::pipeline::{Chain, Engine, Failover, STALL_TIMEOUT, paced_count};
use log::{info, warn};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::{
    gateway::Gateway,
    port::{OrderOutcome, Port, Report},
    registry::Stream,
    rejection::Blame,
    upstream_state::Trouble,
    view::{Fleet, View},
};

/// How often the chains are looked at: a fraction of the silence after which one counts as stopped.
const PERIOD: Duration = Duration::from_millis(100);

/// How long an engine counts as silent: longer than streams stall on it, and than its record
/// outlives it.
pub(crate) const SILENT: Duration = Duration::from_millis(4_500);

/// How long an engine that takes no work with room left is left alone before it is tried again:
/// about as long as one that is leaving still serves.
const REFUSING: Duration = Duration::from_millis(6_000);

/// Share of memory and places taken up to which an engine has room for any request.
const ROOMY: f64 = 0.75;

/// How long a stream may stay on an engine that is leaving before some move: the time in which its
/// layers are held elsewhere.
const LEAVING_STAY: Duration = Duration::from_millis(500);

/// Time over which streams move off an engine that is leaving: within the time that it still serves.
const LEAVING_WINDOW: Duration = Duration::from_millis(1_300);

/// Time over which streams move off an engine that is lost. They have paused already, and prompts are
/// read between the steps of other streams, so all move at once.
const SILENT_WINDOW: Duration = Duration::ZERO;

/// Watches until the token is cancelled.
pub(crate) async fn watch<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let due = async {
            tokio::select! {
                _ = ticks.tick() => {}
                () = gateway.alarm.notified() => {}
            }
        };
        if stop.run_until_cancelled(due).await.is_none() {
            return;
        }
        gateway.expire();
        for head in gateway.registry.stopped(gateway.now()) {
            diagnose(&gateway, &head).await;
        }
        for upstream in gateway.due_rechecks() {
            tokio::spawn(recheck(gateway.clone(), upstream));
        }
        move_streams(&gateway).await;
    }
}

/// Asks a silent engine whether it is back, before it is used again.
async fn recheck<P: Port>(gateway: Arc<Gateway<P>>, upstream: Upstream) {
    let view = gateway.view.load_full();
    let Some(engine) = view.engine(&upstream) else { return };
    match gateway.port.report(engine.address).await {
        Ok(report) => {
            gateway.learn(|known| known.catalog.set_layers(&upstream, report.layers));
            gateway.clear(&upstream);
        }
        Err(e) => {
            gateway.note(&upstream, Trouble::Silent, SILENT, &e.to_string());
        }
    }
}

/// Reads an engine's state; one that does not answer counts as silent.
async fn ask<P: Port>(gateway: &Gateway<P>, engine: &Engine) -> Option<Report> {
    match gateway.port.report(engine.address).await {
        Ok(report) => Some(report),
        Err(e) => {
            gateway.trouble(&engine.upstream, Trouble::Silent, SILENT, &e.to_string());
            None
        }
    }
}

/// Reads what the engines of a domain hold, while the directory cannot be read.
pub(crate) fn refresh<'a, P: Port>(
    gateway: &Arc<Gateway<P>>,
    engines: impl Iterator<Item = &'a Engine>,
) {
    for engine in engines {
        let (gateway, engine) = (gateway.clone(), engine.clone());
        tokio::spawn(async move {
            if let Some(report) = ask(&gateway, &engine).await {
                gateway.learn(|known| known.catalog.set_layers(&engine.upstream, report.layers));
            }
        });
    }
}

/// Asks the first engine of a stopped chain which engine it waits for. Reports lag, so it is asked
/// again at the next look if it names none.
async fn diagnose<P: Port>(gateway: &Arc<Gateway<P>>, head: &Upstream) {
    let view = gateway.view.load_full();
    let Some(engine) = view.engine(head).filter(|_| !gateway.is_lost(head)) else { return };
    match gateway.port.report(engine.address).await {
        Ok(report) => {
            let waited_for = waited_for(gateway, &report);
            join_all(
                waited_for
                    .iter()
                    .map(|(upstream, layers)| suspect(gateway, view.engine(upstream), layers)),
            )
            .await;
        }
        Err(e) => {
            let why = format!("its chain stopped: {e}");
            gateway.trouble(head, Trouble::Silent, SILENT, &why);
        }
    }
}

/// The engines that streams of this instance wait for, with the layers that they run there.
fn waited_for<P>(gateway: &Gateway<P>, report: &Report) -> HashMap<Upstream, Vec<Layers>> {
    let addresses: HashMap<&str, SocketAddr> =
        report.stalled.iter().map(|stalled| (stalled.id.as_str(), stalled.address)).collect();
    let stalled = gateway.registry.find(|stream| addresses.contains_key(stream.id.as_str()));
    let mut waited_for: HashMap<Upstream, Vec<Layers>> = HashMap::new();
    for (_, stream) in stalled {
        let address = addresses.get(stream.id.as_str());
        let part = stream.line.stages.iter().find(|part| Some(&part.address) == address);
        if let Some(part) = part {
            waited_for.entry(part.upstream.clone()).or_default().push(part.layers);
        }
    }
    waited_for
}

/// Finds out whether an engine that a chain waits for is out of its reach.
///
/// One that carries out an order, or did, has released layers that streams still pass through: it
/// stays, and those streams move.
async fn suspect<P: Port>(gateway: &Gateway<P>, engine: Option<&Engine>, layers: &[Layers]) {
    let Some(engine) = engine.filter(|engine| !gateway.is_lost(&engine.upstream)) else { return };
    let upstream = &engine.upstream;
    let holds = |held: Option<Layers>| {
        held.is_some_and(|held| layers.iter().any(|layers| held.covers(*layers)))
    };
    let Some(report) = ask(gateway, engine).await else { return };
    if !report.busy && holds(report.layers) {
        gateway.trouble(upstream, Trouble::Silent, SILENT, "a chain waits for it");
    } else if gateway.learn(|known| known.catalog.set_layers(upstream, report.layers)) {
        info!(upstream:% = upstream, busy = report.busy; "a chain waits for layers that were released");
    }
}

/// Finds out whether an engine that is blamed is dead, leaving or only full.
pub(crate) async fn probe<P: Port>(gateway: Arc<Gateway<P>>, upstream: Upstream, blame: Blame) {
    let view = gateway.view.load_full();
    let Some(engine) = view.engine(&upstream).filter(|_| !gateway.is_lost(&upstream)) else {
        return;
    };
    let slots = view.fleets.values().map(|fleet| fleet.model.slots).min().unwrap_or_default();
    let Some(report) = ask(&gateway, engine).await else { return };
    if blame == Blame::Refusals && has_room(&report, slots) {
        // With room left and no order in progress, the only cause that is left is that it leaves.
        gateway.trouble(&upstream, Trouble::Refusing, REFUSING, "it refuses with room left");
    } else {
        info!(upstream:% = upstream, memory_taken = report.memory_used, busy = report.busy; "blamed upstream answers");
    }
}

/// Returns whether an engine could take a stream, as far as its report tells.
fn has_room(report: &Report, slots: u32) -> bool {
    let streams = f64::from(report.running + report.waiting);
    !report.busy && report.memory_used < ROOMY && streams < f64::from(slots) * ROOMY
}

/// Moves the streams whose chains hold an engine that is lost or leaving, a part at each look.
async fn move_streams<P: Port>(gateway: &Arc<Gateway<P>>) {
    let view = gateway.view.load_full();
    for (service, fleet) in &view.fleets {
        for (upstream, window) in lost(&view, fleet, gateway.now()) {
            let on_it =
                |stream: &Stream| stream.service == *service && stream.line.contains(&upstream);
            let mut streams = gateway.registry.find(on_it);
            // The newest ones have most still to come; the others may end by themselves.
            streams.sort_by_key(|(number, _)| std::cmp::Reverse(*number));
            let elapsed = gateway.now().since(window.start);
            streams.truncate(paced_count(streams.len(), elapsed, window.length, PERIOD));
            for (number, stream) in streams {
                move_stream(gateway, fleet, number, stream);
            }
        }
        // An engine that released layers cuts off some of its streams, while its chain goes on.
        let now = gateway.now();
        let is_cut_off = |stream: &Stream| {
            stream.service == *service
                && now.since(stream.last_event) >= STALL_TIMEOUT
                && !stream.line.is_held(&fleet.engines)
        };
        for (number, stream) in gateway.registry.find(is_cut_off) {
            move_stream(gateway, fleet, number, stream);
        }
    }
}

fn move_stream<P: Port>(gateway: &Arc<Gateway<P>>, fleet: &Fleet, number: u64, stream: Stream) {
    let engines: Vec<&Engine> = fleet.engines();
    let lines: Vec<&Chain> = fleet.lines.iter().map(Arc::as_ref).collect();
    let now = gateway.now();
    match Failover::new(&fleet.model, &engines, &stream.line, &lines, stream.may_resume, now) {
        Failover::Stay | Failover::Wait => {}
        Failover::Resume => {
            info!(request = stream.id.as_str(), head:% = stream.line.head().upstream; "stream goes on elsewhere");
            stream.resume.notify_one();
        }
        Failover::Repath(line) => {
            // Until the answer is known the stream counts as moved, so that it is ordered once.
            gateway.registry.repath(number, Arc::new(line.clone()));
            let gateway = gateway.clone();
            tokio::spawn(async move {
                if repath(&gateway, &stream.id, &line).await {
                    return;
                }
                if stream.may_resume {
                    stream.resume.notify_one();
                } else {
                    // It may not run again, so it stays and is looked at anew.
                    gateway.registry.repath(number, stream.line);
                }
            });
        }
    }
}

/// When streams move off an engine.
struct Window {
    start: Instant,
    length: Duration,
}

/// The engines that streams in progress must leave.
fn lost(view: &View, fleet: &Fleet, now: Instant) -> Vec<(Upstream, Window)> {
    let window = |engine: &Engine| {
        if let Some(start) = view.silent.get(&engine.upstream) {
            return Some(Window { start: *start, length: SILENT_WINDOW });
        }
        let start = *view.leaving.get(&engine.upstream)? + LEAVING_STAY;
        (start <= now).then_some(Window { start, length: LEAVING_WINDOW })
    };
    let lost = fleet.engines.iter();
    lost.filter_map(|engine| Some((engine.upstream.clone(), window(engine)?))).collect()
}

/// Moves a running stream to another chain with the same first engine.
async fn repath<P: Port>(gateway: &Gateway<P>, id: &str, line: &Chain) -> bool {
    match gateway.port.repath(id, &line.stages).await {
        Ok(OrderOutcome::Begun | OrderOutcome::Done) => {
            gateway.metrics.count_rescue("repathed");
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
