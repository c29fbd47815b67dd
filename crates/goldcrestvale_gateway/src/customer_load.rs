//! The streams of this instance by customer and service, and the division of the places of services
//! with several service levels between customers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use goldcrestvale_base::{
    customer_load::{CustomerHash, CustomerLoad, Phase, ServiceHash},
    id::Service,
    time::Instant,
};
use goldcrestvale_member::customer_load::{InstanceCount, Totals};
use goldcrestvale_peer::snapshot::Snapshot;
use goldcrestvale_route::contention::{Places, Shares};
use log::warn;

use crate::{error_response::ErrorResponse, forward::Matched, gateway::Gateway, port::Port};

/// How long the places of a service are kept before they are counted again. Counting reads the load
/// of every chain, and few streams begin or end in this time.
const PLACES_TTL: Duration = Duration::from_millis(50);

/// Minimum delay before a caller that was refused for its customer's share may retry: about a quarter
/// of the time of an average stream.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Range over which the retry delays are spread, so that a flood does not return all at once.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(1_000);

/// The streams by customer and service.
#[derive(Debug, Default)]
pub(crate) struct CustomerLoads {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<Service, ServiceState>,
    instances: InstanceCount,
    /// Whether a count was beyond a bound, which is logged once.
    is_exceeded: bool,
}

#[derive(Debug, Default)]
struct ServiceState {
    shares: Shares,
    /// The reports of the peers that the shares were last computed with.
    applied: Option<(Arc<Totals>, Weights)>,
    places: Option<(Instant, Places)>,
}

/// How much the counts of this instance and those of its peers stand for.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Weights {
    own: u32,
    peers: f64,
}

impl Weights {
    fn new(snapshot: &Snapshot, instances: InstanceCount) -> Self {
        let (linked, peers) = (snapshot.linked, snapshot.instance_count.saturating_sub(1));
        match linked {
            0 if snapshot.peer_loads.is_empty() => Self { own: instances.get(), peers: 1.0 },
            0 => Self { own: 1, peers: 1.0 },
            _ => Self { own: 1, peers: f64::from(peers.max(linked)) / f64::from(linked) },
        }
    }
}

/// The streams of a customer, as its share was last compared with them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Comparison {
    /// Streams of the customer that run at all instances.
    pub(crate) streams: u32,
    /// Places that it may take.
    pub(crate) share: f64,
}

/// Ends the count of a stream when dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    loads: Arc<CustomerLoads>,
    service: Service,
    customer: CustomerHash,
    phase: Phase,
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut state = self.loads.lock();
        if let Some(service) = state.services.get_mut(&self.service) {
            service.shares.end(self.customer, self.phase);
        }
    }
}

impl CustomerLoads {
    /// Counts a stream until the guard is dropped; `None` if there are too many customers.
    pub(crate) fn start(
        self: &Arc<Self>,
        service: &Service,
        customer: CustomerHash,
        phase: Phase,
    ) -> Option<LoadGuard> {
        let mut state = self.lock();
        let entry = state.services.entry(service.clone()).or_default();
        if entry.shares.start(customer, phase) {
            let (loads, service) = (self.clone(), service.clone());
            return Some(LoadGuard { loads, service, customer, phase });
        }
        state.note_exceeded("customers with streams at this instance");
        None
    }

    /// Returns the streams of this instance by customer and service, to report them to the peers.
    pub(crate) fn own(&self) -> Vec<CustomerLoad> {
        let state = self.lock();
        let mut loads = Vec::new();
        for (service, entry) in &state.services {
            let service = ServiceHash::of(service);
            let own = entry.shares.own();
            loads.extend(own.map(|(customer, count)| CustomerLoad { customer, service, count }));
        }
        loads
    }

