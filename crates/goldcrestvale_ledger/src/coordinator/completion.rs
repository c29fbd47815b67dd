use std::time::Duration;

use goldcrestvale_base::{id::Key, time::Instant, verdict::Verdict};
use rand::Rng;

use super::{
    call::{Follower, Followers, Slot, State, Ticket},
    event::Action,
    machine::Coordinator,
    refusal::{Cause, Refused, Scope},
};
use crate::{
    batch::Policy,
    claim::{Claim, OwnerAnswer, Pending, Standing},
};

impl<P: Policy> Coordinator<P> {
    pub(super) fn replay_to_followers(
        &self,
        slot: Slot,
        outcome: OwnerAnswer,
        out: &mut Vec<Action>,
    ) {
        for Follower { ticket, claim, .. } in slot.followers {
            out.push(Action::Replay { ticket, claim: claim.lose(), outcome: outcome.clone() });
        }
    }

    pub(super) fn drop_caller(&mut self, ticket: Ticket, key: Key, out: &mut Vec<Action>) {
        let Some(slot) = self.slots.get_mut(&key) else { return };
        if slot.ticket == ticket {
            return self.give_up(key, Cause::GivenUp, out);
        }
        let (leaving, remaining) = slot.split_followers(|follower| follower.ticket == ticket);
        slot.followers = remaining;
        self.refuse_followers(leaving, Cause::GivenUp, out);
    }

    pub(super) fn handle_log_unavailable(&mut self, out: &mut Vec<Action>) {
        self.log_unavailable = true;
        self.give_up_all(Cause::LogOut, out);
    }

    /// Gives up every call whose claim is not decided.
    pub(super) fn give_up_all(&mut self, cause: Cause, out: &mut Vec<Action>) {
        let keys: Vec<Key> = self.slots.keys().copied().collect();
        for key in keys {
            self.give_up(key, cause, out);
        }
    }

    /// Gives up the calls of a key whose claim is not decided.
    ///
    /// If a record of the claim reaches the log nevertheless, it is abandoned once it is read.
    pub(super) fn give_up(&mut self, key: Key, cause: Cause, out: &mut Vec<Action>) {
        let Some((ticket, claim, followers)) = self.take_undecided(key) else { return };
        let followers = followers.into_iter().map(|follower| (follower.ticket, follower.claim));
        for (ticket, claim) in std::iter::once((ticket, claim)).chain(followers) {
            self.refuse_undecided(ticket, claim, cause, out);
        }
    }

    fn take_undecided(&mut self, key: Key) -> Option<(Ticket, Claim<Pending>, Followers)> {
        let slot = self.slots.remove(&key)?;
        match slot.state {
            State::Claiming { id, claim } => {
                self.queue.withdraw(id);
                Some((slot.ticket, claim, slot.followers))
            }
            State::Blocked(claim) => Some((slot.ticket, claim, slot.followers)),
            State::Dispatching => {
                self.slots.insert(key, slot);
                None
            }
        }
    }

    /// Refuses a call whose claim is not decided; another instance may already hold the key.
    fn refuse_undecided(
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

    pub(super) fn give_up_overdue(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_deadline.is_none_or(|deadline| deadline > now) {
            return;
        }
        let overdue = |(key, slot): (&Key, &Slot)| {
            let undecided = !matches!(slot.state, State::Dispatching);
            (undecided && slot.deadline <= now).then_some(*key)
        };
        let keys: Vec<Key> = self.slots.iter().filter_map(overdue).collect();
        for key in keys {
            self.give_up(key, Cause::Deadline, out);
        }
        self.refuse_overdue_followers(now, out);
        self.next_deadline = self.slots.values().flat_map(Slot::deadlines).min();
    }

    /// Refuses followers past their deadline; the call that they follow may still run.
    fn refuse_overdue_followers(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut overdue = Followers::new();
        for slot in self.slots.values_mut() {
            let (leaving, remaining) = slot.split_followers(|follower| follower.deadline <= now);
            slot.followers = remaining;
            overdue.extend(leaving);
        }
        self.refuse_followers(overdue, Cause::Deadline, out);
    }

    /// Refuses followers as possibly run, because the call that they follow may still run.
    fn refuse_followers(&mut self, followers: Followers, cause: Cause, out: &mut Vec<Action>) {
        for Follower { ticket, claim, .. } in followers {
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

    /// Returns a random retry time, so that refused callers do not all retry at once.
    fn retry_after(&mut self) -> Duration {
        self.settings.min_retry_after.mul_f64(self.rng.random_range(1.0..2.0))
    }

    pub(super) fn record_deadline(&mut self, deadline: Instant) {
        let next = self.next_deadline.map_or(deadline, |next| next.min(deadline));
        self.next_deadline = Some(next);
    }
}
