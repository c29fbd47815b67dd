//! Streams that contend for the places of a service whose routes promise different things.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use goldcrestvale_base::{content::Content, customer_load::Phase, id::Service, time::Instant};
use goldcrestvale_entry::clock::Clock;
use goldcrestvale_route::{
    contention::{
        Capacity, Cause, Decision, Delay, FirstEvent, Offer, Request, Reservation, Returns,
        Standing, Ticket, WaitQueue,
    },
    forward::{Configuration, Kind, Table},
    pipeline::{Chain, Occupancy, Places, Size},
};
use log::{info, warn};
use tokio::sync::Notify;

use crate::{
    forward::Matched,
    gateway::{Gateway, NoChain},
    metrics::Metrics,
    port::Port,
    view::Fleet,
};

/// Interval at which the first waiting stream looks for a place: places that become free at other
/// instances or by a rising limit of a chain wake nobody up.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The contended services of an instance.
#[derive(Debug)]
pub(crate) struct Contentions {
    clock: Clock,
    metrics: Metrics,
    services: Mutex<HashMap<Service, Arc<Contention>>>,
    returns: Mutex<Returns>,
    /// Streams of all services that wait.
    waiting: Arc<AtomicUsize>,
}

/// The contention for the places of one service.
#[derive(Debug)]
pub(crate) struct Contention {
    clock: Clock,
    metrics: Metrics,
    waiting: Arc<AtomicUsize>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    reservation: Reservation,
    queue: WaitQueue,
    first_event: FirstEvent,
    /// Streams that have lost their chain and look for another one.
    resuming: u32,
    /// Wakes up the tasks of waiting streams.
    wakeups: HashMap<Ticket, Arc<Notify>>,
}

/// The place of a stream, from its arrival to its end.
#[derive(Debug)]
pub(crate) struct Place {
    contention: Arc<Contention>,
    priority: u8,
    /// Whether the caller returns after a refusal.
    is_returning: bool,
    /// Whether its caller has no part of the answer yet.
    is_new: bool,
    sent: Instant,
    is_open: bool,
}

/// How a stream waited for a place, for the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wait {
    pub(crate) priority: u8,
    /// Streams ahead of it at its arrival.
    pub(crate) position: usize,
    pub(crate) elapsed: Duration,
    /// Estimated wait at its arrival.
    estimate: Option<Duration>,
    pub(crate) cause: &'static str,
}

/// Keeps a place free for a stream that has lost its chain.
#[derive(Debug)]
pub(crate) struct Precedence(Arc<Contention>);

/// A stream in the queue; dropping it removes the stream.
#[derive(Debug)]
struct Waiting {
    contention: Arc<Contention>,
    ticket: Ticket,
    wakeup: Arc<Notify>,
    priority: u8,
    since: Instant,
}

/// What a waiting stream finds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Turn {
    /// It takes the next place.
    First,
    /// Others are ahead.
    Behind,
    /// Its first event would be late, or the configuration or the instance ends its wait.
    Over,
}

impl Wait {
    pub(crate) fn estimate_ms(&self) -> Option<u64> {
        self.estimate.map(|estimate| estimate.as_millis() as u64)
    }
}

impl Contentions {
    pub(crate) fn new(clock: Clock, metrics: Metrics) -> Self {
        Self {
            clock,
            metrics,
            services: Mutex::default(),
            returns: Mutex::default(),
            waiting: Arc::default(),
        }
    }

    /// Refuses all waiting streams, since the instance is leaving.
    pub(crate) fn refuse_all(&self) {
        for contention in self.lock().values() {
            contention.retain(|_| false);
        }
    }

    /// Ends the wait of streams whose route or customer a new configuration lacks.
    pub(crate) fn reconfigure(&self, table: &Table) {
        self.lock().retain(|service, contention| {
            let is_contended = table.service_levels(service).len() > 1;
            let source = table.source();
            contention.retain(|request| {
                is_contended && source.is_some_and(|source| is_served(source, service, request))
            });
            is_contended
        });
    }

    fn contention(&self, service: &Service) -> Arc<Contention> {
        let mut services = self.lock();
        if let Some(contention) = services.get(service) {
            return contention.clone();
        }
        let contention = Arc::new(Contention {
            clock: self.clock,
            metrics: self.metrics.clone(),
            waiting: self.waiting.clone(),
            state: Mutex::default(),
        });
        services.insert(service.clone(), contention.clone());
        contention
    }

