//! What an instance and its peers know of prompts that crash engines.
//!
//! The decision is made by [`Quarantine`]. A front end adds the requests that break off at their
//! start, finds out whether the engine has ended, and sends the returned reports to the peers.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
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
use opentelemetry::metrics::{Counter, Meter};
use tokio_util::sync::CancellationToken;

/// How long the requests that broke off on an engine are collected before it is probed: all of them
/// break within a few milliseconds of its end.
pub const COLLECT_TIME: Duration = Duration::from_millis(10);

/// Maximum delay of the reply to a peer's report, so that one instance replies for all.
pub const MAX_REPLY_DELAY: Duration = Duration::from_millis(50);

/// The prompts that are kept from engines, and the requests that may show others.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{prompt::Part, time::Instant};
/// use goldcrestvale_entry::{crash_watch::CrashWatch, metrics::Recorder};
///
/// let recorder = Recorder::new()?;
/// let watch = CrashWatch::new(&recorder.meter());
/// assert!(watch.check(Instant(0), &[Part(1)]).is_none());
/// assert!(watch.has_unknown(Instant(0), &[Part(1)]));
/// // An engine has written an answer on a prompt with this part.
/// assert!(watch.record_sound(Instant(0), &[Part(1)]).is_none());
/// assert!(!watch.has_unknown(Instant(0), &[Part(1)]));
/// # Ok::<(), goldcrestvale_entry::metrics::Error>(())
/// ```
#[derive(Debug)]
pub struct CrashWatch {
    quarantine: Mutex<Quarantine>,
    /// Requests that broke off at their start, by engine, until it is known whether it has ended.
    pending: Mutex<HashMap<Upstream, Pending>>,
    holds: Counter<u64>,
}

/// The requests that broke off at their start on one engine.
#[derive(Debug, Clone, Default)]
pub struct Pending {
    /// The requests.
    pub suspects: Vec<Suspect>,
    /// Cancelled once it is known whether the engine has ended.
    pub done: CancellationToken,
}

impl CrashWatch {
    /// Creates a state that knows nothing, with its counter on a meter.
    pub fn new(meter: &Meter) -> Self {
        Self {
            quarantine: Mutex::default(),
            pending: Mutex::default(),
            holds: meter.u64_counter("goldcrestvale_quarantined_prompts").build(),
        }
    }

    fn with_quarantine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.quarantine.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns what keeps a prompt from engines, if anything does.
    pub fn check(&self, now: Instant, parts: &[Part]) -> Option<Hold> {
        match parts {
            [] => None,
            parts => self.with_quarantine(|quarantine| quarantine.check(now, parts)),
        }
    }

    /// Returns whether a prompt may have crashed an engine before.
    pub fn is_suspected(&self, now: Instant, parts: &[Part]) -> bool {
        self.with_quarantine(|quarantine| quarantine.is_suspected(now, parts))
    }

    /// Returns how many engines have ended when they began to answer one request.
    pub fn engines_ended(&self, now: Instant, request: u64, parts: &[Part]) -> usize {
        self.with_quarantine(|quarantine| quarantine.engines_ended(now, request, parts))
    }

    /// Returns whether a prompt has a part on which no answer is known.
    pub fn has_unknown(&self, now: Instant, parts: &[Part]) -> bool {
        self.with_quarantine(|quarantine| !quarantine.unknown(now, parts).is_empty())
    }

    /// Returns the prompts that are kept from engines.
    pub fn holds(&self, now: Instant) -> Vec<Hold> {
        self.with_quarantine(|quarantine| quarantine.holds(now))
    }

    /// Removes what no longer counts.
    pub fn remove_expired(&self, now: Instant) {
        self.with_quarantine(|quarantine| quarantine.remove_expired(now));
    }

