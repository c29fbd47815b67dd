//! The memory that callers' requests and answers hold, shared by all requests of a process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::intake::{Budget, Decision, Ticket};
pub use goldcrestvale_route::intake::{Machine, Owner};
use http::request::Parts;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};
use snafu::Snafu;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{callers::head_bytes, clock::Clock, server::Reader};

/// The result of a request for memory.
pub type Result<T> = std::result::Result<T, Full>;

/// Memory that a request takes besides its head, its body and its answer, in bytes.
const REQUEST_BYTES: usize = 16 << 10;

/// Memory that a field of a head takes besides its name and its value, in bytes.
const FIELD_BYTES: usize = 128;

/// When a caller may retry whose request gave way.
const YIELDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Interval at which a holder that waits looks whether answers are still read.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The memory for requests and answers is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the memory for requests is used up"))]
pub struct Full {
    /// When there may be room.
    pub retry_after: Duration,
}

/// The memory that callers' requests and answers hold together.
///
/// # Examples
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use std::time::Duration;
///
/// use goldcrestvale_entry::{clock::Clock, intake::{Intake, Machine, Owner}, metrics::Recorder};
///
/// let recorder = Recorder::new()?;
/// let intake = Intake::new(Machine::default(), Clock::start(), &recorder.meter());
/// let mut charge = intake.enter(Owner::named("family"), Duration::from_secs(5));
/// charge.grow(1_000).await?;
/// assert_eq!(intake.held(), 1_000);
/// drop(charge);
/// assert_eq!(intake.held(), 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// # }).unwrap();
/// ```
#[derive(Debug)]
pub struct Intake {
    clock: Clock,
    table: Mutex<Table>,
    released: Notify,
    refused: Counter<u64>,
}

#[derive(Debug)]
struct Table {
    budget: Budget,
    /// Cancelled when a holder is to give way.
    holders: HashMap<Ticket, CancellationToken>,
    /// The callers of the answers that were handed over.
    readers: HashMap<Ticket, Reader>,
}

/// Memory that counts until it is dropped.
#[derive(Debug)]
pub struct Charge {
    intake: Arc<Intake>,
    ticket: Ticket,
    bytes: u64,
    until: Instant,
    yielded: CancellationToken,
}

