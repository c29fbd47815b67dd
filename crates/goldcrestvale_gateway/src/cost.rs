//! Expected sizes of streams, and the tokens that the streams on a chain take.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, Once, PoisonError},
};

use goldcrestvale_base::id::{Service, Upstream};
use goldcrestvale_member::in_flight::PeerWork;
use goldcrestvale_route::{
    cost::{Estimate, Estimator, Query},
    pipeline::{Chain, Load, Model, Size},
};
use log::warn;

use crate::{forward::Matched, gateway::Gateway, registry::StreamGuard, trace::Trace};

/// Maximum number of services whose answers are observed; streams of further ones count as average.
const MAX_SERVICES: usize = 256;

/// Limits the log lines on customers whose lengths were dropped to one.
static EVICTION: Once = Once::new();

/// The estimators by service.
#[derive(Debug, Default)]
pub(crate) struct Estimators {
    services: Mutex<HashMap<Service, Estimator>>,
}

/// Tokens that one stream takes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamCost {
    /// Tokens that it holds and will still write.
    tokens: u64,
    /// Tokens of its prompt, until its first event shows that they were read.
    unread: u64,
}

/// Tokens that the streams of this instance on a chain take.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ChainCost {
    streams: u32,
    tokens: u64,
    unread: u64,
}

/// The estimate of a stream, and how far the stream has come.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    estimate: Option<Estimate>,
    /// Events that the caller had received before this chain.
    resumed_after: u64,
}

impl ChainCost {
    /// Counts a stream in place of what it counted before.
    pub(crate) fn replace(&mut self, before: Option<StreamCost>, after: Option<StreamCost>) {
        if let Some(StreamCost { tokens, unread }) = before {
            self.streams = self.streams.saturating_sub(1);
            self.tokens = self.tokens.saturating_sub(tokens);
            self.unread = self.unread.saturating_sub(unread);
        }
        if let Some(StreamCost { tokens, unread }) = after {
            self.streams += 1;
            self.tokens += tokens;
            self.unread += unread;
        }
    }

    /// Returns the tokens of all streams of this instance on a chain, as peers are told; `None`
    /// without an estimate. Streams without one count as the others.
    pub(crate) fn reported_tokens(&self, streams: u32) -> Option<u32> {
        let estimated = u64::from(self.streams);
        let tokens = (self.tokens * u64::from(streams)).checked_div(estimated)?;
        Some(u32::try_from(tokens).unwrap_or(u32::MAX))
    }

    /// Adds the tokens on a chain to its load. Streams without an estimate count as average ones,
    /// and those of other instances as these report.
    fn add_to(self, load: &mut Load, peer_work: &PeerWork, head: &Upstream, model: &Model) {
        let mean = model.final_tokens();
        let own = self.tokens as f64 + f64::from(load.own.saturating_sub(self.streams)) * mean;
        let others = match peer_work.total(head) {
            0 => f64::from(load.others) * mean,
            // The load also counts instances without a connection to this one.
            reported => {
                let tokens = peer_work.tokens(head, mean, model.slots);
                tokens * f64::from(load.others) / f64::from(reported)
            }
        };
        load.tokens = Some(own + others);
        load.unread = self.unread as f64;
    }
}

impl StreamCost {
    fn new(size: Size, has_begun: bool) -> Self {
        Self {
            tokens: (size.prompt + size.answer) as u64,
            unread: if has_begun { 0 } else { size.prompt as u64 },
        }
    }
}

impl Progress {
    /// Returns the expected size of what is left; `None` counts the stream as average.
    pub(crate) fn size(&self) -> Option<Size> {
        self.estimate.map(|estimate| estimate.after(self.resumed_after))
    }

    /// Counts the stream on the chain that it is about to be sent to.
    pub(crate) fn count(&self, guard: &StreamGuard) {
        if let Some(size) = self.size() {
            guard.set_cost(StreamCost::new(size, false));
        }
    }
}

/// Counts a stream by its estimate and its events on the chain that it passes through.
pub(crate) fn count_events<P>(guard: &StreamGuard, trace: &Trace<P>) {
    if let Some(estimate) = trace.estimate {
        guard.set_cost(StreamCost::new(estimate.after(trace.events), true));
    }
}

impl Estimators {
    fn lock(&self) -> MutexGuard<'_, HashMap<Service, Estimator>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<P> Gateway<P> {
    /// Returns whether streams of a service count by their expected sizes.
    fn uses_sizes(&self, service: &Service) -> bool {
        self.settings.cost_routing.is_auto() && self.table.load().service_levels(service).len() >= 2
    }

    /// Adds the tokens on the chains to their loads, for a stream whose size is known.
    pub(crate) fn add_tokens(&self, candidates: &mut [(&Chain, Load)], model: &Model) {
        let snapshot = self.peers.snapshot();
        for (chain, load) in candidates {
            let head = &chain.head().upstream;
            self.registry.cost(head).add_to(load, &snapshot.peer_work, head, model);
        }
    }
}

/// Estimates the size of a stream that is about to be sent, after an event that its caller has
/// received.
pub(crate) fn estimate<P>(
    matched: &mut Matched<P>,
    service: &Service,
    model: &Model,
    last_event: Option<u64>,
) -> Progress {
    let gateway = &matched.gateway;
    if !gateway.uses_sizes(service) {
        return Progress::default();
    }
    let resumed_after = last_event.or(matched.head.last_event).unwrap_or_default();
    if let Some(estimate) = matched.trace.estimate {
        return Progress { estimate: Some(estimate), resumed_after };
    }
    let mut services = gateway.estimators.lock();
    if services.len() >= MAX_SERVICES && !services.contains_key(service) {
        return Progress::default();
    }
    let estimator = services
        .entry(service.clone())
        .and_modify(|estimator| estimator.set_mean(&model.mean_request))
        .or_insert_with(|| Estimator::new(&model.mean_request));
    let estimate = estimator.estimate(&query(matched));
    drop(services);
    matched.trace.estimate = Some(estimate);
    Progress { estimate: Some(estimate), resumed_after }
}

/// Records the length of an answer that is complete.
pub(crate) fn record_length<P>(matched: &mut Matched<P>, service: &Service, events: u64) {
    let Some(estimate) = matched.trace.estimate else { return };
    let gateway = &matched.gateway;
    let mut services = gateway.estimators.lock();
    let Some(estimator) = services.get_mut(service) else { return };
    let Some(answer) = estimator.record(&query(matched), events) else { return };
    drop(services);
    if answer.has_evicted {
        EVICTION.call_once(|| {
            warn!(service:% = service; "lengths of the least recent customers are dropped");
        });
    }
    gateway.metrics.record_estimate_ratio(answer.tokens / estimate.answer.max(1.0));
    matched.trace.answer_tokens = Some(answer.tokens);
}

fn query<P>(matched: &Matched<P>) -> Query<'_> {
    let sizes = matched.head.sizes;
    Query {
        route: &matched.route.name,
        customer: matched.customer_name().unwrap_or_default(),
        prompt: sizes.map(|sizes| sizes.prompt),
        max_answer: sizes.map(|sizes| sizes.max_answer),
        hint: matched.head.answer_hint,
    }
}
