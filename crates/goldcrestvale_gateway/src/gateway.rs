//! The state that all tasks of a gateway instance share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use goldcrestvale_base::{
    engine::Layers,
    id::{Service, Upstream},
    time::Instant,
};
use goldcrestvale_entry::{
    clock::Clock, crash_watch::CrashWatch, intake::Intake, server::SharedBounds,
    trial_log::Position,
};
use goldcrestvale_member::leaving::Source;
use goldcrestvale_route::{
    forward::{Level, Table},
    links::Links,
    pipeline::{Chain, Choice, Load, Occupancy, Places, Request, Size},
    rate_share,
    retry::Exclusions,
};
use goldcrestvale_upstream::pool::{Limits, Pool, Protocol};
use log::{info, warn};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::Notify;

use crate::{
    chain_limits::SharedLimits,
    config_version::Versions,
    contention::Contentions,
    cost::Estimators,
    customer_load::CustomerLoads,
    directory_state::DirectoryState,
    instance,
    metrics::Metrics,
    peers::Peers,
    registry::Registry,
    rejection::ProbeReason,
    retry_budget::RetryBudgets,
    settings::{Retry, Settings},
    upstream_limits::UpstreamLimits,
    upstream_state::{FaultKind, FaultPeriod, UpstreamState},
    view::{Fleet, View},
};

/// Timeout of a connection attempt to an upstream: many round trips inside a region, and less than
/// the retransmission timeout of a lost SYN packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection to an upstream may stay idle and be reused: shorter than the idle timeout
/// of the upstreams, so that a request is seldom sent on a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum interval between probes of an upstream that rejects streams.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum time for which an upstream may want no requests; a longer one is more likely an error.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Number of instances that share the limit of an upstream while this one does not know it.
const UNKNOWN_INSTANCES: u32 = 8;

/// How long a rejection counts for the upstream that was responsible for it.
const REJECTION_MEMORY: Duration = Duration::from_millis(1_500);

/// The reason why no chain takes a stream; the caller may retry after the time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum NoChain {
    /// No chain has capacity.
    Full(Duration, Occupancy),
    /// The first engines of all chains with capacity take no more requests now.
    Limited(Duration),
    /// No chain holds every layer.
    Broken(Duration),
}

/// The shared state of a gateway instance.
#[derive(Debug)]
pub(crate) struct Gateway<P> {
    pub(crate) settings: Settings,
    pub(crate) port: P,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// Memory that requests and answers of callers hold.
    pub(crate) intake: Arc<Intake>,
    /// Bounds of the callers' connections, which the configuration sets.
    pub(crate) callers_bounds: SharedBounds,
    /// Configuration in force; version 0 until the first one is known.
    pub(crate) table: ArcSwap<Table>,
    /// The last versions of the configuration.
    pub(crate) versions: Mutex<Versions>,
    /// Snapshot of the upstreams.
    pub(crate) view: ArcSwap<View>,
    pub(crate) registry: Arc<Registry>,
    /// Estimators of the sizes of streams.
    pub(crate) estimators: Estimators,
    pub(crate) customer_loads: Arc<CustomerLoads>,
    pub(crate) directory: DirectoryState,
    pub(crate) pool: Pool,
    /// Connections to peers that take requests which this instance cannot serve itself.
    pub(crate) relay_pool: Pool,
    links: Arc<Mutex<Links>>,
    /// Port for callers, once it is bound.
    callers_port: OnceLock<u16>,
    pub(crate) crash_watch: Arc<CrashWatch>,
    pub(crate) trial_log: Position,
    /// Request rates that overloaded upstreams take.
    pub(crate) limits: UpstreamLimits,
    /// Wakes up the placement task after a change.
    pub(crate) placement_wakeup: Notify,
    /// Wakes up the failover task when an upstream fails.
    pub(crate) failover_wakeup: Notify,
    upstream_state: Mutex<UpstreamState>,
    pub(crate) peers: Peers,
    pub(crate) shared_limits: SharedLimits,
    pub(crate) retry_budgets: RetryBudgets,
    /// Streams that contend for the places of services with several levels.
    pub(crate) contentions: Contentions,
    rng: Mutex<StdRng>,
    listed: AtomicBool,
    leaving: AtomicBool,
    /// End of this instance's placement lease, in microseconds of its clock.
    placement_lease_until: AtomicU64,
}

