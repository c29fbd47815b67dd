use std::collections::{BTreeMap, VecDeque};

use goldcrestvale_base::{id::RecordId, time::Instant};
use snafu::{Snafu, ensure};

use super::{Policy, Waiting};
use crate::record::Draft;

/// The result of queueing a record.
pub type Result<T> = std::result::Result<T, Error>;

/// A reason why a record cannot be queued.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Too many records are waiting for an append.
    #[snafu(display("the queue is full: {waiting} records are waiting for an append"))]
    Full {
        /// Number of waiting records.
        waiting: usize,
    },
}

/// The limits of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of waiting records.
    pub max_waiting: usize,
    /// Maximum number of records in one append.
    pub max_records: usize,
    /// Maximum number of unanswered appends.
    pub max_in_flight: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_waiting: 4_096, max_records: 512, max_in_flight: 2 }
    }
}

/// Records to append in one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number that identifies the append in its answer; each attempt has its own number.
    pub number: u64,
    /// The records, in order.
    pub records: Vec<Draft>,
}

/// A queue of records that one process appends to one stream.
///
/// Records of a lost append are appended again, with the same identities, before newer records.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::{id::Incarnation, time::Instant};
/// use goldcrestvale_ledger::{
///     batch::{Fixed, Limits, Queue},
///     record::{Draft, Sequence},
/// };
///
/// let mut sequence = Sequence::new(Incarnation(1), 0);
/// let mut queue = Queue::new(Fixed::new(Duration::from_millis(10)), Limits::default());
/// queue.try_push(Draft { id: sequence.next_id(), data: "{}".into() }, Instant(0))?;
/// let first = queue.poll(Instant(0)).expect("nothing was appended yet");
/// queue.append_lost(first.number, Instant(3_000));
/// assert_eq!(queue.poll(Instant(3_000)), None);
/// let again = queue.poll(Instant(10_000)).expect("the interval is over");
/// assert_eq!(again.records, first.records);
/// # Ok::<(), goldcrestvale_ledger::batch::Error>(())
/// ```
#[derive(Debug)]
pub struct Queue<P> {
    policy: P,
    limits: Limits,
    waiting: VecDeque<Item>,
    in_flight: BTreeMap<u64, Vec<Item>>,
    next_number: u64,
    last_append: Option<Instant>,
}

#[derive(Debug)]
struct Item {
    draft: Draft,
    since: Instant,
    sent: bool,
}

impl<P: Policy> Queue<P> {
    /// Creates an empty queue.
    pub fn new(policy: P, limits: Limits) -> Self {
        Self {
            policy,
            limits,
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
            next_number: 0,
            last_append: None,
        }
    }

    /// Adds a record.
    ///
    /// # Errors
    ///
    /// Fails if too many records are waiting.
    pub fn try_push(&mut self, draft: Draft, now: Instant) -> Result<()> {
        let waiting = self.waiting.len();
        ensure!(waiting < self.limits.max_waiting, FullSnafu { waiting });
        self.push(draft, now);
        Ok(())
    }

    /// Adds a record that must not be refused, such as the settlement of an accepted claim.
    pub fn push(&mut self, draft: Draft, now: Instant) {
        self.waiting.push_back(Item { draft, since: now, sent: false });
    }

    /// Removes a record and returns whether it was never sent.
    ///
    /// A record that was sent may still reach the log; its append is not retried.
    pub fn withdraw(&mut self, id: RecordId) -> bool {
        if let Some(at) = self.waiting.iter().position(|item| item.draft.id == id) {
            return self.waiting.remove(at).is_some_and(|item| !item.sent);
        }
        for items in self.in_flight.values_mut() {
            items.retain(|item| item.draft.id != id);
        }
        false
    }

    /// Returns the next append, if it is due.
    pub fn poll(&mut self, now: Instant) -> Option<Batch> {
        if self.due()? > now {
            return None;
        }
        let count = self.waiting.len().min(self.limits.max_records);
        let mut items: Vec<Item> = self.waiting.drain(..count).collect();
        for item in &mut items {
            item.sent = true;
        }
        let records = items.iter().map(|item| item.draft.clone()).collect();
        let number = self.next_number;
        self.next_number += 1;
        self.last_append = Some(now);
        self.in_flight.insert(number, items);
        Some(Batch { number, records })
    }

    /// Returns the time at which the next append is due, if records are waiting and the limits
    /// permit another append.
    pub fn due(&self) -> Option<Instant> {
        let oldest = self.waiting.front()?.since;
        if self.in_flight.len() >= self.limits.max_in_flight {
            return None;
        }
        let last_append = self.last_append;
        Some(self.policy.due(&Waiting { count: self.waiting.len(), oldest, last_append }))
    }

    /// Records that an append was acknowledged.
    pub fn acknowledge(&mut self, number: u64) {
        self.in_flight.remove(&number);
    }

    /// Records that the answer to an append was lost; its records are appended again.
    pub fn append_lost(&mut self, number: u64, now: Instant) {
        for mut item in self.in_flight.remove(&number).unwrap_or_default().into_iter().rev() {
            item.since = now;
            self.waiting.push_front(item);
        }
    }

    /// Reports appends that were read to the policy.
    pub fn observe(&mut self, now: Instant, appends: u32) {
        self.policy.observe(now, appends);
    }

    /// Returns the policy.
    pub fn policy(&self) -> &P {
        &self.policy
    }

    /// Returns the number of records that are waiting or whose append is unanswered.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.in_flight.values().map(Vec::len).sum::<usize>()
    }

    /// Returns whether no record is waiting or in an unanswered append.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
