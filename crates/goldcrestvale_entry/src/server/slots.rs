//! The open connections of a server.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_route::intake::{Connection, Connections, Opening};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    activity::{Activity, State},
    clock::Clock,
    intake::Intake,
};

/// Maximum time that a new connection waits for one that is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The places for open connections of a server.
#[derive(Debug, Clone)]
pub(super) struct Slots {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    intake: Option<Arc<Intake>>,
    ended: Option<Counter<u64>>,
    table: Mutex<Table>,
    released: Notify,
}

/// The limit that ended a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Limit {
    /// It gave way to a new one.
    GaveWay,
    /// There was no place for it.
    NoPlace,
    /// A head did not arrive in time.
    LateHead,
    /// It was idle for too long.
    Idle,
    /// Its caller did not read.
    Unread,
}

impl Limit {
    fn as_str(self) -> &'static str {
        match self {
            Self::GaveWay => "gave way",
            Self::NoPlace => "no place",
            Self::LateHead => "late head",
            Self::Idle => "idle",
            Self::Unread => "unread",
        }
    }
}

#[derive(Debug)]
struct Table {
    connections: Connections,
    closers: HashMap<Connection, CancellationToken>,
}

/// The place of one connection; dropping it frees the place.
#[derive(Debug)]
pub(super) struct Slot {
    shared: Arc<Shared>,
    connection: Connection,
    /// Cancelled when the connection is to be closed.
    pub(super) closer: CancellationToken,
}

/// The outcome of an attempt to take a place.
enum Attempt {
    Open(Slot),
    /// A place is becoming free.
    Wait,
    Full,
}

impl Slots {
    pub(super) fn new(max: usize) -> Self {
        Self::with(max, None, None)
    }

    /// Creates places for callers, with metrics; bodies that arrive give way to new connections.
    pub(super) fn with_intake(max: usize, intake: Arc<Intake>, meter: &Meter) -> Self {
        let ended = meter.u64_counter("goldcrestvale_connections_ended").build();
        let slots = Self::with(max, Some(intake), Some(ended));
        let shared = slots.shared.clone();
        let open = move || shared.table().connections.len() as u64;
        let gauge = meter.u64_observable_gauge("goldcrestvale_connections");
        gauge.with_callback(move |o| o.observe(open(), &[])).build();
        slots
    }

    fn with(max: usize, intake: Option<Arc<Intake>>, ended: Option<Counter<u64>>) -> Self {
        let table = Table { connections: Connections::new(max), closers: HashMap::new() };
        let shared = Shared {
            clock: Clock::start(),
            intake,
            ended,
            table: Mutex::new(table),
            released: Notify::new(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns a place for a new connection, if one is free or becomes free at once.
    pub(super) async fn open(&self) -> Option<Slot> {
        match self.try_open() {
            Attempt::Open(slot) => return Some(slot),
            Attempt::Full => {
                self.shared.count(Limit::NoPlace);
                return None;
            }
            Attempt::Wait => {}
        }
        let waiting = async {
            loop {
                let released = self.shared.released.notified();
                tokio::pin!(released);
                released.as_mut().enable();
                if let Some(slot) = self.try_take() {
                    return slot;
                }
                released.await;
            }
        };
        let slot = timeout(CLOSE_TIMEOUT, waiting).await.ok();
        if slot.is_none() {
            self.shared.count(Limit::NoPlace);
        }
        slot
    }

    /// Takes a free place, or lets another connection give way.
    fn try_open(&self) -> Attempt {
        let shared = &self.shared;
        let now = shared.clock.now();
        let mut table = shared.table();
        match table.connections.open(now) {
            Opening::Open(connection) => Attempt::Open(self.insert(&mut table, connection)),
            Opening::Wait(connection) => {
                shared.count(Limit::GaveWay);
                if let Some(closer) = table.closers.get(&connection) {
                    closer.cancel();
                }
                Attempt::Wait
            }
            Opening::Full => {
                drop(table);
                match shared.intake.as_ref().is_some_and(|intake| intake.make_way()) {
                    true => Attempt::Wait,
                    false => Attempt::Full,
                }
            }
        }
    }

    fn try_take(&self) -> Option<Slot> {
        let mut table = self.shared.table();
        if table.connections.is_full() {
            return None;
        }
        match table.connections.open(self.shared.clock.now()) {
            Opening::Open(connection) => Some(self.insert(&mut table, connection)),
            Opening::Wait(_) | Opening::Full => None,
        }
    }

    fn insert(&self, table: &mut Table, connection: Connection) -> Slot {
        let closer = CancellationToken::new();
        table.closers.insert(connection, closer.clone());
        Slot { shared: self.shared.clone(), connection, closer }
    }
}

impl Shared {
    fn count(&self, limit: Limit) {
        if let Some(ended) = &self.ended {
            ended.add(1, &[KeyValue::new("limit", limit.as_str())]);
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Counts the connection as ended by a limit.
    pub(super) fn count(&self, limit: Limit) {
        self.shared.count(limit);
    }

    /// Records what the connection does.
    pub(super) async fn follow(&self, activity: &Activity) {
        let mut states = activity.subscribe();
        let mut was_busy = false;
        loop {
            let is_busy = matches!(*states.borrow_and_update(), State::Busy(_));
            if is_busy != was_busy {
                let mut table = self.shared.table();
                match is_busy {
                    true => table.connections.set_busy(self.connection),
                    false => table.connections.set_idle(self.connection, self.shared.clock.now()),
                }
                was_busy = is_busy;
            }
            if states.changed().await.is_err() {
                return;
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut table = self.shared.table();
        table.connections.close(self.connection);
        table.closers.remove(&self.connection);
        drop(table);
        self.shared.released.notify_waiters();
    }
}
