//! What an instance and its peers know of prompts and requests that crash upstreams.
//!
//! [`Quarantine`] decides on the parts of prompts, [`Repeats`] on requests that come again, and
//! [`Trials`] counts over all instances how often such a request is sent. A front end adds the requests that break off at their start, finds out whether the upstream has ended,
//! and sends the returned reports to the peers.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use goldcrestvale_base::{
    content::Content,
    crash::{Crash, Suspect},
    id::Upstream,
    prompt::{Part, Parts},
    time::{Instant, Wall},
};
use goldcrestvale_member::evidence::{self, Evidence};
use goldcrestvale_route::{
    quarantine::{Hold, Quarantine},
    repeats::{self, Repeats},
    trials::{Admission, Key, Record, Trials},
};
use log::{info, warn};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// How long the requests that broke off on an engine are collected before it is probed: all of them
/// break within a few milliseconds of its end.
pub const COLLECT_TIME: Duration = Duration::from_millis(10);

/// Maximum delay of the reply to a peer's report, so that one instance replies for all.
pub const MAX_REPLY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of requests that are kept from upstreams in one report.
const MAX_REPORTED_HOLDS: usize = 64;

/// Minimum time that is left of a reported hold on prompts. Instances that report a short one to each
/// other, and receive it late, would renew it each time.
const MIN_REPORTED_HOLD: Duration = Duration::from_secs(5);

/// Maximum number of claims that are remembered because they were not decided in time.
const MAX_ABANDONED: usize = 256;

/// Maximum number of records that wait for the log of trials; the oldest are dropped first.
const MAX_OUTBOX: usize = 4_096;

/// The prompts and requests that are kept from upstreams, and those that may be.
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
    repeats: Mutex<Repeats>,
    trials: Mutex<Trials>,
    /// Whether the log of trials is reached.
    is_log_reached: AtomicBool,
    /// Claims that were not decided in time.
    abandoned: Mutex<Vec<Record>>,
    /// Records for the log of trials, in order.
    outbox: Mutex<Vec<Record>>,
    /// Notified once there are such records.
    pub outbox_filled: Notify,
    /// Requests that broke off at their start, by engine, until it is known whether it has ended.
    pending: Mutex<HashMap<Upstream, Pending>>,
    holds: Counter<u64>,
    request_holds: Counter<u64>,
    trial_count: Counter<u64>,
}

/// An attempt of a caller at a request, for as long as it is in progress.
pub type Attempt = Arc<()>;

/// The requests that broke off at their start on one engine.
#[derive(Debug, Clone, Default)]
pub struct Pending {
    /// The requests.
    pub suspects: Vec<Suspect>,
    attempts: Vec<Weak<()>>,
    /// Cancelled once it is known whether the engine has ended.
    pub done: CancellationToken,
}

impl CrashWatch {
    /// Creates a state that knows nothing, with its counter on a meter.
    pub fn new(meter: &Meter) -> Self {
        Self {
            quarantine: Mutex::default(),
            repeats: Mutex::default(),
            trials: Mutex::new(Trials::new(StdRng::from_os_rng().random())),
            is_log_reached: AtomicBool::new(false),
            abandoned: Mutex::default(),
            outbox: Mutex::default(),
            outbox_filled: Notify::new(),
            pending: Mutex::default(),
            holds: meter.u64_counter("goldcrestvale_quarantined_prompts").build(),
            request_holds: meter.u64_counter("goldcrestvale_quarantined_requests").build(),
            trial_count: meter.u64_counter("goldcrestvale_request_trials").build(),
        }
    }

