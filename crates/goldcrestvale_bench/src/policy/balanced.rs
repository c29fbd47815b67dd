//! The project's policy: reports corrected by the requests sent since, and the lowest score of a
//! sample.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::balance::{Choice, Load};
use rand_chacha::ChaCha8Rng;

use super::{Engine, LoadChange, Policy};

/// The basis of the score of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scoring {
    /// The time of a single request, times the number of requests at the engine.
    Linear,
    /// The time of a token in a batch of the requests at the engine.
    Batch,
}

/// The estimate of the requests that other routers sent since a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerEstimate {
    /// No requests.
    Ignored,
    /// This router's own requests, times the number of other routers.
    Proportional(usize),
    /// The requests that the other routers shared.
    Shared,
}

/// The project's policy.
#[derive(Debug)]
pub struct Balanced {
    choice: Choice,
    scoring: Scoring,
    peers: PeerEstimate,
    tracked: Vec<TrackedLoad>,
}

/// The load of one engine that a router knows of in addition to the report.
#[derive(Debug, Clone, Default)]
struct TrackedLoad {
    own: i64,
    own_since: Vec<LoadChange>,
    others_since: Vec<LoadChange>,
}

impl Balanced {
    /// Creates the policy.
    pub fn new(sample: usize, scoring: Scoring, peers: PeerEstimate) -> Self {
        Self { choice: Choice::new(sample), scoring, peers, tracked: Vec::new() }
    }
}

impl TrackedLoad {
    /// Drops the changes that the report includes, and returns the corrected load.
    fn load(&mut self, engine: &Engine, peers: PeerEstimate) -> Load {
        let own_since = since(&mut self.own_since, engine.report.taken);
        let others_since = match peers {
            PeerEstimate::Ignored => 0,
            PeerEstimate::Proportional(count) => own_since * count as i64,
            PeerEstimate::Shared => since(&mut self.others_since, engine.report.taken),
        };
        let count = |count: i64| u32::try_from(count.max(0)).unwrap_or(u32::MAX);
        Load {
            reported: engine.report.requests,
            own_then: count(self.own - own_since),
            own_now: count(self.own),
            others_since: i32::try_from(others_since).unwrap_or(i32::MAX),
        }
    }
}

/// Drops the changes that a report includes, and returns the sum of the rest.
fn since(changes: &mut Vec<LoadChange>, taken: Instant) -> i64 {
    changes.retain(|change| change.at > taken);
    changes.iter().map(|change| i64::from(change.change)).sum()
}

impl Policy for Balanced {
    fn choose(&mut self, _now: Instant, engines: &[Engine], rng: &mut ChaCha8Rng) -> usize {
        let Self { choice, scoring, peers, tracked } = self;
        tracked.resize(engines.len(), TrackedLoad::default());
        let score = |index: usize| {
            let engine = &engines[index];
            let load = tracked[index].load(engine, *peers);
            Some(match scoring {
                Scoring::Linear => load.expected_time(engine.token_time(1)),
                Scoring::Batch => engine.token_time(load.current().saturating_add(1)),
            })
        };
        choice.choose::<Duration>(engines.len(), score, rng).unwrap_or(0)
    }

    fn record_own(&mut self, own: LoadChange) {
        if let Some(tracked) = self.tracked.get_mut(own.engine) {
            tracked.own += i64::from(own.change);
            tracked.own_since.push(own);
        }
    }

    fn record_peer(&mut self, changes: &[LoadChange]) {
        if self.peers != PeerEstimate::Shared {
            return;
        }
        for change in changes {
            if let Some(tracked) = self.tracked.get_mut(change.engine) {
                tracked.others_since.push(*change);
            }
        }
    }
}
