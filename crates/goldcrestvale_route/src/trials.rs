//! Counts, over all instances, how often a request is sent that may crash upstreams.
//!
//! The ends of upstreams under requests, and the trials of such requests, are records of one log of the
//! platform, which every instance reads. Once an upstream has ended under a request, an instance sends
//! it only in a trial: the trials of a request are numbered, and the first record with a number in the
//! log is the one that may send. So the number of sends depends on no clock, and on no message between
//! instances. An answer removes the records of a request.
//!
//! From its second end on, a request is tried apart from others, so that a further end has one cause.
//! Times decide only when a trial may follow, and how long the requests of a caller wait of which
//! several crash upstreams.
//!
//! An instance that does not reach the log sends such a request once, and records the trial later. So
//! does one whose attempt has just seen the first end.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use goldcrestvale_base::{
    content::Content,
    domain,
    id::Upstream,
    time::{Instant, Wall},
};
use indexmap::IndexMap;
use smallvec::SmallVec;

/// Number of ends from which on the trials of a request are limited until it is answered.
const FINAL_ENDS: usize = 3;

/// Number of trials that follow the last of these ends in the log.
const MAX_LATE_TRIALS: usize = 2;

/// Number of trials from which on those without a result follow each other less often.
const MAX_OPEN_TRIALS: usize = 16;

/// How long a trial keeps others of the same request back, unless its upstream ends or it is answered.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// How long a request is kept back after the start of its first trial, and of each further one, if its
/// upstream has ended and others may be the cause of all ends under it.
const PAUSES: [Duration; 2] = [Duration::from_millis(1_250), Duration::from_secs(5)];

/// How long it is if it is the likely cause of one of them.
const LIKELY_PAUSE: Duration = Duration::from_secs(60);

/// How long the requests of a watched caller under which upstreams have ended are kept back after a
/// further end.
const CALLER_PAUSE: Duration = Duration::from_secs(30);

/// How long after an end a request waits that may have caused it: those beside it are answered
/// meanwhile, or found to have ended other upstreams as well.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// How long a trial that keeps others from its upstream waits until they know of it, and those that are
/// at their start there have ended it or not.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// How long ends are remembered of a request that is not in trials.
const END_MEMORY: Duration = Duration::from_secs(600);

/// How long a request in trials is remembered.
const TRIAL_MEMORY: Duration = Duration::from_secs(24 * 60 * 60);

/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 4_096;

domain! {
    value
    /// What a record of the log is about. There is one record of each key.
    pub enum Key {
        /// An upstream ended under a request.
        End {
            /// The request.
            request: Content,
            /// The upstream.
            upstream: Upstream,
            /// When this incarnation of it started, in milliseconds since the Unix epoch.
            born_ms: Option<u64>,
        },
        /// A trial of a request.
        Trial {
            /// The request.
            request: Content,
            /// Number of the trial, from 1 on.
            number: u32,
        },
        /// A trial without a claim.
        Unlisted {
            /// The request.
            request: Content,
            /// Token of the instance.
            token: u64,
        },
    }

    /// The content of a record.
    pub struct Mark {
        /// Tells it from those that others wrote of the same key.
        pub token: u64,
        /// The upstream of a trial.
        pub upstream: Option<Upstream>,
        /// When it was written, by the clock of the instance.
        pub written: Wall,
        /// Whether the trial with this token was returned unsent. Its number is not used again, so that
        /// a record which arrives late or twice concerns no other trial.
        pub is_returned: bool,
    }

    /// A record of the log.
    pub struct Record {
        /// What it is about.
        pub key: Key,
        /// Its content; `None` removes the record of the key.
        pub mark: Option<Mark>,
    }
}

impl Key {
    /// Returns the request that the record is about.
    pub fn request(&self) -> Content {
        match self {
            Self::End { request, .. }
            | Self::Trial { request, .. }
            | Self::Unlisted { request, .. } => *request,
        }
    }

    fn is_end(&self) -> bool {
        matches!(self, Self::End { .. })
    }

