//! Finds out whether an engine has ended under the streams that were at their start on it.

use std::sync::Arc;

use goldcrestvale_base::{
    crash::{Crash, Suspect},
    id::Upstream,
    prompt::{Part, Parts},
};
use goldcrestvale_entry::crash_watch::{COLLECT_TIME, MAX_REPLY_DELAY, Pending};
use goldcrestvale_member::evidence::Evidence;
use tokio_util::sync::CancellationToken;

use crate::{
    failover::{SILENT_DURATION, query},
    gateway::Gateway,
    port::{Error, Port},
    upstream_state::FaultKind,
};

/// Records that an engine wrote an answer on a prompt with these parts.
pub(crate) fn record_sound<P>(gateway: &Gateway<P>, parts: &[Part]) {
    if let Some(report) = gateway.crash_watch.record_sound(gateway.now(), parts) {
        gateway.peers.send_evidence(report);
    }
}

/// Reports a stream that broke off at its start; the returned token is cancelled once it is known
/// whether the engine has ended.
pub(crate) fn report_break<P: Port>(
    gateway: &Arc<Gateway<P>>,
    upstream: &Upstream,
    suspect: Suspect,
) -> CancellationToken {
    let (is_first, done) = gateway.crash_watch.add(upstream, suspect);
    if is_first {
        tokio::spawn(investigate(gateway.clone(), upstream.clone()));
    }
    done
}

async fn investigate<P: Port>(gateway: Arc<Gateway<P>>, upstream: Upstream) {
    let registration = gateway.read_state(|state| state.catalog.get(&upstream).cloned());
    tokio::time::sleep(COLLECT_TIME).await;
    let has_ended = has_ended(&gateway, &upstream).await;
    let Pending { suspects, done } = gateway.crash_watch.take(&upstream);
    if has_ended {
        let born_ms = registration.and_then(|registration| registration.born_ms);
        let crash = Crash { upstream, born_ms, suspects };
        if let Some(report) = gateway.crash_watch.record_own_crash(gateway.now(), crash) {
            gateway.peers.send_evidence(report);
        }
    }
    done.cancel();
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
