//! Recovery of a draft whose stages are lost or leave.

use goldcrestvale_base::{engine::Layers, id::Upstream, time::Instant};
use smallvec::SmallVec;
use snafu::{ResultExt, ensure};

use super::{
    Action, Draft, Error, Fault, Recovery,
    action::{ChainSnafu, RebuildsSnafu},
    machine::Loss,
    stage_state::{Avoided, Place, Work},
};
use crate::chain::{Chain, Plan};

impl Draft {
    /// Handles the failure of the awaited step of a place.
    pub(super) fn failed(
        &mut self,
        now: Instant,
        index: usize,
        fault: Fault,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        if fault == Fault::Timeout && self.is_worth_waiting(now, index, planner) {
            self.wait_on(now, index);
            return Ok(());
        }
        let tries = self.prompt.settings.tries;
        let pause = self.prompt.settings.busy_pause;
        let place = &mut self.places[index];
        let Work::Awaiting(sent) = &mut place.work else { return Ok(()) };
        match fault {
            // The connection may have broken and not the engine. A repeated step has its name.
            Fault::Lost if sent.tries < tries => {
                self.send(now, index);
                Ok(())
            }
            // Waiting is cheaper than to rebuild what the engine holds already.
            Fault::Busy if sent.tries < tries && place.kv > 0 => {
                sent.again = Some(now + pause);
                Ok(())
            }
            Fault::Leaving => {
                let upstream = place.stage.upstream.clone();
                self.lose(now, index);
                self.places[index].work = Work::Idle;
                self.avoid(now, &upstream);
                self.leave(now, index, planner)
            }
            // The engine lost the KV cache but not the layers.
            Fault::Gap if place.kv > 0 => self.rebuild(now, index, planner),
            Fault::Lost
            | Fault::Timeout
            | Fault::Busy
            | Fault::NotHeld
            | Fault::Gap
            | Fault::Refused => {
                let upstream = place.stage.upstream.clone();
                // After the longest timeout a sign of life does not count any more.
                let ceiling = self.prompt.settings.timeout_ceiling;
                let late = fault == Fault::Timeout && now < sent.at + ceiling;
                self.avoid_for(now, &upstream, late);
                self.rebuild(now, index, planner)
            }
        }
    }

    /// Returns whether a late step is better waited for: its engine lives, no other holds the
    /// layers, and the longest timeout has not passed.
    fn is_worth_waiting(&self, now: Instant, index: usize, planner: &dyn Plan) -> bool {
        let place = &self.places[index];
        let Some(sent) = place.sent() else { return false };
        let upstream = &place.stage.upstream;
        if now >= sent.at + self.prompt.settings.timeout_ceiling || !planner.is_alive(upstream) {
            return false;
        }
        let mut excluded = self.excluded(now);
        excluded.push(upstream.clone());
        planner.plan(place.stage.layers, &excluded).is_err()
    }

    /// Gives the awaited step of a place the time that it had once more.
    fn wait_on(&mut self, now: Instant, index: usize) {
        let ceiling = self.prompt.settings.timeout_ceiling;
        let floor = self.prompt.settings.timeout_floor;
        if let Work::Awaiting(sent) = &mut self.places[index].work {
            let longer = now + now.since(sent.at).max(floor);
            sent.until = longer.min(sent.at + ceiling);
        }
    }

    pub(super) fn engine_lost(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        self.avoid(now, upstream);
        while let Some(index) = self.places.iter().position(|p| p.stage.upstream == *upstream) {
            self.rebuild(now, index, planner)?;
        }
        let moving = |place: &Place| match &place.work {
            Work::Moving(kv) if kv.to.upstream == *upstream => Some(kv.attempt),
            _ => None,
        };
        while let Some(attempt) = self.places.iter().find_map(moving) {
            self.kv_failed(now, attempt, true, planner)?;
        }
        Ok(())
    }

    pub(super) fn tick(&mut self, now: Instant, planner: &dyn Plan) -> Result<(), Error> {
        let due = |place: &Place| place.wake().is_some_and(|at| at <= now);
        while let Some(index) = self.places.iter().position(due) {
            match &self.places[index].work {
                Work::Awaiting(sent) if sent.again.is_some() => self.send(now, index),
                Work::Awaiting(_) => self.failed(now, index, Fault::Timeout, planner)?,
                Work::Moving(_) => self.rebuild(now, index, planner)?,
                Work::Idle => break,
            }
        }
        Ok(())
    }

