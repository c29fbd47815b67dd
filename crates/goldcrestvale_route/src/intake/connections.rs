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
/// with a request in progress stay. The same holds among multiplexed connections, which have several
/// requests at once and a maximum of their own.
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
    max_multiplexed: usize,
    multiplexed: usize,
    next: u64,
    open: BTreeMap<Connection, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    state: State,
    is_multiplexed: bool,
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
    /// Creates a table of at most `max` connections, all of which may be multiplexed.
    pub fn new(max: usize) -> Self {
        Self { max, max_multiplexed: max, multiplexed: 0, next: 0, open: BTreeMap::new() }
    }

    /// Sets how many of the connections may be multiplexed.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::time::Instant;
    /// use goldcrestvale_route::intake::{Connections, Opening};
    ///
    /// let mut connections = Connections::new(2).with_multiplexed(0);
    /// let Opening::Open(first) = connections.open(Instant(0)) else { panic!("no room") };
    /// assert_eq!(connections.multiplex(Instant(1), first), Opening::Full);
    /// ```
    pub fn with_multiplexed(self, max_multiplexed: usize) -> Self {
        Self { max_multiplexed, ..self }
    }

    /// Opens a connection, or chooses one that gives way.
    pub fn open(&mut self, now: Instant) -> Opening {
        if self.open.len() < self.max {
            let connection = Connection(self.next);
            self.next += 1;
            let entry = Entry { state: State::Waiting(now), is_multiplexed: false };
            self.open.insert(connection, entry);
            return Opening::Open(connection);
        }
        self.close_for(now, |_| true)
    }

    /// Lets an open connection have several requests at once, or chooses another such connection that
    /// gives way.
    pub fn multiplex(&mut self, now: Instant, connection: Connection) -> Opening {
        let Some(entry) = self.open.get_mut(&connection) else { return Opening::Full };
        if entry.is_multiplexed {
            return Opening::Open(connection);
        }
        if self.multiplexed < self.max_multiplexed {
            entry.is_multiplexed = true;
            self.multiplexed += 1;
            return Opening::Open(connection);
        }
        self.close_for(now, |entry| entry.is_multiplexed)
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
        if self.open.remove(&connection).is_some_and(|entry| entry.is_multiplexed) {
            self.multiplexed -= 1;
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of multiplexed connections.
    pub fn multiplexed(&self) -> usize {
        self.multiplexed
    }

    /// Returns whether the maximum is reached.
    pub fn is_full(&self) -> bool {
        self.open.len() >= self.max
    }

    /// Returns whether no further connection may be multiplexed.
    pub fn is_multiplexed_full(&self) -> bool {
        self.multiplexed >= self.max_multiplexed
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn set(&mut self, connection: Connection, state: State) {
        if let Some(entry) = self.open.get_mut(&connection)
            && entry.state != State::Closing
        {
            entry.state = state;
        }
    }

    /// Closes the connection without a request in progress that ranks first among the candidates.
    fn close_for(&mut self, now: Instant, is_candidate: impl Fn(&Entry) -> bool) -> Opening {
        let rank = |(connection, entry): (&Connection, &Entry)| match entry.state {
            _ if !is_candidate(entry) => None,
            State::Waiting(since) if now.since(since) >= MIN_WAITING_AGE => {
                Some((false, since, *connection))
            }
            State::Idle(since) => Some((true, since, *connection)),
            _ => None,
        };
        let Some((_, _, connection)) = self.open.iter().filter_map(rank).min() else {
            return Opening::Full;
        };
        self.set(connection, State::Closing);
        Opening::Wait(connection)
    }
}
