//! Leaving of engines that are leaving or suspected.

use goldcrestvale_base::{id::Upstream, time::Instant};

use super::{
    Action, Draft, Error,
    stage_state::{Move, Place, Work},
};
use crate::chain::Plan;

impl Draft {
    /// Moves the stages of a leaving engine, each as soon as it is idle. Where nothing can take
    /// them over, the draft goes on until the engine refuses a step.
    pub(super) fn engine_leaving(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        self.avoid(now, upstream);
        for place in &mut self.places {
            place.leaving |= place.stage.upstream == *upstream;
        }
        self.leave_idle(now, planner)
    }

    /// Starts to move the stages that are to leave and await no answer.
    pub(super) fn leave_idle(&mut self, now: Instant, planner: &dyn Plan) -> Result<(), Error> {
        let ready = |place: &Place| place.leaving && matches!(place.work, Work::Idle);
        while let Some(index) = self.places.iter().position(ready) {
            self.places[index].leaving = false;
            if self.is_replaceable(now, index, planner) {
                self.leave(now, index, planner)?;
            }
        }
        Ok(())
    }

    /// Rebuilds the stages of a suspected engine elsewhere. Where nothing can take them over, the
    /// draft goes on with the engine until a step fails.
    pub(super) fn engine_suspected(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        self.avoid_for(now, upstream, true);
        let suspected = |place: &Place| place.stage.upstream == *upstream;
        while let Some(index) = self.places.iter().position(suspected) {
            if !self.is_replaceable(now, index, planner) {
                break;
            }
            self.rebuild(now, index, planner)?;
        }
        Ok(())
    }

    /// Moves the KV cache of an idle place to another engine, or rebuilds it there.
    pub(super) fn leave(
        &mut self,
        now: Instant,
        index: usize,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        let excluded = self.excluded(now);
        let place = &mut self.places[index];
        place.leaving = false;
        let target = planner.cover(place.stage.layers, &excluded);
        let Some(to) = target.filter(|_| self.prompt.settings.moves && place.kv > 0) else {
            return self.rebuild(now, index, planner);
        };
        self.attempt += 1;
        self.actions.push(Action::MoveKv {
            from: place.stage.upstream.clone(),
            attempt: place.attempt,
            to: to.upstream.clone(),
            new_attempt: self.attempt,
            layers: place.stage.layers,
            positions: place.kv,
            timeout: self.prompt.settings.move_timeout,
        });
        let until = now + self.prompt.settings.move_timeout;
        place.work = Work::Moving(Move { to, attempt: self.attempt, until });
        Ok(())
    }

    pub(super) fn kv_moved(
        &mut self,
        now: Instant,
        attempt: u32,
        positions: u32,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        let Some(index) = self.moving(attempt) else { return Ok(()) };
        if self.places[index].kv != positions {
            return self.rebuild(now, index, planner);
        }
        let place = &mut self.places[index];
        let Work::Moving(kv) = std::mem::replace(&mut place.work, Work::Idle) else {
            return Ok(());
        };
        let old = std::mem::replace(&mut place.stage, kv.to);
        let upstream = old.upstream;
        self.actions.push(Action::CancelAttempt { upstream, attempt: place.attempt });
        place.attempt = kv.attempt;
        self.stats.moved += 1;
        Ok(())
    }

    /// Handles a KV cache that could not be moved. An engine that cannot import it is not used
    /// for the rebuild either; without another one, the stage stays where it is.
    pub(super) fn kv_failed(
        &mut self,
        now: Instant,
        attempt: u32,
        exported: bool,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        let Some(index) = self.moving(attempt) else { return Ok(()) };
        let Work::Moving(kv) = &self.places[index].work else { return Ok(()) };
        if exported {
            let upstream = kv.to.upstream.clone();
            self.avoid(now, &upstream);
            if !self.is_replaceable(now, index, planner) {
                self.places[index].work = Work::Idle;
                self.actions.push(Action::CancelAttempt { upstream, attempt });
                return Ok(());
            }
        }
        self.rebuild(now, index, planner)
    }

    fn moving(&self, attempt: u32) -> Option<usize> {
        let moved =
            |place: &Place| matches!(&place.work, Work::Moving(kv) if kv.attempt == attempt);
        self.places.iter().position(moved)
    }
}
