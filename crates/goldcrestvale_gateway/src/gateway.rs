//! What every task of a gateway instance shares.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use goldcrestvale_base::{
    id::{Service, Upstream},
    time::Instant,
};
use goldcrestvale_entry::clock::Clock;
use goldcrestvale_route::{
    forward::{Configuration, Table},
    pipeline::{Chain, Choice, Load},
};
use goldcrestvale_upstream::pool::{Limits, Pool, Protocol};
use log::{info, warn};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::sync::Notify;

use crate::{
    metrics::Metrics,
    peers::Peers,
    registry::Registry,
    rejection::Blame,
    retry_budget::Repeats,
    settings::{Retry, Settings},
    upstream_state::{Known, Span, Trouble},
    view::{Fleet, View},
};

/// How long a connection attempt to an upstream may take: many round trips inside an area, and
/// less than a lost opening packet takes to be sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection to an upstream may stay idle and still be used: shorter than upstreams
/// keep theirs, so that a request seldom meets a close.
const IDLE_LIFE: Duration = Duration::from_millis(1_000);

/// Largest answer of a plain service, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// Pause between two questions to an upstream that refuses streams.
const PROBE_PAUSE: Duration = Duration::from_millis(300);

/// How long it is remembered that an upstream was blamed.
const BLAME_MEMORY: Duration = Duration::from_millis(1_500);

/// The shared state of a gateway instance.
#[derive(Debug)]
pub(crate) struct Gateway<P> {
    pub(crate) settings: Settings,
    pub(crate) port: P,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// Configuration in force; version 0 before the first one is known.
    pub(crate) table: ArcSwap<Table>,
    /// Snapshot of the upstreams.
    pub(crate) view: ArcSwap<View>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) pool: Pool,
    /// Tells the placer that something changed.
    pub(crate) changed: Notify,
    /// Tells the task that moves streams of an upstream in trouble.
    pub(crate) alarm: Notify,
    known: Mutex<Known>,
    pub(crate) peers: Peers,
    repeats: Repeats,
    rng: Mutex<StdRng>,
    listed: AtomicBool,
    reached: AtomicBool,
    leaving: AtomicBool,
    /// Until when this instance has the duty of placing layers, in microseconds of its clock.
    duty_until: AtomicU64,
}

