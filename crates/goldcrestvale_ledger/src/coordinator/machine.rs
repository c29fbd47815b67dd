use std::collections::{BTreeMap, BTreeSet};

use goldcrestvale_base::{
    id::{Incarnation, Key, Offset},
    time::Instant,
};
use rand::rngs::StdRng;

use super::{
    call::{Call, Follower, Slot, State, Ticket},
    event::{Action, Event},
    refusal::{Cause, Scope},
    settings::Settings,
};
use crate::{
    batch::{Policy, Queue},
    claim::{
        Abandoned, Claim, Fingerprint, Fold, Intent, Kind, Lost, OwnerAnswer, Pending, Record,
        Refusal, Settled, Standing, Unanswered, Won,
    },
    prefix::Prefix,
    record::{Draft, Sequence},
};

/// Coordinates the keyed calls of one claim stream at one entry instance.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::{id::Incarnation, time::Instant};
/// use goldcrestvale_ledger::{
///     batch::Fixed, claim::Window, coordinator::{Coordinator, Event, Settings}, prefix::Prefix,
///     record::Sequence,
/// };
/// use rand::{SeedableRng, rngs::StdRng};
///
/// let window = Window { length: Duration::from_secs(600) };
/// let settings = Settings::new("yeka-1".parse()?, window);
/// let sequence = Sequence::new(Incarnation(1), 0);
/// let policy = Fixed::new(Duration::from_millis(10));
/// let mut coordinator = Coordinator::new(
///     settings,
///     policy,
///     Prefix::from_start(),
///     sequence,
///     StdRng::seed_from_u64(1),
/// );
/// let mut actions = Vec::new();
/// coordinator.handle(Event::Tick, Instant(0), &mut actions);
/// assert!(actions.is_empty() && coordinator.is_idle());
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Coordinator<P> {
    pub(super) settings: Settings,
    pub(super) fold: Fold,
    pub(super) queue: Queue<P>,
    pub(super) sequence: Sequence,
    pub(super) rng: StdRng,
    pub(super) slots: BTreeMap<Key, Slot>,
    /// Claims by this process that won according to the log but were given up.
    pub(super) abandons: BTreeMap<Key, Offset>,
    /// Keys whose call ran here and whose settlement was not read back from the log yet.
    pub(super) settling: BTreeSet<Key>,
    pub(super) next_deadline: Option<Instant>,
    pub(super) log_unavailable: bool,
    pub(super) log_reset: bool,
    /// Whether a page showed that the stream ends before the last record that was read.
    pub(super) log_suspect: bool,
    pub(super) alarms: u64,
    pub(super) draining: bool,
    pub(super) mark_written: bool,
}

impl<P: Policy> Coordinator<P> {
    /// Creates a coordinator that starts to read at a prefix.
    pub fn new(
        settings: Settings,
        policy: P,
        prefix: Prefix,
        sequence: Sequence,
        rng: StdRng,
    ) -> Self {
        let fold = Fold::new(settings.window, prefix);
        Self::with_fold(settings, policy, fold, sequence, rng)
    }

    /// Creates a coordinator that continues from a fold, such as a restored checkpoint.
    pub fn with_fold(
        settings: Settings,
        policy: P,
        fold: Fold,
        sequence: Sequence,
        rng: StdRng,
    ) -> Self {
        Self {
            queue: Queue::new(policy, settings.limits),
            settings,
            fold,
            sequence,
            rng,
            slots: BTreeMap::new(),
            abandons: BTreeMap::new(),
            settling: BTreeSet::new(),
            next_deadline: None,
            log_unavailable: false,
            log_reset: false,
            log_suspect: false,
            alarms: 0,
            draining: false,
            mark_written: false,
        }
    }

    /// Handles an event and appends the actions to take to `out`.
    pub fn handle(&mut self, event: Event<'_>, now: Instant, out: &mut Vec<Action>) {
        match event {
            Event::Call(call) => self.call(call, now, out),
            Event::Appended(number) => self.queue.acknowledge(number),
            Event::AppendLost(number) => self.queue.append_lost(number, now),
            Event::Read(page) => self.read(page, now, out),
            Event::LogUnavailable => self.handle_log_unavailable(out),
            Event::LogAvailable => self.log_unavailable = false,
            Event::Returned(claim) => self.handle_returned(claim, now, out),
            Event::Settled(claim) => self.settle(claim, now, out),
            Event::Unanswered(claim) => self.end_unanswered(claim, out),
            Event::CallerGone(ticket, key) => self.drop_caller(ticket, key, out),
            Event::Tick => {}
            Event::Drain => self.draining = true,
        }
        self.give_up_overdue(now, out);
        self.append_due(now, out);
    }

