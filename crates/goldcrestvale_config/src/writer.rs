//! Writes checkpoints to the log, from one of many instances at a time.
//!
//! The first chunk of a checkpoint is a claim: its writer continues only if no first chunk of
//! another writer precedes it in the log. A writer that dies leaves an incomplete set, and the
//! others make a new attempt after their next wait. Two instances that write at the same time
//! only cost additional appends.

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
    /// Maximum random wait after the interval.
    pub spread: Duration,
    /// Time after which an incomplete checkpoint is considered abandoned.
    pub claim_timeout: Duration,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    Idle,
    /// The first chunk is being appended, or has been and was not read back yet.
    Claiming(Vec<Chunk>),
    /// The claim succeeded; these chunks remain.
    Writing(Vec<Chunk>),
}

/// The checkpoint writer of one instance.
#[derive(Debug)]
pub struct Writer {
    own: Incarnation,
    schedule: Schedule,
    timer: Stagger,
    state: State,
    assembler: Assembler,
    latest: Option<Checkpoint>,
    /// The writer of the first chunk of the checkpoint in progress, and when the chunk was read.
    claim: Option<(Incarnation, Instant)>,
}

impl Writer {
    /// Creates a writer whose first checkpoint is due after a full interval.
    pub fn new(
        own: Incarnation,
        schedule: Schedule,
        now: Instant,
        population: u32,
        rng: &mut impl Rng,
    ) -> Self {
        let mut timer = Stagger::new(schedule.interval, schedule.spread);
        timer.restart(now, population, rng);
        let assembler = Assembler::default();
        Self { own, schedule, timer, state: State::Idle, assembler, latest: None, claim: None }
    }

    /// Returns the newest complete checkpoint read from the log.
    pub fn latest(&self) -> Option<&Checkpoint> {
        self.latest.as_ref()
    }

    /// Returns the time at which [`poll`](Self::poll) is due next.
    pub fn due(&self) -> Option<Instant> {
        self.timer.due()
    }

    /// Processes a record of the checkpoint stream, in log order, written by `writer`.
    pub fn receive(
        &mut self,
        now: Instant,
        writer: Incarnation,
        chunk: Chunk,
        population: u32,
        rng: &mut impl Rng,
    ) {
        if chunk.index == 0 {
            self.record_claim(now, writer);
        }
        if let Some(checkpoint) = self.assembler.add(chunk) {
            self.latest = Some(checkpoint);
            self.claim = None;
            self.timer.restart(now, population, rng);
        }
    }

    /// Returns the chunks to append now, in this order; appends may be retried.
    pub fn poll(
        &mut self,
        now: Instant,
        fold: &Fold,
        population: u32,
        rng: &mut impl Rng,
    ) -> Vec<Chunk> {
        if let State::Writing(chunks) = &mut self.state {
            let remaining = std::mem::take(chunks);
            self.state = State::Idle;
            return remaining;
        }
        if !self.timer.is_due(now) {
            return Vec::new();
        }
        self.timer.stop();
        self.timer.start(now + self.schedule.claim_timeout, population, rng);
        let newest = self.latest.as_ref().map_or(Offset(0), |latest| latest.version);
        if self.is_claimed(now) || fold.version() < newest {
            return Vec::new();
        }
        let mut chunks = fold.checkpoint().chunks();
        let remaining = chunks.split_off(1);
        self.state = State::Claiming(remaining);
        chunks
    }

    fn is_claimed(&self, now: Instant) -> bool {
        self.claim.is_some_and(|(_, at)| now.since(at) < self.schedule.claim_timeout)
    }

    fn record_claim(&mut self, now: Instant, writer: Incarnation) {
        if !self.is_claimed(now) {
            self.claim = Some((writer, now));
        }
        if writer != self.own {
            return;
        }
        if let State::Claiming(chunks) = std::mem::take(&mut self.state)
            && self.claim.is_some_and(|(holder, _)| holder == self.own)
        {
            self.state = State::Writing(chunks);
        }
    }
}
