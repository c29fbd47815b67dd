//! Finds out whether an engine has ended under the streams that were at their start on it, and keeps
//! prompts that crash engines away from them.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{
    crash::{Crash, Suspect},
    id::Upstream,
    prompt::{Part, Parts},
    time::Instant,
};
use goldcrestvale_member::evidence::{self, Evidence};
use goldcrestvale_route::quarantine::{Hold, Quarantine};
use log::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::{
    failover::{SILENT_DURATION, query},
    gateway::Gateway,
    port::{Error, Port},
    upstream_state::FaultKind,
};

/// How long the streams that broke off on an engine are collected before it is probed: all of them
/// break within a few milliseconds of its end.
const COLLECT_TIME: Duration = Duration::from_millis(10);

/// Maximum delay of the answer to a peer's report, so that one instance answers for all.
const MAX_REPLY_DELAY: Duration = Duration::from_millis(50);

/// What the instance knows of prompts that crash engines.
#[derive(Debug, Default)]
pub(crate) struct CrashWatch {
    quarantine: Mutex<Quarantine>,
    /// Streams that broke off at their start, by engine, until it is known whether it has ended.
    pending: Mutex<HashMap<Upstream, Pending>>,
}

#[derive(Debug, Default)]
struct Pending {
    suspects: Vec<Suspect>,
    /// Cancelled once it is known whether the engine has ended.
    done: CancellationToken,
}

impl CrashWatch {
    fn with_quarantine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.quarantine.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adds a stream that broke off; returns whether it is the first one on its engine.
    fn add(&self, upstream: &Upstream, suspect: Suspect) -> (bool, CancellationToken) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = !pending.contains_key(upstream);
        let pending = pending.entry(upstream.clone()).or_default();
        pending.suspects.push(suspect);
        (is_first, pending.done.clone())
    }

    fn take(&self, upstream: &Upstream) -> Pending {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.remove(upstream).unwrap_or_default()
    }

    /// Returns what keeps a prompt from engines, if anything does.
    pub(crate) fn check(&self, now: Instant, parts: &[Part]) -> Option<Hold> {
        match parts {
            [] => None,
            parts => self.with_quarantine(|quarantine| quarantine.check(now, parts)),
        }
    }

    /// Returns whether a prompt may have crashed an engine before.
    pub(crate) fn is_suspected(&self, now: Instant, parts: &[Part]) -> bool {
        self.with_quarantine(|quarantine| quarantine.is_suspected(now, parts))
    }

    /// Returns whether a prompt has a part on which no answer is known.
    pub(crate) fn has_unknown(&self, now: Instant, parts: &[Part]) -> bool {
        self.with_quarantine(|quarantine| !quarantine.unknown(now, parts).is_empty())
    }

    /// Returns the prompts that are kept from engines.
    pub(crate) fn holds(&self, now: Instant) -> Vec<Hold> {
        self.with_quarantine(|quarantine| quarantine.holds(now))
    }

    pub(crate) fn remove_expired(&self, now: Instant) {
        self.with_quarantine(|quarantine| quarantine.remove_expired(now));
    }
}