    /// Returns the answer to another instance that queries the outcome of a key.
    ///
    /// A key unknown to this process was given up: a claim of it that this process wrote will never
    /// be dispatched.
    pub fn owner_answer(&self, key: &Key) -> OwnerAnswer {
        if self.slots.contains_key(key) {
            return OwnerAnswer::MayHaveRun;
        }
        if let Some(outcome) = self.own_outcome(key) {
            return outcome;
        }
        let unknown = self.fold.get(key).is_none() && self.fold.check(key).is_ok();
        if unknown && !self.log_reset { OwnerAnswer::GivenUp } else { OwnerAnswer::Silent }
    }

    /// Returns the time at which the next [`Event::Tick`] is due, if one is needed.
    pub fn next_tick(&self) -> Option<Instant> {
        let append = if self.can_append() { self.queue.due() } else { None };
        [append, self.next_deadline].into_iter().flatten().min()
    }

    /// Returns whether no call is in progress and no record waits to be appended or acknowledged.
    pub fn is_idle(&self) -> bool {
        self.slots.is_empty() && self.queue.is_empty()
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.sequence.incarnation()
    }

    /// Returns the claims of the stream, according to the records read so far.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the queue of records to append.
    pub fn queue(&self) -> &Queue<P> {
        &self.queue
    }

    /// Returns the number of keys in progress.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether no key is in progress.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns whether the log was reset to an older state.
    pub fn is_log_reset(&self) -> bool {
        self.log_reset
    }

    /// Returns whether a page showed that the stream ends before the last record that was read;
    /// the next read should begin at [`Prefix::read_from`].
    pub fn is_log_suspect(&self) -> bool {
        self.log_suspect
    }

    /// Returns the number of times that the stream showed an older state than was read before.
    pub fn alarms(&self) -> u64 {
        self.alarms
    }

    fn call(&mut self, call: Call, now: Instant, out: &mut Vec<Action>) {
        let Call { ticket, key, deadline, .. } = call;
        let claim = Claim::new(key);
        let intent = call.intent(&self.settings.instance);
        let fingerprint = Fingerprint::of(&intent);
        if let Some(slot) = self.slots.get_mut(&key) {
            if slot.fingerprint != fingerprint {
                let cause = Cause::Key(Refusal::Mismatch);
                return self.refuse(ticket, claim.give_up(), cause, out);
            }
            slot.followers.push(Follower { ticket, deadline, claim });
            return self.record_deadline(deadline);
        }
        if let Err(cause) = self.check_admission(&key, deadline, now) {
            let Some(claim) = self.defer_to_holder(ticket, claim, fingerprint, out) else { return };
            return self.refuse(ticket, claim.give_up(), cause, out);
        }
        let Some(claim) = self.defer_to_holder(ticket, claim, fingerprint, out) else { return };
        self.open_slot(ticket, deadline, intent, fingerprint, claim, now);
    }

    /// Ends a call whose key is held according to the log; returns the claim if the key is free.
    fn defer_to_holder(
        &mut self,
        ticket: Ticket,
        claim: Claim<Pending>,
        fingerprint: Fingerprint,
        out: &mut Vec<Action>,
    ) -> Option<Claim<Pending>> {
        let key = claim.key();
        let Some(holding) = self.fold.get(&key) else { return Some(claim) };
        if holding.fingerprint != fingerprint {
            self.refuse(ticket, claim.give_up(), Cause::Key(Refusal::Mismatch), out);
            return None;
        }
        if self.abandons.contains_key(&key) {
            return Some(claim);
        }
        self.follow_holder(ticket, claim.lose(), out);
        None
    }

