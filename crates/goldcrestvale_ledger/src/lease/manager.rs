use std::time::Duration;

use goldcrestvale_base::{
    id::{Instance, RecordId},
    time::Instant,
};

use super::{
    fold::{FORGET_AFTER, Fold, Outcome},
    lifecycle::{Granted, Held, Lease, Request, Requested, Waiting},
    record::{Kind, Record},
};
use crate::{
    prefix::{Continuity, Prefix},
    record::{Draft, Page, Sequence, View},
};

/// Share of a lease's length after which it is renewed.
const RENEW_AFTER: u32 = 3;

/// Thirds of a lease's length without a record after which a candidate asks for it.
const PATIENCE: u32 = 2;

/// Marks written while a lease is waited for to be forgotten.
const MARKS: u32 = 4;

/// What a lease is about and how long it lasts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the lease.
    pub name: String,
    /// Name of this instance.
    pub instance: Instance,
    /// Time that the lease lasts after its grant or its last renewal.
    pub length: Duration,
    /// Longest time that an order takes to arrive.
    pub order_delay: Duration,
}

/// Something that happened to the manager of a lease.
#[derive(Debug)]
pub enum Event<'a> {
    /// The lease stream was read.
    Read(Page<'a>),
    /// The append of the last record was acknowledged.
    Appended,
    /// The answer to the append of the last record was lost, or the append failed.
    AppendLost,
    /// Time passed.
    Tick,
    /// The instance is shutting down: the lease is given back and not asked for again. Every
    /// order was answered or waited out.
    Release,
}

/// Asks for one lease, renews it while it is held and notices when it is lost.
///
/// Each call of [`handle`](Self::handle) returns the record to append, if there is one; one
/// append at a time is on its way. A record whose answer was lost is appended again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::{id::Incarnation, time::Instant};
/// use goldcrestvale_ledger::{
///     lease::{Settings, Event, Manager}, prefix::Prefix, record::Sequence,
/// };
///
/// let settings = Settings {
///     name: "orders".into(),
///     instance: "yeka-1".parse()?,
///     length: Duration::from_secs(10),
///     order_delay: Duration::from_secs(2),
/// };
/// let mut manager = Manager::new(settings, Prefix::from_start(), Sequence::new(Incarnation(1), 0));
/// assert!(manager.handle(Event::Tick, Instant(0)).is_none(), "a candidate is patient first");
/// assert!(manager.handle(Event::Tick, Instant(10_000_000)).is_some());
/// assert!(manager.held().is_none());
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug)]
pub struct Manager {
    settings: Settings,
    fold: Fold,
    sequence: Sequence,
    state: State,
    /// The record on its way, and whether its append must be repeated.
    draft: Option<(Draft, bool)>,
    /// Time at which the lease last changed, as this instance saw it.
    changed: Option<Instant>,
    /// Time at which this instance last marked the time of the stream.
    marked: Option<Instant>,
    releasing: bool,
    log_reset: bool,
    log_suspect: bool,
}

#[derive(Debug)]
enum State {
    Idle,
    Requested(Lease<Requested>),
    Waiting(Lease<Waiting>),
    Held(Lease<Held>),
}

impl Manager {
    /// Makes a manager that has read nothing yet.
    pub fn new(settings: Settings, prefix: Prefix, sequence: Sequence) -> Self {
        let fold = Fold::new(prefix);
        Self {
            settings,
            fold,
            sequence,
            state: State::Idle,
            draft: None,
            changed: None,
            marked: None,
            releasing: false,
            log_reset: false,
            log_suspect: false,
        }
    }

    /// Handles an event and returns the record to append, if there is one.
    pub fn handle(&mut self, event: Event<'_>, now: Instant) -> Option<Draft> {
        self.changed.get_or_insert(now);
        match event {
            Event::Read(page) => self.read(page, now),
            Event::Appended => self.draft = None,
            Event::AppendLost => {
                if let Some((_, repeat)) = &mut self.draft {
                    *repeat = true;
                }
            }
            Event::Tick => {}
            Event::Release => self.releasing = true,
        }
        self.try_hold(now);
        self.repeat()
            .or_else(|| self.release())
            .or_else(|| self.mark(now))
            .or_else(|| self.ask(now))
            .or_else(|| self.renew(now))
    }

    /// Returns the lease while it is held.
    pub fn held(&self) -> Option<&Lease<Held>> {
        match &self.state {
            State::Held(lease) if !self.releasing => Some(lease),
            _ => None,
        }
    }

    /// Returns whether the manager has given its lease back and every record was acknowledged.
    pub fn is_released(&self) -> bool {
        self.releasing && self.draft.is_none() && !matches!(self.state, State::Held(_))
    }

    /// Returns the leases of the stream as far as they were read.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns whether the log went back to an older state; the manager asks no more then.
    pub fn is_log_reset(&self) -> bool {
        self.log_reset
    }

    fn read(&mut self, page: Page<'_>, now: Instant) {
        match self.fold.prefix().compare(&page) {
            Continuity::Reset => {
                self.log_reset = true;
                self.state = State::Idle;
                return;
            }
            Continuity::Behind => {
                self.log_suspect = true;
                return;
            }
            Continuity::Same => self.log_suspect = false,
            Continuity::Unknown if self.log_suspect && page.oldest < self.fold.prefix().next() => {
                return;
            }
            Continuity::Unknown => {}
        }
        if page.oldest > self.fold.prefix().next() || self.log_suspect {
            self.fold = Fold::new(Prefix::trimmed(page.oldest));
            self.state = State::Idle;
            self.changed = Some(now);
            self.log_suspect = false;
        }
        for &record in page.records {
            if record.offset < self.fold.prefix().next() {
                continue;
            }
            let Ok(outcome) = self.fold.apply(record) else { return };
            self.decide(outcome, record, now);
        }
    }

