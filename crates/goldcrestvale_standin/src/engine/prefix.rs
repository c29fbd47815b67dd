//! The cache of prompt prefixes and the events that report its changes.

use std::collections::VecDeque;

use goldcrestvale_upstream::{
    message::{CacheChange, CacheEvent, CacheEvents, StepInput},
    prefix,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::Settings;

/// Maximum number of events that are kept for readers.
const MAX_EVENTS: usize = 10_000;

/// The cached prefixes, least recently used first, and the recent events.
#[derive(Debug)]
pub(super) struct Prefixes {
    blocks: VecDeque<u64>,
    capacity: usize,
    loss: f64,
    lag: std::time::Duration,
    next_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    rng: ChaCha8Rng,
}

impl Prefixes {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            blocks: VecDeque::new(),
            capacity: settings.prefix_blocks,
            loss: settings.event_loss.clamp(0.0, 1.0),
            lag: std::time::Duration::from_millis(settings.event_lag_ms),
            next_sequence: 0,
            events: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        }
    }

    /// Returns the number of leading positions of a prompt that are cached.
    pub(super) fn cached_positions(&self, input: &StepInput) -> u32 {
        if self.capacity == 0 {
            return 0;
        }
        let digests = digests(input);
        let cached = digests.iter().take_while(|digest| self.blocks.contains(digest)).count();
        u32::try_from(cached * prefix::BLOCK_POSITIONS).unwrap_or(u32::MAX)
    }

    /// Caches the complete blocks of a prompt.
    pub(super) fn store(&mut self, input: &StepInput) {
        if self.capacity == 0 {
            return;
        }
        let first_stage = matches!(input, StepInput::Tokens(_));
        for digest in digests(input) {
            let cached = self.blocks.iter().position(|block| *block == digest);
            match cached {
                Some(index) => drop(self.blocks.remove(index)),
                None => self.publish(first_stage, digest, CacheChange::Stored),
            }
            self.blocks.push_back(digest);
        }
        while self.blocks.len() > self.capacity {
            if let Some(digest) = self.blocks.pop_front() {
                self.publish(first_stage, digest, CacheChange::Evicted);
            }
        }
    }

    /// Returns the events, starting at a sequence number, that are due and were not lost.
    pub(super) fn events(&self, from: u64) -> CacheEvents {
        let due = |(published, _): &&(Instant, CacheEvent)| published.elapsed() >= self.lag;
        let events = self.events.iter().take_while(due);
        let events: Vec<CacheEvent> = events
            .filter(|(_, event)| event.sequence >= from)
            .map(|(_, event)| event.clone())
            .collect();
        CacheEvents { next: events.last().map_or(from, |last| last.sequence + 1), events }
    }

    /// Publishes a change unless the event is lost; only the first stage knows the tokens.
    fn publish(&mut self, first_stage: bool, prefix: u64, change: CacheChange) {
        if !first_stage {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if self.rng.random_bool(self.loss) {
            return;
        }
        self.events.push_back((Instant::now(), CacheEvent { sequence, prefix, change }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

fn digests(input: &StepInput) -> Vec<u64> {
    match input {
        StepInput::Tokens(tokens) => prefix::digests(tokens.iter().copied().map(u64::from)),
        StepInput::Activations(activations) => prefix::digests(activations.iter().copied()),
    }
}