impl<P> Gateway<P> {
    pub(crate) fn new(settings: Settings, port: P, metrics: Metrics) -> Self {
        let limits = Limits {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_LIFE,
            max_answer_bytes: ANSWER_BYTES,
            ..Limits::default()
        };
        Self {
            port,
            clock: Clock::start(),
            metrics,
            table: ArcSwap::default(),
            view: ArcSwap::default(),
            registry: Arc::default(),
            pool: Pool::new(Protocol::Http1, limits),
            changed: Notify::new(),
            alarm: Notify::new(),
            known: Mutex::default(),
            peers: Peers::default(),
            repeats: Repeats::new(settings.retry),
            rng: Mutex::new(StdRng::from_os_rng()),
            listed: AtomicBool::new(false),
            reached: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            duty_until: AtomicU64::new(0),
            settings,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.is_listed() && self.is_configured()
    }

    pub(crate) fn is_configured(&self) -> bool {
        self.table.load().version() > 0
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    pub(crate) fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    pub(crate) fn is_directory_reached(&self) -> bool {
        self.reached.load(Ordering::Acquire)
    }

    /// Notes whether the directory's list of upstreams can be read.
    pub(crate) fn set_directory_reached(&self, reached: bool) {
        self.reached.store(reached, Ordering::Release);
    }

    pub(crate) fn set_listed(&self) {
        if !self.listed.swap(true, Ordering::AcqRel) {
            info!("upstreams are known");
        }
    }

    /// Notes until when this instance has the duty of placing layers.
    pub(crate) fn set_duty(&self, until: Option<Instant>) {
        self.duty_until.store(until.map_or(0, |until| until.0), Ordering::Release);
    }

    pub(crate) fn has_duty(&self) -> bool {
        self.now().0 < self.duty_until.load(Ordering::Acquire)
    }

    /// Returns whether some domain with engines has no chain of its own.
    pub(crate) fn is_degraded(&self) -> bool {
        self.view.load().fleets.values().any(|fleet| fleet.broken().next().is_some())
    }

    /// Counts an upstream as in trouble, and tells the peers.
    pub(crate) fn trouble(&self, upstream: &Upstream, trouble: Trouble, time: Duration, why: &str) {
        if self.note(upstream, trouble, time, why) {
            self.peers.tell(upstream, trouble, time);
        }
    }

    /// Counts an upstream as in trouble; returns whether that is news.
    pub(crate) fn note(
        &self,
        upstream: &Upstream,
        trouble: Trouble,
        time: Duration,
        why: &str,
    ) -> bool {
        let now = self.now();
        let until = now + time;
        let mut fresh = false;
        self.learn(|known| {
            let key = (upstream.clone(), trouble);
            let since = match known.troubled.get(&key) {
                Some(span) if span.until > now => span.since,
                _ => {
                    fresh = true;
                    now
                }
            };
            known.troubled.insert(key, Span { since, until, rechecked: false });
            fresh
        });
        if fresh {
            let millis = time.as_millis() as u64;
            warn!(upstream:% = upstream, trouble:? = trouble, millis, why; "upstream is in trouble");
            self.alarm.notify_one();
        }
        fresh
    }

    /// Uses an upstream again that answers.
    pub(crate) fn clear(&self, upstream: &Upstream) {
        let now = self.now();
        self.learn(|known| {
            let cleared = known.clear(upstream, now);
            if cleared {
                info!(upstream:% = upstream; "upstream answers again");
            }
            cleared
        });
    }

    /// Returns whether an upstream is gone, or counts as not answering.
    pub(crate) fn is_lost(&self, upstream: &Upstream) -> bool {
        let now = self.now();
        self.read(|known| {
            let silent = known.troubled.get(&(upstream.clone(), Trouble::Silent));
            silent.is_some_and(|span| span.until > now) || !known.catalog.contains(upstream)
        })
    }

    /// Puts a version of the configuration in force, unless a newer one is.
    pub(crate) fn configure(&self, configuration: Configuration) {
        let current = self.table.load().version();
        if configuration.version <= current {
            return;
        }
        let table = Table::new(configuration);
        info!(from = current, to = table.version(); "configuration in force");
        self.table.store(Arc::new(table));
        self.rebuild();
    }

    /// Changes what is known of the upstreams and publishes a new snapshot if `change` says so.
    pub(crate) fn learn(&self, change: impl FnOnce(&mut Known) -> bool) -> bool {
        let changed = change(&mut self.lock());
        if changed {
            self.rebuild();
        }
        changed
    }

    /// Returns the silent upstreams that are to be asked again.
    pub(crate) fn due_rechecks(&self) -> Vec<Upstream> {
        let now = self.now();
        self.lock().due_rechecks(now)
    }

    /// Reads what is known of the upstreams.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Known) -> T) -> T {
        read(&self.lock())
    }

    /// Leaves an upstream alone for a while; returns whether it was not before.
    pub(crate) fn avoid(&self, upstream: &Upstream, time: Duration, why: &str) -> bool {
        let now = self.now();
        let until = now + time;
        let mut fresh = false;
        self.learn(|known| {
            let before = known.avoided.insert(upstream.clone(), until);
            if before.is_none_or(|before| before <= now) {
                warn!(upstream:% = upstream, millis = time.as_millis() as u64, why; "upstream is left alone");
                fresh = true;
            }
            fresh
        });
        fresh
    }

    /// Notes that an upstream refused a stream; returns whether it is to be probed, and as what.
    pub(crate) fn blame(&self, upstream: &Upstream) -> Option<Blame> {
        let now = self.now();
        let mut blame = None;
        self.learn(|known| {
            let before = known.blamed.get(upstream).map(|at| now.since(*at));
            if before.is_some_and(|before| before < PROBE_PAUSE) {
                return false;
            }
            known.blamed.insert(upstream.clone(), now);
            blame = Some(match before {
                Some(before) if before < BLAME_MEMORY => Blame::Refusals,
                _ => Blame::Refusal,
            });
            false
        });
        blame
    }

    /// Returns the streams on a chain, as far as this instance knows.
    pub(crate) fn streams(&self, head: &Upstream) -> u32 {
        self.load(head).streams(self.now())
    }

    fn load(&self, head: &Upstream) -> Load {
        let others = self.peers.streams(head);
        let instances = self.peers.instances().unwrap_or(1);
        self.registry.load(head, others, instances, self.now())
    }

    /// Uses the upstreams again whose time of being left alone has passed.
    pub(crate) fn expire(&self) {
        let now = self.now();
        self.learn(|known| {
            let before = known.avoided.len();
            known.avoided.retain(|_, until| *until > now);
            known.blamed.retain(|_, at| now.since(*at) < BLAME_MEMORY);
            let troubled = known.troubled.len();
            known.troubled.retain(|_, span| span.until > now);
            let gone = known.catalog.expire(now);
            before != known.avoided.len() || troubled != known.troubled.len() || !gone.is_empty()
        });
    }

    fn rebuild(&self) {
        let now = self.now();
        let table = self.table.load();
        let view = self.read(|known| known.view(&table, now));
        let before = self.view.load_full();
        for (service, fleet) in &view.fleets {
            let lines = fleet.summary();
            if before.fleets.get(service).is_none_or(|before| before.summary() != lines) {
                info!(service:% = service, engines = fleet.engines.len(), lines; "chains changed");
            }
        }
        self.view.store(Arc::new(view));
        self.changed.notify_one();
    }

    /// Returns the engines of a service.
    pub(crate) fn fleet(&self, service: &Service) -> Option<Arc<Fleet>> {
        self.view.load().fleets.get(service).cloned()
    }

    /// Chooses a chain for a stream; `without` are first engines that it must not take.
    pub(crate) fn choose(&self, fleet: &Fleet, without: &[Upstream]) -> Result<Arc<Chain>, Choice> {
        let lines: Vec<&Arc<Chain>> =
            fleet.lines.iter().filter(|l| !without.contains(&l.head().upstream)).collect();
        let load = |line: &Chain| self.load(&line.head().upstream);
        let candidates: Vec<(&Chain, Load)> =
            lines.iter().map(|line| (line.as_ref(), load(line))).collect();
        let domain = &self.settings.domain;
        let draw = self.draw();
        match Choice::new(&fleet.model, &candidates, domain, self.now(), draw) {
            Choice::Take(place) => Ok(lines[place].clone()),
            other => Err(other),
        }
    }

    /// Returns a random point in `0..1`.
    pub(crate) fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Takes over changed bounds of repeated arrivals.
    pub(crate) fn set_retry(&self, retry: Retry) {
        self.repeats.set(retry);
    }

    /// Counts the first arrival of a request at a service.
    pub(crate) fn count_first(&self, service: &Service) {
        self.repeats.count_first(service, self.now(), self.peers.instances());
    }

    /// Takes a repeated arrival from the budget of a service, if it holds one.
    pub(crate) fn try_repeat(&self, service: &Service) -> bool {
        let allowed = self.repeats.try_take(service, self.now(), self.peers.instances());
        self.metrics.count_repeat(allowed);
        allowed
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