    fn decide(&mut self, outcome: Outcome, record: View<'_>, now: Instant) {
        let name = &self.settings.name;
        match outcome {
            Outcome::Granted { lease, before } if lease == *name => {
                self.changed = Some(now);
                self.take(before, record);
            }
            Outcome::Renewed(lease) if lease == *name => {
                self.changed = Some(now);
                self.prolong(record.id);
            }
            Outcome::Released(lease) if lease == *name => self.changed = Some(now),
            Outcome::Refused(lease) if lease == *name => self.drop_refused(record.id),
            _ => {}
        }
    }

    /// Moves on after a grant, to this instance or to another one.
    fn take(&mut self, before: Option<Duration>, record: View<'_>) {
        self.state = match std::mem::replace(&mut self.state, State::Idle) {
            State::Requested(asked) if asked.grant() == record.id => {
                let delay = self.settings.order_delay;
                State::Waiting(asked.granted(record.offset, before, delay))
            }
            State::Requested(asked) => State::Requested(asked),
            _ => State::Idle,
        };
    }

    fn prolong(&mut self, id: RecordId) {
        match &mut self.state {
            State::Waiting(lease) => lease.renewed(id),
            State::Held(lease) => lease.renewed(id),
            _ => {}
        }
    }

    fn drop_refused(&mut self, id: RecordId) {
        if matches!(&self.state, State::Requested(asked) if asked.grant() == id) {
            self.state = State::Idle;
        }
    }

    fn try_hold(&mut self, now: Instant) {
        self.state = match std::mem::replace(&mut self.state, State::Idle) {
            State::Waiting(lease) => match lease.try_hold(now) {
                Ok(lease) => State::Held(lease),
                Err(lease) => State::Waiting(lease),
            },
            state => state,
        };
    }

    fn release(&mut self) -> Option<Draft> {
        if !self.releasing || self.draft.is_some() {
            return None;
        }
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Held(lease) => {
                let (_ended, record) = lease.release();
                let id = self.sequence.next_id();
                Some(self.hand_out(id, &record))
            }
            state => {
                self.state = state;
                None
            }
        }
    }

    fn repeat(&mut self) -> Option<Draft> {
        let (draft, repeat) = self.draft.as_mut()?;
        std::mem::take(repeat).then(|| draft.clone())
    }

    /// Asks for the lease once it was released, or has been quiet for longer than its holder
    /// leaves between renewals.
    fn ask(&mut self, now: Instant) -> Option<Draft> {
        let name = &self.settings.name;
        let open = matches!(self.state, State::Idle) && !self.log_reset && !self.releasing;
        if !open || self.draft.is_some() || !self.fold.knows(name) {
            return None;
        }
        let current = self.fold.get(name);
        let unchanged_since = self.changed.unwrap_or(now);
        let patience = match current {
            Some(current) if current.released => Duration::ZERO,
            Some(current) => current.length * PATIENCE / 3,
            None => self.settings.length * PATIENCE / 3,
        };
        if now < unchanged_since + patience {
            return None;
        }
        let request = Request {
            name: name.clone(),
            instance: self.settings.instance.clone(),
            length: self.settings.length,
            after: current.map(|current| current.last),
            unchanged_since,
        };
        let id = self.sequence.next_id();
        let (asked, record) = Lease::request(&request, id, now);
        self.state = State::Requested(asked);
        Some(self.hand_out(id, &record))
    }

    /// Marks the time in an idle stream whose leases are not known, at its start and later on.
    fn mark(&mut self, now: Instant) -> Option<Draft> {
        if self.draft.is_some() || self.log_reset || self.fold.knows(&self.settings.name) {
            return None;
        }
        let started = self.fold.prefix().since().is_some();
        let wait = if started { FORGET_AFTER / MARKS } else { Duration::ZERO };
        if self.marked.is_some_and(|marked| now < marked + wait.max(self.settings.length)) {
            return None;
        }
        self.marked = Some(now);
        let id = self.sequence.next_id();
        let record = Record::new(&*self.settings.name, Kind::Mark);
        Some(self.hand_out(id, &record))
    }

    fn renew(&mut self, now: Instant) -> Option<Draft> {
        if self.draft.is_some() || self.releasing {
            return None;
        }
        let length = self.settings.length;
        let id = self.sequence.next_id();
        let record = match &mut self.state {
            State::Waiting(lease) => lease.renew_when_due(id, now, length)?,
            State::Held(lease) => lease.renew_when_due(id, now, length)?,
            _ => return None,
        };
        Some(self.hand_out(id, &record))
    }

    fn hand_out(&mut self, id: RecordId, record: &Record) -> Draft {
        let draft = Draft { id, data: record.to_json() };
        self.draft = Some((draft.clone(), false));
        draft
    }
}

impl<S: Granted> Lease<S> {
    fn renew_when_due(&mut self, id: RecordId, now: Instant, length: Duration) -> Option<Record> {
        let due = self.requested_at() + length / RENEW_AFTER;
        (due <= now).then(|| self.renew(id, now))
    }
}
