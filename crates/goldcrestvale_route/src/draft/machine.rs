//! The state machine of a draft.

use goldcrestvale_base::{
    engine::{StepName, StepOutput},
    exchange::{Exchange, Sent},
    id::{Digest, Upstream},
    time::Instant,
    verdict::Verdict,
};
use smallvec::SmallVec;

use super::{
    Action, Actions, Error, Event, Failure, Fault, Prompt, Stats,
    stage_state::{AvoidedEngine, Phase, StageState},
};
use crate::chain::{Chain, Plan};

/// The loss of a stage since the last committed token.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub(super) sent_at: Instant,
    pub(super) detected_at: Instant,
}

/// A running draft.
///
/// Tokens are committed in order, each once; the last action is [`Action::Finish`] or
/// [`Action::Fail`], and events after it are ignored.
#[derive(Debug)]
pub struct Draft {
    pub(super) prompt: Prompt,
    /// The stages of the chain, in layer order.
    pub(super) stages: SmallVec<[StageState; 4]>,
    /// The highest attempt number in use.
    pub(super) attempt: u32,
    /// Engines that the draft avoids.
    pub(super) avoided: SmallVec<[AvoidedEngine; 2]>,
    pub(super) loss: Option<Loss>,
    pub(super) stats: Stats,
    /// Taken when the draft ends.
    pub(super) exchange: Option<Exchange<Sent>>,
    pub(super) actions: Actions,
}

impl Draft {
    pub(super) fn new(
        prompt: Prompt,
        chain: Chain,
        exchange: Exchange<Sent>,
        now: Instant,
        planner: &dyn Plan,
    ) -> (Self, Actions) {
        let mut draft = Self {
            prompt,
            stages: SmallVec::new(),
            attempt: 0,
            avoided: SmallVec::new(),
            loss: None,
            stats: Stats::default(),
            exchange: Some(exchange),
            actions: Actions::new(),
        };
        draft.stages = draft.new_stages(chain, 0);
        if draft.is_complete() {
            draft.finish();
        } else {
            draft.update_queue_times(planner);
            draft.send_ready_steps(now);
        }
        let actions = std::mem::take(&mut draft.actions);
        (draft, actions)
    }

