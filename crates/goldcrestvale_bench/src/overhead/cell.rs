//! One cell of the measurement: a kind of request, a route and a number of callers.

use std::time::Duration;

use crate::load::Stats;

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// An idempotent call to a plain service.
    Call,
    /// A call with an idempotency key.
    Keyed,
    /// A draft over two engines.
    Draft,
}

/// The route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// Directly to the upstream.
    Direct,
    /// Through the pass-through proxy.
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

impl Route {
    /// All routes.
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
    /// The route.
    pub route: Route,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Median latency.
    pub p50: Duration,
    /// 99th percentile of the latency.
    pub p99: Duration,
    /// Successful requests per second.
    pub rate: f64,
    /// Processor time per request of the process on the route, if there is one.
    pub cpu: Option<Duration>,
    /// Number of successful requests.
    pub answered: u32,
    /// Number of failed requests.
    pub failed: u32,
}

impl Cell {
    pub(super) fn new(
        (kind, route, callers): (Kind, Route, usize),
        stats: &Stats,
        cpu: Option<Duration>,
    ) -> Self {
        Self {
            kind,
            route,
            callers,
            p50: stats.latency(50.0),
            p99: stats.latency(99.0),
            rate: f64::from(stats.answered) / stats.time.as_secs_f64(),
            cpu: cpu.map(|cpu| cpu / (stats.answered + stats.failed).max(1)),
            answered: stats.answered,
            failed: stats.failed,
        }
    }
}