    /// Returns what has ended, of the record of an end.
    fn incarnation(&self) -> Option<Incarnation> {
        match self {
            Self::End { upstream, born_ms, .. } => Some((upstream.clone(), *born_ms)),
            _ => None,
        }
    }
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Free,
    /// It may be sent if this record is the first one of its key in the log.
    Claim(Record),
    /// It is kept from upstreams for this time.
    Held(Duration),
}

/// The requests under which upstreams have ended, and their trials.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{content::Content, time::{Instant, Wall}};
/// use goldcrestvale_route::trials::{Admission, Trials};
///
/// let (request, now) = (Content(1), Instant(0));
/// let mut first = Trials::new(1);
/// let mut second = Trials::new(2);
/// first.record_end(now, request, "desk-1".parse()?, None);
/// for record in first.take_ends(request) {
///     second.apply(now, &record);
/// }
/// // Both may claim the trial; the first record in the log grants it.
/// let third = "desk-3".parse()?;
/// let Admission::Claim(claim) = first.admit(now, Wall(0), request, &third) else { panic!() };
/// let Admission::Claim(late) = second.admit(now, Wall(0), request, &third) else { panic!() };
/// for record in [&claim, &late] {
///     first.apply(now, record);
///     second.apply(now, record);
/// }
/// assert_eq!(first.is_granted(&claim), Some(true));
/// assert_eq!(second.is_granted(&late), Some(false));
/// assert!(matches!(second.admit(now, Wall(0), request, &third), Admission::Held(_)));
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct Trials {
    token: u64,
    /// Number of claims of this instance so far.
    claims: u64,
    /// Number of records that were added so far.
    added: u64,
    /// The oldest first.
    requests: IndexMap<Content, SmallVec<[Entry; 4]>>,
    /// The requests without an answer since this incarnation of an upstream ended under them.
    causes: HashMap<Incarnation, SmallVec<[Content; 4]>>,
}

/// An upstream, and when it started.
type Incarnation = (Upstream, Option<u64>);

/// A record that counts.
#[derive(Debug, Clone)]
struct Entry {
    key: Key,
    mark: Mark,
    /// Position among the records that were added.
    position: u64,
    /// When this instance learned of it.
    since: Instant,
    state: State,
    /// Whether no earlier record of its key can be missing.
    is_first: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Known to this instance only.
    Own,
    /// On its way to the log.
    Sent,
    /// In the log.
    Listed,
}

impl Trials {
    /// Creates a state that knows nothing; the token tells the records of this instance from those of
    /// others.
    pub fn new(token: u64) -> Self {
        Self { token, claims: 0, added: 0, requests: IndexMap::new(), causes: HashMap::new() }
    }

    /// Records that an upstream has ended under a request of this instance.
    pub fn record_end(
        &mut self,
        now: Instant,
        request: Content,
        upstream: Upstream,
        born_ms: Option<u64>,
    ) {
        let key = Key::End { request, upstream, born_ms };
        let mark = Mark { token: self.token, upstream: None, written: Wall(0), is_returned: false };
        self.insert(now, key, mark, State::Own);
    }

    /// Returns the records of the ends that are to be appended to the log, and takes them as sent.
    pub fn take_ends(&mut self, request: Content) -> Vec<Record> {
        let entries = self.requests.get_mut(&request).into_iter().flatten();
        let own = entries.filter(|entry| entry.key.is_end() && entry.state == State::Own);
        own.map(|entry| {
            entry.state = State::Sent;
            entry.record()
        })
        .collect()
    }

    /// Returns the number of ends that are known of a request.
    pub fn end_count(&self, request: Content) -> usize {
        self.entries(request).iter().filter(|entry| entry.key.is_end()).count()
    }

    /// Returns whether a request is sent in trials only.
    pub fn is_in_trials(&self, request: Content) -> bool {
        self.end_count(request) > 0
    }

    /// Returns whether each trial of a request counts, also one that its upstream rejects.
    pub fn is_limited(&self, request: Content) -> bool {
        self.end_count(request) >= FINAL_ENDS
    }

