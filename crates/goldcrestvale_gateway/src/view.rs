//! The immutable snapshot of the upstreams that the request path reads.

use std::{collections::HashMap, sync::Arc};

use goldcrestvale_base::{
    id::{Domain, Service, Upstream},
    time::Instant,
};
use goldcrestvale_route::{
    forward::Table,
    pipeline::{Chain, Engine, Model, find_chains},
};

use crate::{
    port::Registration,
    upstream_state::{FaultKind, UpstreamState},
};

/// An upstream of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct PlainUpstream {
    pub(crate) registration: Registration,
    /// Time until which it is only used if no other upstream is left.
    pub(crate) avoided_until: Instant,
    /// Time until which it wants no request.
    pub(crate) paused_until: Instant,
}

/// The engines of a model and the chains over them.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) service: Service,
    pub(crate) model: Model,
    pub(crate) engines: Vec<Engine>,
    pub(crate) chains: Vec<Arc<Chain>>,
}

impl Fleet {
    pub(crate) fn engines(&self) -> Vec<&Engine> {
        self.engines.iter().collect()
    }

    pub(crate) fn engine(&self, upstream: &Upstream) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.upstream == *upstream)
    }

    /// Describes each chain by its domain, its number of engines, its domain crossings, the streams
    /// that it holds and the time of its steps relative to the reference card.
    pub(crate) fn summary(&self) -> String {
        let names = self.chains.iter().map(|chain| {
            let (domain, engines, crossings) = (&chain.domain, chain.stages.len(), chain.crossings);
            let streams = chain.token_capacity / self.model.stream_tokens().max(1.0);
            let pace = chain.step_pace;
            format!("{domain}/{engines}/{crossings}/{streams:.0}/{pace:.1}")
        });
        names.collect::<Vec<_>>().join(" ")
    }

    /// Returns whether a failure domain has a complete chain of its own.
    pub(crate) fn is_complete(&self, domain: &Domain) -> bool {
        self.chains.iter().any(|chain| chain.domain == *domain && chain.crossings == 0)
    }

    /// Returns the engines of the failure domains without a complete chain of their own.
    pub(crate) fn incomplete(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().filter(|engine| !self.is_complete(&engine.domain))
    }
}

/// A snapshot of the upstreams.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) built: Instant,
    pub(crate) plain: HashMap<Service, Vec<PlainUpstream>>,
    pub(crate) fleets: HashMap<Service, Arc<Fleet>>,
    /// Time at which each leaving upstream began to leave.
    pub(crate) leaving: HashMap<Upstream, Instant>,
    /// Time since which each silent upstream does not answer.
    pub(crate) silent: HashMap<Upstream, Instant>,
}

impl View {
    /// Returns an engine of any service by its name.
    pub(crate) fn engine(&self, upstream: &Upstream) -> Option<&Engine> {
        self.fleets.values().find_map(|fleet| fleet.engine(upstream))
    }

    /// Builds a snapshot.
    pub(crate) fn build(table: &Table, state: &UpstreamState, now: Instant) -> Self {
        let UpstreamState { catalog, avoided, paused, faults, .. } = state;
        let mut view = Self { built: now, ..Self::default() };
        let mut engines: HashMap<Service, Vec<Engine>> = HashMap::new();
        for (registration, leaving) in catalog.iter() {
            let upstream = &registration.upstream;
            let avoided_until = avoided.get(upstream).copied().unwrap_or_default();
            let paused_until = paused.get(upstream).copied().unwrap_or_default();
            let active_fault = |kind| {
                let period = faults.get(&(upstream.clone(), kind));
                period.filter(|period| period.until > now)
            };
            let refusing = active_fault(FaultKind::Refusing);
            let leaving = leaving.or(refusing.map(|period| period.since));
            view.leaving.extend(leaving.map(|since| (upstream.clone(), since)));
            let silent = active_fault(FaultKind::Silent).map(|period| period.since);
            view.silent.extend(silent.map(|since| (upstream.clone(), since)));
            let ready = registration.ready && refusing.is_none();
            match &registration.holding {
                Some(holding) => {
                    engines.entry(registration.service.clone()).or_default().push(Engine {
                        upstream: upstream.clone(),
                        address: registration.address,
                        domain: registration.domain.clone(),
                        card: holding.card.clone(),
                        held: holding.layers,
                        ready,
                        silent: silent.is_some(),
                        avoided_until: avoided_until.max(paused_until),
                    });
                }
                None if ready => view.plain.entry(registration.service.clone()).or_default().push(
                    PlainUpstream {
                        registration: registration.clone(),
                        avoided_until,
                        paused_until,
                    },
                ),
                None => {}
            }
        }
        for (service, mut engines) in engines {
            let model = table.pool(&service).and_then(|pool| pool.model.clone());
            let Some(model) = model else { continue };
            engines.sort_by(|a, b| a.upstream.cmp(&b.upstream));
            let usable: Vec<&Engine> = engines.iter().filter(|e| e.is_usable(now)).collect();
            let chains = find_chains(&model, &usable).into_iter().map(Arc::new).collect();
            let fleet = Fleet { service: service.clone(), model, engines, chains };
            view.fleets.insert(service, Arc::new(fleet));
        }
        view
    }
}
