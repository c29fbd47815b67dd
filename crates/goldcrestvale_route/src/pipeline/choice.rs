//! Selects the chain of a new stream, or rejects the stream.
//!
//! A chain that exceeds its token capacity preempts streams midway, so streams that do not fit are
//! rejected before they are sent.

use std::time::Duration;

use goldcrestvale_base::time::Instant;

use super::{Chain, Limit, Model, Request, expected_cost::ExpectedCost};

/// Share by which a chain outside the caller's domain counts as slower, since traffic between
/// domains is expensive.
const REMOTE_DOMAIN_PENALTY: f64 = 1.0;

/// Share by which a chain counts as slower for each boundary between domains that it crosses.
const CROSSING_PENALTY: f64 = 0.25;

/// Minimum share of the capacity that counts as free, so that nearly full chains can be compared.
const MIN_FREE_SHARE: f64 = 0.05;

/// Maximum share of a chain's token capacity that streams of average size may take. The capacity
/// assumes that every stage is as small as the bottleneck stage, and a stage that runs out of
/// memory refuses a stream, which sets a limit.
const MAX_MEMORY_SHARE: f64 = 1.15;

/// How long a load report of an engine is valid.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Minimum delay before a rejected caller may retry: about a quarter of the time of an average
/// stream, in which about a quarter of the slots becomes free.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Range over which the retry delays of rejected callers are spread, so that they do not return all
/// at once. It is about the time in which a lost range is held again and a burst has passed, and
/// is below a third of a caller's time, the longest delay that callers honour.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(4_500);

/// Streams on a chain, as far as this instance knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Streams that this instance has in progress.
    pub own: u32,
    /// Streams that other instances reported in progress.
    pub others: u32,
    /// Last report of the first engine.
    pub reported: Option<Report>,
    /// Limit learned when the chain last refused a stream.
    pub limit: Option<Limit>,
    /// Estimate of the streams that other instances sent and have not reported yet.
    pub unreported: f64,
    /// Tokens that the streams of `own` and `others` hold and will still write; `None` counts all
    /// of them as streams of average size.
    pub tokens: Option<f64>,
    /// Tokens of prompts that the chain still has to read for the streams of this instance.
    pub unread: f64,
    /// Streams that this instance may still send, where instances share limits.
    pub places: Option<u32>,
}

/// A load report of a first engine.
#[derive(Debug, Clone, Copy)]
pub struct Report {
    /// Streams of all instances, running or waiting.
    pub streams: u32,
    /// Streams of this instance at the time of the report.
    pub own: u32,
    /// When it was reported.
    pub at: Instant,
}

impl Load {
    /// Returns the streams of all instances: the number in the engine's report, corrected by the
    /// streams of this instance since, or the sum of what the instances reported to each other,
    /// whichever is larger.
    pub fn streams(&self, now: Instant) -> u32 {
        let known = self.own + self.others;
        match self.reported {
            Some(report) if now.since(report.at) < REPORT_TTL => {
                (report.streams + self.own).saturating_sub(report.own).max(known)
            }
            _ => known,
        }
    }
}

/// How far a chain is occupied, as it was compared for a new stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Occupancy {
    /// Streams on the chain, the new one included.
    pub streams: f64,
    /// Streams of average size that fit on the chain.
    pub capacity: f64,
    /// Streams that the first engine runs at the same time.
    pub slots: f64,
    /// Limit learned from the last refusal.
    pub limit: Option<f64>,
    /// Streams that this instance may still send, where instances share limits.
    pub places: Option<u32>,
}

impl Occupancy {
    pub(super) fn new(model: &Model, chain: &Chain, load: &Load, now: Instant) -> Self {
        Self {
            streams: f64::from(load.streams(now) + 1) + load.unreported,
            capacity: chain.token_capacity.max(1.0) / model.stream_tokens(),
            slots: f64::from(model.slots.max(1)),
            limit: load.limit.map(|limit| limit.max_streams(chain.token_capacity, now)),
            places: load.places,
        }
    }