    /// Returns the number of trials that are known of a request.
    pub fn trial_count(&self, request: Content) -> usize {
        self.entries(request).iter().filter(|entry| entry.is_trial()).count()
    }

    /// Returns whether a request may be sent to an upstream.
    pub fn admit(
        &mut self,
        now: Instant,
        written: Wall,
        request: Content,
        upstream: &Upstream,
    ) -> Admission {
        if !self.is_in_trials(request) {
            return Admission::Free;
        }
        if let Some(left) = self.check(now, request) {
            return Admission::Held(left);
        }
        let is_known = |key: &Key| self.entries(request).iter().any(|entry| entry.key == *key);
        let mut key = Key::Trial { request, number: 1 };
        while let Key::Trial { number, .. } = &mut key
            && is_known(&Key::Trial { request, number: *number })
        {
            *number += 1;
        }
        // Several attempts of this instance may claim the same trial.
        self.claims += 1;
        let token = self.token.wrapping_add(self.claims);
        let mark = Mark { token, upstream: Some(upstream.clone()), written, is_returned: false };
        Admission::Claim(Record { key, mark: Some(mark) })
    }

    /// Returns how long a request is kept from upstreams because of its trials, if it is.
    pub fn check(&self, now: Instant, request: Content) -> Option<Duration> {
        if !self.is_in_trials(request) {
            return None;
        }
        let until = self.held_until(now, request, None)?;
        (until > now).then(|| until.since(now))
    }

    /// Returns how long the request of a granted claim is kept back by what stands before it in the log.
    pub fn check_claim(&self, now: Instant, claim: &Record) -> Option<Duration> {
        let until = self.held_until(now, claim.key.request(), Some(&claim.key))?;
        (until > now).then(|| until.since(now))
    }

    /// Returns until when a request is kept back by its ends and its trials, apart from that of a key.
    fn held_until(&self, now: Instant, request: Content, except: Option<&Key>) -> Option<Instant> {
        let entries = self.entries(request);
        let is_trial = |entry: &&Entry| entry.is_trial() && Some(&entry.key) != except;
        let trials = || entries.iter().filter(is_trial);
        let last_trial = trials().max_by_key(|entry| entry.position);
        let count = trials().count();
        let ends = entries.iter().filter(|entry| entry.key.is_end());
        let last_end = ends.map(|end| end.since).max()?;
        if let Some(final_end) = self.final_end(request) {
            let late = trials().filter(|trial| trial.position > final_end.position).count();
            // An end that was not known when the request was sent counts like a trial.
            if late.max(self.end_count(request) - FINAL_ENDS) >= MAX_LATE_TRIALS {
                let last = last_trial.map_or(last_end, |trial| trial.since.max(last_end));
                return Some(last + TRIAL_MEMORY);
            }
        }
        let has_repeats = self.end_count(request) > 1;
        let weighed_at = last_end + ANSWER_TIME;
        if has_repeats && now >= weighed_at && self.is_likely(request) {
            let last = last_trial.map_or(last_end, |trial| trial.since.max(last_end));
            return Some(last + LIKELY_PAUSE);
        }
        let after_end = has_repeats.then_some(weighed_at).max(self.caller_held_until(request));
        let after_trial = last_trial.map(|trial| {
            let pause = match self.end_of(trial) {
                None if count >= MAX_OPEN_TRIALS => LIKELY_PAUSE,
                None => TRIAL_TIME,
                Some(_) => PAUSES[count.min(PAUSES.len()) - 1],
            };
            trial.since + pause
        });
        after_end.max(after_trial)
    }

    /// Returns the end after which the trials of a request are limited.
    fn final_end(&self, request: Content) -> Option<&Entry> {
        let ends = self.entries(request).iter().filter(|entry| entry.key.is_end());
        let mut ends: SmallVec<[&Entry; 8]> = ends.collect();
        ends.sort_unstable_by_key(|end| end.position);
        ends.get(FINAL_ENDS - 1).copied()
    }

