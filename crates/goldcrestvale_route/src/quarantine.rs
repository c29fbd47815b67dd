//! Keeps prompts from engines if a part of them crashes every engine that writes an answer on it.
//!
//! An engine that ends takes many streams with it, most of them sound. Only those at their start
//! can be the cause, and of these only prompts with a part on which no engine has written an answer
//! yet. A part that such streams share on several engines is kept away from all engines.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use goldcrestvale_base::{
    content::Content,
    crash::{Crash, Progress, Suspect},
    id::Upstream,
    prompt::{Part, Parts},
    time::Instant,
};

/// How long prompts are kept from engines. After that one request shows whether they still crash
/// them.
const DURATION: Duration = Duration::from_secs(600);

/// How long prompts are kept from engines at first if it is not certain which part is harmful: long
/// enough for an answer on the others.
const UNCERTAIN_DURATION: Duration = Duration::from_secs(5);

/// How long a crash is taken into account.
const CRASH_MEMORY: Duration = Duration::from_secs(60);

/// How long a part counts as sound after an answer on it. Longer than any outage, since after one
/// nothing else tells the parts that all prompts share from a harmful one.
const SOUND_MEMORY: Duration = Duration::from_secs(600);

/// How long after an answer on a part a peer's report that the part is harmful is ignored.
const RECENT_ANSWER: Duration = Duration::from_secs(5);

/// Maximum number of sound parts that are remembered; those without an answer for the longest time
/// are forgotten first.
const MAX_SOUND: usize = 16_384;

/// Maximum number of parts under suspicion.
const MAX_SUSPECTED: usize = 4_096;

/// Maximum number of groups of prompts that are kept from engines.
const MAX_GROUPS: usize = 1_024;

/// Score from which a part without an answer is kept from engines: two engines that ended when the
/// answer began.
const THRESHOLD: f64 = 2.0;

/// Score from which a part is kept from engines although there were answers on it, none of them
/// since these crashes.
const SOUND_THRESHOLD: f64 = 5.0;

/// Time over which these crashes must be spread. Many engines that end at once are one failure, and
/// a sound part is answered by others meanwhile.
const SOUND_SPAN: Duration = Duration::from_secs(1);

/// Score of a crash for a request that had no answer yet: it may only have been waiting.
const WAITING_SCORE: f64 = 0.5;

/// Minimum number of different requests under which engines ended before a part counts as harmful.
const MIN_REQUESTS: usize = 2;

/// Which prompt parts crash engines, as far as an instance and its peers know it.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{
///     content::Content,
///     crash::{Crash, Progress, Suspect},
///     prompt::Part,
///     time::Instant,
/// };
/// use goldcrestvale_route::quarantine::Quarantine;
///
/// let (shared, harmful) = (Part(1), Part(2));
/// let mut quarantine = Quarantine::default();
/// quarantine.record_sound(Instant(0), &[shared]);
/// for (request, engine) in ["engine-1", "engine-2"].into_iter().enumerate() {
///     let suspect = Suspect {
///         request: Content(request as u64),
///         parts: [shared, harmful].into_iter().collect(),
///         progress: Progress::Begun,
///     };
///     let crash = Crash { upstream: engine.parse()?, born_ms: None, suspects: vec![suspect] };
///     quarantine.record_crash(Instant(1), &crash);
/// }
/// assert!(quarantine.check(Instant(2), &[shared, harmful]).is_some());
/// assert!(quarantine.check(Instant(2), &[shared]).is_none());
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    /// Parts on which answers were written, by the time of the last one.
    sound: HashMap<Part, Instant>,
    suspected: HashMap<Part, Vec<Observation>>,
    /// Prompts that are kept from engines, or were until a moment ago.
    groups: Vec<Group>,
}

/// Prompts with all of these parts are kept from engines.
///
/// As long as there was no answer on several parts that harmful prompts share, any of them may be
/// the harmful one. Prompts with only some of them are let through, and answers on these show which
/// parts are sound.
#[derive(Debug, Clone)]
struct Group {
    parts: Parts,
    until: Instant,
    /// How long another crash keeps them back.
    duration: Duration,
}

/// A request with a part that was at its start on an engine when the engine ended.
#[derive(Debug, Clone)]
struct Observation {
    upstream: Upstream,
    born_ms: Option<u64>,
    request: Content,
    progress: Progress,
    at: Instant,
}

/// Prompts that are kept from engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// The parts that all of them have.
    pub parts: Parts,
    /// How long they are still kept from engines.
    pub left: Duration,
}

