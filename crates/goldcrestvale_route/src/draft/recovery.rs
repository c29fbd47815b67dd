//! Recovery of lost stages.

use goldcrestvale_base::{engine::Layers, id::Upstream, time::Instant};
use smallvec::SmallVec;
use snafu::{ResultExt, ensure};

use super::{
    Action, Draft, Error, Fault, Recovery,
    action::{ChainSnafu, RebuildsSnafu},
    machine::Loss,
    stage_state::{AvoidedEngine, Phase, StageState},
};
use crate::chain::{Chain, Plan};

impl Draft {
    /// Handles the failure of the pending step of a stage.
    pub(super) fn failed(
        &mut self,
        now: Instant,
        index: usize,
        fault: Fault,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        if fault == Fault::Timeout && self.should_wait(now, index, planner) {
            self.extend_timeout(now, index);
            return Ok(());
        }
        // Without a deadline, nothing else would end the wait for a busy engine.
        let must_stay = fault == Fault::Busy
            && self.prompt.deadline.is_some()
            && !self.has_other(now, index, planner);
        let max_sends = self.prompt.settings.tries;
        let pause = self.prompt.settings.busy_pause;
        let state = &mut self.stages[index];
        let Phase::Awaiting(pending) = &mut state.phase else { return Ok(()) };
        match fault {
            // The connection may have broken while the engine runs. A retried step keeps its name.
            Fault::Lost if pending.send_count < max_sends => {
                self.send(now, index);
                Ok(())
            }
            // Waiting is cheaper than rebuilding the KV cache that the engine already holds.
            Fault::Busy
                if must_stay || (pending.send_count < max_sends && state.kv_positions > 0) =>
            {
                pending.resend_at = Some(now + pause * pending.send_count);
                Ok(())
            }
            Fault::Leaving => {
                let upstream = state.stage.upstream.clone();
                self.record_loss(now, index);
                self.stages[index].phase = Phase::Idle;
                self.avoid(now, &upstream);
                self.migrate(now, index, planner)
            }
            // The engine lost the KV cache but not the layers.
            Fault::Gap if state.kv_positions > 0 => self.rebuild(now, index, planner),
            Fault::Lost
            | Fault::Timeout
            | Fault::Busy
            | Fault::NotHeld
            | Fault::Gap
            | Fault::Refused => {
                let upstream = state.stage.upstream.clone();
                // After the maximum timeout, recent activity of the engine no longer counts.
                let ceiling = self.prompt.settings.timeout_ceiling;
                let late = fault == Fault::Timeout && now < pending.sent_at + ceiling;
                self.add_avoided(now, &upstream, late);
                self.rebuild(now, index, planner)
            }
        }
    }

    /// Returns whether to keep waiting for a late step: its engine is alive, no other engine
    /// holds the layers, and the maximum timeout has not passed.
    fn should_wait(&self, now: Instant, index: usize, planner: &dyn Plan) -> bool {
        let state = &self.stages[index];
        let Some(pending) = state.pending() else { return false };
        let upstream = &state.stage.upstream;
        if now >= pending.sent_at + self.prompt.settings.timeout_ceiling
            || !planner.is_alive(upstream)
        {
            return false;
        }
        !self.has_other(now, index, planner)
    }

    /// Returns whether engines besides the one of a stage hold its layers.
    fn has_other(&self, now: Instant, index: usize, planner: &dyn Plan) -> bool {
        let stage = &self.stages[index].stage;
        let mut excluded = self.excluded(now);
        excluded.push(stage.upstream.clone());
        planner.plan(stage.layers, &excluded).is_ok()
    }

    /// Extends the timeout of the pending step by the time since it was first sent, but by at
    /// least the minimum timeout and up to the maximum timeout.
    fn extend_timeout(&mut self, now: Instant, index: usize) {
        let ceiling = self.prompt.settings.timeout_ceiling;
        let floor = self.prompt.settings.timeout_floor;
        if let Phase::Awaiting(pending) = &mut self.stages[index].phase {
            let longer = now + now.since(pending.sent_at).max(floor);
            pending.times_out_at = longer.min(pending.sent_at + ceiling);
        }
    }

    pub(super) fn engine_lost(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        self.avoid(now, upstream);
        while let Some(index) = self.stages.iter().position(|s| s.stage.upstream == *upstream) {
            self.rebuild(now, index, planner)?;
        }
        let moving = |state: &StageState| match &state.phase {
            Phase::Moving(kv) if kv.to.upstream == *upstream => Some(kv.attempt),
            _ => None,
        };
        while let Some(attempt) = self.stages.iter().find_map(moving) {
            self.kv_failed(now, attempt, true, planner)?;
        }
        Ok(())
    }

    pub(super) fn tick(&mut self, now: Instant, planner: &dyn Plan) -> Result<(), Error> {
        let due = |state: &StageState| state.wake().is_some_and(|at| at <= now);
        while let Some(index) = self.stages.iter().position(due) {
            match &self.stages[index].phase {
                Phase::Awaiting(pending) if pending.resend_at.is_some() => self.send(now, index),
                Phase::Awaiting(_) => self.failed(now, index, Fault::Timeout, planner)?,
                Phase::Moving(_) => self.give_up_move(now, index, planner)?,
                Phase::Idle => break,
            }
        }
        Ok(())
    }

    /// Replaces a lost stage, and the stages before it if its inputs were not retained.
    pub(super) fn rebuild(
        &mut self,
        now: Instant,
        index: usize,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        self.record_loss(now, index);
        let rebuilds = self.prompt.settings.rebuilds;
        ensure!(self.stats.rebuilds < rebuilds, RebuildsSnafu { rebuilds });
        self.stats.rebuilds += 1;
        let (first, last, chain) = self.replacement(now, index, planner)?;
        for lost in first..=last {
            self.cancel_stage(lost);
        }
        self.replace(first, last, chain);
        Ok(())
    }

