//! A simulated engine with continuous batching.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::{engine::Accelerator, time::Instant};
use goldcrestvale_standin::engine::cost::Cost;

use super::workload::Request;

/// Number of layers that every engine runs.
pub(super) const LAYERS: u32 = 12;

/// Returns the maximum number of requests that a kind of accelerator runs concurrently.
pub(super) const fn slots(accelerator: &Accelerator) -> u32 {
    match accelerator {
        Accelerator::Large => 64,
        Accelerator::Medium => 32,
        Accelerator::Small => 16,
    }
}

/// A request at an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Job {
    pub(super) router: usize,
    pub(super) arrived: Instant,
    pub(super) request: Request,
    pub(super) first_token: Option<Instant>,
    pub(super) generated: u32,
}

/// An engine that batches continuously.
#[derive(Debug)]
pub(super) struct Engine {
    cost: Cost,
    slots: usize,
    slowdown: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    in_round: bool,
    /// Number of tokens generated.
    pub(super) tokens: u64,
}

impl Engine {
    pub(super) fn new(accelerator: &Accelerator) -> Self {
        Self {
            cost: Cost::of(accelerator),
            slots: slots(accelerator) as usize,
            slowdown: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            in_round: false,
            tokens: 0,
        }
    }

    /// Sets the slowdown from the next round on.
    pub(super) fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Returns the number of requests running and waiting.
    pub(super) fn requests(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Queues a request.
    pub(super) fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Starts a round if there is work and no round is in progress; returns its length.
    pub(super) fn start_round(&mut self) -> Option<Duration> {
        if self.in_round {
            return None;
        }
        let mut tokens = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        while self.running.len() < self.slots
            && let Some(next) = self.waiting.front()
            && (tokens == 0 || tokens + next.request.prompt <= self.cost.cap)
        {
            tokens += next.request.prompt;
            self.running.extend(self.waiting.pop_front());
        }
        if self.running.is_empty() {
            return None;
        }
        let length = self.cost.batch([(LAYERS, tokens)]).mul_f64(self.slowdown);
        self.in_round = true;
        Some(length)
    }

    /// Ends a round, which adds one token to every running request; returns the completed ones.
    pub(super) fn end_round(&mut self, now: Instant) -> Vec<Job> {
        self.in_round = false;
        self.tokens += self.running.len() as u64;
        for job in &mut self.running {
            job.first_token = job.first_token.or(Some(now));
            job.generated += 1;
        }
        self.running.extract_if(.., |job| job.generated >= job.request.answer).collect()
    }
}
