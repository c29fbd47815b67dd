use std::collections::{BTreeMap, VecDeque};

use goldcrestvale_base::{id::RecordId, time::Instant};
use snafu::{Snafu, ensure};

use super::{Policy, Waiting};
use crate::record::Draft;

/// The result of queueing a record.
pub type Result<T> = std::result::Result<T, Error>;

/// A reason why a record is not queued.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Too many records wait for an append.
    #[snafu(display("{waiting} records wait for an append, no more are taken"))]
    Full {
        /// Number of records that wait.
        waiting: usize,
    },
}

/// The bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most records that wait.
    pub max_waiting: usize,
    /// Most records in one append.
    pub max_records: usize,
    /// Most appends that are not answered yet.
    pub max_in_flight: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_waiting: 4_096, max_records: 512, max_in_flight: 2 }
    }
}

/// Records to append together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Number by which the answer is told; each try has its own.
    pub number: u64,
    /// The records, in order.
    pub records: Vec<Draft>,
}

/// The records of one process on their way to one stream.
///
/// Records whose append was lost go again, with the same identities, before newer ones.
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
    handed_out: bool,
}

impl<P: Policy> Queue<P> {
    /// Makes an empty queue.
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
    /// Fails if too many records wait.
    pub fn try_push(&mut self, draft: Draft, now: Instant) -> Result<()> {
        let waiting = self.waiting.len();
        ensure!(waiting < self.limits.max_waiting, FullSnafu { waiting });
        self.push(draft, now);
        Ok(())
    }

    /// Adds a record that must not be refused, such as the end of a claim that was taken in.
    pub fn push(&mut self, draft: Draft, now: Instant) {
        self.waiting.push_back(Item { draft, since: now, handed_out: false });
    }

    /// Takes a record back and returns whether it was never handed out.
    ///
    /// A record that was handed out may be in the log even so; it is not repeated.
    pub fn withdraw(&mut self, id: RecordId) -> bool {
        if let Some(at) = self.waiting.iter().position(|item| item.draft.id == id) {
            return self.waiting.remove(at).is_some_and(|item| !item.handed_out);
        }
        for items in self.in_flight.values_mut() {
            items.retain(|item| item.draft.id != id);
        }
        false
    }

    /// Returns the next append if it is due.
    pub fn poll(&mut self, now: Instant) -> Option<Batch> {
        if self.due()? > now {
            return None;
        }
        let count = self.waiting.len().min(self.limits.max_records);
        let mut items: Vec<Item> = self.waiting.drain(..count).collect();
        for item in &mut items {
            item.handed_out = true;
        }
        let records = items.iter().map(|item| item.draft.clone()).collect();
        let number = self.next_number;
        self.next_number += 1;
        self.last_append = Some(now);
        self.in_flight.insert(number, items);
        Some(Batch { number, records })
    }

    /// Returns the time at which the next append is due, if records wait and one may go.
    pub fn due(&self) -> Option<Instant> {
        let oldest = self.waiting.front()?.since;
        if self.in_flight.len() >= self.limits.max_in_flight {
            return None;
        }
        let last_append = self.last_append;
        Some(self.policy.due(&Waiting { count: self.waiting.len(), oldest, last_append }))
    }

    /// Takes note that an append was acknowledged.
    pub fn acknowledge(&mut self, number: u64) {
        self.in_flight.remove(&number);
    }

    /// Takes note that the answer to an append was lost; its records go again.
    pub fn append_lost(&mut self, number: u64, now: Instant) {
        for mut item in self.in_flight.remove(&number).unwrap_or_default().into_iter().rev() {
            item.since = now;
            self.waiting.push_front(item);
        }
    }

    /// Tells the policy of appends that were read.
    pub fn observe(&mut self, now: Instant, appends: u32) {
        self.policy.observe(now, appends);
    }

    /// Returns the policy.
    pub fn policy(&self) -> &P {
        &self.policy
    }

    /// Returns the number of records that wait or whose append is not answered.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.in_flight.values().map(Vec::len).sum::<usize>()
    }

    /// Returns whether no record is on its way.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
