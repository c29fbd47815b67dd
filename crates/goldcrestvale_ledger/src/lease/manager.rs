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

/// Divisor of the length of a lease that gives the time between renewals.
const RENEW_DIVISOR: u32 = 3;

/// Time without a record after which a candidate requests a lease, in thirds of its length.
const REQUEST_AFTER_THIRDS: u32 = 2;

/// Number of marks written until a lease in an idle stream is forgotten.
const MARK_COUNT: u32 = 4;

/// The settings of a lease manager.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the lease.
    pub name: String,
    /// Name of this instance.
    pub instance: Instance,
    /// Validity of the lease after its grant or its last renewal.
    pub length: Duration,
    /// Maximum time that an order takes to arrive.
    pub order_delay: Duration,
}

/// An input of a lease manager.
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
    /// The instance is shutting down: the lease is released and not requested again. Every order
    /// was answered or its maximum delay has passed.
    Release,
}

/// Requests one lease, renews it while it is held and detects its loss.
///
/// Each call of [`handle`](Self::handle) returns the record to append, if there is one; at most one
/// append is in flight. If the answer to an append was lost, the record is appended again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::{id::Incarnation, time::Instant};
/// use goldcrestvale_ledger::{
///     lease::{Event, Manager, Settings}, prefix::Prefix, record::Sequence,
/// };
///
/// let settings = Settings {
///     name: "orders".into(),
///     instance: "yeka-1".parse()?,
///     length: Duration::from_secs(10),
///     order_delay: Duration::from_secs(2),
/// };
/// let mut manager =
///     Manager::new(settings, Prefix::from_start(), Sequence::new(Incarnation(1), 0));
/// assert!(manager.handle(Event::Tick, Instant(0)).is_none(), "a candidate waits first");
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
    /// The record in flight, and whether its append must be retried.
    draft: Option<(Draft, bool)>,
    /// Time at which this instance last read a change of the lease.
    changed_at: Option<Instant>,
    /// Time at which this instance last wrote a mark.
    marked_at: Option<Instant>,
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
    /// Creates a manager that starts to read at a prefix.
    pub fn new(settings: Settings, prefix: Prefix, sequence: Sequence) -> Self {
        let fold = Fold::new(prefix);
        Self {
            settings,
            fold,
            sequence,
            state: State::Idle,
            draft: None,
            changed_at: None,
            marked_at: None,
            releasing: false,
            log_reset: false,
            log_suspect: false,
        }
    }

    /// Handles an event and returns the record to append, if there is one.
    pub fn handle(&mut self, event: Event<'_>, now: Instant) -> Option<Draft> {
        self.changed_at.get_or_insert(now);
        match event {
            Event::Read(page) => self.read(page, now),
            Event::Appended => self.draft = None,
            Event::AppendLost => {
                if let Some((_, retry)) = &mut self.draft {
                    *retry = true;
                }
            }
            Event::Tick => {}
            Event::Release => self.releasing = true,
        }
        self.try_hold(now);
        self.retry()
            .or_else(|| self.release())
            .or_else(|| self.write_mark(now))
            .or_else(|| self.request(now))
            .or_else(|| self.renew(now))
    }

    /// Returns the lease while it is held.
    pub fn held(&self) -> Option<&Lease<Held>> {
        match &self.state {
            State::Held(lease) if !self.releasing => Some(lease),
            _ => None,
        }
    }

    /// Returns whether the lease was released and every record was acknowledged.
    pub fn is_released(&self) -> bool {
        self.releasing && self.draft.is_none() && !matches!(self.state, State::Held(_))
    }

    /// Returns the leases of the stream, according to the records read so far.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns whether the log was reset to an older state; the manager then requests no lease.
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
            self.changed_at = Some(now);
            self.log_suspect = false;
        }
        for &record in page.records {
            if record.offset < self.fold.prefix().next() {
                continue;
            }
            let Ok(outcome) = self.fold.apply(record) else { return };
            self.handle_outcome(outcome, record, now);
        }
    }

    fn handle_outcome(&mut self, outcome: Outcome, record: View<'_>, now: Instant) {
        let name = &self.settings.name;
        match outcome {
            Outcome::Granted { lease, previous_length } if lease == *name => {
                self.changed_at = Some(now);
                self.handle_grant(previous_length, record);
            }
            Outcome::Renewed(lease) if lease == *name => {
                self.changed_at = Some(now);
                self.extend(record.id);
            }
            Outcome::Released(lease) if lease == *name => self.changed_at = Some(now),
            Outcome::Refused(lease) if lease == *name => self.drop_refused(record.id),
            _ => {}
        }
    }

    /// Updates the state after a grant to this instance or to another one.
    fn handle_grant(&mut self, previous_length: Option<Duration>, record: View<'_>) {
        self.state = match std::mem::replace(&mut self.state, State::Idle) {
            State::Requested(requested) if requested.grant() == record.id => {
                let delay = self.settings.order_delay;
                State::Waiting(requested.granted(record.offset, previous_length, delay))
            }
            State::Requested(requested) => State::Requested(requested),
            _ => State::Idle,
        };
    }

    fn extend(&mut self, id: RecordId) {
        match &mut self.state {
            State::Waiting(lease) => lease.renewed(id),
            State::Held(lease) => lease.renewed(id),
            _ => {}
        }
    }

    fn drop_refused(&mut self, id: RecordId) {
        if matches!(&self.state, State::Requested(requested) if requested.grant() == id) {
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
                Some(self.start_append(id, &record))
            }
            state => {
                self.state = state;
                None
            }
        }
    }

    fn retry(&mut self) -> Option<Draft> {
        let (draft, retry) = self.draft.as_mut()?;
        std::mem::take(retry).then(|| draft.clone())
    }

    /// Requests the lease once it was released or has had no record for longer than its holder
    /// waits between renewals.
    fn request(&mut self, now: Instant) -> Option<Draft> {
        let name = &self.settings.name;
        let available = matches!(self.state, State::Idle) && !self.log_reset && !self.releasing;
        if !available || self.draft.is_some() || !self.fold.knows(name) {
            return None;
        }
        let current = self.fold.get(name);
        let unchanged_since = self.changed_at.unwrap_or(now);
        let wait = match current {
            Some(current) if current.released => Duration::ZERO,
            Some(current) => current.length * REQUEST_AFTER_THIRDS / 3,
            None => self.settings.length * REQUEST_AFTER_THIRDS / 3,
        };
        if now < unchanged_since + wait {
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
        let (requested, record) = Lease::request(&request, id, now);
        self.state = State::Requested(requested);
        Some(self.start_append(id, &record))
    }

    /// Writes marks to an idle stream whose leases are not known, at its start and at intervals.
    fn write_mark(&mut self, now: Instant) -> Option<Draft> {
        if self.draft.is_some() || self.log_reset || self.fold.knows(&self.settings.name) {
            return None;
        }
        let started = self.fold.prefix().since().is_some();
        let wait = if started { FORGET_AFTER / MARK_COUNT } else { Duration::ZERO };
        if self.marked_at.is_some_and(|marked_at| now < marked_at + wait.max(self.settings.length))
        {
            return None;
        }
        self.marked_at = Some(now);
        let id = self.sequence.next_id();
        let record = Record::new(&*self.settings.name, Kind::Mark);
        Some(self.start_append(id, &record))
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
        Some(self.start_append(id, &record))
    }

    fn start_append(&mut self, id: RecordId, record: &Record) -> Draft {
        let draft = Draft { id, data: record.to_json() };
        self.draft = Some((draft.clone(), false));
        draft
    }
}

impl<S: Granted> Lease<S> {
    fn renew_when_due(&mut self, id: RecordId, now: Instant, length: Duration) -> Option<Record> {
        let due = self.requested_at() + length / RENEW_DIVISOR;
        (due <= now).then(|| self.renew(id, now))
    }
}
