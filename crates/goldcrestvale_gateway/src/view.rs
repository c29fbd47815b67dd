//! What the request path sees of the upstreams: an immutable snapshot.

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
    catalog::Catalog,
    port::Registration,
    upstream_state::{Span, Trouble},
};

/// An upstream of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct Plain {
    pub(crate) registration: Registration,
    /// It is tried last before this time.
    pub(crate) avoided_until: Instant,
}

/// The engines of a model and the chains over them.
#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) model: Model,
    pub(crate) engines: Vec<Engine>,
    pub(crate) lines: Vec<Arc<Chain>>,
}

impl Fleet {
    pub(crate) fn engines(&self) -> Vec<&Engine> {
        self.engines.iter().collect()
    }

    pub(crate) fn engine(&self, upstream: &Upstream) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.upstream == *upstream)
    }

    /// Names each chain by its domain, its engines and the boundaries between domains.
    pub(crate) fn summary(&self) -> String {
        let lines = self.lines.iter();
        let names =
            lines.map(|line| format!("{}/{}/{}", line.domain, line.stages.len(), line.crossings));
        names.collect::<Vec<_>>().join(" ")
    }

    /// Returns whether a failure domain has a whole chain of its own.
    pub(crate) fn is_whole(&self, domain: &Domain) -> bool {
        self.lines.iter().any(|line| line.domain == *domain && line.crossings == 0)
    }

    /// Returns the engines of the domains that have no whole chain.
    pub(crate) fn broken(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().filter(|engine| !self.is_whole(&engine.domain))
    }
}

/// A snapshot of the upstreams.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) built: Instant,
    pub(crate) plain: HashMap<Service, Vec<Plain>>,
    pub(crate) fleets: HashMap<Service, Arc<Fleet>>,
    /// When each upstream that is leaving began to.
    pub(crate) leaving: HashMap<Upstream, Instant>,
    /// Since when each upstream that does not answer is silent.
    pub(crate) silent: HashMap<Upstream, Instant>,
}

impl View {
    /// Finds an engine over all services.
    pub(crate) fn engine(&self, upstream: &Upstream) -> Option<&Engine> {
        self.fleets.values().find_map(|fleet| fleet.engine(upstream))
    }

    /// Builds a snapshot. `avoided` says until when an upstream is to be left alone, `troubled` what
    /// the instances found of it.
    pub(crate) fn build(
        table: &Table,
        catalog: &Catalog,
        avoided: &HashMap<Upstream, Instant>,
        troubled: &HashMap<(Upstream, Trouble), Span>,
        now: Instant,
    ) -> Self {
        let mut view = Self { built: now, ..Self::default() };
        let mut engines: HashMap<Service, Vec<Engine>> = HashMap::new();
        for (registration, leaving) in catalog.iter() {
            let upstream = &registration.upstream;
            let avoided_until = avoided.get(upstream).copied().unwrap_or_default();
            let in_trouble = |trouble| {
                let span = troubled.get(&(upstream.clone(), trouble));
                span.filter(|span| span.until > now)
            };
            let refusing = in_trouble(Trouble::Refusing);
            let leaving = leaving.or(refusing.map(|span| span.since));
            view.leaving.extend(leaving.map(|since| (upstream.clone(), since)));
            let silent = in_trouble(Trouble::Silent).map(|span| span.since);
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
                        avoided_until,
                    });
                }
                None if ready => view
                    .plain
                    .entry(registration.service.clone())
                    .or_default()
                    .push(Plain { registration: registration.clone(), avoided_until }),
                None => {}
            }
        }
        for (service, mut engines) in engines {
            let model = table.pool(&service).and_then(|pool| pool.model.clone());
            let Some(model) = model else { continue };
            engines.sort_by(|a, b| a.upstream.cmp(&b.upstream));
            let usable: Vec<&Engine> = engines.iter().filter(|e| e.is_usable(now)).collect();
            let lines = find_chains(&model, &usable).into_iter().map(Arc::new).collect();
            view.fleets.insert(service, Arc::new(Fleet { model, engines, lines }));
        }
        view
    }
}
