//! The state of a stage in the chain of a draft.

use std::time::Duration;

use goldcrestvale_base::{engine::StepName, id::Upstream, time::Instant};

use super::boundary::Boundary;
use crate::chain::Stage;

/// A step that awaits its answer.
#[derive(Debug)]
pub(super) struct PendingStep {
    pub(super) name: StepName,
    pub(super) positions: u32,
    /// When the step was first sent.
    pub(super) sent_at: Instant,
    /// When it counts as lost.
    pub(super) times_out_at: Instant,
    /// When it is sent again, after the engine was busy.
    pub(super) resend_at: Option<Instant>,
    pub(super) send_count: u32,
}

/// The move of a stage's KV cache to another engine.
#[derive(Debug)]
pub(super) struct KvMove {
    pub(super) to: Stage,
    pub(super) attempt: u32,
    pub(super) times_out_at: Instant,
}

/// An engine that the draft temporarily avoids.
#[derive(Debug)]
pub(super) struct AvoidedEngine {
    pub(super) upstream: Upstream,
    pub(super) until: Instant,
    /// Whether it was only late, so that it is used again if there is no other.
    pub(super) late: bool,
}

/// The current operation of a stage.
#[derive(Debug)]
pub(super) enum Phase {
    Idle,
    Awaiting(PendingStep),
    Moving(KvMove),
}

/// A stage with its attempt, its inputs and the state of its engine.
#[derive(Debug)]
pub(super) struct StageState {
    pub(super) stage: Stage,
    pub(super) attempt: u32,
    /// Stage number in the names of its steps.
    pub(super) number: u32,
    /// Positions in the KV cache of the engine under this attempt.
    pub(super) kv_positions: u32,
    /// Inputs; unused at the first stage, whose inputs are the tokens.
    pub(super) input: Boundary,
    pub(super) phase: Phase,
    /// Expected queueing time of a new step at the engine.
    pub(super) queue_time: Duration,
    /// Whether the stage is to be migrated once it is idle.
    pub(super) migration_due: bool,
}

impl StageState {
    pub(super) fn new(stage: Stage, attempt: u32, number: u32) -> Self {
        Self {
            stage,
            attempt,
            number,
            kv_positions: 0,
            input: Boundary::default(),
            phase: Phase::Idle,
            queue_time: Duration::ZERO,
            migration_due: false,
        }
    }

    /// Returns the step that awaits its answer.
    pub(super) fn pending(&self) -> Option<&PendingStep> {
        match &self.phase {
            Phase::Awaiting(pending) => Some(pending),
            Phase::Idle | Phase::Moving(_) => None,
        }
    }

    /// Returns when the next timer of this stage is due.
    pub(super) fn wake(&self) -> Option<Instant> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Awaiting(pending) => Some(pending.resend_at.unwrap_or(pending.times_out_at)),
            Phase::Moving(kv) => Some(kv.times_out_at),
        }
    }
}
