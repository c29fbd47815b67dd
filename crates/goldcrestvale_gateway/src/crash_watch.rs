//! Finds out whether an upstream has ended under the requests that were at their start on it.

use std::sync::Arc;

use futures_util::future::join_all;
use goldcrestvale_base::{
    content::Content,
    crash::{Progress, Suspect},
    id::Upstream,
    prompt::{Part, Parts},
};
use goldcrestvale_entry::crash_watch::{Attempt, COLLECT_TIME, MAX_REPLY_DELAY};
use goldcrestvale_member::evidence::Evidence;
use goldcrestvale_route::retry::{Run, Runs};
use goldcrestvale_upstream::pool::Acceptance;
use tokio_util::sync::CancellationToken;

use crate::{
    failover::{SILENT_DURATION, query},
    forward::Matched,
    gateway::Gateway,
    port::{Error, Port, Registration},
    upstream_state::FaultKind,
};

/// What has become of an upstream that ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Alive,
    Ended,
    /// It is listed and does not answer, so it may only be out of reach.
    Unknown,
}

/// Returns the request with its progress, as a possible cause of the end of an upstream.
pub(crate) fn suspect<P>(matched: &Matched<P>, progress: Progress) -> Suspect {
    Suspect { request: matched.content, parts: matched.head.parts.clone(), progress }
}

/// Finds out which upstreams that ran a request have ended since; returns whether the fate of one is
/// unknown.
pub(crate) async fn find_ended<P>(gateway: &Gateway<P>, runs: &mut Runs) -> bool {
    let fates = runs.counted().iter().map(|run| async { (run.clone(), fate(gateway, run).await) });
    let fates = join_all(fates).await;
    for (run, _) in fates.iter().filter(|(_, fate)| *fate == Fate::Ended) {
        runs.record_end(run);
    }
    fates.iter().any(|(_, fate)| *fate == Fate::Unknown)
}

/// Returns what has become of the incarnation of an upstream that ran a request.
async fn fate<P>(gateway: &Gateway<P>, run: &Run) -> Fate {
    let (listed, is_reused) = gateway.read_state(|state| {
        let listed = state.catalog.get(&run.upstream).map(|registration| registration.born_ms);
        let is_reused = state
            .catalog
            .iter()
            .any(|(other, _)| other.address == run.address && other.upstream != run.upstream);
        (listed, is_reused)
    });
    let is_restarted = |born: Option<u64>| born.zip(run.born_ms).is_some_and(|(a, b)| a != b);
    if listed.is_some_and(is_restarted) || (listed.is_none() && is_reused) {
        return Fate::Ended;
    }
    match gateway.pool.try_connect(run.address).await {
        Acceptance::Accepted => Fate::Alive,
        Acceptance::Silent if listed.is_some() => Fate::Unknown,
        Acceptance::Refused | Acceptance::Silent => Fate::Ended,
    }
}

/// Records that an engine wrote an answer on a prompt with these parts.
pub(crate) fn record_sound<P>(gateway: &Gateway<P>, parts: &[Part]) {
    if let Some(report) = gateway.crash_watch.record_sound(gateway.now(), parts) {
        gateway.peers.send_evidence(report);
    }
}

/// Records that an upstream has answered a request.
pub(crate) fn record_answer<P>(gateway: &Gateway<P>, request: Content) {
    if let Some(report) = gateway.crash_watch.record_answer(gateway.now(), request) {
        gateway.peers.send_evidence(report);
    }
}

/// Reports a request that broke off at its start; the returned token is cancelled once it is known
/// whether the upstream has ended.
pub(crate) fn report_break<P: Port>(
    gateway: &Arc<Gateway<P>>,
    upstream: &Upstream,
    suspect: Suspect,
    attempt: &Attempt,
) -> CancellationToken {
    let (is_first, done) = gateway.crash_watch.add(upstream, suspect, attempt);
    if is_first {
        tokio::spawn(investigate(gateway.clone(), upstream.clone()));
    }
    done
}

/// Waits until it is known whether an upstream has ended under a request that is to be sent to another
/// one, if one has ended under it before.
pub(crate) async fn wait_if_suspected<P>(matched: &Matched<P>, done: &CancellationToken) {
    if matched.gateway.crash_watch.is_request_suspected(matched.content) {
        let left = matched.deadline.since(matched.gateway.now());
        // The caller checks the deadline.
        let _ = tokio::time::timeout(left, done.cancelled()).await;
    }
}

async fn investigate<P: Port>(gateway: Arc<Gateway<P>>, upstream: Upstream) {
    let registration = gateway.read_state(|state| state.catalog.get(&upstream).cloned());
    tokio::time::sleep(COLLECT_TIME).await;
    let has_ended = match &registration {
        Some(registration) if registration.holding.is_none() => {
            has_plain_ended(&gateway, registration).await
        }
        _ => has_ended(&gateway, &upstream).await,
    };
    let pending = gateway.crash_watch.take(&upstream);
    let done = pending.done.clone();
    if has_ended {
        let born_ms = registration.and_then(|registration| registration.born_ms);
        let now = gateway.now();
        if let Some(report) = gateway.crash_watch.record_own_crash(now, upstream, born_ms, pending)
        {
            gateway.peers.send_evidence(report);
        }
    }
    done.cancel();
}

/// Returns whether an upstream of a plain service is gone or refuses connections. One that does not
/// answer at all may only be out of reach.
async fn has_plain_ended<P>(gateway: &Gateway<P>, registration: &Registration) -> bool {
    let is_listed = gateway.read_state(|state| state.catalog.contains(&registration.upstream));
    !is_listed || gateway.pool.is_refused(registration.address).await
}

/// Returns whether an engine is gone or does not answer; such an engine is reported as silent.
async fn has_ended<P: Port>(gateway: &Gateway<P>, upstream: &Upstream) -> bool {
    let view = gateway.view.load_full();
    let Some(engine) = view.engine(upstream).filter(|_| !gateway.is_lost(upstream)) else {
        return true;
    };
    if gateway.is_paused(upstream) {
        return false;
    }
    match query(gateway, engine).await {
        Ok(_) | Err(Error::Refused { .. }) => false,
        Err(e) => {
            let why = e.to_string();
            gateway.report_fault(upstream, FaultKind::Silent, SILENT_DURATION, &why);
            true
        }
    }
}

/// Applies what a peer knows, and answers with the parts that this instance knows to be sound.
pub(crate) fn handle_evidence<P: Port>(gateway: &Arc<Gateway<P>>, evidence: &Evidence) {
    let known = gateway.crash_watch.apply(gateway.now(), evidence);
    if !known.is_empty() {
        tokio::spawn(reply(gateway.clone(), known));
    }
}

/// Tells the peers which parts are sound, unless another instance has done so.
async fn reply<P: Port>(gateway: Arc<Gateway<P>>, known: Parts) {
    let received = gateway.now();
    tokio::time::sleep(MAX_REPLY_DELAY.mul_f64(gateway.random_unit())).await;
    if let Some(reply) = gateway.crash_watch.reply(received, known) {
        gateway.peers.send_evidence(reply);
    }
}
