//! Writes checkpoints to the log, from one of many instances at a time.
//!
//! The first chunk of a checkpoint claims the turn: its writer goes on only if nobody else's first
//! chunk stands before it in the log. A writer that dies leaves an incomplete set, and the others
//! take the turn after their next wait. Two that write at once cost appends, no harm.

use std::time::Duration;

use goldcrestvale_base::{
    id::{Incarnation, Offset},
    time::Instant,
};
use rand::Rng;

use crate::{
    checkpoint::Checkpoint,
    chunk::{Assembler, Chunk},
    fold::Fold,
    stagger::Stagger,
};

/// When checkpoints are written.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// Time between checkpoints; at most a third of the log's retention, so that two may fail.
    pub interval: Duration,
    /// Longest random wait after the interval.
    pub spread: Duration,
    /// Time after which an incomplete checkpoint counts as given up.
    pub claim_timeout: Duration,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Idle,
    /// The first chunk is being appended, or was and is not read yet.
    Claiming(Vec<Chunk>),
    /// The turn is won; these chunks are left.
    Writing(Vec<Chunk>),
}

/// The checkpoint duty of one instance.
#[derive(Debug)]
pub struct Writer {
    own: Incarnation,
    setting: Schedule,
    turn: Stagger,
    state: State,
    gather: Assembler,
    latest: Option<Checkpoint>,
    /// Who wrote the first chunk of the checkpoint that is being written, and when it was read.
    claimed: Option<(Incarnation, Instant)>,
}

impl Writer {
    /// Creates the duty; a first checkpoint is due after a whole interval.
    pub fn new(
        own: Incarnation,
        setting: Schedule,
        now: Instant,
        population: u32,
        rng: &mut impl Rng,
    ) -> Self {
        let mut turn = Stagger::new(setting.interval, setting.spread);
        turn.restart(now, population, rng);
        let gather = Assembler::default();
        Self { own, setting, turn, state: State::Idle, gather, latest: None, claimed: None }
    }

    /// Returns the newest complete checkpoint that was read.
    pub fn latest(&self) -> Option<&Checkpoint> {
        self.latest.as_ref()
    }

    /// Returns when [`poll`](Self::poll) has something to do next.
    pub fn due(&self) -> Option<Instant> {
        self.turn.due()
    }

    /// Takes a record of the checkpoint stream, in log order, with the incarnation of its writer.
    pub fn receive(
        &mut self,
        now: Instant,
        writer: Incarnation,
        chunk: Chunk,
        population: u32,
        rng: &mut impl Rng,
    ) {
        if chunk.index == 0 {
            self.claim(now, writer);
        }
        if let Some(checkpoint) = self.gather.add(chunk) {
            self.latest = Some(checkpoint);
            self.claimed = None;
            self.turn.restart(now, population, rng);
        }
    }

    /// Returns the chunks to append now, in this order; appends may be repeated.
    pub fn poll(
        &mut self,
        now: Instant,
        fold: &Fold,
        population: u32,
        rng: &mut impl Rng,
    ) -> Vec<Chunk> {
        if let State::Writing(chunks) = &mut self.state {
            let left = std::mem::take(chunks);
            self.state = State::Idle;
            return left;
        }
        if !self.turn.is_due(now) {
            return Vec::new();
        }
        self.turn.stop();
        self.turn.start(now + self.setting.claim_timeout, population, rng);
        let newest = self.latest.as_ref().map_or(Offset(0), |latest| latest.version);
        if self.is_claimed(now) || fold.version() < newest {
            return Vec::new();
        }
        let mut chunks = fold.checkpoint().chunks();
        let rest = chunks.split_off(1);
        self.state = State::Claiming(rest);
        chunks
    }

    fn is_claimed(&self, now: Instant) -> bool {
        self.claimed.is_some_and(|(_, at)| now.since(at) < self.setting.claim_timeout)
    }

    fn claim(&mut self, now: Instant, writer: Incarnation) {
        if !self.is_claimed(now) {
            self.claimed = Some((writer, now));
        }
        if writer != self.own {
            return;
        }
        if let State::Claiming(chunks) = std::mem::take(&mut self.state)
            && self.claimed.is_some_and(|(holder, _)| holder == self.own)
        {
            self.state = State::Writing(chunks);
        }
    }
}
