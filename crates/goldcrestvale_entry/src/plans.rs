//! Chain planners of the configured models, as an immutable snapshot.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use goldcrestvale_base::{
    engine::{Accelerator, Held},
    id::{Domain, Model, Upstream},
    time::Instant,
};
use goldcrestvale_config::snapshot::Snapshot;
use goldcrestvale_route::{
    chain::{Candidate, Planner},
    health::Monitor,
};

use crate::{
    node::Node,
    round_trip::RoundTrips,
    table::{Row, Table},
};

/// Weight of a chain's slowest stage relative to the sum of its stages.
const BOTTLENECK_WEIGHT: u32 = 1;

/// Number of batched steps at which the step time of an engine doubles.
const DOUBLING_BATCH: u32 = 16;

/// Factor on the cost of an ejected engine. The engine is planned only if there is no other, and
/// not left out, since an engine that is not ejected may turn out to be dead.
const EJECTED_COST_FACTOR: u32 = 1_000;

/// Round-trip time assumed for a link without a measurement.
const DEFAULT_LINK: Duration = Duration::from_millis(1);

/// Multiple of its domain's median round-trip time above which an upstream's own time is used.
const LINK_OUTLIER_FACTOR: u32 = 4;

/// Time that one layer of a step takes on a kind of accelerator without load.
struct Profile {
    step: Duration,
    prefill: Duration,
}

impl Profile {
    fn of(accelerator: &Accelerator) -> Self {
        let (step, prefill) = match accelerator {
            Accelerator::Large => (250, 2),
            Accelerator::Medium => (500, 5),
            Accelerator::Small => (1_000, 12),
        };
        Self { step: Duration::from_micros(step), prefill: Duration::from_micros(prefill) }
    }
}

/// A model and its version.
type Key = (Model, String);

/// The planners by model and version, with the snapshots that they were built from.
#[derive(Debug)]
pub struct Plans {
    table: Arc<Table>,
    config: Arc<Snapshot>,
    health: Arc<Monitor>,
    planners: BTreeMap<Key, Planner>,
}

impl Default for Plans {
    fn default() -> Self {
        let settings = goldcrestvale_route::health::Settings::default();
        Self {
            table: Arc::default(),
            config: Arc::default(),
            health: Arc::new(Monitor::new(settings)),
            planners: BTreeMap::new(),
        }
    }
}

impl Plans {
    /// Returns the plans for the newest snapshots; rebuilds them if a snapshot has changed.
    pub fn current(node: &Node) -> Arc<Self> {
        let plans = node.plans.load_full();
        let (table, config) = (node.upstreams.load_full(), node.config.load_full());
        let health = node.health.load();
        if plans.is_built_from(&table, &config, &health) {
            return plans;
        }
        let plans = Arc::new(Self::build(node.clock.now(), table, config, health));
        node.plans.store(plans.clone());
        plans
    }

    /// Returns the planner of a version of a model.
    pub fn get(&self, model: &Model, version: &str) -> Option<&Planner> {
        self.planners.get(&(model.clone(), version.to_owned()))
    }

    /// Returns a row of the table that the plans were built from.
    pub fn row(&self, upstream: &Upstream) -> Option<&Arc<Row>> {
        self.table.rows.get(upstream)
    }

    /// Returns whether an upstream is leaving or no longer listed.
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.row(upstream).is_none_or(|row| row.leaving)
    }

    /// Returns whether an upstream temporarily gets no work because it failed or is slow.
    pub fn is_ejected(&self, now: Instant, upstream: &Upstream) -> bool {
        self.health.is_ejected(now, upstream)
    }

    fn is_built_from(
        &self,
        table: &Arc<Table>,
        config: &Arc<Snapshot>,
        health: &Arc<Monitor>,
    ) -> bool {
        Arc::ptr_eq(&self.table, table)
            && Arc::ptr_eq(&self.config, config)
            && Arc::ptr_eq(&self.health, health)
    }

    fn build(now: Instant, table: Arc<Table>, config: Arc<Snapshot>, health: Arc<Monitor>) -> Self {
        let links = links(&table);
        let mut planners = BTreeMap::new();
        for row in table.iter_engines().filter(|row| !health.is_leaving(&row.name)) {
            let median = links.get(&row.domain).copied().unwrap_or(DEFAULT_LINK);
            for held in row.engine().into_iter().flat_map(|load| &load.holds) {
                let Some(model) = config.models.get(&held.model) else { continue };
                let Some(candidate) = candidate(now, row, held, median, &health) else { continue };
                let key = (held.model.clone(), held.version.clone());
                let empty = || Planner::new(model.body.layers, BOTTLENECK_WEIGHT);
                insert(planners.entry(key).or_insert_with(empty), candidate);
            }
        }
        Self { table, config, health, planners }
    }
}

/// Adds a candidate, or adds its layers to a candidate of the same engine.
fn insert(planner: &mut Planner, mut candidate: Candidate) {
    if let Some(known) = planner.get(&candidate.upstream) {
        candidate.holds.extend(known.holds.iter().copied());
    }
    planner.insert(candidate);
}

fn candidate(
    now: Instant,
    row: &Row,
    held: &Held,
    median: Duration,
    health: &Monitor,
) -> Option<Candidate> {
    let load = row.engine()?;
    let profile = Profile::of(&load.accelerator);
    let queued = load.running.saturating_add(load.waiting).min(u32::from(u16::MAX));
    let loaded = profile.step + profile.step * queued / DOUBLING_BATCH;
    let link = link_cost(&row.link, median);
    Some(Candidate {
        upstream: row.name.clone(),
        domain: row.domain.clone(),
        accelerator: load.accelerator.clone(),
        holds: [held.layers].into_iter().collect(),
        // The monitor compares step times with this one, so it must be that of a healthy engine.
        step: loaded,
        slowdown: health.slowdown(&row.name).ceil() as u32,
        cost: health.cost(now, &row.name, loaded).unwrap_or(loaded * EJECTED_COST_FACTOR),
        prefill: profile.prefill,
        link,
    })
}

/// Returns the round-trip time that an upstream's link is planned with, given the median of its
/// domain. The upstream's own time counts only if it is an outlier over a full window: a few
/// samples under local load all exceed the time of the link.
pub fn link_cost(samples: &RoundTrips, median: Duration) -> Duration {
    let lowest = samples.lowest().filter(|_| samples.is_full());
    lowest.filter(|lowest| *lowest > median * LINK_OUTLIER_FACTOR).unwrap_or(median)
}

/// Returns the round-trip time to each domain.
fn links(table: &Table) -> BTreeMap<Domain, Duration> {
    let mut links: BTreeMap<&Domain, Vec<&RoundTrips>> = BTreeMap::new();
    for row in table.iter_engines() {
        links.entry(&row.domain).or_default().push(&row.link);
    }
    links.into_iter().map(|(domain, links)| (domain.clone(), domain_link(&links))).collect()
}

/// Returns the round-trip time to a domain from the samples of its upstreams: the median of the
/// full windows, or before there are any, the lowest sample.
pub fn domain_link(links: &[&RoundTrips]) -> Duration {
    let full = links.iter().filter(|samples| samples.is_full());
    let mut lowest: Vec<Duration> = full.filter_map(|samples| samples.lowest()).collect();
    lowest.sort_unstable();
    let median = lowest.get(lowest.len() / 2).copied();
    let first = || links.iter().filter_map(|samples| samples.lowest()).min();
    median.or_else(first).unwrap_or(DEFAULT_LINK)
}