    /// Returns whether a stage that still runs can be rebuilt elsewhere.
    pub(super) fn may_rebuild(&self, now: Instant, index: usize, planner: &dyn Plan) -> bool {
        self.stats.rebuilds < self.prompt.settings.rebuilds
            && self.replacement(now, index, planner).is_ok()
    }

    /// Returns the first and the last stage to rebuild if a stage is lost, and the chain for them.
    fn replacement(
        &self,
        now: Instant,
        index: usize,
        planner: &dyn Plan,
    ) -> Result<(usize, usize, Chain), Error> {
        let (first, last) = match self.prompt.settings.recovery {
            Recovery::Whole => (0, self.stages.len() - 1),
            Recovery::Stage => (self.first_to_rebuild(index), index),
        };
        let span = Layers {
            from: self.stages[first].stage.layers.from,
            to: self.stages[last].stage.layers.to,
        };
        let chain = self.plan_replacement(now, span, planner)?;
        let needed = chain.time(self.length(), self.prompt.settings.chunk);
        self.prompt.check_time(now, needed)?;
        Ok((first, last, chain))
    }

    /// Returns the index of the nearest stage at or before a lost one whose inputs reach back to
    /// position 0.
    fn first_to_rebuild(&self, index: usize) -> usize {
        let complete = |state: &StageState| state.input.is_complete();
        self.stages[..=index].iter().rposition(complete).unwrap_or(0)
    }

    fn replace(&mut self, first: usize, last: usize, chain: Chain) {
        let number = self.stages[first].number;
        let mut rebuilt = self.new_stages(chain, number);
        let after: SmallVec<[StageState; 4]> = self.stages.drain(last + 1..).collect();
        let mut lost: SmallVec<[StageState; 4]> = self.stages.drain(first..).collect();
        rebuilt[0].input = std::mem::take(&mut lost[0].input);
        self.stages.extend(rebuilt);
        self.stages.extend(after);
    }

    /// Creates the states of the stages of a chain, under a new attempt.
    pub(super) fn new_stages(&mut self, chain: Chain, number: u32) -> SmallVec<[StageState; 4]> {
        self.attempt += 1;
        let mut stages: SmallVec<[StageState; 4]> = SmallVec::new();
        for (stage, number) in chain.into_stages().into_iter().zip(number..) {
            // An engine that runs two stages holds two KV caches, so they get two attempts.
            if stages.iter().any(|state| state.stage.upstream == stage.upstream) {
                self.attempt += 1;
            }
            stages.push(StageState::new(stage, self.attempt, number));
        }
        stages
    }

    /// Cancels the attempts of a stage at its engine and at the target of a move.
    pub(super) fn cancel_stage(&mut self, index: usize) {
        let state = &self.stages[index];
        let cancel = |upstream: &Upstream, attempt| Action::CancelAttempt {
            upstream: upstream.clone(),
            attempt,
        };
        self.actions.push(cancel(&state.stage.upstream, state.attempt));
        if let Phase::Moving(kv) = &state.phase {
            self.actions.push(cancel(&kv.to.upstream, kv.attempt));
        }
    }

    /// Records the loss of a stage; the first loss is kept until the next token.
    pub(super) fn record_loss(&mut self, now: Instant, index: usize) {
        let sent_at = self.stages[index].pending().map_or(now, |pending| pending.sent_at);
        self.loss.get_or_insert(Loss { sent_at, detected_at: now });
    }

    pub(super) fn avoid(&mut self, now: Instant, upstream: &Upstream) {
        self.add_avoided(now, upstream, false);
    }

    /// Avoids an engine; one that was only late is used again if there is no other.
    pub(super) fn add_avoided(&mut self, now: Instant, upstream: &Upstream, late: bool) {
        let until = now + self.prompt.settings.avoid;
        self.avoided.retain(|avoided| avoided.upstream != *upstream);
        self.avoided.push(AvoidedEngine { upstream: upstream.clone(), until, late });
    }

    /// Returns the engines that are currently avoided.
    pub(super) fn excluded(&self, now: Instant) -> SmallVec<[Upstream; 4]> {
        self.avoided_where(now, |_| true)
    }

    fn avoided_where(
        &self,
        now: Instant,
        keep: impl Fn(&AvoidedEngine) -> bool,
    ) -> SmallVec<[Upstream; 4]> {
        let current = self.avoided.iter().filter(|avoided| now < avoided.until && keep(avoided));
        current.map(|avoided| avoided.upstream.clone()).collect()
    }

    /// Plans a chain without the avoided engines, or if there is none, with those of them that
    /// were only late and are alive.
    fn plan_replacement(
        &self,
        now: Instant,
        span: Layers,
        planner: &dyn Plan,
    ) -> Result<Chain, Error> {
        planner.plan(span, &self.excluded(now)).or_else(|error| {
            let unavailable =
                |avoided: &AvoidedEngine| !(avoided.late && planner.is_alive(&avoided.upstream));
            let fallback = planner.plan(span, &self.avoided_where(now, unavailable));
            fallback.map_err(|_| error).context(ChainSnafu)
        })
    }

    /// Returns whether other engines hold the layers of a stage.
    pub(super) fn is_replaceable(&self, now: Instant, index: usize, planner: &dyn Plan) -> bool {
        planner.plan(self.stages[index].stage.layers, &self.excluded(now)).is_ok()
    }
}