    /// Replaces a lost stage, and where its inputs were not retained the stages before it.
    pub(super) fn rebuild(
        &mut self,
        now: Instant,
        index: usize,
        planner: &dyn Plan,
    ) -> Result<(), Error> {
        self.lose(now, index);
        let rebuilds = self.prompt.settings.rebuilds;
        ensure!(self.stats.rebuilds < rebuilds, RebuildsSnafu { rebuilds });
        self.stats.rebuilds += 1;
        let (first, last) = match self.prompt.settings.recovery {
            Recovery::Whole => (0, self.places.len() - 1),
            Recovery::Stage => (self.first_to_rebuild(index), index),
        };
        let span = Layers {
            from: self.places[first].stage.layers.from,
            to: self.places[last].stage.layers.to,
        };
        let chain = self.plan_anew(now, span, planner)?;
        let needed = chain.time(self.length(), self.prompt.settings.chunk);
        self.prompt.check_time(now, needed)?;
        for lost in first..=last {
            self.cancel_place(lost);
        }
        self.replace(first, last, chain);
        Ok(())
    }

    /// Returns the nearest place at or before a lost one whose inputs reach back to position 0.
    fn first_to_rebuild(&self, index: usize) -> usize {
        let whole = |place: &Place| place.input.is_whole();
        self.places[..=index].iter().rposition(whole).unwrap_or(0)
    }

    fn replace(&mut self, first: usize, last: usize, chain: Chain) {
        let number = self.places[first].number;
        let mut placed = self.placed(chain, number);
        let after: SmallVec<[Place; 4]> = self.places.drain(last + 1..).collect();
        let mut lost: SmallVec<[Place; 4]> = self.places.drain(first..).collect();
        placed[0].input = std::mem::take(&mut lost[0].input);
        self.places.extend(placed);
        self.places.extend(after);
    }

    /// Gives the stages of a chain their places, under a new attempt.
    pub(super) fn placed(&mut self, chain: Chain, number: u32) -> SmallVec<[Place; 4]> {
        self.attempt += 1;
        let mut placed: SmallVec<[Place; 4]> = SmallVec::new();
        for (stage, number) in chain.into_stages().into_iter().zip(number..) {
            // An engine that runs two stages holds two KV caches, so they get two attempts.
            if placed.iter().any(|place| place.stage.upstream == stage.upstream) {
                self.attempt += 1;
            }
            placed.push(Place::new(stage, self.attempt, number));
        }
        placed
    }

    /// Cancels what the engines of a place hold or run for it.
    pub(super) fn cancel_place(&mut self, index: usize) {
        let place = &self.places[index];
        let cancel = |upstream: &Upstream, attempt| Action::CancelAttempt {
            upstream: upstream.clone(),
            attempt,
        };
        self.actions.push(cancel(&place.stage.upstream, place.attempt));
        if let Work::Moving(kv) = &place.work {
            self.actions.push(cancel(&kv.to.upstream, kv.attempt));
        }
    }

    /// Records when a stage was lost, up to the next token.
    pub(super) fn lose(&mut self, now: Instant, index: usize) {
        let sent = self.places[index].sent().map_or(now, |sent| sent.at);
        self.loss.get_or_insert(Loss { sent, known: now });
    }

    pub(super) fn avoid(&mut self, now: Instant, upstream: &Upstream) {
        self.avoid_for(now, upstream, false);
    }

    /// Avoids an engine; one that was only late serves again for want of another.
    pub(super) fn avoid_for(&mut self, now: Instant, upstream: &Upstream, late: bool) {
        let until = now + self.prompt.settings.avoid;
        self.avoided.retain(|avoided| avoided.upstream != *upstream);
        self.avoided.push(Avoided { upstream: upstream.clone(), until, late });
    }

    /// Returns the engines that are avoided now.
    pub(super) fn excluded(&self, now: Instant) -> SmallVec<[Upstream; 4]> {
        self.exclude(now, |_| true)
    }

    fn exclude(&self, now: Instant, keep: impl Fn(&Avoided) -> bool) -> SmallVec<[Upstream; 4]> {
        let present = self.avoided.iter().filter(|avoided| now < avoided.until && keep(avoided));
        present.map(|avoided| avoided.upstream.clone()).collect()
    }

    /// Plans a chain without the avoided engines, or for want of others with those of them that
    /// were only late and live.
    fn plan_anew(&self, now: Instant, span: Layers, planner: &dyn Plan) -> Result<Chain, Error> {
        planner.plan(span, &self.excluded(now)).or_else(|error| {
            let lost = |avoided: &Avoided| !(avoided.late && planner.is_alive(&avoided.upstream));
            let second = planner.plan(span, &self.exclude(now, lost));
            second.map_err(|_| error).context(ChainSnafu)
        })
    }

    /// Returns whether other engines hold the layers of a place.
    pub(super) fn is_replaceable(&self, now: Instant, index: usize, planner: &dyn Plan) -> bool {
        planner.plan(self.places[index].stage.layers, &self.excluded(now)).is_ok()
    }
}