    /// Adds a request that broke off at its start; returns whether it is the first one on its engine,
    /// and what is cancelled once it is known whether the engine has ended.
    pub fn add(&self, upstream: &Upstream, suspect: Suspect) -> (bool, CancellationToken) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = !pending.contains_key(upstream);
        let pending = pending.entry(upstream.clone()).or_default();
        pending.suspects.push(suspect);
        (is_first, pending.done.clone())
    }

    /// Takes the requests that broke off on an engine.
    pub fn take(&self, upstream: &Upstream) -> Pending {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.remove(upstream).unwrap_or_default()
    }

    /// Records that an engine wrote an answer on a prompt with these parts; returns a report for the
    /// peers if one of them was under suspicion.
    pub fn record_sound(&self, now: Instant, parts: &[Part]) -> Option<Evidence> {
        let cleared = self.with_quarantine(|quarantine| quarantine.record_sound(now, parts));
        log_cleared(&cleared);
        (!cleared.is_empty()).then(|| Evidence { sound: cleared.into_vec(), ..Evidence::default() })
    }

    /// Records a crash that this instance saw; returns a report for the peers if a part on which no
    /// answer is known may be the cause.
    pub fn record_own_crash(&self, now: Instant, crash: Crash) -> Option<Evidence> {
        let parts = all_parts(&crash);
        let (unknown, known) =
            self.with_quarantine(|q| (q.unknown(now, &parts), q.known(now, &parts)));
        info!(
            upstream:% = crash.upstream,
            requests = crash.suspects.len(),
            unknown_parts = parts_text(&unknown);
            "engine ended under requests at their start"
        );
        self.record_crash(now, &crash);
        let (sound, crashes) = (known.into_vec(), vec![crash]);
        (!unknown.is_empty()).then(|| Evidence { crashes, sound, ..Evidence::default() })
    }

    fn record_crash(&self, now: Instant, crash: &Crash) {
        for hold in self.with_quarantine(|quarantine| quarantine.record_crash(now, crash)) {
            self.holds.add(1, &[]);
            warn!(
                parts = parts_text(&hold.parts),
                seconds = hold.left.as_secs(),
                upstream:% = crash.upstream;
                "prompts are kept from engines"
            );
        }
    }

    /// Applies a peer's report; returns the parts under suspicion there that are known to be sound
    /// here.
    pub fn apply(&self, now: Instant, evidence: &Evidence) -> Parts {
        log_cleared(&self.with_quarantine(|q| q.record_sound(now, &evidence.sound)));
        let mut known = Parts::new();
        for crash in &evidence.crashes {
            self.record_crash(now, crash);
            known.extend(self.with_quarantine(|q| q.known(now, &all_parts(crash))));
        }
        for evidence::Hold { parts, left_ms } in &evidence.holds {
            let left = Duration::from_millis(u64::from(*left_ms));
            let hold = Hold { parts: parts.clone(), left };
            if self.with_quarantine(|quarantine| quarantine.hold(now, &hold)) {
                self.holds.add(1, &[]);
                warn!(parts = parts_text(parts); "prompts are kept from engines, as by a peer");
            }
        }
        known.retain(|part| !evidence.sound.contains(part));
        known
    }

    /// Returns the reply to a peer's report that was received at a time, without the parts on which
    /// another instance has replied since.
    pub fn reply(&self, received: Instant, known: Parts) -> Option<Evidence> {
        let sound: Vec<Part> = self.with_quarantine(|quarantine| {
            known.into_iter().filter(|part| !quarantine.is_sound_since(received, *part)).collect()
        });
        (!sound.is_empty()).then(|| Evidence { sound, ..Evidence::default() })
    }

    /// Returns the prompts that this instance keeps from engines, as a report for the peers.
    pub fn report(&self, now: Instant) -> Option<Evidence> {
        let holds = self.holds(now).into_iter().map(|Hold { parts, left }| evidence::Hold {
            parts,
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        });
        let holds: Vec<evidence::Hold> = holds.collect();
        (!holds.is_empty()).then(|| Evidence { holds, ..Evidence::default() })
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

fn log_cleared(parts: &[Part]) {
    if !parts.is_empty() {
        info!(parts = parts_text(parts); "prompts are sound");
    }
}

/// Returns parts as text, for logs and error messages.
pub fn parts_text<'p>(parts: impl IntoIterator<Item = &'p Part>) -> String {
    let texts: Vec<String> = parts.into_iter().map(Part::to_string).collect();
    texts.join(",")
}
