//! The open connections of a server.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use goldcrestvale_route::intake::{Connection, Connections, Opening};
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    activity::{Activity, State},
    clock::Clock,
    intake::Intake,
};

/// Maximum time that a new connection waits for one that is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The connections that a server has open, and how many it had to close or refuse.
#[derive(Debug, Clone)]
pub(super) struct Slots {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    intake: Option<Arc<Intake>>,
    table: Mutex<Table>,
    released: Notify,
    closed: AtomicU64,
    refused: AtomicU64,
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
    pub(super) fn new(max: usize, intake: Option<Arc<Intake>>) -> Self {
        let table = Table { connections: Connections::new(max), closers: HashMap::new() };
        let shared = Shared {
            clock: Clock::start(),
            intake,
            table: Mutex::new(table),
            released: Notify::new(),
            closed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Returns a place for a new connection, if one is free or becomes free at once.
    pub(super) async fn open(&self) -> Option<Slot> {
        match self.try_open() {
            Attempt::Open(slot) => return Some(slot),
            Attempt::Full => {
                self.shared.refused.fetch_add(1, Ordering::AcqRel);
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
            self.shared.refused.fetch_add(1, Ordering::AcqRel);
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
                shared.closed.fetch_add(1, Ordering::AcqRel);
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

    /// Returns the number of open connections, of those that were closed for others, and of those
    /// that found no place.
    pub(super) fn counts(&self) -> [u64; 3] {
        let open = self.shared.table().connections.len() as u64;
        let [closed, refused] =
            [&self.shared.closed, &self.shared.refused].map(|count| count.load(Ordering::Acquire));
        [open, closed, refused]
    }
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
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
