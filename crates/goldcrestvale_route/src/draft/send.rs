//! Sending of steps.

use goldcrestvale_base::{
    engine::{Step, StepInput},
    time::Instant,
};

use super::{
    Action, Draft,
    stage_state::{PendingStep, Phase},
};

impl Draft {
    /// Sends a step for each idle stage whose next inputs are known.
    pub(super) fn send_ready_steps(&mut self, now: Instant) {
        for index in 0..self.stages.len() {
            let state = &self.stages[index];
            let end = if index == 0 { self.length() } else { state.input.end() };
            if matches!(state.phase, Phase::Idle) && state.kv_positions < end {
                let positions = (end - state.kv_positions).min(self.max_positions(index, end));
                let state = &mut self.stages[index];
                state.phase = Phase::Awaiting(PendingStep {
                    name: self.prompt.step_name(state.attempt, state.kv_positions, state.number),
                    positions,
                    sent_at: now,
                    times_out_at: now,
                    resend_at: None,
                    send_count: 0,
                });
                self.send(now, index);
            }
        }
    }

    /// Returns the maximum number of positions in a step of a stage. Steps are split into chunks
    /// so that the next stage can run in parallel. If it already has its inputs, as when this
    /// stage is rebuilt, or if there is no next stage, splitting would only cost time.
    fn max_positions(&self, index: usize, end: u32) -> u32 {
        match self.stages.get(index + 1) {
            Some(next) if next.input.end() + 1 < end => self.prompt.settings.chunk.max(1),
            _ => u32::MAX,
        }
    }

    /// Sends the pending step of a stage, for the first time or as a retry.
    pub(super) fn send(&mut self, now: Instant, index: usize) {
        let state = &mut self.stages[index];
        let Phase::Awaiting(pending) = &mut state.phase else { return };
        let expected = state.queue_time + state.stage.time(pending.positions);
        let with_slowdown = expected.saturating_mul(state.stage.slowdown.max(1));
        let timeout = self.prompt.settings.timeout(with_slowdown);
        pending.send_count += 1;
        pending.times_out_at = now + timeout;
        pending.resend_at = None;
        let (from, to) = (pending.name.position, pending.name.position + pending.positions);
        let input = if index == 0 {
            StepInput::Tokens(self.prompt.tokens[from as usize..to as usize].to_vec())
        } else {
            StepInput::Activations(state.input.slice(from, to).to_vec())
        };
        let step = Step {
            name: pending.name,
            model: self.prompt.model.clone(),
            layers: state.stage.layers,
            priority: self.prompt.priority,
            input,
        };
        self.stats.steps += 1;
        let upstream = state.stage.upstream.clone();
        self.actions.push(Action::Send { upstream, step, expected, timeout });
    }
}