    /// Ends a call with the outcome of the claim that holds its key, or queries the owner for it.
    pub(super) fn follow_holder(&self, ticket: Ticket, claim: Claim<Lost>, out: &mut Vec<Action>) {
        let key = claim.key();
        if let Some(outcome) = self.own_outcome(&key) {
            out.push(Action::Replay { ticket, claim, outcome });
        } else if let Some(holding) = self.fold.get(&key) {
            let owner = holding.owner.clone();
            out.push(Action::QueryOwner { ticket, claim, owner, standing: holding.standing });
        } else {
            out.push(Action::Replay { ticket, claim, outcome: OwnerAnswer::Silent });
        }
    }

    fn check_admission(&self, key: &Key, deadline: Instant, now: Instant) -> Result<(), Cause> {
        self.fold.check(key).map_err(Cause::Key)?;
        if self.log_reset {
            return Err(Cause::LogReset);
        }
        if self.draining {
            return Err(Cause::Draining);
        }
        if self.log_unavailable {
            return Err(Cause::LogOut);
        }
        if deadline <= now {
            return Err(Cause::Deadline);
        }
        if self.slots.len() >= self.settings.max_calls {
            return Err(Cause::Busy);
        }
        Ok(())
    }

    fn open_slot(
        &mut self,
        ticket: Ticket,
        deadline: Instant,
        intent: Intent,
        fingerprint: Fingerprint,
        claim: Claim<Pending>,
        now: Instant,
    ) {
        let key = claim.key();
        let state = if self.abandons.contains_key(&key) {
            State::Blocked(claim)
        } else {
            let id = self.write(Kind::Claim(intent.clone()), now);
            State::Claiming { id, claim }
        };
        let followers = Default::default();
        self.slots.insert(key, Slot { ticket, deadline, intent, fingerprint, state, followers });
        self.record_deadline(deadline);
    }

    /// Queues a record; the limit on calls also limits the records that result from them.
    pub(super) fn write(&mut self, kind: Kind, now: Instant) -> goldcrestvale_base::id::RecordId {
        let id = self.sequence.next_id();
        self.queue.push(Draft { id, data: Record::new(kind).to_json() }, now);
        id
    }

    fn handle_returned(&mut self, claim: Claim<Won>, now: Instant, out: &mut Vec<Action>) {
        let key = claim.key();
        let abandoned = self.abandon(claim, now);
        let Some(slot) = self.slots.remove(&key) else { return };
        self.refuse_in(Scope::Key, slot.ticket, abandoned.verdict(), Cause::GivenUp, out);
        self.replay_to_followers(slot, OwnerAnswer::GivenUp, out);
    }

    /// Abandons a claim that won, locally and in the log.
    pub(super) fn abandon(&mut self, claim: Claim<Won>, now: Instant) -> Claim<Abandoned> {
        self.abandons.insert(claim.key(), claim.offset());
        let abandoned = claim.abandon();
        self.write(abandoned.record(), now);
        abandoned
    }

    fn settle(&mut self, claim: Claim<Settled>, now: Instant, out: &mut Vec<Action>) {
        self.write(claim.record(), now);
        self.settling.insert(claim.key());
        if let Some(slot) = self.slots.remove(&claim.key()) {
            self.replay_to_followers(slot, OwnerAnswer::Ran, out);
        }
    }

    fn end_unanswered(&mut self, claim: Claim<Unanswered>, out: &mut Vec<Action>) {
        if let Some(slot) = self.slots.remove(&claim.key()) {
            self.replay_to_followers(slot, OwnerAnswer::MayHaveRun, out);
        }
    }

    fn append_due(&mut self, now: Instant, out: &mut Vec<Action>) {
        while self.can_append()
            && let Some(batch) = self.queue.poll(now)
        {
            out.push(Action::Append(batch));
        }
    }

    fn can_append(&self) -> bool {
        !self.log_unavailable && !self.log_reset
    }

    /// Returns the outcome of a key that this process won and for which no call is in progress.
    fn own_outcome(&self, key: &Key) -> Option<OwnerAnswer> {
        let holding = self.fold.get(key)?;
        if holding.owner.incarnation != self.sequence.incarnation() {
            return None;
        }
        if self.abandons.contains_key(key) {
            return Some(OwnerAnswer::GivenUp);
        }
        Some(match holding.standing {
            Standing::Settled(_) => OwnerAnswer::Ran,
            Standing::Claimed if self.settling.contains(key) => OwnerAnswer::Ran,
            Standing::Claimed => OwnerAnswer::MayHaveRun,
        })
    }
}
