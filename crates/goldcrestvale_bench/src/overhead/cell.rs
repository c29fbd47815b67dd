//! One cell of the measurement: a kind of request on one way, with some callers.

use std::time::Duration;

use crate::load::Seen;

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An idempotent call of a plain service.
    Call,
    /// A call with an idempotency key.
    Keyed,
    /// A draft over two engines.
    Draft,
}

/// The way that a request takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// Straight to the upstream.
    Direct,
    /// Through the bare pass-through.
    Proxy,
    /// Through the entry instance.
    Entry,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Call, Self::Keyed, Self::Draft];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Keyed => "keyed call",
            Self::Draft => "draft",
        }
    }
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Direct, Self::Proxy, Self::Entry];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Proxy => "proxy",
            Self::Entry => "entry",
        }
    }
}

/// One cell of one round.
#[derive(Debug, Clone)]
pub struct Cell {
    /// The kind of request.
    pub kind: Kind,
    /// Its way.
    pub way: Way,
    /// Callers at the same time.
    pub callers: usize,
    /// Median latency.
    pub p50: Duration,
    /// The latency that 99 in 100 stay below.
    pub p99: Duration,
    /// Requests answered a second.
    pub rate: f64,
    /// Processor time a request of the process on the way, if there is one.
    pub cpu: Option<Duration>,
    /// Requests answered.
    pub answered: u32,
    /// Requests not answered, or with an error.
    pub failed: u32,
}

impl Cell {
    pub(super) fn new(
        (kind, way, callers): (Kind, Way, usize),
        seen: &Seen,
        cpu: Option<Duration>,
    ) -> Self {
        Self {
            kind,
            way,
            callers,
            p50: seen.latency(50.0),
            p99: seen.latency(99.0),
            rate: f64::from(seen.answered) / seen.time.as_secs_f64(),
            cpu: cpu.map(|cpu| cpu / (seen.answered + seen.failed).max(1)),
            answered: seen.answered,
            failed: seen.failed,
        }
    }
}