    fn is_returning(&self, now: Instant, caller: Content) -> bool {
        self.returns.lock().unwrap_or_else(PoisonError::into_inner).take(now, caller)
    }

    fn record_refusal(&self, now: Instant, caller: Content, delay: Duration) {
        let mut returns = self.returns.lock().unwrap_or_else(PoisonError::into_inner);
        if returns.record_refusal(now, caller, delay) {
            warn!(caller:% = caller; "oldest refusal is forgotten");
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Service, Arc<Contention>>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contention {
    /// Returns the places that stay free beside a new stream.
    fn keep_free(&self, priority: u8, places: &Places, instances: u32) -> f64 {
        let now = self.clock.now();
        let state = self.lock();
        let freed_rate = state.queue.freed_rate(now);
        let capacity = Capacity { places: places.total, freed_rate, instances };
        let reserved = state.reservation.keep_free(now, priority, &capacity);
        reserved + f64::from(state.resuming)
    }

    fn standing(&self, now: Instant, request: &Request) -> Standing {
        let state = self.lock();
        state.queue.standing(now, request, state.reservation.starved(now))
    }

    fn offer(&self, now: Instant, request: &Request, delay: Delay) -> Decision {
        let mut state = self.lock();
        let starved = state.reservation.starved(now);
        let all = self.waiting.load(Ordering::Relaxed);
        let waiting_elsewhere = all.saturating_sub(state.queue.len());
        let offer = Offer { is_full: true, starved, waiting_elsewhere, delay };
        state.queue.offer(now, request, &offer)
    }

    fn wait(self: &Arc<Self>, ticket: Ticket, priority: u8, since: Instant) -> Waiting {
        let wakeup = Arc::new(Notify::new());
        self.lock().wakeups.insert(ticket, wakeup.clone());
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.metrics.add_waiting(priority, 1);
        Waiting { contention: self.clone(), ticket, wakeup, priority, since }
    }

    fn turn(&self, now: Instant, ticket: Ticket, latest_start: Instant) -> Turn {
        let state = self.lock();
        if !state.queue.contains(ticket) || latest_start <= now {
            return Turn::Over;
        }
        match state.queue.first(state.reservation.starved(now)) {
            Some(first) if first == ticket => Turn::First,
            _ => {
                // A priority that became starved goes first from now on, and nobody told its stream.
                state.wake_first(now);
                Turn::Behind
            }
        }
    }

    /// Ends the wait of the streams that do not match.
    fn retain(&self, is_kept: impl FnMut(&Request) -> bool) {
        let mut state = self.lock();
        for ticket in state.queue.retain(is_kept) {
            if let Some(wakeup) = state.wakeups.get(&ticket) {
                wakeup.notify_one();
            }
        }
        state.wake_first(self.clock.now());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wake_first(&self, now: Instant) {
        let first = self.queue.first(self.reservation.starved(now));
        if let Some(wakeup) = first.and_then(|ticket| self.wakeups.get(&ticket)) {
            wakeup.notify_one();
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let now = self.contention.clock.now();
        let mut state = self.contention.lock();
        state.queue.remove(self.ticket);
        state.wakeups.remove(&self.ticket);
        state.wake_first(now);
        drop(state);
        self.contention.waiting.fetch_sub(1, Ordering::Relaxed);
        self.contention.metrics.add_waiting(self.priority, -1);
        self.contention.metrics.record_wait(self.priority, now.since(self.since));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.is_open {
            let now = self.contention.clock.now();
            let mut state = self.contention.lock();
            state.queue.record_freed(now, 1.0);
            state.wake_first(now);
        }
    }
}

impl Drop for Precedence {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.resuming = state.resuming.saturating_sub(1);
        state.wake_first(self.0.clock.now());
    }
}

impl<P> Gateway<P> {
    /// Returns the contention for the places of a service; `None` if its streams are all alike.
    fn contention(&self, service: &Service) -> Option<Arc<Contention>> {
        self.is_contention_managed(service).then(|| self.contentions.contention(service))
    }
}

/// Chooses a chain for a stream; a new one at a service with several levels may wait for its turn.
/// `is_first` is false for a stream whose caller already has a part of the answer, or that may have
/// run: it neither waits nor leaves places free.
pub(crate) async fn choose_chain<P: Port>(
    matched: &mut Matched<P>,
    service: &Service,
    fleet: &Fleet,
    is_first: bool,
    size: Option<Size>,
) -> Result<Arc<Chain>, NoChain> {
    let gateway = matched.gateway.clone();
    let Some(contention) = gateway.contention(service) else {
        return gateway.choose_chain(fleet, &matched.exclusions, size, None);
    };
    let is_new = is_first && matched.head.last_event.is_none();
    let now = gateway.now();
    if matched.place.is_none() {
        matched.place = Some(Place::arrive(matched, service, contention.clone(), is_new, now));
    }
    let chain = match is_new {
        true => choose_in_turn(matched, service, &contention, fleet, size).await,
        false => gateway.choose_chain(fleet, &matched.exclusions, size, None),
    };
    if let Some(place) = &mut matched.place {
        place.sent = gateway.now();
    }
    chain
}

/// Chooses a chain for a new stream, after those that wait ahead of it.
async fn choose_in_turn<P: Port>(
    matched: &mut Matched<P>,
    service: &Service,
    contention: &Arc<Contention>,
    fleet: &Fleet,
    size: Option<Size>,
) -> Result<Arc<Chain>, NoChain> {
    let gateway = matched.gateway.clone();
    let now = gateway.now();
    let request = request(matched, service, contention);
    let instances = gateway.peers.instance_count().unwrap_or(1);
    let standing = contention.standing(now, &request);
    // A stream that a chain refused has had its turn already.
    let is_turn = standing.position == 0 || !matched.trace.tried.is_empty();
    let keep_free = |places: &Places| match is_turn {
        true => contention.keep_free(request.priority, places, instances),
        // The streams ahead take the free places.
        false => f64::INFINITY,
    };
    let (fallback, least) =
        match gateway.choose_chain(fleet, &matched.exclusions, size, Some(&keep_free)) {
            Err(NoChain::Full(retry_after, least)) => (retry_after, least),
            other => return other,
        };
    let delay = Delay { fallback, time_left: matched.time_left(now), draw: gateway.random_unit() };
    let mut wait = Wait {
        priority: request.priority,
        position: standing.position,
        elapsed: Duration::ZERO,
        estimate: standing.estimate,
        cause: name(Cause::NoPlace),
    };
    let decision = match gateway.is_leaving() {
        true => Decision::Refuse { retry_after: fallback, cause: Cause::NoPlace },
        false => contention.offer(now, &request, delay),
    };
    let ticket = match decision {
        Decision::Wait(ticket) => ticket,
        // A place that became free in between is found by the caller's next attempt.
        Decision::Place => return refuse(matched, wait, Cause::NoPlace, fallback, least),
        Decision::Refuse { retry_after, cause } => {
            return refuse(matched, wait, cause, retry_after, least);
        }
    };
    let waiting = contention.wait(ticket, request.priority, now);
    let load = gateway.count_stream(service, matched.customer_name(), Phase::Waiting);
    let outcome = wait_in_turn(matched, service, contention, &request, &waiting, size).await;
    let now = gateway.now();
    wait.elapsed = now.since(waiting.since);
    drop((waiting, load));
    match outcome {
        Err(NoChain::Full(_, least)) => {
            let delay = Delay { time_left: matched.time_left(now), ..delay };
            let state = contention.lock();
            let starved = state.reservation.starved(now);
            let retry_after = state.queue.retry_after(now, &request, starved, &delay);
            drop(state);
            refuse(matched, wait, Cause::NoPlace, retry_after, least)
        }
        Ok(chain) => {
            info!(
                request = matched.trace.id.as_str(),
                priority = wait.priority,
                customer = matched.trace.customer.as_str(),
                queue_position = wait.position,
                wait_ms = wait.elapsed.as_millis() as u64,
                estimate_ms = wait.estimate_ms(),
                cause = wait.cause;
                "stream waited"
            );
            matched.trace.wait = Some(wait);
            Ok(chain)
        }
        other => other,
    }
}

/// Waits until a stream has a chain or its wait is over.
async fn wait_in_turn<P: Port>(
    matched: &Matched<P>,
    service: &Service,
    contention: &Contention,
    request: &Request,
    waiting: &Waiting,
    size: Option<Size>,
) -> Result<Arc<Chain>, NoChain> {
    let gateway = &matched.gateway;
    let instances = gateway.peers.instance_count().unwrap_or(1);
    let keep_free = |places: &Places| contention.keep_free(request.priority, places, instances);
    loop {
        let now = gateway.now();
        let turn = contention.turn(now, waiting.ticket, request.latest_start);
        let Some(fleet) = gateway.fleet(service) else {
            return Err(NoChain::Broken(POLL_INTERVAL));
        };
        // Without several levels, all streams are alike.
        if gateway.contention(service).is_none() {
            return gateway.choose_chain(&fleet, &matched.exclusions, size, None);
        }
        let pause = match turn {
            Turn::Over => {
                let full = |_: &Places| f64::INFINITY;
                return gateway.choose_chain(&fleet, &matched.exclusions, size, Some(&full));
            }
            Turn::Behind => request.latest_start.since(now),
            Turn::First => {
                match gateway.choose_chain(&fleet, &matched.exclusions, size, Some(&keep_free)) {
                    Err(NoChain::Full(..)) => {}
                    outcome => return outcome,
                }
                POLL_INTERVAL.min(request.latest_start.since(now))
            }
        };
        tokio::select! {
            () = waiting.wakeup.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Refuses a stream that found no place, and remembers its caller.
fn refuse<P>(
    matched: &mut Matched<P>,
    wait: Wait,
    cause: Cause,
    retry_after: Duration,
    least: Occupancy,
) -> Result<Arc<Chain>, NoChain> {
    let gateway = &matched.gateway;
    let cause = name(cause);
    gateway.metrics.count_refused(wait.priority, cause);
    gateway.contentions.record_refusal(gateway.now(), matched.content, retry_after);
    matched.trace.wait = Some(Wait { cause, ..wait });
    Err(NoChain::Full(retry_after, least))
}

/// Records that a chain began to answer a stream with events.
pub(crate) fn record_open<P>(matched: &mut Matched<P>) {
    let Some(place) = matched.place.as_mut().filter(|place| !place.is_open) else { return };
    place.is_open = true;
    if place.is_new {
        let now = matched.gateway.now();
        place.contention.lock().reservation.record_served(now, place.priority);
    }
}

/// Records the first event of a stream.
pub(crate) fn record_first_event<P>(matched: &Matched<P>, now: Instant) {
    if let Some(place) = matched.place.as_ref().filter(|place| place.is_new) {
        place.contention.lock().first_event.record(now.since(place.sent));
    }
}

/// Keeps a place free for a stream that has lost its chain, until the result is dropped.
pub(crate) fn resume<P>(matched: &Matched<P>) -> Option<Precedence> {
    let contention = matched.place.as_ref()?.contention.clone();
    contention.lock().resuming += 1;
    Some(Precedence(contention))
}

impl Place {
    fn arrive<P>(
        matched: &Matched<P>,
        service: &Service,
        contention: Arc<Contention>,
        is_new: bool,
        now: Instant,
    ) -> Self {
        let priority = priority(matched, service);
        let is_returning = matched.gateway.contentions.is_returning(now, matched.content);
        if is_new {
            contention.lock().reservation.record_arrival(now, priority);
        }
        Self { contention, priority, is_returning, is_new, sent: now, is_open: false }
    }
}

/// Returns the rank of a stream at a service.
fn priority<P>(matched: &Matched<P>, service: &Service) -> u8 {
    let table = matched.gateway.table.load();
    table.rank(service, matched.customer.as_deref(), &matched.route)
}

fn request<P>(matched: &Matched<P>, service: &Service, contention: &Contention) -> Request {
    let gateway = &matched.gateway;
    let usual = contention.lock().first_event.usual();
    let latest_start = matched.trace.started + matched.route.target.saturating_sub(usual);
    let is_returning = matched.place.as_ref().is_some_and(|place| place.is_returning);
    Request::new(priority(matched, service), latest_start)
        .route(&matched.route.name)
        .customer(matched.customer_name())
        .over_share(gateway.is_over_share(service, matched.customer_name()))
        .returning(is_returning || !matched.trace.tried.is_empty())
}

/// Returns whether a configuration still serves a waiting stream.
fn is_served(configuration: &Configuration, service: &Service, request: &Request) -> bool {
    let is_route = configuration.routes.iter().any(|route| {
        let shares = route.split.iter().filter(|share| share.weight > 0);
        route.name == request.route
            && route.kind == Kind::Stream
            && shares.map(|share| &share.service).any(|name| name == service)
    });
    let is_customer = request.customer.as_ref().is_none_or(|name| {
        let customers = configuration.customers.iter().flatten();
        customers.map(|customer| &customer.name).any(|known| known == name)
    });
    is_route && is_customer
}

fn name(cause: Cause) -> &'static str {
    match cause {
        Cause::NoPlace => "no place",
        Cause::OverShare => "over share",
        Cause::QueueFull => "queue full",
    }
}