/// Records that an engine wrote an answer on a prompt with these parts.
pub(crate) fn record_sound<P>(gateway: &Gateway<P>, parts: &[Part]) {
    let now = gateway.now();
    let cleared = gateway.crash_watch.with_quarantine(|q| q.record_sound(now, parts));
    if !cleared.is_empty() {
        log_cleared(&cleared);
        gateway.peers.send_evidence(Evidence { sound: cleared.to_vec(), ..Evidence::default() });
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
        record_own_crash(&gateway, Crash { upstream, born_ms, suspects });
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

/// Records a crash that this instance saw, and reports it to the peers if a part of a prompt on which
/// no answer is known may be the cause.
fn record_own_crash<P>(gateway: &Gateway<P>, crash: Crash) {
    let now = gateway.now();
    let parts = all_parts(&crash);
    let (unknown, known) =
        gateway.crash_watch.with_quarantine(|q| (q.unknown(now, &parts), q.known(now, &parts)));
    info!(
        upstream:% = crash.upstream,
        requests = crash.suspects.len(),
        unknown_parts = parts_text(&unknown);
        "engine ended under requests at their start"
    );
    record_crash(gateway, &crash);
    if !unknown.is_empty() {
        let sound = known.into_vec();
        let crashes = vec![crash];
        gateway.peers.send_evidence(Evidence { crashes, sound, ..Evidence::default() });
    }
}

/// Returns the parts of the prompts that were at their start on an engine, each one once.
fn all_parts(crash: &Crash) -> Parts {
    let mut parts: Parts =
        crash.suspects.iter().flat_map(|suspect| suspect.parts.iter().copied()).collect();
    parts.sort_unstable();
    parts.dedup();
    parts
}

fn record_crash<P>(gateway: &Gateway<P>, crash: &Crash) {
    let now = gateway.now();
    for hold in gateway.crash_watch.with_quarantine(|q| q.record_crash(now, crash)) {
        gateway.metrics.count_quarantined();
        warn!(
            parts = parts_text(&hold.parts),
            seconds = hold.left.as_secs(),
            upstream:% = crash.upstream;
            "prompts are kept from engines"
        );
    }
}

/// Applies what a peer knows, and answers with the parts that this instance knows to be sound.
pub(crate) fn handle_evidence<P: Port>(gateway: &Arc<Gateway<P>>, evidence: &Evidence) {
    let now = gateway.now();
    let cleared = gateway
        .crash_watch
        .with_quarantine(|quarantine| quarantine.record_sound(now, &evidence.sound));
    if !cleared.is_empty() {
        log_cleared(&cleared);
    }
    for crash in &evidence.crashes {
        record_crash(gateway, crash);
        let mut known = gateway.crash_watch.with_quarantine(|q| q.known(now, &all_parts(crash)));
        known.retain(|part| !evidence.sound.contains(part));
        if !known.is_empty() {
            tokio::spawn(reply(gateway.clone(), known));
        }
    }
    for evidence::Hold { parts, left_ms } in &evidence.holds {
        let left = Duration::from_millis(u64::from(*left_ms));
        let hold = Hold { parts: parts.clone(), left };
        if gateway.crash_watch.with_quarantine(|q| q.hold(now, &hold)) {
            gateway.metrics.count_quarantined();
            warn!(parts = parts_text(parts); "prompts are kept from engines, as by a peer");
        }
    }
}

/// Tells the peers which parts are sound, unless another instance has done so.
async fn reply<P: Port>(gateway: Arc<Gateway<P>>, known: Parts) {
    let received = gateway.now();
    tokio::time::sleep(MAX_REPLY_DELAY.mul_f64(gateway.random_unit())).await;
    let unanswered: Vec<Part> = gateway.crash_watch.with_quarantine(|q| {
        known.into_iter().filter(|part| !q.is_sound_since(received, *part)).collect()
    });
    if !unanswered.is_empty() {
        gateway.peers.send_evidence(Evidence { sound: unanswered, ..Evidence::default() });
    }
}

/// Returns the prompts that this instance keeps from engines, as a report to the peers.
pub(crate) fn holds_report<P>(gateway: &Gateway<P>) -> Option<Evidence> {
    let holds = gateway.crash_watch.holds(gateway.now());
    let holds: Vec<evidence::Hold> = holds
        .into_iter()
        .map(|Hold { parts, left }| evidence::Hold {
            parts,
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        })
        .collect();
    (!holds.is_empty()).then(|| Evidence { holds, ..Evidence::default() })
}

fn log_cleared(parts: &[Part]) {
    info!(parts = parts_text(parts); "prompts are sound");
}

pub(crate) fn parts_text<'p>(parts: impl IntoIterator<Item = &'p Part>) -> String {
    let texts: Vec<String> = parts.into_iter().map(Part::to_string).collect();
    texts.join(",")
}