impl Quarantine {
    /// Records that an engine wrote an answer on a prompt with these parts; returns those that were
    /// under suspicion or kept prompts from engines.
    pub fn record_sound(&mut self, now: Instant, parts: &[Part]) -> Parts {
        let mut cleared = Parts::new();
        for part in parts {
            self.sound.insert(*part, now);
            let was_suspected = self.suspected.remove(part).is_some();
            if self.release(*part) || was_suspected {
                cleared.push(*part);
            }
        }
        self.limit_sound();
        cleared
    }

    /// Removes a sound part from the groups; returns whether it was in one.
    fn release(&mut self, part: Part) -> bool {
        let is_member = |group: &Group| group.parts.contains(&part);
        let was_held = self.groups.iter().any(is_member);
        for group in &mut self.groups {
            group.parts.retain(|member| *member != part);
        }
        self.groups.retain(|group| !group.parts.is_empty());
        was_held
    }

    /// Records the end of an engine; returns the prompts that are kept from engines because of it.
    pub fn record_crash(&mut self, now: Instant, crash: &Crash) -> Vec<Hold> {
        // A prompt that is known to be harmful was still in progress, and explains the crash.
        if crash.suspects.iter().any(|suspect| self.is_known_harmful(&suspect.parts)) {
            crash.suspects.iter().for_each(|suspect| self.extend(now, &suspect.parts));
            return Vec::new();
        }
        for suspect in &crash.suspects {
            for part in self.possible_causes(now, suspect) {
                self.observe(now, crash, suspect, part);
            }
        }
        let mut holds = Vec::new();
        for suspect in &crash.suspects {
            let causes = self.possible_causes(now, suspect);
            let parts: Parts =
                causes.into_iter().filter(|part| self.is_harmful(now, *part)).collect();
            if parts.is_empty() || self.check(now, &suspect.parts).is_some() {
                continue;
            }
            // Without an answer on any part, the harmful one is not told from those that all share.
            let has_sound = suspect.parts.iter().any(|part| self.is_sound(now, *part));
            let is_certain = parts.len() == 1 && has_sound;
            let left = if is_certain { DURATION } else { UNCERTAIN_DURATION };
            self.groups.push(Group { parts: parts.clone(), until: now + left, duration: left });
            holds.push(Hold { parts, left });
        }
        holds
    }

    /// Returns whether prompts with these parts are kept from engines, or were lately.
    fn is_known_harmful(&self, parts: &[Part]) -> bool {
        self.groups.iter().any(|group| group.is_in(parts))
    }

    /// Keeps prompts from engines again, after another crash under one of them.
    fn extend(&mut self, now: Instant, parts: &[Part]) {
        for group in self.groups.iter_mut().filter(|group| group.is_in(parts)) {
            // A request that was in progress when the prompts were first kept back shows nothing new.
            if group.until <= now {
                // The prompt consists of these parts alone, so one of them is harmful.
                let is_whole = parts.len() == group.parts.len();
                group.until = now + if is_whole { DURATION } else { group.duration };
            }
        }
    }

    /// Returns the parts of a prompt on which no answer is known.
    pub fn unknown(&self, now: Instant, parts: &[Part]) -> Parts {
        parts.iter().copied().filter(|part| !self.is_sound(now, *part)).collect()
    }

    /// Returns the parts of a prompt on which an answer is known.
    pub fn known(&self, now: Instant, parts: &[Part]) -> Parts {
        parts.iter().copied().filter(|part| self.is_sound(now, *part)).collect()
    }

    /// Returns whether an answer on a part was recorded at or after a time.
    pub fn is_sound_since(&self, since: Instant, part: Part) -> bool {
        self.sound.get(&part).is_some_and(|at| *at >= since)
    }

    /// Returns what keeps a prompt from engines, if anything does.
    pub fn check(&self, now: Instant, parts: &[Part]) -> Option<Hold> {
        let mut active = self.groups.iter().filter(|group| group.until > now);
        active.find(|group| group.is_in(parts)).map(|group| group.hold(now))
    }

    /// Returns whether an answer had begun on a prompt with one of these parts when an engine
    /// ended, and no answer is known on that part. Such a request is not sent to a second engine.
    pub fn is_suspected(&self, now: Instant, parts: &[Part]) -> bool {
        self.unknown(now, parts).iter().any(|part| {
            let observations = self.suspected.get(part).into_iter().flatten();
            observations
                .filter(|observation| observation.counts(now))
                .any(|c| c.progress == Progress::Begun)
        })
    }

    /// Returns how many engines have ended when they began to answer one request.
    pub fn engines_ended(&self, now: Instant, request: Content, parts: &[Part]) -> usize {
        let engines = |part: &Part| {
            let observations = self.suspected.get(part).into_iter().flatten();
            let own = observations
                .filter(|c| c.counts(now) && c.request == request && c.progress == Progress::Begun);
            own.map(|observation| (&observation.upstream, observation.born_ms))
                .collect::<HashSet<_>>()
                .len()
        };
        self.unknown(now, parts).iter().map(engines).max().unwrap_or_default()
    }