    /// Returns the share of the capacity that is taken.
    fn utilisation(&self) -> f64 {
        self.streams / self.capacity.min(self.slots)
    }

    /// Returns the number of streams of average size that the chain takes.
    pub fn places(&self) -> f64 {
        let places = (self.capacity * MAX_MEMORY_SHARE).min(self.slots);
        self.limit.map_or(places, |limit| places.min(limit))
    }

    /// Returns the number of streams of average size that the chain still takes.
    pub fn free_places(&self) -> f64 {
        (self.places() - (self.streams - 1.0)).max(0.0)
    }

    fn is_full(&self) -> bool {
        self.streams > self.capacity * MAX_MEMORY_SHARE || self.is_limited()
    }

    /// Returns whether the streams exceed the slots or the learned limit, whatever their sizes.
    fn is_limited(&self) -> bool {
        let is_limited = match self.places {
            // What this instance may still send already follows from the limit.
            Some(places) => places == 0,
            None => self.limit.is_some_and(|limit| self.streams > limit),
        };
        is_limited || self.streams > self.slots
    }
}

/// The decision for a new stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Choice {
    /// The stream takes the chain at this index.
    Take(usize),
    /// No chain has capacity, or too little beside what is kept free; the caller may retry after
    /// this time.
    Full(Duration, Occupancy),
    /// No chain holds every layer; the caller may retry after this time.
    Broken(Duration),
}

impl Choice {
    /// Chooses a chain for a new stream; `draw` is a random number in `0..1` that spreads the retry
    /// delays of rejected callers.
    pub fn new(
        model: &Model,
        candidates: &[(&Chain, Load)],
        request: &Request<'_>,
        now: Instant,
        draw: f64,
    ) -> Self {
        let retry_after = MIN_RETRY_AFTER + RETRY_AFTER_SPREAD.mul_f64(draw.clamp(0.0, 1.0));
        let mut best: Option<(usize, f64)> = None;
        let mut least_occupied: Option<Occupancy> = None;
        let mut free_places = 0.0;
        for (index, (chain, load)) in candidates.iter().enumerate() {
            let occupancy = Occupancy::new(model, chain, load, now);
            if least_occupied.is_none_or(|least| occupancy.utilisation() < least.utilisation()) {
                least_occupied = Some(occupancy);
            }
            let cost = ExpectedCost::new(model, chain, load, request.size, &occupancy);
            let is_full = match &cost {
                Some(cost) => occupancy.is_limited() || cost.exceeds(MAX_MEMORY_SHARE),
                None => occupancy.is_full(),
            };
            if is_full {
                continue;
            }
            free_places += occupancy.free_places();
            let domain_penalty =
                if chain.domain == *request.domain { 0.0 } else { REMOTE_DOMAIN_PENALTY };
            let penalty = domain_penalty + f64::from(chain.crossings) * CROSSING_PENALTY;
            let (time, utilisation) = match &cost {
                Some(cost) => (cost.seconds, cost.utilisation),
                None => {
                    let step = chain.step_pace * model.step_s(occupancy.streams);
                    (step, occupancy.utilisation())
                }
            };
            // A chain that is nearly full preempts streams that grow larger than the average.
            let free = (1.0 - utilisation).max(MIN_FREE_SHARE);
            let score = time / free * (1.0 + penalty);
            if best.is_none_or(|(_, lowest)| score < lowest) {
                best = Some((index, score));
            }
        }
        if request.keep_free > 0.0 && free_places - 1.0 < request.keep_free {
            best = None;
        }
        match (best, least_occupied) {
            (Some((index, _)), _) => Self::Take(index),
            (None, Some(occupancy)) => Self::Full(retry_after, occupancy),
            (None, None) => Self::Broken(retry_after),
        }
    }
}
