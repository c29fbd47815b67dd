//! The state shared by all parts of an entry instance.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use goldcrestvale_base::id::{Incarnation, RecordId};
use goldcrestvale_config::snapshot::Snapshot;
use goldcrestvale_platform::log::Log;
use goldcrestvale_route::{admission, retry::Budget};
use goldcrestvale_upstream::{engine::Engine, pool, service::Service};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio_util::sync::CancellationToken;

use crate::{
    admission::Admission, claims::Claims, clock::Clock, configuration::Manager,
    crash_watch::CrashWatch, gate::Gate, health::Health, intake::Intake, limits::Limits,
    metrics::Metrics, peers::Peers, phase::Lifecycle, plans::Plans, settings::Settings,
    table::Table, trial_log::Position,
};

/// Retries that each first attempt adds to the budget, in thousandths.
const RETRIES_PER_THOUSAND_ATTEMPTS: u32 = 100;

/// Maximum number of retries in the budget.
const MAX_BUDGETED_RETRIES: u32 = 50;

/// The shared state of an entry instance.
///
/// Requests read the snapshots and update atomic counters; tasks publish new snapshots.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Identity of this process, new at each start.
    pub incarnation: Incarnation,
    /// Clocks.
    pub clock: Clock,
    /// Phase of this process.
    pub lifecycle: Lifecycle,
    /// Configuration in force.
    pub config: ArcSwap<Snapshot>,
    /// Manager of the configuration, which publishes the one in force.
    pub configuration: Manager,
    /// Known upstreams.
    pub upstreams: ArcSwap<Table>,
    /// Health of the upstreams.
    pub health: Health,
    /// Chain planners of the configured models.
    pub plans: ArcSwap<Plans>,
    /// Memory that requests and answers of callers hold.
    pub intake: Arc<Intake>,
    /// Limit on the requests in progress.
    pub gate: Gate,
    /// The customers' rate limits.
    pub limits: Limits,
    /// Admission of drafts.
    pub drafts: Admission,
    /// Admission of calls of plain services.
    pub calls: Admission,
    /// Prompts and requests that crash upstreams.
    pub crash_watch: Arc<CrashWatch>,
    /// The position of this instance in the log of trials.
    pub trial_log: Position,
    /// Budget of retries of idempotent calls.
    pub retries: Budget,
    /// Metrics.
    pub metrics: Metrics,
    /// Client of the engines.
    pub engines: Engine,
    /// Client of the plain services.
    pub services: Service,
    /// Client of the platform log.
    pub log: Log,
    /// Calls with an idempotency key.
    pub claims: Claims,
    /// The other entry instances.
    pub peers: Peers,
    /// Cancelled when a planned stop is requested.
    pub drain: CancellationToken,
    sequence: AtomicU64,
    rng: Mutex<StdRng>,
}

impl Node {
    /// Creates the shared state of an instance that has not started its tasks.
    pub fn new(settings: Settings, incarnation: Incarnation, metrics: Metrics) -> Arc<Self> {
        let limits = pool::Limits {
            connect_timeout: settings.upstream.connect_timeout,
            max_answer_bytes: settings.upstream.answer_bytes,
            ..pool::Limits::default()
        };
        let clock = Clock::start();
        let slots = &settings.admission;
        let bounds =
            |slots| admission::Settings::new(slots).max_waiting(settings.admission.waiting);
        let [draft_seed, call_seed, choice_seed] = seeds(incarnation);
        Arc::new(Self {
            drafts: Admission::new(bounds(slots.draft_slots), clock, draft_seed),
            calls: Admission::new(bounds(slots.service_slots), clock, call_seed),
            limits: Limits::default(),
            incarnation,
            clock,
            lifecycle: Lifecycle::default(),
            config: ArcSwap::default(),
            configuration: Manager::new(
                incarnation,
                clock.now(),
                settings.config.checkpoint_interval,
                settings.peer.instances,
            ),
            upstreams: ArcSwap::default(),
            health: Health::default(),
            plans: ArcSwap::default(),
            intake: Intake::new(settings.machine, clock, &metrics.meter()),
            gate: Gate::new(settings.callers.streams),
            crash_watch: Arc::new(CrashWatch::new(&metrics.meter())),
            trial_log: Position::default(),
            metrics,
            engines: Engine::new(limits),
            services: Service::new(limits),
            log: Log::new(settings.platform.address, settings.platform.timeout),
            claims: Claims::new(&settings.claims),
            peers: Peers::default(),
            drain: CancellationToken::new(),
            sequence: AtomicU64::new(0),
            retries: Budget::new(RETRIES_PER_THOUSAND_ATTEMPTS, MAX_BUDGETED_RETRIES),
            rng: Mutex::new(StdRng::seed_from_u64(choice_seed)),
            settings,
        })
    }

    /// Calls `draw` with the random number generator, for example to break ties, under a short
    /// lock.
    pub fn with_rng<T>(&self, draw: impl FnOnce(&mut StdRng) -> T) -> T {
        draw(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns an id for a log record, unique within this incarnation.
    pub fn next_record_id(&self) -> RecordId {
        let sequence = self.sequence.fetch_add(1, Ordering::AcqRel);
        RecordId { incarnation: self.incarnation, sequence }
    }
}

/// Derives seeds of random number generators from the random bits of an incarnation.
fn seeds(incarnation: Incarnation) -> [u64; 3] {
    let mut rng = StdRng::seed_from_u64(incarnation.0 as u64);
    [rng.random(), rng.random(), rng.random()]
}
