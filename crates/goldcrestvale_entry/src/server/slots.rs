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

use super::Bounds;
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
    /// There was no place for HTTP/2.
    NoHttp2Place,
    /// A head did not arrive in time.
    LateHead,
    /// It was idle for too long.
    Idle,
    /// Its caller did not read.
    Unread,
}

impl Limit {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::GaveWay => "gave way",
            Self::NoPlace => "no place",
            Self::NoHttp2Place => "no place for http2",
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
    pub(super) place: Place,
    /// Cancelled when the connection is to be closed.
    pub(super) closer: CancellationToken,
}

/// Refers to the place of one connection.
#[derive(Debug, Clone)]
pub(super) struct Place {
    shared: Arc<Shared>,
    connection: Connection,
}

/// The outcome of an attempt to take a place.
enum Attempt<T> {
    Open(T),
    /// A place is becoming free.
    Wait,
    Full,
}

impl Slots {
    pub(super) fn new(bounds: &Bounds) -> Self {
        Self::with(bounds, None, None)
    }

    /// Creates places for callers, with metrics; bodies that arrive give way to new connections.
    pub(super) fn with_intake(bounds: &Bounds, intake: Arc<Intake>, meter: &Meter) -> Self {
        let ended = meter.u64_counter("goldcrestvale_connections_ended").build();
        let slots = Self::with(bounds, Some(intake), Some(ended));
        type Gauge = (&'static str, fn(&Connections) -> usize);
        let gauges: [Gauge; 2] = [
            ("goldcrestvale_connections", Connections::len),
            ("goldcrestvale_http2_connections", Connections::multiplexed),
        ];
        for (name, read) in gauges {
            let shared = slots.shared.clone();
            let value = move || read(&shared.table().connections) as u64;
            let gauge = meter.u64_observable_gauge(name);
            gauge.with_callback(move |o| o.observe(value(), &[])).build();
        }
        slots
    }

    fn with(bounds: &Bounds, intake: Option<Arc<Intake>>, ended: Option<Counter<u64>>) -> Self {
        let connections = Connections::new(bounds.connections);
        let connections = connections.with_multiplexed(bounds.http2_connections);
        let table = Table { connections, closers: HashMap::new() };
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
        let slot = self.shared.take(|| self.try_open(), || self.try_take()).await;
        if slot.is_none() {
            self.shared.count(Limit::NoPlace);
        }
        slot
    }

    /// Takes a free place, or lets another connection give way.
    fn try_open(&self) -> Attempt<Slot> {
        let shared = &self.shared;
        let mut table = shared.table();
        match table.connections.open(shared.clock.now()) {
            Opening::Open(connection) => Attempt::Open(self.insert(&mut table, connection)),
            Opening::Wait(connection) => {
                shared.close(&table, connection);
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
        Slot { place: Place { shared: self.shared.clone(), connection }, closer }
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

    /// Closes a connection that gives way.
    fn close(&self, table: &Table, connection: Connection) {
        self.count(Limit::GaveWay);
        if let Some(closer) = table.closers.get(&connection) {
            closer.cancel();
        }
    }

    /// Takes a place; if one is becoming free, waits until `try_take` gets it.
    async fn take<T>(
        &self,
        attempt: impl FnOnce() -> Attempt<T>,
        try_take: impl Fn() -> Option<T>,
    ) -> Option<T> {
        match attempt() {
            Attempt::Open(place) => return Some(place),
            Attempt::Full => return None,
            Attempt::Wait => {}
        }
        let waiting = async {
            loop {
                let released = self.released.notified();
                tokio::pin!(released);
                released.as_mut().enable();
                if let Some(place) = try_take() {
                    return place;
                }
                released.await;
            }
        };
        timeout(CLOSE_TIMEOUT, waiting).await.ok()
    }
}

impl Place {
    /// Counts the connection as ended by a limit.
    pub(super) fn count(&self, limit: Limit) {
        self.shared.count(limit);
    }

    /// Lets the connection use HTTP/2, if a place for that is free or becomes free at once.
    pub(super) async fn multiplex(&self) -> bool {
        let Self { shared, connection } = self;
        let decide = || {
            let mut table = shared.table();
            match table.connections.multiplex(shared.clock.now(), *connection) {
                Opening::Open(_) => Attempt::Open(()),
                Opening::Wait(other) => {
                    shared.close(&table, other);
                    Attempt::Wait
                }
                Opening::Full => Attempt::Full,
            }
        };
        let try_take = || {
            let mut table = shared.table();
            let is_full = table.connections.is_multiplexed_full();
            let now = shared.clock.now();
            (!is_full && matches!(table.connections.multiplex(now, *connection), Opening::Open(_)))
                .then_some(())
        };
        shared.take(decide, try_take).await.is_some()
    }
}

impl Slot {
    /// Records what the connection does.
    pub(super) async fn follow(&self, activity: &Activity) {
        let Place { shared, connection } = &self.place;
        let mut states = activity.subscribe();
        let mut was_busy = false;
        loop {
            let is_busy = matches!(*states.borrow_and_update(), State::Busy(_));
            if is_busy != was_busy {
                let mut table = shared.table();
                match is_busy {
                    true => table.connections.set_busy(*connection),
                    false => table.connections.set_idle(*connection, shared.clock.now()),
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
        let Place { shared, connection } = &self.place;
        let mut table = shared.table();
        table.connections.close(*connection);
        table.closers.remove(connection);
        drop(table);
        shared.released.notify_waiters();
    }
}
