//! Keeps a request from upstreams if each upstream that ran it has ended.
//!
//! An upstream that ends takes sound requests with it as well. A request is given up if it was in
//! progress on several upstreams that ended one after the other and was never answered since. It
//! counts as the cause for certain if nothing else unanswered was in progress on one of them;
//! otherwise it is kept back for a moment only, until the others were answered or a fourth one has ended.

use std::{collections::HashMap, time::Duration};

use goldcrestvale_base::{content::Content, domain, id::Upstream, time::Instant};
use indexmap::IndexMap;
use smallvec::SmallVec;

/// How long the end of an upstream under a request is remembered.
const MEMORY: Duration = Duration::from_secs(600);

/// How long a request is kept back that is the only possible cause of two ends.
const SECOND_DURATION: Duration = Duration::from_secs(60);

/// How long a request is kept back that is the only possible cause of more ends.
const DURATION: Duration = Duration::from_secs(600);

/// How long a request is kept back after two ends of which others may be the cause as well.
const UNCERTAIN_DURATION: Duration = Duration::from_millis(1_250);

/// How long it is after three such ends. After that several instances may try it at the same moment,
/// so a fourth end keeps it back for the full time.
const THIRD_DURATION: Duration = Duration::from_secs(5);

/// Minimum time between the first and the last end: upstreams that end at the same moment have
/// another cause in common.
const MIN_SPREAD: Duration = Duration::from_millis(20);

/// Number of ends that show a request to be harmful even beside others.
const CERTAIN_ENDS: usize = 3;

/// Minimum time between the first and the last of these ends if the request was answered before.
const SOUND_SPREAD: Duration = Duration::from_secs(1);

/// How long an answered request counts as sound.
const SOUND_MEMORY: Duration = Duration::from_secs(600);

/// How long after an answer a peer's report that the request is kept back is ignored.
const RECENT_ANSWER: Duration = Duration::from_secs(5);

/// Maximum number of answered requests that are remembered.
const MAX_SOUND: usize = 16_384;

/// Maximum number of requests under suspicion.
const MAX_SUSPECTED: usize = 4_096;

/// Maximum number of requests that are kept back because peers do.
const MAX_HELD: usize = 1_024;

domain! {
    value
    /// The end of an upstream under a request.
    pub struct End {
        /// The upstream.
        pub upstream: Upstream,
        /// When this incarnation of it started, in milliseconds since the Unix epoch.
        pub born_ms: Option<u64>,
        /// When it ended.
        pub at: Instant,
    }

    /// A request under suspicion.
    pub struct Suspect {
        /// The request.
        pub request: Content,
        /// The ends of upstreams under it since it was last answered.
        pub ends: Vec<End>,
    }
}

impl End {
    fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.born_ms == other.born_ms
    }
}

/// Which requests crash upstreams, as far as an instance and its peers know it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::{content::Content, time::Instant};
/// use goldcrestvale_route::repeats::{End, Repeats};
///
/// let harmful = Content::of(&[b"family", b"/book/1"]);
/// let mut repeats = Repeats::default();
/// let start = Instant(0);
/// for (number, upstream) in ["desk-1", "desk-2"].into_iter().enumerate() {
///     let at = start + Duration::from_millis(50) * number as u32;
///     let end = End { upstream: upstream.parse()?, born_ms: None, at };
///     repeats.record_end(at, harmful, end);
/// }
/// let now = start + Duration::from_millis(60);
/// assert!(repeats.check(now, harmful).is_some());
/// assert!(repeats.check(now, Content::of(&[b"family", b"/book/2"])).is_none());
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Repeats {
    /// Requests without an answer since upstreams ended under them; the oldest suspicion first.
    suspected: IndexMap<Content, Suspicion>,
    /// Requests that were answered, by the time of the last answer.
    sound: HashMap<Content, Instant>,
    /// Requests that peers keep back, and until when.
    held: HashMap<Content, Instant>,
}

#[derive(Debug, Clone, Default)]
struct Suspicion {
    ends: SmallVec<[End; 2]>,
    /// Number of these ends that the peers know of.
    shared: usize,
}

/// How much speaks against a request.
#[derive(Debug, Clone, Copy)]
struct Verdict {
    ends: usize,
    /// Whether it is the only possible cause of one of them.
    is_alone: bool,
    last: Instant,
}

impl Verdict {
    fn is_certain(&self) -> bool {
        self.is_alone || self.ends >= CERTAIN_ENDS
    }

    fn until(&self) -> Instant {
        let duration = match (self.is_alone, self.ends) {
            (true, 2) => SECOND_DURATION,
            (true, _) => DURATION,
            (false, 2) => UNCERTAIN_DURATION,
            (false, 3) => THIRD_DURATION,
            (false, _) => DURATION,
        };
        self.last + duration
    }
}

impl Repeats {
    /// Records that an upstream ended under a request.
    pub fn record_end(&mut self, now: Instant, request: Content, end: End) {
        if now.since(end.at) >= MEMORY {
            return;
        }
        // An answer that came after this end has cleared the request of it.
        if self.sound.get(&request).is_some_and(|answered| *answered > end.at) {
            return;
        }
        if self.suspected.len() >= MAX_SUSPECTED && !self.suspected.contains_key(&request) {
            self.suspected.drain(..MAX_SUSPECTED / 2);
        }
        let ends = &mut self.suspected.entry(request).or_default().ends;
        ends.retain(|end| now.since(end.at) < MEMORY);
        if !ends.iter().any(|known| known.is_same(&end)) {
            ends.push(end);
        }
    }