    fn with_quarantine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.quarantine.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn with_repeats<T>(&self, f: impl FnOnce(&mut Repeats) -> T) -> T {
        f(&mut self.repeats.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn with_trials<T>(&self, f: impl FnOnce(&mut Trials) -> T) -> T {
        f(&mut self.trials.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns how long a request is still kept from upstreams, if it is: by its trials, and also by the
    /// word of the peers while the log of trials is not reached.
    pub fn check_request(&self, now: Instant, request: Content) -> Option<Duration> {
        let by_trials = self.with_trials(|trials| trials.check(now, request));
        match self.is_log_reached() {
            true => by_trials,
            false => by_trials.max(self.with_repeats(|repeats| repeats.check(now, request))),
        }
    }

    /// Returns whether the log of trials is reached.
    pub fn is_log_reached(&self) -> bool {
        self.is_log_reached.load(Ordering::Acquire)
    }

    /// Records whether the log of trials is reached; returns whether it was.
    pub fn set_log_reached(&self, is_reached: bool) -> bool {
        self.is_log_reached.swap(is_reached, Ordering::AcqRel)
    }

    /// Returns whether a request may be sent to an upstream, as far as its trials tell.
    pub fn admit(
        &self,
        now: Instant,
        wall: Wall,
        request: Content,
        upstream: &Upstream,
    ) -> Admission {
        let (admission, ends) = self.with_trials(|trials| {
            (trials.admit(now, wall, request, upstream), trials.end_count(request))
        });
        if let Admission::Claim(claim) = &admission {
            self.send_ends(request);
            info!(request:% = request, ends, claim:? = claim.key, upstream:% = upstream; "trial is claimed");
        }
        admission
    }

    /// Returns whether a claim is granted, once the log is read up to it.
    pub fn is_granted(&self, claim: &Record) -> Option<bool> {
        let is_granted = self.with_trials(|trials| trials.is_granted(claim))?;
        let outcome = if is_granted { "granted" } else { "taken" };
        self.trial_count.add(1, &[KeyValue::new("outcome", outcome)]);
        info!(request:% = claim.key.request(), claim:? = claim.key, outcome; "trial is decided");
        Some(is_granted)
    }

    /// Returns how long a granted trial is kept back by what stood before it in the log.
    pub fn check_claim(&self, now: Instant, claim: &Record) -> Option<Duration> {
        self.with_trials(|trials| trials.check_claim(now, claim))
    }

    /// Returns whether a granted trial has to wait for one of another request on its upstream.
    pub fn must_wait(&self, now: Instant, claim: &Record) -> bool {
        self.with_trials(|trials| trials.must_wait(now, claim))
    }

    /// Returns a granted claim whose request was not sent to any upstream.
    pub fn return_claim(&self, now: Instant, claim: Record) {
        info!(request:% = claim.key.request(), claim:? = claim.key; "trial is returned unsent");
        let record = self.with_trials(|trials| trials.return_claim(now, claim));
        self.send_records(vec![record]);
    }

    /// Gives up a claim that was not decided in time. It is returned if it turns out to be granted.
    pub fn abandon_claim(&self, now: Instant, claim: Record) {
        let mut abandoned = self.abandoned.lock().unwrap_or_else(PoisonError::into_inner);
        if abandoned.len() >= MAX_ABANDONED {
            abandoned.remove(0);
        }
        abandoned.push(claim);
        drop(abandoned);
        self.return_abandoned(now);
    }

    /// Returns the abandoned claims that were granted since, and forgets those that were not.
    fn return_abandoned(&self, now: Instant) {
        let mut abandoned = self.abandoned.lock().unwrap_or_else(PoisonError::into_inner);
        let (decided, open): (Vec<Record>, Vec<Record>) = std::mem::take(&mut *abandoned)
            .into_iter()
            .partition(|claim| self.with_trials(|trials| trials.is_granted(claim).is_some()));
        *abandoned = open;
        drop(abandoned);
        for claim in decided {
            if self.with_trials(|trials| trials.is_granted(&claim)) == Some(true) {
                self.return_claim(now, claim);
            }
        }
    }

    /// Returns whether an attempt that has just seen the first end of a request may go on in a trial
    /// without a claim.
    pub fn may_go_on(&self, request: Content) -> bool {
        self.with_trials(|trials| trials.may_go_on(request))
    }

    /// Starts a trial of a request without a claim; returns whether it may be sent.
    pub fn start_unlisted(&self, now: Instant, request: Content, upstream: &Upstream) -> bool {
        let may_start = self.with_trials(|trials| trials.start_unlisted(now, request, upstream));
        if may_start {
            self.trial_count.add(1, &[KeyValue::new("outcome", "unlisted")]);
            info!(request:% = request, upstream:% = upstream; "trial starts without a claim");
            self.outbox_filled.notify_one();
        }
        may_start
    }

    /// Returns the number of ends that are known of a request.
    pub fn end_count(&self, request: Content) -> usize {
        self.with_trials(|trials| trials.end_count(request))
    }

    /// Returns whether the trials of a request keep others from its upstream.
    pub fn is_apart(&self, request: Content) -> bool {
        self.with_trials(|trials| trials.is_apart(request))
    }

    /// Returns whether each trial of a request counts, also one that its upstream rejects.
    pub fn is_limited(&self, request: Content) -> bool {
        self.with_trials(|trials| trials.is_limited(request))
    }

    /// Returns whether a request is sent in trials only.
    pub fn is_in_trials(&self, request: Content) -> bool {
        self.with_trials(|trials| trials.is_in_trials(request))
    }

    /// Returns the upstreams on which trials of other requests are in progress.
    pub fn trial_upstreams(&self, now: Instant, except: Content) -> Vec<Upstream> {
        self.with_trials(|trials| trials.busy(now, except))
    }

    /// Applies records of the log of trials, in their order.
    pub fn apply_records(&self, now: Instant, wall: Wall, records: &[Record]) {
        self.record_listed_ends(now, wall, records);
        self.with_trials(|trials| records.iter().for_each(|record| trials.apply(now, record)));
        self.return_abandoned(now);
    }

    /// Replaces what is known of the log of trials by the newest record of each key.
    pub fn reset_records(&self, now: Instant, wall: Wall, records: &[Record]) {
        self.record_listed_ends(now, wall, records);
        self.with_trials(|trials| trials.reset(now, records));
    }

    /// Takes the ends in the log as evidence, also where the report of a peer did not arrive.
    fn record_listed_ends(&self, now: Instant, wall: Wall, records: &[Record]) {
        for record in records {
            let Key::End { request, upstream, born_ms } = &record.key else { continue };
            self.with_repeats(|repeats| match &record.mark {
                Some(mark) => {
                    let at = now - wall.since(mark.written);
                    let end = repeats::End { upstream: upstream.clone(), born_ms: *born_ms, at };
                    repeats.record_end(now, *request, end);
                }
                None => repeats.forget(*request),
            });
        }
    }

    /// Takes the records that are to be appended to the log of trials.
    pub fn take_records(&self, wall: Wall) -> Vec<Record> {
        let mut outbox = self.outbox.lock().unwrap_or_else(PoisonError::into_inner);
        let mut records = std::mem::take(&mut *outbox);
        records.extend(self.with_trials(Trials::take_unlisted));
        for mark in records.iter_mut().filter_map(|record| record.mark.as_mut()) {
            mark.written = wall;
        }
        records
    }

    /// Puts records back that were not appended, before those that were added since.
    pub fn return_records(&self, mut records: Vec<Record>) {
        let mut outbox = self.outbox.lock().unwrap_or_else(PoisonError::into_inner);
        records.append(&mut outbox);
        *outbox = records;
    }

    /// Removes records from the log of trials that no longer count; one instance does so for all.
    pub fn remove_expired_records(&self, wall: Wall) {
        self.send_records(self.with_trials(|trials| trials.expired(wall)));
    }

    fn send_records(&self, records: Vec<Record>) {
        if !records.is_empty() {
            let mut outbox = self.outbox.lock().unwrap_or_else(PoisonError::into_inner);
            outbox.extend(records);
            let excess = outbox.len().saturating_sub(MAX_OUTBOX);
            outbox.drain(..excess);
            drop(outbox);
            self.outbox_filled.notify_one();
        }
    }

    /// Adds the ends under a request to the records for the log.
    fn send_ends(&self, request: Content) {
        self.send_records(self.with_trials(|trials| trials.take_ends(request)));
    }

    /// Returns whether an upstream has ended under a request that was not answered since.
    pub fn is_request_suspected(&self, request: Content) -> bool {
        self.with_repeats(|repeats| repeats.is_suspected(request))
    }

    /// Returns the requests that are kept from upstreams, each with the time that is left.
    pub fn request_holds(&self, now: Instant) -> Vec<(Content, Duration)> {
        self.with_repeats(|repeats| repeats.holds(now))
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
    pub fn engines_ended(&self, now: Instant, request: Content, parts: &[Part]) -> usize {
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
        self.with_repeats(|repeats| repeats.remove_expired(now));
        self.with_trials(|trials| trials.remove_expired(now));
    }

    /// Adds a request that broke off at its start; returns whether it is the first one on its
    /// upstream, and what is cancelled once it is known whether the upstream has ended.
    pub fn add(
        &self,
        upstream: &Upstream,
        suspect: Suspect,
        attempt: &Attempt,
    ) -> (bool, CancellationToken) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = !pending.contains_key(upstream);
        let pending = pending.entry(upstream.clone()).or_default();
        pending.suspects.push(suspect);
        pending.attempts.push(Arc::downgrade(attempt));
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

    /// Records that a request was answered; returns a report for the peers if it was under suspicion.
    pub fn record_answer(&self, now: Instant, request: Content) -> Option<Evidence> {
        self.send_records(self.with_trials(|trials| trials.record_answer(request)));
        self.with_repeats(|repeats| repeats.record_answer(now, request)).then(|| {
            info!(request:% = request; "request is sound");
            Evidence { answered: vec![request], ..Evidence::default() }
        })
    }

    /// Records the end of an upstream that this instance saw; returns a report for the peers of the
    /// parts and requests that may be the cause.
    ///
    /// A request that this instance still tries elsewhere is reported after its attempt, unless it is
    /// answered, or after a second end.
    pub fn record_own_crash(
        &self,
        now: Instant,
        upstream: Upstream,
        born_ms: Option<u64>,
        pending: Pending,
    ) -> Option<Evidence> {
        let Pending { suspects, attempts, .. } = pending;
        // Whatever else explains the end: it is one of all of them.
        for suspect in &suspects {
            self.with_trials(|trials| {
                trials.record_end(now, suspect.request, upstream.clone(), born_ms);
            });
            self.send_ends(suspect.request);
        }
        let crash = Crash { upstream, born_ms, suspects };
        let requests: Vec<String> =
            crash.suspects.iter().map(|suspect| suspect.request.to_string()).collect();
        info!(
            upstream:% = crash.upstream,
            requests = requests.join(",");
            "upstream ended under requests at their start"
        );
        let mut evidence = Evidence::default();
        // A prompt that is known to be harmful explains the end.
        if !crash.suspects.iter().any(|suspect| self.check(now, &suspect.parts).is_some()) {
            self.record_end(now, &crash);
            for (suspect, attempt) in crash.suspects.iter().zip(&attempts) {
                let is_over = attempt.strong_count() == 0;
                if is_over || self.check_request(now, suspect.request).is_some() {
                    evidence.suspects.extend(self.report_request(now, suspect.request));
                }
            }
        }
        if !crash.suspects.iter().any(|suspect| self.is_harmful(now, suspect.request)) {
            self.record_own_prompts(now, crash, &mut evidence);
        }
        (evidence != Evidence::default()).then_some(evidence)
    }

    /// Returns what the peers do not know yet of a request that was not answered, at the end of its
    /// attempt.
    pub fn report_unanswered(&self, now: Instant, request: Content) -> Option<Evidence> {
        let suspect = self.report_request(now, request)?;
        Some(Evidence { suspects: vec![suspect], ..Evidence::default() })
    }

    fn is_harmful(&self, now: Instant, request: Content) -> bool {
        self.with_repeats(|repeats| repeats.is_harmful(now, request))
    }

    /// Records the end of an upstream under its requests: all of them, or those that are known to be
    /// harmful.
    fn record_end(&self, now: Instant, crash: &Crash) {
        let mut requests: Vec<Content> =
            crash.suspects.iter().map(|suspect| suspect.request).collect();
        if requests.iter().any(|request| self.is_harmful(now, *request)) {
            requests.retain(|request| self.is_harmful(now, *request));
        }
        let (upstream, born_ms) = (crash.upstream.clone(), crash.born_ms);
        let end = repeats::End { upstream, born_ms, at: now };
        let is_free = |request: &Content| self.check_request(now, *request).is_none();
        let free: Vec<Content> = requests.iter().copied().filter(is_free).collect();
        // What speaks against one of them depends on all others.
        for request in requests {
            self.with_repeats(|repeats| repeats.record_end(now, request, end.clone()));
        }
        for request in free {
            if let Some(left) = self.check_request(now, request) {
                self.request_holds.add(1, &[]);
                warn!(
                    request:% = request,
                    millis = left.as_millis() as u64,
                    upstream:% = crash.upstream;
                    "request is kept from upstreams"
                );
            }
        }
    }

    fn report_request(&self, now: Instant, request: Content) -> Option<evidence::Suspect> {
        let suspect = self.with_repeats(|repeats| repeats.report(request))?;
        let ends = suspect.ends.into_iter().map(|end| evidence::End {
            upstream: end.upstream,
            born_ms: end.born_ms,
            age_ms: millis(now.since(end.at)),
        });
        Some(evidence::Suspect { request, ends: ends.collect() })
    }

    fn record_own_prompts(&self, now: Instant, crash: Crash, evidence: &mut Evidence) {
        let parts = all_parts(&crash);
        let (unknown, known) =
            self.with_quarantine(|q| (q.unknown(now, &parts), q.known(now, &parts)));
        self.record_crash(now, &crash);
        if !unknown.is_empty() {
            info!(upstream:% = crash.upstream, parts = parts_text(&unknown); "prompts may crash engines");
            evidence.sound = known.into_vec();
            evidence.crashes.push(crash);
        }
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
        self.apply_requests(now, evidence);
        known
    }

    /// Applies what a peer's report says of requests.
    fn apply_requests(&self, now: Instant, evidence: &Evidence) {
        for request in &evidence.answered {
            self.with_repeats(|repeats| repeats.record_answer(now, *request));
        }
        let mut new_holds = Vec::new();
        for suspect in &evidence.suspects {
            let ends = suspect.ends.iter().map(|end| repeats::End {
                upstream: end.upstream.clone(),
                born_ms: end.born_ms,
                at: now - Duration::from_millis(end.age_ms.into()),
            });
            let request = suspect.request;
            let suspect = repeats::Suspect { request, ends: ends.collect() };
            if self.with_repeats(|repeats| repeats.apply(now, &suspect)) {
                new_holds.push(request);
            }
            // The instance that saw these ends may not have listed them.
            if self.is_request_suspected(request) {
                for repeats::End { upstream, born_ms, .. } in suspect.ends {
                    self.with_trials(|trials| trials.record_end(now, request, upstream, born_ms));
                }
            }
        }
        for hold in &evidence.request_holds {
            let left = Duration::from_millis(hold.left_ms.into());
            if self.with_repeats(|repeats| repeats.hold(now, hold.request, left)) {
                new_holds.push(hold.request);
            }
        }
        for request in new_holds {
            self.request_holds.add(1, &[]);
            warn!(request:% = request; "request is kept from upstreams, as by a peer");
        }
    }

    /// Returns the reply to a peer's report that was received at a time, without the parts on which
    /// another instance has replied since.
    pub fn reply(&self, received: Instant, known: Parts) -> Option<Evidence> {
        let sound: Vec<Part> = self.with_quarantine(|quarantine| {
            known.into_iter().filter(|part| !quarantine.is_sound_since(received, *part)).collect()
        });
        (!sound.is_empty()).then(|| Evidence { sound, ..Evidence::default() })
    }

    /// Returns the prompts and requests that this instance keeps from upstreams, as a report for the
    /// peers.
    pub fn report(&self, now: Instant) -> Option<Evidence> {
        let holds = self.holds(now).into_iter().filter(|hold| hold.left > MIN_REPORTED_HOLD);
        let holds =
            holds.map(|hold| evidence::Hold { parts: hold.parts, left_ms: millis(hold.left) });
        let requests = self.request_holds(now).into_iter().take(MAX_REPORTED_HOLDS);
        let request_holds = requests
            .map(|(request, left)| evidence::RequestHold { request, left_ms: millis(left) });
        let evidence = Evidence {
            holds: holds.collect(),
            request_holds: request_holds.collect(),
            ..Evidence::default()
        };
        (evidence != Evidence::default()).then_some(evidence)
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
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
