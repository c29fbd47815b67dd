//! A stage in its place in the chain of a draft.

use std::time::Duration;

use goldcrestvale_base::{engine::StepName, id::Upstream, time::Instant};

use super::boundary::Boundary;
use crate::chain::Stage;

/// A step that awaits its answer.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) name: StepName,
    pub(super) positions: u32,
    /// When the step was first sent.
    pub(super) at: Instant,
    /// When it counts as lost.
    pub(super) until: Instant,
    /// When it is sent again, after the engine was busy.
    pub(super) again: Option<Instant>,
    pub(super) tries: u32,
}

/// The move of a stage's KV cache to another engine.
#[derive(Debug)]
pub(super) struct Move {
    pub(super) to: Stage,
    pub(super) attempt: u32,
    pub(super) until: Instant,
}

/// An engine that the draft does not use for a time.
#[derive(Debug)]
pub(super) struct Avoided {
    pub(super) upstream: Upstream,
    pub(super) until: Instant,
    /// Whether it was only late, so that it serves again for want of another.
    pub(super) late: bool,
}

/// What a stage is doing.
#[derive(Debug)]
pub(super) enum Work {
    Idle,
    Awaiting(Sent),
    Moving(Move),
}

/// A stage, its attempt, and what its engine holds of the draft.
#[derive(Debug)]
pub(super) struct Place {
    pub(super) stage: Stage,
    pub(super) attempt: u32,
    /// Stage number in the names of its steps.
    pub(super) number: u32,
    /// Positions in the KV cache of the engine under this attempt.
    pub(super) kv: u32,
    /// Inputs; unused at the first stage, whose inputs are the tokens.
    pub(super) input: Boundary,
    pub(super) work: Work,
    /// Expected time of the work that stands before a new step at the engine.
    pub(super) queue: Duration,
    /// Whether the stage is to be moved once it is idle.
    pub(super) leaving: bool,
}

impl Place {
    pub(super) fn new(stage: Stage, attempt: u32, number: u32) -> Self {
        Self {
            stage,
            attempt,
            number,
            kv: 0,
            input: Boundary::default(),
            work: Work::Idle,
            queue: Duration::ZERO,
            leaving: false,
        }
    }

    /// Returns the step that awaits its answer.
    pub(super) fn sent(&self) -> Option<&Sent> {
        match &self.work {
            Work::Awaiting(sent) => Some(sent),
            Work::Idle | Work::Moving(_) => None,
        }
    }

    /// Returns when something is due at this stage.
    pub(super) fn wake(&self) -> Option<Instant> {
        match &self.work {
            Work::Idle => None,
            Work::Awaiting(sent) => Some(sent.again.unwrap_or(sent.until)),
            Work::Moving(kv) => Some(kv.until),
        }
    }
}