impl Intake {
    /// Creates an intake for a machine, with its metrics.
    pub fn new(machine: Machine, clock: Clock, meter: &Meter) -> Arc<Self> {
        let budget = Budget::new(machine.request_bytes());
        let intake = Arc::new(Self {
            clock,
            table: Mutex::new(Table { budget, holders: HashMap::new(), readers: HashMap::new() }),
            released: Notify::new(),
            refused: meter.u64_counter("goldcrestvale_intake_refused").build(),
        });
        type Gauge = (&'static str, fn(&Budget) -> u64);
        let gauges: [Gauge; 3] = [
            ("goldcrestvale_intake_bytes", Budget::held),
            ("goldcrestvale_intake_limit_bytes", Budget::total),
            ("goldcrestvale_intake_holders", |budget| budget.holders() as u64),
        ];
        for (name, read) in gauges {
            let intake = Arc::downgrade(&intake);
            let value = move || intake.upgrade().map_or(0, |intake| read(&intake.table().budget));
            meter
                .u64_observable_gauge(name)
                .with_callback(move |o| o.observe(value(), &[]))
                .build();
        }
        intake
    }

    /// Adds a holder that holds nothing yet, for at most `time`.
    pub fn enter(self: &Arc<Self>, owner: Owner, time: Duration) -> Charge {
        let now = self.clock.now();
        let until = now + time;
        let yielded = CancellationToken::new();
        let mut table = self.table();
        let ticket = table.budget.enter(now, until, owner);
        table.holders.insert(ticket, yielded.clone());
        Charge { intake: self.clone(), ticket, bytes: 0, until, yielded }
    }

    /// Takes the memory of a request with a head.
    ///
    /// # Errors
    ///
    /// Fails if there is no room.
    pub async fn admit(
        self: &Arc<Self>,
        owner: Owner,
        time: Duration,
        head: &Parts,
    ) -> Result<Charge> {
        let mut charge = self.enter(owner, time);
        charge.grow(REQUEST_BYTES + head_memory(head)).await?;
        Ok(charge)
    }

    /// Ends the body or the unread answer that gives way to a new connection; returns whether there
    /// is one.
    pub fn make_way(&self) -> bool {
        let now = self.clock.now();
        let mut table = self.table();
        table.record_reads(now);
        let Some(ticket) = table.budget.make_way(now) else { return false };
        table.cancel(ticket);
        true
    }

    /// Waits until a holder has ended, for at most `time`.
    pub async fn released(&self, time: Duration) {
        // A time without one is no error.
        let _ = tokio::time::timeout(time, self.released.notified()).await;
    }

    /// Returns the memory that is held, in bytes.
    pub fn held(&self) -> u64 {
        self.table().budget.held()
    }

    fn count_refused(&self, cause: &'static str) {
        self.refused.add(1, &[KeyValue::new("cause", cause)]);
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the memory that a head takes, in bytes.
fn head_memory(head: &Parts) -> usize {
    head_bytes(head) + FIELD_BYTES * head.headers.len()
}

impl Table {
    /// Records when callers last read of their answers.
    fn record_reads(&mut self, now: Instant) {
        for (ticket, reader) in &self.readers {
            self.budget.record_read(*ticket, reader.read_at(now));
        }
    }

    fn cancel(&self, ticket: Ticket) {
        if let Some(yielded) = self.holders.get(&ticket) {
            yielded.cancel();
        }
    }
}

impl Charge {
    /// Takes more memory, and waits for that of others that give way.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, if this holder has to give way itself, or if its time is over.
    pub async fn grow(&mut self, bytes: usize) -> Result<()> {
        let bytes = bytes as u64;
        let intake = self.intake.clone();
        loop {
            let released = intake.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            let now = intake.clock.now();
            {
                let mut table = intake.table();
                if !table.budget.has_room(self.ticket, bytes) {
                    table.record_reads(now);
                }
                match table.budget.grow(now, self.ticket, bytes) {
                    Decision::Granted => {
                        self.bytes += bytes;
                        return Ok(());
                    }
                    Decision::Wait(yielding) => {
                        yielding.iter().for_each(|ticket| table.cancel(*ticket));
                    }
                    Decision::Refused(retry_after) => {
                        intake.count_refused("full");
                        return Err(Full { retry_after });
                    }
                }
            }
            tokio::select! {
                () = released => {}
                () = self.yielded.cancelled() => return Err(self.give_way()),
                // An answer that is waited for may no longer be read.
                () = tokio::time::sleep(self.until.since(now).min(READ_CHECK_INTERVAL)) => {
                    if self.until <= intake.clock.now() {
                        intake.count_refused("full");
                        return Err(Full { retry_after: YIELDED_RETRY_AFTER });
                    }
                }
            }
        }
    }

    /// Gives back memory that is not needed any more.
    pub fn shrink(&mut self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.bytes = self.bytes.saturating_sub(bytes as u64);
        self.intake.table().budget.shrink(self.ticket, self.bytes);
        self.intake.released.notify_waiters();
    }

    /// Lets this holder give way to others from now on, or no longer.
    ///
    /// # Errors
    ///
    /// Fails if it has to give way already.
    pub fn set_yields(&mut self, yields: bool) -> Result<()> {
        let is_set = self.intake.table().budget.set_yields(self.ticket, yields);
        if is_set { Ok(()) } else { Err(self.give_way()) }
    }

    /// Lets an answer wait for memory in place of being refused: its request has run.
    pub fn set_patient(&mut self) {
        self.intake.table().budget.set_patient(self.ticket);
    }

    /// Hands an answer over to its caller. It gives way from now on by closing the caller's connection,
    /// unless the caller reads.
    pub fn hand_over(&mut self, reader: Reader) {
        reader.record();
        let now = self.intake.clock.now();
        let mut table = self.intake.table();
        table.budget.record_read(self.ticket, now);
        table.holders.insert(self.ticket, reader.closer().clone());
        table.readers.insert(self.ticket, reader);
    }

    /// Waits until this holder has to give way.
    pub async fn yielded(&self) {
        self.yielded.cancelled().await;
    }

    /// Returns the error of a holder that has to give way.
    pub fn give_way(&self) -> Full {
        self.intake.count_refused("gave way");
        Full { retry_after: YIELDED_RETRY_AFTER }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut table = self.intake.table();
        table.budget.leave(self.ticket);
        table.holders.remove(&self.ticket);
        table.readers.remove(&self.ticket);
        drop(table);
        self.intake.released.notify_waiters();
    }
}
