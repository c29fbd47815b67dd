use std::time::Duration;

use goldcrestvale_base::{id::Key, time::Instant, verdict::Verdict};
use rand::Rng;

use super::{
    call::{Follower, Followers, Slot, Stage, Ticket},
    event::Action,
    machine::Coordinator,
    refusal::{Cause, Refused, Scope},
};
use crate::{
    batch::Policy,
    claim::{Claim, OwnerAnswer, Pending, Standing},
};

impl<P: Policy> Coordinator<P> {
    pub(super) fn end_followers(&self, slot: Slot, outcome: OwnerAnswer, out: &mut Vec<Action>) {
        for Follower { ticket, claim, .. } in slot.followers {
            out.push(Action::Replay { ticket, claim: claim.lose(), outcome: outcome.clone() });
        }
    }

    pub(super) fn drop_caller(&mut self, ticket: Ticket, key: Key, out: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(&key) else { return };
        if slot.ticket == ticket {
            return self.give_up(key, Cause::GivenUp, out);
        }
        let (gone, kept) = slot.split_followers(|follower| follower.ticket == ticket);
        slot.followers = kept;
        self.leave_behind(gone, Cause::GivenUp, out);
    }

    pub(super) fn lose_log(&mut self, out: &mut Vec<Action>) {
        self.log_out = true;
        self.give_up_all(Cause::LogOut, out);
    }

    /// Gives up the work on every key whose claim is not decided.
    pub(super) fn give_up_all(&mut self, cause: Cause, out: &mut Vec<Action>) {
        let keys: Vec<Key> = self.slots.keys().copied().collect();
        for key in keys {
            self.give_up(key, cause, out);
        }
    }

    /// Gives up the work on a key whose claim is not decided.
    ///
    /// If a record of the claim is in the log even so, it is abandoned once it is read.
    pub(super) fn give_up(&mut self, key: Key, cause: Cause, out: &mut Vec<Action>) {
        let Some((ticket, claim, followers)) = self.take_undecided(key) else { return };
        let followers = followers.into_iter().map(|follower| (follower.ticket, follower.claim));
        for (ticket, claim) in std::iter::once((ticket, claim)).chain(followers) {
            self.end_undecided(ticket, claim, cause, out);
        }
    }

    fn take_undecided(&mut self, key: Key) -> Option<(Ticket, Claim<Pending>, Followers)> {
        let slot = self.slots.remove(&key)?;
        match slot.stage {
            Stage::Claiming { id, claim } => {
                self.queue.withdraw(id);
                Some((slot.ticket, claim, slot.followers))
            }
            Stage::Blocked(claim) => Some((slot.ticket, claim, slot.followers)),
            Stage::Out => {
                self.slots.insert(key, slot);
                None
            }
        }
    }

    /// Ends a call whose claim is not decided; it may stand behind another instance's claim.
    fn end_undecided(
        &mut self,
        ticket: Ticket,
        claim: Claim<Pending>,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let key = claim.key();
        let held = self.fold.get(&key).filter(|_| !self.abandons.contains_key(&key));
        match held.map(|holding| holding.standing) {
            None => self.refuse(ticket, claim.give_up(), cause, out),
            Some(Standing::Settled(_)) => {
                let verdict = claim.lose().end(&OwnerAnswer::Ran);
                self.refuse(ticket, verdict, Cause::HeldElsewhere, out);
            }
            Some(Standing::Claimed) => {
                let verdict = claim.lose().end(&OwnerAnswer::MayHaveRun);
                self.refuse(ticket, verdict, Cause::HeldElsewhere, out);
            }
        }
    }

    pub(super) fn give_up_late(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_deadline.is_none_or(|deadline| deadline > now) {
            return;
        }
        let late = |(key, slot): (&Key, &Slot)| {
            let undecided = !matches!(slot.stage, Stage::Out);
            (undecided && slot.deadline <= now).then_some(*key)
        };
        let keys: Vec<Key> = self.slots.iter().filter_map(late).collect();
        for key in keys {
            self.give_up(key, Cause::Deadline, out);
        }
        self.end_late_followers(now, out);
        self.next_deadline = self.slots.values().flat_map(Slot::deadlines).min();
    }

    /// Ends followers past their deadline; the call that they follow may still run.
    fn end_late_followers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut late = Followers::new();
        for slot in self.slots.values_mut() {
            let (gone, kept) = slot.split_followers(|follower| follower.deadline <= now);
            slot.followers = kept;
            late.extend(gone);
        }
        self.leave_behind(late, Cause::Deadline, out);
    }

    /// Ends calls whose key another call at this instance may still run.
    fn leave_behind(&mut self, gone: Followers, cause: Cause, out: &mut Vec<Action>) {
        for Follower { ticket, claim, .. } in gone {
            let verdict = claim.lose().end(&OwnerAnswer::MayHaveRun);
            self.refuse(ticket, verdict, cause, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        ticket: Ticket,
        verdict: Verdict,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        self.refuse_in(Scope::Call, ticket, verdict, cause, out);
    }

    pub(super) fn refuse_in(
        &mut self,
        scope: Scope,
        ticket: Ticket,
        verdict: Verdict,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let retry_after = cause.is_temporary().then(|| self.retry_after());
        out.push(Action::Refuse {
            ticket,
            refused: Refused { verdict, scope, cause, retry_after },
        });
    }

    /// Draws a time to come back, spread so that refused callers do not return together.
    fn retry_after(&mut self) -> Duration {
        self.settings.min_retry_after.mul_f64(self.rng.random_range(1.0..2.0))
    }

    pub(super) fn note_deadline(&mut self, deadline: Instant) {
        let next = self.next_deadline.map_or(deadline, |next| next.min(deadline));
        self.next_deadline = Some(next);
    }
}
