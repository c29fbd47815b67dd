//! Limits of chains that instances learned from refusals, and the demand for the chains.
//!
//! Limits go directly to all connected peers and are not forwarded: a lost message costs one refusal
//! at one instance.

use std::time::Duration;

use goldcrestvale_base::{customer_load::ServiceHash, domain, id::Instance, time::Instant};
use indexmap::IndexMap;

use crate::in_flight::UpstreamHash;

/// Minimum time between two messages about limits: at most 20 messages per second.
pub const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Age from which a limit is ignored: about the time of an average stream.
pub const MAX_AGE: Duration = Duration::from_secs(5);

/// Maximum number of limits or demands in one message.
pub const MAX_ENTRIES: usize = 64;

/// Maximum number of chains whose limits wait to be sent.
const MAX_PENDING: usize = 1_024;

/// Time over which demand is weighted: twice the report interval, since an instance of a large
/// deployment has less than one arrival in an interval.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);

/// How long demand is reported after a limit of a chain was learned.
const CONTESTED_TIME: Duration = Duration::from_secs(8);

/// Maximum time between two reports of an unchanged demand.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Share by which a demand changes before it is reported again.
const REPORTED_CHANGE: f64 = 0.25;

/// How long a demand counts after its report: several reports, so that a lost one has little effect.
const DEMAND_TTL: Duration = Duration::from_millis(2_500);

/// Maximum number of instances whose demand is kept, and of services for each.
const MAX_INSTANCES: usize = 1_024;
const MAX_SERVICES: usize = 64;

/// Maximum demand that is believed, in thousandths of a stream.
const MAX_DEMAND: u32 = 10_000_000;

domain! {
    copy
    /// A limit that an instance learned.
    pub struct ChainLimit {
        /// The first engine of the chain.
        pub upstream: UpstreamHash,
        /// Streams of all instances when the chain refused one.
        pub streams: u32,
        /// Tokens that the chain could hold then.
        pub token_capacity: u64,
        /// How long ago it refused, in milliseconds.
        pub age_ms: u32,
    }

    /// The streams that an instance has to place at a service.
    pub struct Demand {
        /// The service.
        pub service: ServiceHash,
        /// Thousandths of a stream, weighted over the last half second.
        pub milli_streams: u32,
    }
}

domain! {
    value
    /// What an instance reports of chains.
    #[derive(Default)]
    pub struct ChainLimits {
        /// Limits that it learned.
        pub limits: Vec<ChainLimit>,
        /// Its demand.
        pub demands: Vec<Demand>,
    }
}

/// Limits of this instance that have not been sent to the peers yet. The newest limit of a chain
/// replaces an earlier one.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_member::{chain_limit::Outbox, in_flight::UpstreamHash};
///
/// let mut outbox = Outbox::default();
/// assert!(outbox.push(UpstreamHash(1), 60, 80_000, Instant(1_000)));
/// assert!(outbox.push(UpstreamHash(1), 58, 80_000, Instant(2_000)));
/// let limits = outbox.take(Instant(12_000));
/// assert_eq!((limits.len(), limits[0].streams, limits[0].age_ms), (1, 58, 10));
/// assert!(outbox.take(Instant(13_000)).is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    pending: IndexMap<UpstreamHash, (u32, u64, Instant)>,
}

impl Outbox {
    /// Adds a limit; returns `false` if it is dropped since too many wait.
    pub fn push(
        &mut self,
        upstream: UpstreamHash,
        streams: u32,
        token_capacity: u64,
        at: Instant,
    ) -> bool {
        let has_room = self.pending.len() < MAX_PENDING || self.pending.contains_key(&upstream);
        if has_room {
            self.pending.insert(upstream, (streams, token_capacity, at));
        }
        has_room
    }

    /// Returns whether no limit waits.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes the limits of the next message.
    pub fn take(&mut self, now: Instant) -> Vec<ChainLimit> {
        let count = self.pending.len().min(MAX_ENTRIES);
        let taken = self.pending.drain(..count);
        let limits = taken.map(|(upstream, (streams, token_capacity, at))| {
            let age_ms = u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
            ChainLimit { upstream, streams, token_capacity, age_ms }
        });
        limits.collect()
    }
}

impl ChainLimits {
    /// Removes limits that are too old, and entries beyond the bounds of a message.
    pub fn bounded(mut self) -> Self {
        self.limits.retain(|limit| Duration::from_millis(limit.age_ms.into()) < MAX_AGE);
        self.limits.truncate(MAX_ENTRIES);
        self.demands.truncate(MAX_ENTRIES);
        self
    }
}