    /// Returns whether a request is the likely cause of an end: no other one without an answer has ended
    /// that upstream and another one.
    fn is_likely(&self, request: Content) -> bool {
        let is_other = |other: &Content| *other != request && self.end_count(*other) > 1;
        let mut ended = self.entries(request).iter().filter_map(|entry| entry.key.incarnation());
        ended.any(|ended| !self.causes.get(&ended).into_iter().flatten().any(is_other))
    }

    /// Returns whether a caller is known to send requests that crash upstreams.
    fn is_watched(&self, caller: u16) -> bool {
        self.watched_callers().contains(&caller)
    }

    /// Returns the callers that are known to send requests that crash upstreams: one of them is the
    /// likely cause of several ends, and `FINAL_ENDS` upstreams have ended under all of theirs.
    fn watched_callers(&self) -> SmallVec<[u16; 4]> {
        let likely = |request: &Content| self.end_count(*request) > 1 && self.is_likely(*request);
        let mut callers: HashMap<u16, HashSet<Incarnation>> = HashMap::new();
        for request in self.requests.keys().copied().filter(likely) {
            callers.entry(request.caller()).or_default();
        }
        for (ended, causes) in &self.causes {
            for request in causes {
                if let Some(all) = callers.get_mut(&request.caller()) {
                    all.insert(ended.clone());
                }
            }
        }
        let is_watched = |(_, all): &(u16, HashSet<Incarnation>)| all.len() >= FINAL_ENDS;
        callers.into_iter().filter(is_watched).map(|(caller, _)| caller).collect()
    }

    /// Returns until when the requests of a watched caller are kept back under which upstreams have
    /// ended.
    fn caller_held_until(&self, request: Content) -> Option<Instant> {
        if !self.is_watched(request.caller()) {
            return None;
        }
        let requests = self.requests.iter().filter(|(other, _)| other.caller() == request.caller());
        let ends = requests.flat_map(|(_, entries)| entries).filter(|entry| entry.key.is_end());
        Some(ends.map(|end| end.since).max()? + CALLER_PAUSE)
    }

    /// Returns whether the trials of a request keep others from its upstream, so that its end has one
    /// cause.
    pub fn is_apart(&self, request: Content) -> bool {
        self.end_count(request) > 0 && self.is_apart_with(&self.watched_callers(), request)
    }

    fn is_apart_with(&self, watched: &[u16], request: Content) -> bool {
        match self.end_count(request) {
            0 => false,
            1 => watched.contains(&request.caller()),
            _ => true,
        }
    }

    /// Returns whether a claim is the first record of its key in the log, once the log is read up to
    /// it. One that is only known from a listing is not granted, as earlier records may be missing.
    pub fn is_granted(&self, claim: &Record) -> Option<bool> {
        let entries = self.entries(claim.key.request());
        let entry = entries.iter().find(|entry| entry.key == claim.key)?;
        let is_same = claim.mark.as_ref().is_some_and(|mark| mark.token == entry.mark.token);
        Some(is_same && entry.is_first)
    }

    /// Returns a granted claim whose request was not sent; the record says so to all instances.
    pub fn return_claim(&mut self, now: Instant, mut claim: Record) -> Record {
        if let Some(mark) = &mut claim.mark {
            mark.is_returned = true;
        }
        self.apply(now, &claim);
        claim
    }

    /// Returns whether an attempt that has just seen the first end of a request may go on in a trial
    /// that is recorded later.
    pub fn may_go_on(&self, request: Content) -> bool {
        self.end_count(request) == 1
            && self.trial_count(request) == 0
            && !self.is_watched(request.caller())
    }

    /// Starts a trial without a claim; returns whether it may. Each request has one such trial of an
    /// instance until it is answered.
    pub fn start_unlisted(&mut self, now: Instant, request: Content, upstream: &Upstream) -> bool {
        let key = Key::Unlisted { request, token: self.token };
        let is_known = self.entries(request).iter().any(|entry| entry.key == key);
        if is_known || self.check(now, request).is_some() {
            return false;
        }
        let token = self.token;
        let (upstream, written) = (Some(upstream.clone()), Wall(0));
        let mark = Mark { token, upstream, written, is_returned: false };
        self.insert(now, key, mark, State::Own);
        true
    }