    /// Applies the reports of the peers to a service if they have changed.
    fn apply(&self, service: &Service, snapshot: &Snapshot, now: Instant) {
        let mut state = self.lock();
        state.instances.record(now, snapshot.instance_count, snapshot.linked);
        let weights = Weights::new(snapshot, state.instances);
        let entry = state.services.entry(service.clone()).or_default();
        let is_applied = entry.applied.as_ref().is_some_and(|(totals, applied)| {
            Arc::ptr_eq(totals, &snapshot.peer_loads) && *applied == weights
        });
        if is_applied {
            return;
        }
        let hash = ServiceHash::of(service);
        let loads = snapshot.peer_loads.iter().filter(|((service, _), _)| *service == hash);
        let loads = loads.map(|((_, customer), count)| (*customer, *count));
        entry.shares.set_peers(loads, weights.peers);
        entry.shares.set_own_weight(weights.own);
        entry.applied = Some((snapshot.peer_loads.clone(), weights));
        if entry.shares.ignored() > 0 {
            state.note_exceeded("customers with streams at all instances");
        }
        if snapshot.ignored_loads > 0 {
            state.note_exceeded("counts of a peer");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn note_exceeded(&mut self, what: &str) {
        if !self.is_exceeded {
            warn!(what; "more streams of customers than are counted");
            self.is_exceeded = true;
        }
    }
}

impl<P> Gateway<P> {
    /// Returns whether customers, priorities and sizes count at a service: its streams promise
    /// different things to their callers.
    pub(crate) fn is_contention_managed(&self, service: &Service) -> bool {
        self.settings.contention.is_auto() && self.table.load().service_levels(service).len() >= 2
    }

    /// Counts a stream of a customer until the guard is dropped, if the service divides its places.
    pub(crate) fn count_stream(
        &self,
        service: &Service,
        customer: Option<&str>,
        phase: Phase,
    ) -> Option<LoadGuard> {
        if !self.is_contention_managed(service) {
            return None;
        }
        self.customer_loads.start(service, CustomerHash::of(customer), phase)
    }

    /// Returns whether a further stream of a customer would exceed its share of a service that is
    /// contested.
    pub(crate) fn is_over_share(&self, service: &Service, customer: Option<&str>) -> bool {
        self.read_shares(service, |shares, places| {
            shares.is_over_share(CustomerHash::of(customer), places)
        })
        .unwrap_or_default()
    }

    /// Compares the streams of a customer with its share.
    fn compare_share(&self, service: &Service, customer: Option<&str>) -> Option<Comparison> {
        self.read_shares(service, |shares, places| {
            let customer = CustomerHash::of(customer);
            let streams = shares.streams(customer).running;
            Comparison { streams, share: shares.share(customer, places) }
        })
    }

    /// Reads the division of a service that divides its places.
    fn read_shares<T>(
        &self,
        service: &Service,
        read: impl FnOnce(&Shares, &Places) -> T,
    ) -> Option<T> {
        if !self.is_contention_managed(service) {
            return None;
        }
        let now = self.now();
        self.customer_loads.apply(service, &self.peers.snapshot(), now);
        let places = self.places(service, now)?;
        let state = self.customer_loads.lock();
        let entry = state.services.get(service)?;
        Some(read(&entry.shares, &places))
    }

    /// Returns the places of a service, counted at most [`PLACES_TTL`] ago.
    fn places(&self, service: &Service, now: Instant) -> Option<Places> {
        let kept = {
            let state = self.customer_loads.lock();
            state.services.get(service).and_then(|entry| entry.places)
        };
        if let Some((_, places)) = kept.filter(|(at, _)| now.since(*at) < PLACES_TTL) {
            return Some(places);
        }
        let fleet = self.fleet(service)?;
        let loads = fleet.chains.iter().map(|chain| {
            let load = self.load(&chain.head().upstream);
            (Arc::as_ref(chain), load)
        });
        let places = Places::new(&fleet.model, &loads.collect::<Vec<_>>(), now);
        let mut state = self.customer_loads.lock();
        state.services.get_mut(service)?.places = Some((now, places));
        Some(places)
    }
}

/// Returns the refusal of a stream whose customer is above its share of a contested service.
///
/// Only the first opening of a request is refused: not a stream that its caller has begun to
/// receive, and not a request that an upstream has received.
pub(crate) fn over_share<P: Port>(
    matched: &mut Matched<P>,
    service: &Service,
    last_event: Option<u64>,
) -> Option<ErrorResponse> {
    let is_begun = last_event.or(matched.head.last_event).is_some();
    if is_begun || matched.has_arrived || !matched.trace.tried.is_empty() {
        return None;
    }
    let gateway = matched.gateway.clone();
    if !gateway.is_over_share(service, matched.customer_name()) {
        return None;
    }
    let comparison = gateway.compare_share(service, matched.customer_name()).unwrap_or_default();
    matched.trace.share = Some(comparison);
    gateway.metrics.count_over_share();
    let delay = MIN_RETRY_AFTER + RETRY_AFTER_SPREAD.mul_f64(gateway.random_unit());
    let Comparison { streams, share } = comparison;
    let detail = format!("the customer has {streams} streams, and its share is {share:.1}");
    Some(ErrorResponse::not_run("over share", detail, delay))
}