/// The demand of this instance at services with full chains, and what it last reported of it.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_base::customer_load::ServiceHash;
/// use goldcrestvale_member::chain_limit::LocalDemand;
///
/// let service = ServiceHash(7);
/// let mut demand = LocalDemand::default();
/// demand.record(service, Instant(1_000));
/// assert!(demand.take_reports(Instant(1_000)).is_empty(), "no chain is full");
/// demand.mark_contested(service, Instant(1_000));
/// assert_eq!(demand.take_reports(Instant(1_000))[0].milli_streams, 1_000);
/// assert!(demand.take_reports(Instant(1_000)).is_empty(), "it has not changed");
/// ```
#[derive(Debug, Clone, Default)]
pub struct LocalDemand {
    services: IndexMap<ServiceHash, ServiceDemand>,
}

#[derive(Debug, Clone, Copy, Default)]
struct ServiceDemand {
    streams: f64,
    weighted_at: Instant,
    contested_until: Instant,
    reported: f64,
    reported_at: Option<Instant>,
}

impl ServiceDemand {
    fn streams(&self, now: Instant) -> f64 {
        let passed = now.since(self.weighted_at).as_secs_f64();
        self.streams * (-passed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn is_due(&self, now: Instant) -> bool {
        let changed = (self.streams(now) - self.reported).abs();
        let is_due = |at| now.since(at) >= REPORT_INTERVAL;
        self.contested_until > now
            && (changed > self.reported * REPORTED_CHANGE || self.reported_at.is_none_or(is_due))
    }
}

impl LocalDemand {
    /// Records a stream that asks for a place.
    pub fn record(&mut self, service: ServiceHash, now: Instant) {
        if let Some(demand) = self.entry(service) {
            demand.streams = demand.streams(now) + 1.0;
            demand.weighted_at = now;
        }
    }

    /// Records that a chain of a service is full.
    pub fn mark_contested(&mut self, service: ServiceHash, now: Instant) {
        if let Some(demand) = self.entry(service) {
            demand.contested_until = now + CONTESTED_TIME;
        }
    }

    /// Returns the demand, in streams weighted over the last half second.
    pub fn streams(&self, service: ServiceHash, now: Instant) -> f64 {
        self.services.get(&service).map_or(0.0, |demand| demand.streams(now))
    }

    /// Returns the demand at the services with full chains that changed or was not reported lately,
    /// and marks it as reported.
    pub fn take_reports(&mut self, now: Instant) -> Vec<Demand> {
        let due = self.services.iter_mut().filter(|(_, demand)| demand.is_due(now));
        let reports = due.take(MAX_ENTRIES).map(|(&service, demand)| {
            demand.reported = demand.streams(now);
            demand.reported_at = Some(now);
            Demand { service, milli_streams: (demand.reported * 1_000.0) as u32 }
        });
        reports.collect()
    }

    fn entry(&mut self, service: ServiceHash) -> Option<&mut ServiceDemand> {
        let has_room = self.services.len() < MAX_SERVICES || self.services.contains_key(&service);
        has_room.then(|| self.services.entry(service).or_default())
    }
}

/// The demand that the other instances reported.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_base::customer_load::ServiceHash;
/// use goldcrestvale_member::chain_limit::{Demand, PeerDemand};
///
/// let service = ServiceHash(7);
/// let mut peers = PeerDemand::default();
/// peers.receive(Instant(0), &"bole-1".parse()?, &[Demand { service, milli_streams: 1_500 }]);
/// assert_eq!(peers.total(service, Instant(1_000_000)), (1.5, 1));
/// assert_eq!(peers.total(service, Instant(3_000_000)), (0.0, 0));
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct PeerDemand {
    peers: IndexMap<Instance, IndexMap<ServiceHash, (u32, Instant)>>,
}

impl PeerDemand {
    /// Records the demand that a peer reported.
    pub fn receive(&mut self, now: Instant, from: &Instance, demands: &[Demand]) {
        if demands.is_empty() {
            return;
        }
        if self.peers.len() >= MAX_INSTANCES && !self.peers.contains_key(from) {
            self.peers.retain(|_, services| services.values().any(|(_, at)| is_recent(*at, now)));
            if self.peers.len() >= MAX_INSTANCES {
                return;
            }
        }
        let services = self.peers.entry(from.clone()).or_default();
        for demand in demands {
            if services.len() >= MAX_SERVICES && !services.contains_key(&demand.service) {
                continue;
            }
            services.insert(demand.service, (demand.milli_streams.min(MAX_DEMAND), now));
        }
    }

    /// Removes a peer, whose demand ends with it.
    pub fn forget(&mut self, instance: &Instance) {
        self.peers.shift_remove(instance);
    }

    /// Returns the demand at a service that the other instances reported, in streams, and the
    /// number of these instances.
    pub fn total(&self, service: ServiceHash, now: Instant) -> (f64, u32) {
        let reported = self.peers.values().filter_map(|services| services.get(&service));
        let recent = reported.filter(|(_, at)| is_recent(*at, now));
        recent.fold((0.0, 0), |(sum, count), (milli, _)| {
            (sum + f64::from(*milli) / 1_000.0, count + 1)
        })
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.since(at) < DEMAND_TTL
}
