//! The connections that callers keep open.

use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::time::Instant;

/// Time for which a new connection is left to send its first request.
const MIN_WAITING_AGE: Duration = Duration::from_millis(500);

goldcrestvale_base::domain! {
    copy
    /// Identifies a connection.
    #[serde(transparent)]
    pub struct Connection(pub u64);
}

/// Whether another connection may be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// It may, and counts.
    Open(Connection),
    /// It has to wait until this connection, which is to be closed, has ended.
    Wait(Connection),
    /// Every connection is in use.
    Full,
}

/// The open connections of callers, up to a maximum.
///
/// Once it is reached, a connection that has not sent a request for a while is closed for a new
/// one, the oldest first; if there is none, the one that has been idle for longest. Connections
/// with a request in progress stay.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::intake::{Connections, Opening};
///
/// let mut connections = Connections::new(1);
/// let Opening::Open(first) = connections.open(Instant(0)) else { panic!("no room") };
/// assert_eq!(connections.open(Instant(1)), Opening::Full);
/// connections.set_busy(first);
/// connections.set_idle(first, Instant(10));
/// assert_eq!(connections.open(Instant(20)), Opening::Wait(first));
/// connections.close(first);
/// assert!(matches!(connections.open(Instant(30)), Opening::Open(_)));
/// ```
#[derive(Debug, Clone)]
pub struct Connections {
    max: usize,
    next: u64,
    open: BTreeMap<Connection, State>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It has sent no request yet.
    Waiting(Instant),
    /// A request is in progress.
    Busy,
    /// Its requests were answered.
    Idle(Instant),
    /// It is being closed.
    Closing,
}

impl Connections {
    /// Creates a table of at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self { max, next: 0, open: BTreeMap::new() }
    }

    /// Opens a connection, or chooses one that gives way.
    pub fn open(&mut self, now: Instant) -> Opening {
        if self.open.len() < self.max {
            let connection = Connection(self.next);
            self.next += 1;
            self.open.insert(connection, State::Waiting(now));
            return Opening::Open(connection);
        }
        match self.choose(now) {
            Some(connection) => {
                self.open.insert(connection, State::Closing);
                Opening::Wait(connection)
            }
            None => Opening::Full,
        }
    }

    /// Records that a request is in progress.
    pub fn set_busy(&mut self, connection: Connection) {
        self.set(connection, State::Busy);
    }

    /// Records that no request is in progress any more.
    pub fn set_idle(&mut self, connection: Connection, now: Instant) {
        self.set(connection, State::Idle(now));
    }

    /// Removes a connection.
    pub fn close(&mut self, connection: Connection) {
        self.open.remove(&connection);
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether the maximum is reached.
    pub fn is_full(&self) -> bool {
        self.open.len() >= self.max
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn set(&mut self, connection: Connection, state: State) {
        if let Some(current) = self.open.get_mut(&connection).filter(|s| **s != State::Closing) {
            *current = state;
        }
    }

    fn choose(&self, now: Instant) -> Option<Connection> {
        let rank = |(connection, state): (&Connection, &State)| match *state {
            State::Waiting(since) if now.since(since) >= MIN_WAITING_AGE => {
                Some((false, since, *connection))
            }
            State::Idle(since) => Some((true, since, *connection)),
            _ => None,
        };
        self.open.iter().filter_map(rank).min().map(|(_, _, connection)| connection)
    }
}
