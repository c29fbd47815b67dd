use goldcrestvale_base::{
    id::{Key, Offset},
    time::Instant,
};

use super::{
    call::{Slot, State},
    event::Action,
    machine::Coordinator,
    refusal::{Cause, Scope},
};
use crate::{
    batch::Policy,
    claim::{Abandonment, Kind, Outcome, OwnerAnswer, Refusal, Standing},
    prefix::Continuity,
    record::{Page, View},
};

impl<P: Policy> Coordinator<P> {
    /// Processes a page, unless it shows that the stream was or may have been reset.
    pub(super) fn read(&mut self, page: Page<'_>, now: Instant, out: &mut Vec<Action>) {
        match self.fold.prefix().compare(&page) {
            Continuity::Reset => return self.reset_log(out),
            Continuity::Behind => return self.suspect_log(),
            Continuity::Same => self.log_suspect = false,
            Continuity::Unknown if self.log_suspect && page.oldest < self.fold.next() => return,
            Continuity::Unknown => {}
        }
        if page.oldest > self.fold.next() || self.log_suspect {
            self.fold.restart(page.oldest);
            self.log_suspect = false;
        }
        self.observe_appends(page, now);
        for &record in page.records {
            if record.offset < self.fold.next() {
                continue;
            }
            let Ok(outcome) = self.fold.apply(record) else { return };
            self.handle_outcome(outcome, record, now, out);
        }
        self.abandons
            .retain(|key, claim| self.fold.get(key).is_some_and(|holding| holding.claim == *claim));
        self.settling.retain(|key| {
            self.fold.get(key).is_some_and(|holding| holding.standing == Standing::Claimed)
        });
        self.write_mark(page.end, now);
    }

    /// Suspends reading until a page contains the last record that was read at its old offset.
    fn suspect_log(&mut self) {
        self.log_suspect = true;
        self.alarms += 1;
    }

    fn reset_log(&mut self, out: &mut Vec<Action>) {
        self.log_reset = true;
        self.alarms += 1;
        self.give_up_all(Cause::LogReset, out);
    }

    fn handle_outcome(
        &mut self,
        outcome: Outcome,
        record: View<'_>,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        let own = record.id.incarnation == self.sequence.incarnation();
        match outcome {
            Outcome::Won(key) if own => self.win(key, record, now, out),
            Outcome::Lost(key) if own => self.lose(key, record, out),
            Outcome::Refused(key, refusal) if own => {
                self.end_refused(key, refusal, record, now, out);
            }
            Outcome::Abandoned(key) => self.unblock(key, now),
            _ => {}
        }
    }

    /// Dispatches a claim that won before its deadline; abandons any other claim of this process.
    fn win(&mut self, key: Key, record: View<'_>, now: Instant, out: &mut Vec<Action>) {
        let Some(slot) = self.take_claiming(key, record) else {
            return self.abandon_orphan(key, record.offset, now);
        };
        let State::Claiming { claim, .. } = slot.state else { return };
        let won = claim.win(record.offset);
        if slot.deadline <= now {
            let abandoned = self.abandon(won, now);
            let (ticket, verdict) = (slot.ticket, abandoned.verdict());
            self.refuse_in(Scope::Key, ticket, verdict, Cause::Deadline, out);
            for follower in slot.followers {
                let (ticket, claim) = (follower.ticket, follower.claim.lose());
                out.push(Action::Replay { ticket, claim, outcome: OwnerAnswer::GivenUp });
            }
            return;
        }
        let ticket = slot.ticket;
        self.slots.insert(key, Slot { state: State::Dispatching, ..slot });
        out.push(Action::Dispatch { ticket, claim: won });
    }

    /// Abandons a claim that was given up before it was read.
    fn abandon_orphan(&mut self, key: Key, claim: Offset, now: Instant) {
        self.abandons.insert(key, claim);
        self.write(Kind::Abandon(Abandonment { key, claim }), now);
    }

    fn lose(&mut self, key: Key, record: View<'_>, out: &mut Vec<Action>) {
        let Some(mut slot) = self.take_claiming(key, record) else { return };
        let State::Claiming { claim, .. } = slot.state else { return };
        if self.abandons.contains_key(&key) {
            slot.state = State::Blocked(claim);
            self.slots.insert(key, slot);
            return;
        }
        self.follow_holder(slot.ticket, claim.lose(), out);
        for follower in slot.followers {
            self.follow_holder(follower.ticket, follower.claim.lose(), out);
        }
    }

    /// Refuses the calls of an invalid claim; abandons the claim if other instances may accept it.
    fn end_refused(
        &mut self,
        key: Key,
        refusal: Refusal,
        record: View<'_>,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        if refusal == Refusal::Unproven {
            self.write(Kind::Abandon(Abandonment { key, claim: record.offset }), now);
        }
        let Some(slot) = self.take_claiming(key, record) else { return };
        let State::Claiming { claim, .. } = slot.state else { return };
        let cause = Cause::Key(refusal);
        self.refuse(slot.ticket, claim.give_up(), cause, out);
        for follower in slot.followers {
            self.refuse(follower.ticket, follower.claim.give_up(), cause, out);
        }
    }

    /// Claims a key again after an older claim of it by this process was abandoned in the log.
    fn unblock(&mut self, key: Key, now: Instant) {
        self.abandons.remove(&key);
        let Some(mut slot) = self.slots.remove(&key) else { return };
        if let State::Blocked(claim) = slot.state {
            let id = self.write(Kind::Claim(slot.intent.clone()), now);
            slot.state = State::Claiming { id, claim };
        }
        self.slots.insert(key, slot);
    }

    /// Removes the slot of a key if this record is the claim that it waits for.
    fn take_claiming(&mut self, key: Key, record: View<'_>) -> Option<Slot> {
        let slot = self.slots.get(&key)?;
        let awaited = matches!(slot.state, State::Claiming { id, .. } if id == record.id);
        if awaited { self.slots.remove(&key) } else { None }
    }

    /// Counts the appends in a page: records of one append share their writer and their time.
    fn observe_appends(&mut self, page: Page<'_>, now: Instant) {
        let mut appends = 0;
        let mut last = None;
        for record in page.records {
            let append = (record.id.incarnation, record.written);
            if last.replace(append) != Some(append) {
                appends += 1;
            }
        }
        self.queue.observe(now, appends);
    }

    /// Writes one mark if the stream is idle and its time is not known.
    fn write_mark(&mut self, end: Offset, now: Instant) {
        let idle = self.fold.prefix().since().is_none() && self.fold.next() == end;
        if idle && !self.mark_written {
            self.mark_written = true;
            self.write(Kind::Mark, now);
        }
    }
}
