//! The least expected time by report, corrected by what was sent since the report.

use goldcrestvale_base::time::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Engine, Move, Policy, Score};

/// How a corrected choice allows for the other routers.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// Number of routers that are taken to send what this one sends, itself included.
    pub copies: usize,
    /// Number of engines that are looked at, or all.
    pub sample: Option<usize>,
}

/// The least expected time by report, corrected by what was sent since the report.
#[derive(Debug)]
pub struct Corrected {
    spread: Spread,
    listens: bool,
    /// Moves since the last report, by engine.
    own: Vec<Vec<Move>>,
    others: Vec<Vec<Move>>,
}

impl Corrected {
    /// Creates the policy; it may listen to what other routers say.
    pub fn new(spread: Spread, listens: bool) -> Self {
        Self { spread, listens, own: Vec::new(), others: Vec::new() }
    }

    fn score(&mut self, index: usize, engine: &Engine) -> Score {
        let copies = i64::try_from(self.spread.copies).unwrap_or(1);
        let own = since(&mut self.own[index], engine.report.taken) * copies;
        let others = since(&mut self.others[index], engine.report.taken);
        let requests = i64::from(engine.report.requests) + own + others;
        engine.score(u32::try_from(requests.max(0)).unwrap_or(u32::MAX) + 1)
    }
}

/// Forgets the moves that a report includes and returns the sum of the others.
fn since(moves: &mut Vec<Move>, taken: Instant) -> i64 {
    moves.retain(|moved| moved.at > taken);
    moves.iter().map(|moved| i64::from(moved.change)).sum()
}

impl Policy for Corrected {
    fn choose(&mut self, _now: Instant, engines: &[Engine], rng: &mut ChaCha8Rng) -> usize {
        self.own.resize(engines.len(), Vec::new());
        self.others.resize(engines.len(), Vec::new());
        let start = rng.random_range(0..engines.len());
        let mut best = (Score::MAX, start);
        for place in 0..self.spread.sample.unwrap_or(engines.len()) {
            let index = match self.spread.sample {
                Some(_) => rng.random_range(0..engines.len()),
                None => (start + place) % engines.len(),
            };
            let score = self.score(index, &engines[index]);
            if score < best.0 {
                best = (score, index);
            }
        }
        best.1
    }

    fn moved(&mut self, own: Move) {
        if let Some(moves) = self.own.get_mut(own.engine) {
            moves.push(own);
        }
    }

    fn heard(&mut self, others: &[Move]) {
        if !self.listens {
            return;
        }
        for moved in others {
            if let Some(moves) = self.others.get_mut(moved.engine) {
                moves.push(*moved);
            }
        }
    }
}