    /// Returns the prompts that are kept from engines.
    pub fn holds(&self, now: Instant) -> Vec<Hold> {
        let active = self.groups.iter().filter(|group| group.until > now);
        active.map(|group| group.hold(now)).collect()
    }

    /// Keeps prompts from engines that a peer keeps from them, except for parts on which an answer
    /// was recorded a moment ago; returns whether they are new here.
    pub fn hold(&mut self, now: Instant, hold: &Hold) -> bool {
        let is_recent = |part: &Part| self.is_sound_since(now - RECENT_ANSWER, *part);
        let parts: Parts = hold.parts.iter().copied().filter(|part| !is_recent(part)).collect();
        if parts.is_empty() || self.groups.len() >= MAX_GROUPS {
            return false;
        }
        let left = hold.left.min(DURATION);
        let until = now + left;
        if let Some(group) = self.groups.iter_mut().find(|group| group.parts == parts) {
            let is_new = group.until <= now;
            group.until = group.until.max(until);
            return is_new;
        }
        let is_new = self.check(now, &parts).is_none();
        if is_new {
            self.groups.push(Group { parts, until, duration: left });
        }
        is_new
    }

    /// Removes what no longer counts.
    pub fn remove_expired(&mut self, now: Instant) {
        self.groups.retain(|group| now.since(group.until) < CRASH_MEMORY);
        self.suspected.retain(|_, observations| {
            observations.retain(|observation| observation.counts(now));
            !observations.is_empty()
        });
    }

    /// Returns the parts of a suspect that may have caused the crash: those without an answer, or
    /// all of them if there was one on each.
    fn possible_causes(&self, now: Instant, suspect: &Suspect) -> Parts {
        let unknown = self.unknown(now, &suspect.parts);
        match unknown.is_empty() && suspect.progress == Progress::Begun {
            true => suspect.parts.clone(),
            false => unknown,
        }
    }

    /// Forgets the half with the oldest answers once there are too many sound parts.
    fn limit_sound(&mut self) {
        if self.sound.len() <= MAX_SOUND {
            return;
        }
        let mut times: Vec<Instant> = self.sound.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_SOUND / 2);
        let median = *median;
        self.sound.retain(|_, at| *at > median);
    }

    fn observe(&mut self, now: Instant, crash: &Crash, suspect: &Suspect, part: Part) {
        if self.suspected.len() >= MAX_SUSPECTED && !self.suspected.contains_key(&part) {
            return;
        }
        let observations = self.suspected.entry(part).or_default();
        observations.retain(|observation| observation.counts(now));
        let is_known = |observation: &Observation| {
            observation.is_of(crash)
                && observation.request == suspect.request
                && observation.progress >= suspect.progress
        };
        if !observations.iter().any(is_known) {
            observations.push(Observation {
                upstream: crash.upstream.clone(),
                born_ms: crash.born_ms,
                request: suspect.request,
                progress: suspect.progress,
                at: now,
            });
        }
    }

    fn is_harmful(&self, now: Instant, part: Part) -> bool {
        let Some(observations) = self.suspected.get(&part) else { return false };
        let mut engines: HashMap<(&Upstream, Option<u64>), Progress> = HashMap::new();
        for observation in observations {
            let progress = engines
                .entry((&observation.upstream, observation.born_ms))
                .or_insert(observation.progress);
            *progress = observation.progress.max(*progress);
        }
        let score: f64 = engines.values().map(|progress| score(*progress)).sum();
        let requests: HashSet<Content> =
            observations.iter().map(|observation| observation.request).collect();
        let first = observations.iter().map(|observation| observation.at).min().unwrap_or(now);
        let is_enough = match self.is_sound(now, part) {
            true => score >= SOUND_THRESHOLD && now.since(first) >= SOUND_SPAN,
            false => score >= THRESHOLD,
        };
        requests.len() >= MIN_REQUESTS && is_enough
    }

    fn is_sound(&self, now: Instant, part: Part) -> bool {
        self.sound.get(&part).is_some_and(|at| now.since(*at) < SOUND_MEMORY)
    }
}

impl Group {
    fn is_in(&self, parts: &[Part]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    fn hold(&self, now: Instant) -> Hold {
        Hold { parts: self.parts.clone(), left: self.until.since(now) }
    }
}

impl Observation {
    fn counts(&self, now: Instant) -> bool {
        now.since(self.at) < CRASH_MEMORY
    }

    fn is_of(&self, crash: &Crash) -> bool {
        self.upstream == crash.upstream && self.born_ms == crash.born_ms
    }
}

fn score(progress: Progress) -> f64 {
    match progress {
        Progress::Waiting => WAITING_SCORE,
        Progress::Begun => 1.0,
    }
}
