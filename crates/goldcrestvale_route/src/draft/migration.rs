//! Migration of stages off engines that are leaving or suspected.

use goldcrestvale_base::{id::Upstream, time::Instant};

use super::{
    Action, Draft, Error,
    stage_state::{KvMove, Phase, StageState},
};
use crate::chain::Plan;

impl Draft {
    /// Migrates the stages of a leaving engine, each as soon as it is idle. A stage that cannot run
    /// elsewhere stays until the engine refuses a step.
    pub(super) fn engine_leaving(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        self.avoid(now, upstream);
        for state in &mut self.stages {
            state.migration_due |= state.stage.upstream == *upstream;
        }
        self.migrate_idle(now, planner)
    }

    /// Starts the migration of idle stages for which one is due.
    pub(super) fn migrate_idle(&mut self, now: Instant, planner: &dyn Plan) -> Result<(), Error> {
        let ready = |state: &StageState| state.migration_due && matches!(state.phase, Phase::Idle);
        while let Some(index) = self.stages.iter().position(ready) {
            self.stages[index].migration_due = false;
            if self.is_replaceable(now, index, planner)
                && !self.start_move(now, index, planner)
                && self.may_rebuild(now, index, planner)
            {
                self.rebuild(now, index, planner)?;
            }
        }
        Ok(())
    }

    /// Rebuilds the stages of a suspected engine on other engines. A stage that cannot run elsewhere
    /// stays until a step fails.
    pub(super) fn engine_suspected(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        self.add_avoided(now, upstream, true);
        let suspected = |state: &StageState| state.stage.upstream == *upstream;
        while let Some(index) = self.stages.iter().position(suspected) {
            if !self.is_replaceable(now, index, planner) || !self.may_rebuild(now, index, planner) {
                break;
            }
            self.rebuild(now, index, planner)?;
        }
        Ok(())
    }

    /// Moves the KV cache of an idle stage to another engine, or rebuilds it there.
    pub(super) fn migrate(
        &mut self,
        now: Instant,
        index: usize,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        match self.start_move(now, index, planner) {
            true => Ok(()),
            false => self.rebuild(now, index, planner),
        }
    }

    /// Starts to move the KV cache of an idle stage; returns whether there is an engine for it.
    fn start_move(&mut self, now: Instant, index: usize, planner: &dyn Plan) -> bool {
        let excluded = self.excluded(now);
        let state = &mut self.stages[index];
        state.migration_due = false;
        let target = planner.cover(state.stage.layers, &excluded);
        let Some(to) = target.filter(|_| self.prompt.settings.moves && state.kv_positions > 0)
        else {
            return false;
        };
        self.attempt += 1;
        self.actions.push(Action::MoveKv {
            from: state.stage.upstream.clone(),
            attempt: state.attempt,
            to: to.upstream.clone(),
            new_attempt: self.attempt,
            layers: state.stage.layers,
            positions: state.kv_positions,
            timeout: self.prompt.settings.move_timeout,
        });
        let times_out_at = now + self.prompt.settings.move_timeout;
        state.phase = Phase::Moving(KvMove { to, attempt: self.attempt, times_out_at });
        true
    }

    pub(super) fn kv_moved(
        &mut self,
        now: Instant,
        attempt: u32,
        positions: u32,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        let Some(index) = self.find_moving(attempt) else { return Ok(()) };
        if self.stages[index].kv_positions != positions {
            return self.give_up_move(now, index, planner);
        }
        let state = &mut self.stages[index];
        let Phase::Moving(kv) = std::mem::replace(&mut state.phase, Phase::Idle) else {
            return Ok(());
        };
        let old = std::mem::replace(&mut state.stage, kv.to);
        let upstream = old.upstream;
        self.actions.push(Action::CancelAttempt { upstream, attempt: state.attempt });
        state.attempt = kv.attempt;
        self.stats.moved += 1;
        Ok(())
    }

    /// Handles the failed move of a KV cache. An engine that cannot import it is not used for the
    /// rebuild either.
    pub(super) fn kv_failed(
        &mut self,
        now: Instant,
        attempt: u32,
        exported: bool,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        let Some(index) = self.find_moving(attempt) else { return Ok(()) };
        let Phase::Moving(kv) = &self.stages[index].phase else { return Ok(()) };
        if exported {
            let upstream = kv.to.upstream.clone();
            self.avoid(now, &upstream);
        }
        self.give_up_move(now, index, planner)
    }

    /// Rebuilds a stage whose KV cache was not moved. A stage that cannot run elsewhere stays on its
    /// engine.
    pub(super) fn give_up_move(
        &mut self,
        now: Instant,
        index: usize,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        if self.is_replaceable(now, index, planner) && self.may_rebuild(now, index, planner) {
            return self.rebuild(now, index, planner);
        }
        let phase = std::mem::replace(&mut self.stages[index].phase, Phase::Idle);
        if let Phase::Moving(KvMove { to, attempt, .. }) = phase {
            let upstream = to.upstream;
            self.actions.push(Action::CancelAttempt { upstream, attempt });
        }
        Ok(())
    }

    fn find_moving(&self, attempt: u32) -> Option<usize> {
        let moved =
            |state: &StageState| matches!(&state.phase, Phase::Moving(kv) if kv.attempt == attempt);
        self.stages.iter().position(moved)
    }
}
