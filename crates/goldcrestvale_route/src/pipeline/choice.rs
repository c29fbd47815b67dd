//! Which chain a new stream takes, or that it is turned away.
//!
//! The load it answers: more streams than the memory of the chains holds. A chain beyond its room
//! preempts streams midway, so what does not fit is turned away before it is sent.

use std::time::Duration;

use goldcrestvale_base::{id::Domain, time::Instant};

use super::{Chain, Model};

/// Load that a chain of the caller's own domain may have above another one and still be taken:
/// bytes between domains are dear.
const OWN_DOMAIN: f64 = 0.35;

/// Load that a chain counts as having for each boundary between domains that it crosses.
const CROSSING: f64 = 0.25;

/// Streams by which a learned limit rises in a second: about a third of those that end on a full
/// chain in that time, since several instances learn limits of one chain.
const REGAIN_PER_S: f64 = 10.0;

/// Share of a chain's memory that streams of the usual size may take. The room of a chain counts
/// every stage at its narrowest, and a stage that has none left refuses, which teaches a limit.
const MOST_MEMORY: f64 = 1.15;

/// Share of the places of a first engine that may be taken: beyond them streams only wait.
const MOST_SLOTS: f64 = 1.0;

/// How long a report of an engine's load counts.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);

/// Shortest time after which a caller that was turned away may come back: about a quarter of the
/// time of a usual stream, in which as large a part of the places becomes free.
const RETURN_MIN: Duration = Duration::from_millis(1_000);

/// Callers that were turned away are spread over this time, so that they do not meet again. It is
/// about the time in which a lost range is held again and a burst has passed, and within the third
/// of their time that callers honour.
const RETURN_SPREAD: Duration = Duration::from_millis(4_500);

/// The streams on a chain, as far as this instance knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Streams that this instance has in progress.
    pub own: u32,
    /// Streams that other instances said they have in progress.
    pub others: u32,
    /// The first engine's last report.
    pub reported: Option<Report>,
    /// What was learned when the chain refused a stream last.
    pub limit: Option<Limit>,
    /// Streams that other instances likely sent and did not say yet.
    pub unreported: f64,
}

/// A bound on the streams of a chain, learned from a refusal.
///
/// The load it answers: callers come back all at once, and every chain is short of memory for a
/// moment. A chain that refused holds what it holds, so it takes no more than that at first, and
/// then more with time. Were it left alone instead, all would go to the next one, until none is left.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::pipeline::Limit;
///
/// let limit = Limit { streams: 60, at: Instant(0) };
/// assert_eq!(limit.streams(Instant(0)), 60.0);
/// assert!(limit.streams(Instant(0) + Duration::from_secs(1)) > 65.0);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Streams on the chain when it refused one.
    pub streams: u32,
    /// When it refused.
    pub at: Instant,
}

impl Limit {
    /// Returns the streams that the chain may hold by now.
    pub fn streams(&self, now: Instant) -> f64 {
        f64::from(self.streams) + now.since(self.at).as_secs_f64() * REGAIN_PER_S
    }
}

/// What a first engine reported.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    /// Streams of all instances, running or waiting.
    pub streams: u32,
    /// Streams of this instance at that time.
    pub own: u32,
    /// When it was reported.
    pub at: Instant,
}

impl Load {
    /// Returns the streams of all instances: those reported, corrected by what was sent since, or
    /// what the instances told each other, whichever is more.
    pub fn streams(&self, now: Instant) -> u32 {
        let told = self.own + self.others;
        match self.reported {
            Some(held) if now.since(held.at) < REPORT_LIFE => {
                (held.streams + self.own).saturating_sub(held.own).max(told)
            }
            _ => told,
        }
    }
}

/// What happens to a new stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// It takes the chain at this place.
    Take(usize),
    /// No chain has room; the caller may come back after this time.
    Full(Duration),
    /// No chain holds every layer; the caller may come back after this time.
    Broken(Duration),
}

impl Choice {
    /// Chooses a chain for a stream of a caller in `domain`; `draw` is a point in `0..1` that
    /// spreads the callers that are turned away.
    pub fn new(
        model: &Model,
        candidates: &[(&Chain, Load)],
        domain: &Domain,
        now: Instant,
        draw: f64,
    ) -> Self {
        let back = RETURN_MIN + RETURN_SPREAD.mul_f64(draw.clamp(0.0, 1.0));
        let mut best: Option<(usize, f64)> = None;
        for (place, (chain, load)) in candidates.iter().enumerate() {
            let streams = f64::from(load.streams(now) + 1) + load.unreported;
            let memory = streams * model.stream_tokens() / chain.token_capacity.max(1.0);
            let slots = streams / f64::from(model.slots.max(1));
            let taken = memory.max(slots);
            let is_full = memory > MOST_MEMORY || slots > MOST_SLOTS;
            let is_limited = load.limit.is_some_and(|limit| streams > limit.streams(now));
            if is_full || is_limited {
                continue;
            }
            let away = if chain.domain == *domain { 0.0 } else { OWN_DOMAIN };
            let score = taken + away + f64::from(chain.crossings) * CROSSING;
            if best.is_none_or(|(_, least)| score < least) {
                best = Some((place, score));
            }
        }
        match best {
            Some((place, _)) => Self::Take(place),
            None if candidates.is_empty() => Self::Broken(back),
            None => Self::Full(back),
        }
    }
}