    /// Returns the records of such trials that are to be appended to the log, and takes them as sent.
    pub fn take_unlisted(&mut self) -> Vec<Record> {
        let entries = self.requests.values_mut().flatten();
        let own = entries.filter(|entry| entry.is_trial() && entry.state == State::Own);
        own.map(|entry| {
            entry.state = State::Sent;
            entry.record()
        })
        .collect()
    }

    /// Returns the upstreams on which other requests are in trials after several ends. A request that is
    /// sent to another upstream cannot be the cause if such a trial ends its upstream.
    pub fn busy(&self, now: Instant, except: Content) -> Vec<Upstream> {
        let watched = self.watched_callers();
        let is_other =
            |request: &&Content| **request != except && self.is_apart_with(&watched, **request);
        let others = self.requests.keys().filter(is_other);
        let trials = others.filter_map(|request| self.running_trial(now, *request));
        trials.filter_map(|trial| trial.mark.upstream.clone()).collect()
    }

    /// Returns whether a granted claim has to wait for one that was granted before it: the trials of one
    /// of the two requests keep others from the upstream of both.
    pub fn must_wait(&self, now: Instant, claim: &Record) -> bool {
        let request = claim.key.request();
        let own = self.entries(request).iter().find(|entry| entry.key == claim.key);
        let Some(own) = own else { return false };
        let watched = self.watched_callers();
        let is_apart = self.is_apart_with(&watched, request);
        if is_apart && now.since(own.since) < SETTLE_TIME {
            return true;
        }
        let others = self.requests.keys().copied().filter(|other| *other != request);
        others.filter(|other| is_apart || self.is_apart_with(&watched, *other)).any(|other| {
            self.running_trial(now, other).is_some_and(|trial| {
                trial.position < own.position && trial.mark.upstream == own.mark.upstream
            })
        })
    }

    fn running_trial(&self, now: Instant, request: Content) -> Option<&Entry> {
        let trial = self.last_trial(request)?;
        (now.since(trial.since) < TRIAL_TIME && self.end_of(trial).is_none()).then_some(trial)
    }

    /// Records that a request was answered; returns the records that remove it from the log.
    pub fn record_answer(&mut self, request: Content) -> Vec<Record> {
        let entries = self.remove_request(request);
        let known = entries.into_iter().filter(|entry| entry.state != State::Own);
        known.map(|entry| Record { key: entry.key, mark: None }).collect()
    }

    /// Applies a record of the log, in its order.
    pub fn apply(&mut self, now: Instant, record: &Record) {
        match &record.mark {
            Some(mark) => self.insert(now, record.key.clone(), mark.clone(), State::Listed),
            None => self.remove(&record.key),
        }
    }

    /// Replaces what is known of the log by the newest record of each key, in the order of the log.
    pub fn reset(&mut self, now: Instant, records: &[Record]) {
        let known = std::mem::take(&mut self.requests);
        self.causes.clear();
        for record in records {
            self.apply(now, record);
        }
        self.requests.values_mut().flatten().for_each(|entry| entry.is_first = false);
        for entry in known.into_values().flatten() {
            let entries = self.requests.get_mut(&entry.key.request()).into_iter().flatten();
            match entries.into_iter().find(|listed| listed.key == entry.key) {
                Some(listed) if entry.state == State::Listed => {
                    let is_same = listed.mark.token == entry.mark.token;
                    let is_returned = is_same && listed.mark.is_returned;
                    let position = listed.position;
                    *listed = Entry { position, ..entry };
                    listed.mark.is_returned |= is_returned;
                }
                Some(listed) => listed.since = entry.since,
                None if entry.state == State::Listed => {}
                None => self.insert(entry.since, entry.key, entry.mark, entry.state),
            }
        }
    }

