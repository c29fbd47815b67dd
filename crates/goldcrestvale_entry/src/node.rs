//! What every part of an entry instance shares.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use goldcrestvale_base::id::{Incarnation, RecordId};
use goldcrestvale_config::snapshot::Snapshot;
use goldcrestvale_platform::log::Log;
use goldcrestvale_upstream::{engine::Engine, pool::Limits, service::Service};

use tokio_util::sync::CancellationToken;

use crate::{
    clock::Clock, gate::Gate, metrics::Metrics, peers::Peers, phase::Life, settings::Settings,
    table::Table,
};

/// The shared state of an entry instance.
///
/// The request path reads the snapshots and counts by atomics; tasks publish new snapshots.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Clocks.
    pub clock: Clock,
    /// Phase of the life.
    pub life: Life,
    /// Configuration in force.
    pub config: ArcSwap<Snapshot>,
    /// Known upstreams.
    pub upstreams: ArcSwap<Table>,
    /// Bound on the requests in progress.
    pub gate: Gate,
    /// Metrics.
    pub metrics: Metrics,
    /// Client of the engines.
    pub engines: Engine,
    /// Client of the plain services.
    pub services: Service,
    /// Client of the platform log.
    pub log: Log,
    /// The other entry instances.
    pub peers: Peers,
    /// Cancelled when a planned stop is asked for.
    pub drain: CancellationToken,
    sequence: AtomicU64,
}

impl Node {
    /// Creates the shared state of an instance that has not started its tasks.
    pub fn new(settings: Settings, incarnation: Incarnation, metrics: Metrics) -> Arc<Self> {
        let limits = Limits {
            connect_timeout: settings.upstream.connect_timeout,
            answer_bytes: settings.upstream.answer_bytes,
            ..Limits::default()
        };
        Arc::new(Self {
            incarnation,
            clock: Clock::start(),
            life: Life::default(),
            config: ArcSwap::default(),
            upstreams: ArcSwap::default(),
            gate: Gate::new(settings.callers.streams),
            metrics,
            engines: Engine::new(limits),
            services: Service::new(limits),
            log: Log::new(settings.platform.address, settings.platform.timeout),
            peers: Peers::default(),
            drain: CancellationToken::new(),
            sequence: AtomicU64::new(0),
            settings,
        })
    }

    /// Returns an identity for a log record, unique in this life of the process.
    pub fn next_record_id(&self) -> RecordId {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel);
        RecordId { incarnation: self.incarnation, sequence }
    }
}