    /// Handles an event and returns the resulting actions.
    ///
    /// The planner must be up to date; the draft keeps no reference to it.
    pub fn handle(&mut self, now: Instant, event: Event, planner: &dyn Plan) -> Actions {
        if self.is_running() {
            self.update_queue_times(planner);
            let expired = self.prompt.deadline.is_some_and(|deadline| now >= deadline);
            let outcome = match event {
                Event::Cancel => Err(Error::Cancelled),
                _ if expired => Err(Error::Deadline { count: self.count() }),
                event => {
                    let applied = self.apply(now, event, planner);
                    applied.and_then(|()| self.migrate_idle(now, planner))
                }
            };
            match outcome {
                Err(error) => self.fail(error),
                Ok(()) if self.is_running() => {
                    self.update_queue_times(planner);
                    self.send_ready_steps(now);
                }
                Ok(()) => {}
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Updates the queue time of each stage, which is part of its step timeouts.
    fn update_queue_times(&mut self, planner: &dyn Plan) {
        for state in &mut self.stages {
            state.queue_time = planner.queue_delay(&state.stage);
        }
    }

    fn apply(&mut self, now: Instant, event: Event, planner: &dyn Plan) -> Result<(), Error> {
        match event {
            Event::Answered { name, output } => self.answered(now, name, &output, planner),
            Event::Failed { name, fault } => match self.find_awaiting(name) {
                Some(index) => self.failed(now, index, fault, planner),
                None => Ok(()),
            },
            Event::EngineLost { upstream } => self.engine_lost(now, &upstream, planner),
            Event::Leaving { upstream } => self.engine_leaving(now, &upstream, planner),
            Event::Suspected { upstream } => self.engine_suspected(now, &upstream, planner),
            Event::KvMoved { attempt, positions } => {
                self.kv_moved(now, attempt, positions, planner)
            }
            Event::KvFailed { attempt, exported } => {
                self.kv_failed(now, attempt, exported, planner)
            }
            Event::Tick => self.tick(now, planner),
            Event::Cancel => Err(Error::Cancelled),
        }
    }

    /// Returns when an [`Event::Tick`] is due.
    pub fn wake(&self) -> Option<Instant> {
        if !self.is_running() {
            return None;
        }
        let due = self.stages.iter().filter_map(StageState::wake);
        due.chain(self.prompt.deadline).min()
    }

    /// Returns whether the draft is still running.
    pub fn is_running(&self) -> bool {
        self.exchange.is_some()
    }

    /// Returns the tokens of the answer so far, including those that it was resumed with.
    pub fn answer(&self) -> &[u32] {
        &self.prompt.tokens[self.prompt.length..]
    }

    /// Returns the statistics of the draft.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Returns the engines of the current chain, in layer order.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.stages.iter().map(|state| &state.stage.upstream)
    }

    /// Returns the memory use of the draft in bytes.
    pub fn bytes(&self) -> usize {
        let inputs: usize = self.stages.iter().map(|state| state.input.bytes()).sum();
        let stages = if self.stages.spilled() { self.stages.capacity() } else { 0 };
        size_of::<Self>()
            + self.prompt.tokens.capacity() * size_of::<u32>()
            + stages * size_of::<StageState>()
            + inputs
    }

    fn answered(
        &mut self,
        now: Instant,
        name: StepName,
        output: &StepOutput,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        let Some(index) = self.find_awaiting(name) else { return Ok(()) };
        let last = index + 1 == self.stages.len();
        let state = &mut self.stages[index];
        let Some(positions) = state.pending().map(|step| step.positions) else { return Ok(()) };
        let token = match output {
            StepOutput::Token(token) if last => Some(*token),
            StepOutput::Activations(values) if !last && values.len() == positions as usize => None,
            _ => return self.failed(now, index, Fault::Refused, planner),
        };
        state.phase = Phase::Idle;
        state.kv_positions += positions;
        state.input.trim(state.kv_positions);
        self.stats.run += u64::from(positions) * u64::from(state.stage.layers.len());
        if let StepOutput::Activations(values) = output {
            self.stages[index + 1].input.extend(name.position, values);
            self.enforce_retain_budget();
        }
        if let Some(token) = token.filter(|_| self.stages[index].kv_positions == self.length()) {
            self.commit(now, token);
        }
        Ok(())
    }

    fn commit(&mut self, now: Instant, token: u32) {
        let layers = self.stages.last().map_or(0, |state| state.stage.layers.to);
        self.stats.needed = u64::from(self.length()) * u64::from(layers);
        self.actions.push(Action::Commit { position: self.length(), token });
        self.prompt.tokens.push(token);
        if let Some(loss) = self.loss.take() {
            self.actions.push(Action::Recovered {
                detection: loss.detected_at.since(loss.sent_at),
                rebuild: now.since(loss.detected_at),
            });
        }
        if self.is_complete() {
            self.finish();
        }
    }

    fn is_complete(&self) -> bool {
        let stopped =
            self.prompt.stop.is_some() && self.answer().last() == self.prompt.stop.as_ref();
        self.count() >= self.prompt.max_tokens || stopped
    }

    fn finish(&mut self) {
        self.cancel_all();
        self.exchange = None;
        let bytes: Vec<u8> = self.answer().iter().flat_map(|token| token.to_le_bytes()).collect();
        self.actions.push(Action::Finish { count: self.count(), digest: Digest::of(&bytes) });
    }

    fn fail(&mut self, error: Error) {
        self.cancel_all();
        let verdict = self.exchange.take().map_or(Verdict::MayHaveRun, Exchange::lose);
        let is_retryable = !matches!(error, Error::Cancelled | Error::Prompt);
        let retry_after = is_retryable.then_some(self.prompt.settings.retry_after);
        self.actions.push(Action::Fail(Failure { error, verdict, retry_after }));
    }

    fn cancel_all(&mut self) {
        for index in 0..self.stages.len() {
            self.cancel_stage(index);
        }
        self.stages.clear();
    }

    /// Returns the index of the stage that awaits the answer to a step.
    fn find_awaiting(&mut self, name: StepName) -> Option<usize> {
        let awaited = |state: &StageState| state.pending().is_some_and(|step| step.name == name);
        let index = self.stages.iter().position(awaited);
        self.stats.ignored += u64::from(index.is_none());
        index
    }

    /// Returns the number of tokens of the prompt and the answer so far.
    pub(super) fn length(&self) -> u32 {
        self.prompt.tokens.len() as u32
    }

    fn count(&self) -> u32 {
        self.answer().len() as u32
    }
}
