//! Watches the chains of the streams in progress and moves streams off those that stopped.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use goldcrestvale_base::id::Upstream;
use goldcrestvale_route::pipeline::{Engine, Line, Rescue};
use log::info;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::{
    gateway::{Gateway, Trouble},
    port::{Port, Report},
    registry::Stream,
    stream::repath,
    view::{Fleet, View},
};

/// How often the chains are looked at: a fraction of the silence after which one counts as stopped.
const PERIOD: Duration = Duration::from_millis(100);

/// How long an engine counts as silent: longer than streams stall on it, and than its record
/// outlives it.
const SILENT: Duration = Duration::from_millis(4_500);

/// How long an engine that takes no work with room left is left alone before it is tried again:
/// about as long as one that is leaving still serves.
const REFUSING: Duration = Duration::from_millis(6_000);

/// How long before the end of a silence the engine is asked again.
const RECHECK: Duration = Duration::from_millis(700);

/// Share of memory and places taken up to which an engine has room for any request.
const ROOMY: f64 = 0.75;

/// How long a stream may stay on an engine that is leaving: most streams end within that time, and
/// the engine still serves.
const LEAVING_STAY: Duration = Duration::from_millis(1_300);

/// Watches until the token is cancelled.
pub(crate) async fn watch<P: Port>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        gateway.expire();
        for head in gateway.registry.stopped(gateway.now()) {
            diagnose(&gateway, &head).await;
        }
        for upstream in gateway.due_rechecks(RECHECK) {
            tokio::spawn(recheck(gateway.clone(), upstream));
        }
        move_streams(&gateway).await;
    }
}

/// Asks a silent engine whether it is back, before it is used again.
async fn recheck<P: Port>(gateway: Arc<Gateway<P>>, upstream: Upstream) {
    let view = gateway.view.load_full();
    let engine = view.fleets.values().find_map(|fleet| fleet.engine(&upstream));
    let Some(engine) = engine else { return };
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

/// Reads what the engines of a domain hold, while the directory cannot be read.
pub(crate) async fn refresh<P: Port>(gateway: Arc<Gateway<P>>, engines: Vec<Engine>) {
    for engine in engines {
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let upstream = &engine.upstream;
            match gateway.port.report(engine.address).await {
                Ok(report) => {
                    gateway.learn(|known| known.catalog.set_layers(upstream, report.layers));
                }
                Err(e) => gateway.trouble(upstream, Trouble::Silent, SILENT, &e.to_string()),
            }
        });
    }
}

/// Asks the first engine of a stopped chain which engine it waits for. Reports lag, so it is asked
/// again at the next look if it names none.
async fn diagnose<P: Port>(gateway: &Arc<Gateway<P>>, head: &Upstream) {
    let view = gateway.view.load_full();
    let engine = view.fleets.values().find_map(|fleet| fleet.engine(head));
    let Some(engine) = engine.filter(|_| !gateway.is_lost(head)) else { return };
    match gateway.port.report(engine.address).await {
        Ok(report) => {
            let addresses: HashSet<SocketAddr> =
                report.stalled.iter().map(|stalled| stalled.address).collect();
            let engines = view.fleets.values().flat_map(|fleet| &fleet.engines);
            for engine in engines.filter(|engine| addresses.contains(&engine.address)) {
                gateway.trouble(&engine.upstream, Trouble::Silent, SILENT, "a chain waits for it");
            }
        }
        Err(e) => {
            let why = format!("its chain stopped: {e}");
            gateway.trouble(head, Trouble::Silent, SILENT, &why);
        }
    }
}

/// Why an engine is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Blame {
    /// It could not be reached, or broke off.
    Failure,
    /// It refused a stream.
    Refusal,
    /// It refused streams a moment ago as well.
    Refusals,
}

/// Finds out whether an engine that is blamed is dead, leaving or only full.
pub(crate) async fn probe<P: Port>(gateway: Arc<Gateway<P>>, upstream: Upstream, blame: Blame) {
    let view = gateway.view.load_full();
    let engine = view.fleets.values().find_map(|fleet| fleet.engine(&upstream));
    let Some(engine) = engine.filter(|_| !gateway.is_lost(&upstream)) else { return };
    let slots = view.fleets.values().map(|fleet| fleet.model.slots).min().unwrap_or_default();
    match gateway.port.report(engine.address).await {
        Err(e) => gateway.trouble(&upstream, Trouble::Silent, SILENT, &e.to_string()),
        // With room left and no order in progress, the only cause that is left is that it leaves.
        Ok(report) if blame == Blame::Refusals && has_room(&report, slots) => {
            gateway.trouble(&upstream, Trouble::Refusing, REFUSING, "it refuses with room left");
        }
        Ok(report) => {
            info!(upstream:% = upstream, memory_taken = report.memory_taken, busy = report.busy; "blamed upstream answers");
        }
    }
}

/// Returns whether an engine could take a stream, as far as its report tells.
fn has_room(report: &Report, slots: u32) -> bool {
    let streams = f64::from(report.running + report.waiting);
    !report.busy && report.memory_taken < ROOMY && streams < f64::from(slots) * ROOMY
}

/// Moves the streams whose chains hold an engine that is lost or leaving.
async fn move_streams<P: Port>(gateway: &Arc<Gateway<P>>) {
    let view = gateway.view.load_full();
    for (service, fleet) in &view.fleets {
        let lost = lost(gateway, &view, fleet);
        let streams =
            gateway.registry.find(|stream| stream.service == *service && touches(stream, &lost));
        if streams.is_empty() {
            continue;
        }
        let engines: Vec<&Engine> = fleet.engines();
        let lines: Vec<&Line> = fleet.lines.iter().map(Arc::as_ref).collect();
        let now = gateway.now();
        for (number, stream) in streams {
            match Rescue::new(&fleet.model, &engines, &stream.line, &lines, stream.may_resume, now)
            {
                Rescue::Stay | Rescue::Wait => {}
                Rescue::Resume => {
                    info!(request = stream.id.as_str(), head:% = stream.line.head().upstream; "stream goes on elsewhere");
                    stream.resume.notify_one();
                }
                Rescue::Repath(line) => {
                    let gateway = gateway.clone();
                    // Until the answer is known the stream counts as moved, so that it is ordered once.
                    gateway.registry.repath(number, Arc::new(line.clone()));
                    tokio::spawn(async move {
                        if !repath(&gateway, number, &stream.id, line).await {
                            stream.resume.notify_one();
                        }
                    });
                }
            }
        }
    }
}

/// The engines that streams in progress must leave.
fn lost<P>(gateway: &Gateway<P>, view: &View, fleet: &Fleet) -> HashSet<Upstream> {
    let now = gateway.now();
    let mut lost = HashSet::new();
    for engine in &fleet.engines {
        let left = view.leaving.get(&engine.upstream);
        let is_leaving = left.is_some_and(|since| now.since(*since) >= LEAVING_STAY);
        if is_leaving || engine.silent {
            lost.insert(engine.upstream.clone());
        }
    }
    lost
}

fn touches(stream: &Stream, lost: &HashSet<Upstream>) -> bool {
    stream.line.parts.iter().any(|part| lost.contains(&part.upstream))
}
