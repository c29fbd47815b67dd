//! The project's choice: reports corrected by what was sent since, and the least score of a
//! sample.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::balance::{Choice, Load};
use rand_chacha::ChaCha8Rng;

use super::{Engine, Move, Policy};

/// What the score of an engine is made of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scoring {
    /// The time of a request alone, times the requests that are there.
    Linear,
    /// The time of a token in a batch of the requests that are there.
    Batch,
}

/// What is taken for the requests that other routers sent since a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Others {
    /// None.
    Unknown,
    /// This router's own, times the number of the others.
    Alike(usize),
    /// What they say.
    Heard,
}

/// The project's choice.
#[derive(Debug)]
pub struct Balanced {
    choice: Choice,
    scoring: Scoring,
    others: Others,
    known: Vec<Known>,
}

/// What a router knows of the work at one engine, besides its report.
#[derive(Debug, Clone, Default)]
struct Known {
    own: i64,
    own_since: Vec<Move>,
    others_since: Vec<Move>,
}

impl Balanced {
    /// Creates the choice.
    pub fn new(sample: usize, scoring: Scoring, others: Others) -> Self {
        Self { choice: Choice::new(sample), scoring, others, known: Vec::new() }
    }
}

impl Known {
    /// Forgets what the report includes and returns the corrected load.
    fn load(&mut self, engine: &Engine, others: Others) -> Load {
        let own_since = since(&mut self.own_since, engine.report.taken);
        let others_since = match others {
            Others::Unknown => 0,
            Others::Alike(others) => own_since * others as i64,
            Others::Heard => since(&mut self.others_since, engine.report.taken),
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

/// Forgets the moves that a report includes and returns the sum of the others.
fn since(moves: &mut Vec<Move>, taken: Instant) -> i64 {
    moves.retain(|moved| moved.at > taken);
    moves.iter().map(|moved| i64::from(moved.change)).sum()
}

impl Policy for Balanced {
    fn choose(&mut self, _now: Instant, engines: &[Engine], rng: &mut ChaCha8Rng) -> usize {
        let Self { choice, scoring, others, known } = self;
        known.resize(engines.len(), Known::default());
        let score = |index: usize| {
            let engine = &engines[index];
            let load = known[index].load(engine, *others);
            Some(match scoring {
                Scoring::Linear => load.expected_time(engine.token_time(1)),
                Scoring::Batch => engine.token_time(load.current().saturating_add(1)),
            })
        };
        choice.choose::<Duration>(engines.len(), score, rng).unwrap_or(0)
    }

    fn moved(&mut self, own: Move) {
        if let Some(known) = self.known.get_mut(own.engine) {
            known.own += i64::from(own.change);
            known.own_since.push(own);
        }
    }

    fn heard(&mut self, others: &[Move]) {
        if self.others != Others::Heard {
            return;
        }
        for moved in others {
            if let Some(known) = self.known.get_mut(moved.engine) {
                known.others_since.push(*moved);
            }
        }
    }
}
