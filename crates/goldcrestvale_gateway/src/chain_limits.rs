//! Limits of chains that the instances share, and the division of the free places between them.
//!
//! Only services with two or more service levels take part.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use goldcrestvale_base::{
    customer_load::ServiceHash,
    id::{Instance, Service},
    time::Instant,
};
use goldcrestvale_member::{
    chain_limit::{ChainLimits, LocalDemand, MIN_INTERVAL, Outbox, PeerDemand},
    event::Event,
    in_flight::UpstreamHash,
};
use goldcrestvale_route::pipeline::{Chain, Limit, Load, demand_part};
use log::{debug, warn};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{gateway::Gateway, view::Fleet};

/// What this instance sends and received about limits of chains.
#[derive(Debug, Default)]
pub(crate) struct SharedLimits {
    state: Mutex<State>,
    /// Wakes up the task that sends limits.
    wakeup: Notify,
}

#[derive(Debug, Default)]
struct State {
    outbox: Outbox,
    demand: LocalDemand,
    peer_demand: PeerDemand,
}

impl SharedLimits {
    /// Returns the demand that is due to be reported to the peers.
    pub(crate) fn take_demand(&self, now: Instant) -> Option<Event> {
        let demands = self.lock().demand.take_reports(now);
        let limits = ChainLimits { demands, ..ChainLimits::default() };
        (!limits.demands.is_empty()).then_some(Event::ChainLimits(limits))
    }

    /// Removes the demand of a peer that has ended.
    pub(crate) fn forget(&self, instance: &Instance) {
        self.lock().peer_demand.forget(instance);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P> Gateway<P> {
    /// Returns whether the instances share the limits of the chains of a service.
    fn shares_limits(&self, service: &Service) -> bool {
        self.settings.chain_limits.is_auto() && self.is_contention_managed(service)
    }

    /// Sends the limit of a chain that refused a stream to the peers.
    pub(crate) fn share_limit(&self, service: &Service, chain: &Chain, streams: u32) {
        if !self.shares_limits(service) {
            return;
        }
        let now = self.now();
        let head = &chain.head().upstream;
        let mut state = self.shared_limits.lock();
        state.demand.mark_contested(ServiceHash::of(service), now);
        let capacity = chain.token_capacity as u64;
        if !state.outbox.push(UpstreamHash::of(head), streams, capacity, now) {
            warn!(head:% = head; "limit of a chain not sent, too many wait");
        }
        drop(state);
        self.shared_limits.wakeup.notify_one();
    }

    /// Records a stream that asks for a place, and divides the free places of the chains that have a
    /// limit.
    pub(crate) fn share_places(
        &self,
        fleet: &Fleet,
        candidates: &mut [(&Chain, Load)],
        now: Instant,
    ) {
        if !self.shares_limits(&fleet.service) {
            return;
        }
        let service = ServiceHash::of(&fleet.service);
        let (own, (peers, reporting)) = {
            let mut state = self.shared_limits.lock();
            state.demand.record(service, now);
            (state.demand.streams(service, now), state.peer_demand.total(service, now))
        };
        let instances = self.peers.instance_count().unwrap_or(1);
        let part = demand_part(own, peers, reporting, instances);
        for (chain, load) in candidates {
            let limit = load.limit.take();
            let max_streams = limit.and_then(|l| l.max_shared_streams(chain.token_capacity, now));
            // The places of the service are counted with the limit while it holds.
            load.limit = limit.filter(|_| max_streams.is_some());
            load.places = max_streams.map(|max_streams| {
                let streams = f64::from(load.streams(now));
                let head = &chain.head().upstream;
                self.registry.places(head, max_streams, streams, part, now, self.random_unit())
            });
        }
    }

    /// Applies the limits that a peer learned, and records its demand.
    pub(crate) fn apply_chain_limits(&self, from: &Instance, limits: &ChainLimits) {
        let now = self.now();
        self.shared_limits.lock().peer_demand.receive(now, from, &limits.demands);
        if limits.limits.is_empty() {
            return;
        }
        for (service, fleet) in &self.view.load().fleets {
            if !self.shares_limits(service) {
                continue;
            }
            for chain in &fleet.chains {
                let head = &chain.head().upstream;
                let hash = UpstreamHash::of(head);
                let Some(limit) = limits.limits.iter().find(|limit| limit.upstream == hash) else {
                    continue;
                };
                let limit = Limit {
                    streams: limit.streams,
                    token_capacity: limit.token_capacity as f64,
                    at: Instant(now.0.saturating_sub(u64::from(limit.age_ms) * 1_000)),
                };
                let streams = self.stream_count(head);
                let is_applied = self.registry.apply_peer_limit(head, limit, streams);
                self.metrics.count_chain_limit(if is_applied { "received" } else { "known" });
                if is_applied {
                    debug!(head:% = head, instance:% = from, streams, limit = limit.streams; "limit of a chain received");
                    self.shared_limits.lock().demand.mark_contested(ServiceHash::of(service), now);
                }
            }
        }
    }
}

/// Sends limits to the peers until the token is cancelled. The first one is sent immediately, and
/// those of the next 50 ms together.
pub(crate) async fn run<P>(gateway: Arc<Gateway<P>>, stop: CancellationToken) {
    let shared = &gateway.shared_limits;
    while stop.run_until_cancelled(shared.wakeup.notified()).await.is_some() {
        loop {
            let limits = shared.lock().outbox.take(gateway.now());
            if limits.is_empty() {
                break;
            }
            limits.iter().for_each(|_| gateway.metrics.count_chain_limit("sent"));
            gateway.peers.send_chain_limits(ChainLimits { limits, ..ChainLimits::default() });
            if stop.run_until_cancelled(tokio::time::sleep(MIN_INTERVAL)).await.is_none() {
                return;
            }
        }
    }
}