    /// Records that a request was answered; returns whether it was under suspicion among the peers.
    pub fn record_answer(&mut self, now: Instant, request: Content) -> bool {
        if self.sound.len() >= MAX_SOUND && !self.sound.contains_key(&request) {
            self.forget_oldest_answers();
        }
        self.sound.insert(request, now);
        let was_held = self.held.remove(&request).is_some();
        let suspicion = self.suspected.shift_remove(&request);
        was_held || suspicion.is_some_and(|suspicion| suspicion.shared > 0)
    }

    /// Forgets the ends under a request that was answered elsewhere, or that no longer count.
    pub fn forget(&mut self, request: Content) {
        self.suspected.shift_remove(&request);
    }

    /// Returns how long a request is still kept from upstreams, if it is.
    pub fn check(&self, now: Instant, request: Content) -> Option<Duration> {
        let own = self.verdict(now, request).map(|verdict| verdict.until());
        let until = own.max(self.held.get(&request).copied())?;
        (until > now).then(|| until.since(now))
    }

    /// Returns whether an upstream has ended under a request that was not answered since.
    pub fn is_suspected(&self, request: Content) -> bool {
        self.suspected.contains_key(&request)
    }

    /// Returns whether a request is known to crash upstreams, so that it explains the end of another
    /// one.
    pub fn is_harmful(&self, now: Instant, request: Content) -> bool {
        self.verdict(now, request).is_some_and(|verdict| verdict.is_certain())
    }

    /// Returns what the peers do not know yet of a request, and takes it as sent to them.
    pub fn report(&mut self, request: Content) -> Option<Suspect> {
        let suspicion = self.suspected.get_mut(&request)?;
        if suspicion.shared == suspicion.ends.len() {
            return None;
        }
        suspicion.shared = suspicion.ends.len();
        Some(Suspect { request, ends: suspicion.ends.to_vec() })
    }

    /// Applies what a peer knows of a request; returns whether it is kept back since.
    pub fn apply(&mut self, now: Instant, suspect: &Suspect) -> bool {
        let was_held = self.check(now, suspect.request).is_some();
        for end in &suspect.ends {
            self.record_end(now, suspect.request, end.clone());
        }
        if let Some(suspicion) = self.suspected.get_mut(&suspect.request) {
            suspicion.shared = suspicion.shared.max(suspect.ends.len()).min(suspicion.ends.len());
        }
        !was_held && self.check(now, suspect.request).is_some()
    }

    /// Returns the requests that are kept back for certain, each with the time for which it still is.
    pub fn holds(&self, now: Instant) -> Vec<(Content, Duration)> {
        let certain = self.suspected.keys().filter(|request| self.is_harmful(now, **request));
        let own = certain.filter_map(|request| Some((*request, self.check(now, *request)?)));
        let others = self
            .held
            .iter()
            .filter(|(request, until)| **until > now && !self.suspected.contains_key(*request));
        own.chain(others.map(|(request, until)| (*request, until.since(now)))).collect()
    }

    /// Keeps a request back that a peer keeps back, unless it was answered a moment ago; returns
    /// whether this is new.
    pub fn hold(&mut self, now: Instant, request: Content, left: Duration) -> bool {
        let answered = self.sound.get(&request);
        if answered.is_some_and(|answered| now.since(*answered) < RECENT_ANSWER) {
            return false;
        }
        let is_new = self.check(now, request).is_none();
        if self.held.len() < MAX_HELD || self.held.contains_key(&request) {
            let until = self.held.entry(request).or_insert(now);
            *until = (*until).max(now + left.min(DURATION));
        }
        is_new
    }

    /// Removes what no longer counts.
    pub fn remove_expired(&mut self, now: Instant) {
        self.held.retain(|_, until| *until > now);
        self.suspected.retain(|_, suspicion| {
            let before = suspicion.ends.len();
            suspicion.ends.retain(|end| now.since(end.at) < MEMORY);
            suspicion.shared = suspicion.shared.saturating_sub(before - suspicion.ends.len());
            !suspicion.ends.is_empty()
        });
    }

    /// Weighs the ends under a request that nothing else explains better.
    fn verdict(&self, now: Instant, request: Content) -> Option<Verdict> {
        let suspicion = self.suspected.get(&request)?;
        if suspicion.ends.len() < 2 {
            return None;
        }
        let mut ends: SmallVec<[&End; 4]> = SmallVec::new();
        let mut is_alone = false;
        for end in &suspicion.ends {
            let (mut others, mut is_explained) = (0, false);
            for (other, beside) in &self.suspected {
                if *other == request || !beside.ends.iter().any(|known| known.is_same(end)) {
                    continue;
                }
                // The one under which more upstreams ended is the more likely cause.
                is_explained |=
                    beside.ends.len() >= CERTAIN_ENDS && beside.ends.len() > suspicion.ends.len();
                others += usize::from(!self.is_sound(now, *other));
            }
            if !is_explained {
                ends.push(end);
                is_alone |= others == 0;
            }
        }
        let first = ends.iter().map(|end| end.at).min()?;
        let last = ends.iter().map(|end| end.at).max()?;
        let (min_ends, min_spread) = match self.is_sound(now, request) {
            true => (CERTAIN_ENDS, SOUND_SPREAD),
            false => (2, MIN_SPREAD),
        };
        let is_enough = ends.len() >= min_ends && last.since(first) >= min_spread;
        is_enough.then_some(Verdict { ends: ends.len(), is_alone, last })
    }

    fn is_sound(&self, now: Instant, request: Content) -> bool {
        self.sound.get(&request).is_some_and(|answered| now.since(*answered) < SOUND_MEMORY)
    }

    fn forget_oldest_answers(&mut self) {
        let mut times: Vec<Instant> = self.sound.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.sound.retain(|_, answered| *answered > median);
    }
}