/// Returns an observer that records whether upstreams accept connections.
fn observe_links(links: Arc<Mutex<Links>>, clock: Clock) -> impl Fn(SocketAddr, bool) {
    move |upstream, is_open| {
        let mut links = links.lock().unwrap_or_else(PoisonError::into_inner);
        match is_open {
            true => links.record_success(clock.now()),
            false => links.record_failure(clock.now(), upstream),
        }
    }
}

impl<P> Gateway<P> {
    pub(crate) fn new(settings: Settings, port: P, metrics: Metrics) -> Self {
        let limits = Limits {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            ..Limits::default()
        };
        let clock = Clock::start();
        let links = Arc::new(Mutex::new(Links::default()));
        let mut rng = StdRng::from_os_rng();
        let machine = &settings.machine;
        let callers_bounds = instance::bounds(
            settings.max_connections.min(machine.connections()),
            settings.max_http2_connections.min(machine.multiplexed_connections()),
        );
        Self {
            port,
            intake: Intake::new(settings.machine, clock, &metrics.recorder().meter()),
            callers_bounds: callers_bounds.into(),
            table: ArcSwap::default(),
            versions: Mutex::default(),
            view: ArcSwap::default(),
            registry: Arc::default(),
            estimators: Estimators::default(),
            customer_loads: Arc::default(),
            directory: DirectoryState::default(),
            pool: Pool::new(Protocol::Http1, limits).observe(observe_links(links.clone(), clock)),
            relay_pool: Pool::new(Protocol::Http1, limits),
            links,
            callers_port: OnceLock::new(),
            crash_watch: Arc::new(CrashWatch::new(&metrics.recorder().meter())),
            trial_log: Position::default(),
            limits: UpstreamLimits::default(),
            contentions: Contentions::new(clock, metrics.clone()),
            metrics,
            placement_wakeup: Notify::new(),
            failover_wakeup: Notify::new(),
            upstream_state: Mutex::default(),
            peers: Peers::new(settings.directory.configuration_bound, rng.random::<u32>() as usize),
            shared_limits: SharedLimits::default(),
            retry_budgets: RetryBudgets::new(&settings, clock.now(), rng.random()),
            clock,
            rng: Mutex::new(rng),
            listed: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            placement_lease_until: AtomicU64::new(0),
            settings,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns whether the instance can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.is_listed() && self.is_configured() && self.trial_log.was_tried()
    }

    pub(crate) fn is_configured(&self) -> bool {
        self.table.load().version() > 0
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
        self.contentions.refuse_all();
    }

    pub(crate) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Returns whether this instance or a peer of its failure domain reads the directory.
    pub(crate) fn is_directory_reached(&self) -> bool {
        self.directory.is_reached()
    }

    pub(crate) fn set_listed(&self) {
        if !self.listed.swap(true, Ordering::AcqRel) {
            info!("upstreams are known");
        }
    }

    /// Sets the end of this instance's placement lease.
    pub(crate) fn set_placement_lease(&self, until: Option<Instant>) {
        self.placement_lease_until.store(until.map_or(0, |until| until.0), Ordering::Release);
    }

    pub(crate) fn is_placement_leader(&self) -> bool {
        self.now().0 < self.placement_lease_until.load(Ordering::Acquire)
    }

    /// Returns whether a failure domain with engines has no complete chain of its own.
    pub(crate) fn is_degraded(&self) -> bool {
        self.view.load().fleets.values().any(|fleet| fleet.incomplete().next().is_some())
    }

    /// Records a fault of an upstream and sends it to the peers.
    pub(crate) fn report_fault(
        &self,
        upstream: &Upstream,
        kind: FaultKind,
        duration: Duration,
        why: &str,
    ) {
        if self.record_fault(upstream, kind, duration, why) {
            self.peers.send_fault(upstream, kind, duration);
        }
    }

    /// Records a fault of an upstream; returns whether it is new.
    pub(crate) fn record_fault(
        &self,
        upstream: &Upstream,
        kind: FaultKind,
        duration: Duration,
        why: &str,
    ) -> bool {
        let now = self.now();
        let until = now + duration;
        let mut is_new = false;
        self.update(|state| {
            let key = (upstream.clone(), kind);
            let since = match state.faults.get(&key) {
                Some(period) if period.until > now => period.since,
                _ => {
                    is_new = true;
                    now
                }
            };
            state.faults.insert(key, FaultPeriod { since, until, rechecked: false });
            is_new
        });
        if is_new {
            let millis = duration.as_millis() as u64;
            warn!(upstream:% = upstream, trouble:? = kind, millis, why; "upstream is in trouble");
            self.failover_wakeup.notify_one();
        }
        is_new
    }

    /// Clears the silence of an upstream that answers again.
    pub(crate) fn clear_silent(&self, upstream: &Upstream) {
        let now = self.now();
        self.update(|state| {
            let cleared = state.clear_silent(upstream, now);
            if cleared {
                info!(upstream:% = upstream; "upstream answers again");
            }
            cleared
        });
    }

    /// Returns whether an upstream is gone or counts as silent.
    pub(crate) fn is_lost(&self, upstream: &Upstream) -> bool {
        let now = self.now();
        self.read_state(|state| {
            let silent = state.faults.get(&(upstream.clone(), FaultKind::Silent));
            silent.is_some_and(|period| period.until > now) || !state.catalog.contains(upstream)
        })
    }

    /// Changes the state of the upstreams and publishes a new snapshot if `change` returns `true`.
    pub(crate) fn update(&self, change: impl FnOnce(&mut UpstreamState) -> bool) -> bool {
        let changed = change(&mut self.lock_state());
        if changed {
            self.rebuild();
        }
        changed
    }

    /// Records the layers that an engine reported; returns whether they changed.
    pub(crate) fn set_layers(&self, upstream: &Upstream, layers: Option<Layers>) -> bool {
        let now = self.now();
        self.update(|state| state.catalog.set_layers(upstream, layers, now))
    }

    /// Returns the silent upstreams that are due for a probe.
    pub(crate) fn due_rechecks(&self) -> Vec<Upstream> {
        let now = self.now();
        self.lock_state().due_rechecks(now)
    }

    /// Reads the state of the upstreams.
    pub(crate) fn read_state<T>(&self, read: impl FnOnce(&UpstreamState) -> T) -> T {
        read(&self.lock_state())
    }

    /// Avoids an upstream for a while; returns whether it was not avoided before.
    pub(crate) fn avoid(&self, upstream: &Upstream, duration: Duration, why: &str) -> bool {
        let now = self.now();
        let until = now + duration;
        let mut is_new = false;
        self.update(|state| {
            let before = state.avoided.insert(upstream.clone(), until);
            if before.is_none_or(|before| before <= now) {
                warn!(upstream:% = upstream, millis = duration.as_millis() as u64, why; "upstream is left alone");
                is_new = true;
            }
            is_new
        });
        is_new
    }

    /// Sends no request to an upstream for as long as it wants none.
    pub(crate) fn pause(&self, upstream: &Upstream, duration: Duration) {
        let now = self.now();
        let millis = duration.as_millis() as u64;
        let duration = duration.min(MAX_PAUSE);
        self.update(|state| {
            let before = state.paused.insert(upstream.clone(), now + duration);
            let is_new = before.is_none_or(|before| before <= now);
            if is_new {
                info!(upstream:% = upstream, millis, applied = duration.as_millis() as u64; "upstream wants no requests");
            }
            true
        });
    }

    /// Returns whether an upstream wants no requests now.
    pub(crate) fn is_paused(&self, upstream: &Upstream) -> bool {
        let now = self.now();
        self.read_state(|state| state.paused.get(upstream).is_some_and(|until| *until > now))
    }

    /// Returns the shortest time after which a paused upstream of a service takes requests again, if
    /// all that could take them are paused.
    pub(crate) fn pause_left(&self, service: &Service) -> Option<Duration> {
        let now = self.now();
        self.read_state(|state| {
            let ready = state.catalog.iter().filter(|(r, _)| r.ready && r.service == *service);
            let ends =
                ready.map(|(r, _)| state.paused.get(&r.upstream).filter(|until| **until > now));
            ends.collect::<Option<Vec<_>>>()?.into_iter().min().map(|until| until.since(now))
        })
    }

    /// Marks an upstream that said that it is leaving, and notifies the peers.
    pub(crate) fn mark_leaving(&self, upstream: &Upstream) {
        let now = self.now();
        self.update(|state| {
            let born = state.catalog.get(upstream).and_then(|r| r.born_ms).map(|b| b.to_string());
            let is_new = state.catalog.set_said_leaving(upstream, born.as_deref(), now);
            if is_new && let Some(registration) = state.catalog.get(upstream) {
                info!(upstream:% = upstream; "upstream says that it is leaving");
                self.peers.send_leaving(registration, Source::Report, self.clock.wall());
            }
            is_new
        });
    }

    /// Records that an upstream is responsible for the rejection of a stream; returns the reason
    /// for a probe if one is due.
    pub(crate) fn record_rejection(&self, upstream: &Upstream) -> Option<ProbeReason> {
        let now = self.now();
        let mut reason = None;
        self.update(|state| {
            let before = state.last_rejections.get(upstream).map(|at| now.since(*at));
            if before.is_some_and(|before| before < PROBE_INTERVAL) {
                return false;
            }
            state.last_rejections.insert(upstream.clone(), now);
            reason = Some(match before {
                Some(before) if before < REJECTION_MEMORY => ProbeReason::RepeatedRejections,
                _ => ProbeReason::Rejection,
            });
            false
        });
        reason
    }

    /// Returns the estimated number of streams on a chain.
    pub(crate) fn stream_count(&self, head: &Upstream) -> u32 {
        self.load(head).streams(self.now())
    }

    pub(crate) fn load(&self, head: &Upstream) -> Load {
        let peer_streams = self.peers.stream_count(head);
        let instances = self.peers.instance_count().unwrap_or(1);
        self.registry.load(head, peer_streams, instances, self.now())
    }

    /// Removes expired entries from the state of the upstreams.
    pub(crate) fn remove_expired(&self) {
        let now = self.now();
        self.crash_watch.remove_expired(now);
        self.update(|state| {
            let avoided_before = state.avoided.len();
            state.avoided.retain(|_, until| *until > now);
            state.last_rejections.retain(|_, at| now.since(*at) < REJECTION_MEMORY);
            let paused_before = state.paused.len();
            state.paused.retain(|_, until| *until > now);
            let faults_before = state.faults.len();
            state.faults.retain(|_, period| period.until > now);
            let gone = state.catalog.expire(now);
            self.limits.retain(|upstream| state.catalog.contains(upstream));
            avoided_before != state.avoided.len()
                || paused_before != state.paused.len()
                || faults_before != state.faults.len()
                || !gone.is_empty()
        });
    }

    pub(crate) fn rebuild(&self) {
        let now = self.now();
        let table = self.table.load();
        let view = self.read_state(|state| state.view(&table, now));
        let before = self.view.load_full();
        for (service, fleet) in &view.fleets {
            let lines = fleet.summary();
            if before.fleets.get(service).is_none_or(|before| before.summary() != lines) {
                info!(service:% = service, engines = fleet.engines.len(), lines; "chains changed");
            }
        }
        self.view.store(Arc::new(view));
        self.placement_wakeup.notify_one();
    }

    pub(crate) fn with_links<T>(&self, f: impl FnOnce(&mut Links) -> T) -> T {
        f(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the number of upstreams in the directory.
    pub(crate) fn upstream_count(&self) -> usize {
        let view = self.view.load();
        let plain: usize = view.plain.values().map(Vec::len).sum();
        let engines: usize = view.fleets.values().map(|fleet| fleet.engines.len()).sum();
        plain + engines
    }

    pub(crate) fn set_callers_port(&self, port: u16) {
        // A second start keeps the first address.
        let _ = self.callers_port.set(port);
    }

    pub(crate) fn callers_port(&self) -> Option<u16> {
        self.callers_port.get().copied()
    }

    /// Returns the engines of a service.
    pub(crate) fn fleet(&self, service: &Service) -> Option<Arc<Fleet>> {
        self.view.load().fleets.get(service).cloned()
    }

    /// Returns the service levels of a service if its streams differ in them.
    pub(crate) fn differing_levels(&self, service: &Service) -> Option<Vec<Level>> {
        let table = self.table.load();
        let levels = table.service_levels(service);
        (levels.len() > 1).then(|| levels.to_vec())
    }

    /// Returns whether a chain with another first engine has capacity for a stream.
    pub(crate) fn has_capacity_elsewhere(&self, fleet: &Fleet, head: &Upstream) -> bool {
        let others = fleet.chains.iter().filter(|chain| chain.head().upstream != *head);
        let candidates: Vec<(&Chain, Load)> =
            others.map(|chain| (chain.as_ref(), self.load(&chain.head().upstream))).collect();
        let request = Request::new(&self.settings.domain);
        let choice = Choice::new(&fleet.model, &candidates, &request, self.now(), 0.0);
        matches!(choice, Choice::Take(_))
    }

    /// Takes a request from the rate that an upstream takes; returns whether it may be sent.
    pub(crate) fn try_take_limit(&self, upstream: &Upstream) -> bool {
        let part = || {
            let own = self.registry.own_streams(upstream);
            let instances = match self.settings.peer {
                Some(_) => self.peers.instance_count().unwrap_or(UNKNOWN_INSTANCES),
                None => 1,
            };
            rate_share::part(own, self.peers.stream_count(upstream), instances)
        };
        self.limits.try_take(upstream, self.now(), part, self.random_unit())
    }

    /// Chooses a chain for a stream, without those whose first engine is excluded. The stream is
    /// counted for the limit of the first engine, and by its expected size if that is known.
    /// `keep_free` returns how many places of the service stay free beside the stream.
    pub(crate) fn choose_chain(
        &self,
        fleet: &Fleet,
        exclusions: &Exclusions,
        size: Option<Size>,
        keep_free: Option<&dyn Fn(&Places) -> f64>,
    ) -> Result<Arc<Chain>, NoChain> {
        let now = self.now();
        let is_included = |chain: &&Arc<Chain>| !exclusions.contains(&chain.head().upstream, now);
        let mut chains: Vec<&Arc<Chain>> = fleet.chains.iter().filter(is_included).collect();
        let mut candidates: Vec<(&Chain, Load)> = chains
            .iter()
            .map(|chain| (Arc::as_ref(chain), self.load(&chain.head().upstream)))
            .collect();
        self.share_places(fleet, &mut candidates, now);
        if size.is_some() {
            self.add_tokens(&mut candidates, &fleet.model);
        }
        let mut request = Request::new(&self.settings.domain).size(size);
        if let Some(keep_free) = keep_free {
            request = request.keep_free(keep_free(&Places::new(&fleet.model, &candidates, now)));
        }
        let mut is_limited = false;
        loop {
            match Choice::new(&fleet.model, &candidates, &request, now, self.random_unit()) {
                Choice::Take(index) => {
                    candidates.swap_remove(index);
                    let chain = chains.swap_remove(index);
                    if self.try_take_limit(&chain.head().upstream) {
                        return Ok(chain.clone());
                    }
                    is_limited = true;
                }
                Choice::Full(retry_after, least) => return Err(NoChain::Full(retry_after, least)),
                Choice::Broken(retry_after) if is_limited => {
                    return Err(NoChain::Limited(retry_after));
                }
                Choice::Broken(retry_after) => return Err(NoChain::Broken(retry_after)),
            }
        }
    }

    /// Returns a random number in `0..1`.
    pub(crate) fn random_unit(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Applies a changed retry budget.
    pub(crate) fn set_retry(&self, retry: Retry) {
        self.retry_budgets.set_limits(retry, self.now());
    }

    /// Counts the first attempt of a request at a service.
    pub(crate) fn count_first(&self, service: &Service) {
        self.retry_budgets.count_first(service, self.now(), self.retrying_instances());
    }

    /// Takes a retry from the budget of a service; returns whether one was left.
    pub(crate) fn try_retry(&self, service: &Service) -> bool {
        let allowed = self.retry_budgets.try_take(service, self.now(), self.retrying_instances());
        self.metrics.count_retry(allowed);
        self.request_retries(service);
        allowed
    }

    /// Returns the number of instances that share the retry budget, if it is known.
    pub(crate) fn retrying_instances(&self) -> Option<u32> {
        match self.settings.peer {
            Some(_) => self.peers.instance_count(),
            None => Some(1),
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, UpstreamState> {
        self.upstream_state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