    /// Returns the records that remove requests from the log which no longer count.
    pub fn expired(&self, wall: Wall) -> Vec<Record> {
        let is_expired = |(request, entries): &(&Content, &SmallVec<[Entry; 4]>)| {
            let written = entries.iter().map(|entry| entry.mark.written).max();
            let memory = match self.trial_count(**request) {
                0 => END_MEMORY,
                _ => TRIAL_MEMORY,
            };
            written.is_some_and(|written| wall.since(written) >= memory)
        };
        let expired = self.requests.iter().filter(is_expired).flat_map(|(_, entries)| entries);
        let listed = expired.filter(|entry| entry.state == State::Listed);
        listed.map(|entry| Record { key: entry.key.clone(), mark: None }).collect()
    }

    /// Removes what only this instance knows and no longer counts.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_expired =
            |entry: &&Entry| entry.state == State::Own && now.since(entry.since) >= END_MEMORY;
        let expired = self.requests.values().flatten().filter(is_expired);
        let expired: Vec<Key> = expired.map(|entry| entry.key.clone()).collect();
        expired.iter().for_each(|key| self.remove(key));
    }

    fn entries(&self, request: Content) -> &[Entry] {
        self.requests.get(&request).map_or(&[], SmallVec::as_slice)
    }

    fn last_trial(&self, request: Content) -> Option<&Entry> {
        let trials = self.entries(request).iter().filter(|entry| entry.is_trial());
        trials.max_by_key(|entry| entry.position)
    }

    /// Returns the end of the upstream of a trial under its request.
    fn end_of(&self, trial: &Entry) -> Option<&Entry> {
        self.entries(trial.key.request()).iter().find(|entry| match &entry.key {
            Key::End { upstream, .. } => {
                trial.mark.upstream.as_ref() == Some(upstream) && entry.since >= trial.since
            }
            _ => false,
        })
    }

    fn insert(&mut self, now: Instant, key: Key, mark: Mark, state: State) {
        let request = key.request();
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            self.forget_one();
        }
        self.added += 1;
        let position = self.added;
        let entries = self.requests.entry(request).or_default();
        match entries.iter_mut().find(|entry| entry.key == key) {
            // The first record of a key counts, and the return of that one.
            Some(entry) if state == State::Listed => {
                entry.state = state;
                entry.mark.is_returned |= mark.is_returned && mark.token == entry.mark.token;
            }
            Some(_) => {}
            None => {
                if let Some(ended) = key.incarnation() {
                    self.causes.entry(ended).or_default().push(request);
                }
                entries.push(Entry { key, mark, position, since: now, state, is_first: true });
            }
        }
    }

    fn remove(&mut self, key: &Key) {
        let request = key.request();
        let Some(entries) = self.requests.get_mut(&request) else { return };
        let Some(index) = entries.iter().position(|entry| entry.key == *key) else { return };
        entries.remove(index);
        if entries.is_empty() {
            self.requests.shift_remove(&request);
        }
        self.remove_cause(key);
    }

    /// Removes a request with its entries, and returns them.
    fn remove_request(&mut self, request: Content) -> SmallVec<[Entry; 4]> {
        let entries = self.requests.shift_remove(&request).unwrap_or_default();
        entries.iter().for_each(|entry| self.remove_cause(&entry.key));
        entries
    }

    /// Removes the request of a record from the possible causes of its end.
    fn remove_cause(&mut self, key: &Key) {
        let Some(ended) = key.incarnation() else { return };
        if let Some(causes) = self.causes.get_mut(&ended) {
            causes.retain(|cause| *cause != key.request());
            if causes.is_empty() {
                self.causes.remove(&ended);
            }
        }
    }

    /// Forgets the oldest request without a trial, or the oldest one.
    fn forget_one(&mut self) {
        let is_spare = |request: &Content| self.trial_count(*request) == 0;
        let spare = self.requests.keys().find(|request| is_spare(request));
        let oldest = spare.or_else(|| self.requests.keys().next()).copied();
        oldest.map(|request| self.remove_request(request));
    }
}

impl Entry {
    /// Returns whether it is a trial that counts.
    fn is_trial(&self) -> bool {
        !self.key.is_end() && !self.mark.is_returned
    }

    fn record(&self) -> Record {
        Record { key: self.key.clone(), mark: Some(self.mark.clone()) }
    }
}
