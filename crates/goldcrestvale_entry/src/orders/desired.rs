use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use goldcrestvale_base::{
    engine::{Desired, Held},
    id::Upstream,
    time::Instant,
};
use goldcrestvale_config::{record::Placement, snapshot::Entity};
use goldcrestvale_ledger::lease::Queue;
use goldcrestvale_platform::message::Role;

use crate::node::Node;

/// The desired state of each engine of the domain; a limited number of engines is queued at a time.
#[derive(Debug, Default)]
pub(super) struct DesiredStates {
    queued: BTreeMap<Upstream, (SocketAddr, Desired)>,
    waiting: BTreeSet<Upstream>,
}

impl DesiredStates {
    /// Applies the current configuration and table of upstreams.
    pub(super) fn update(&mut self, node: &Node, queue: &mut Queue<Desired>, now: Instant) {
        let config = node.config.load();
        let table = node.upstreams.load();
        let domain = &node.settings.instance.domain;
        self.waiting.clear();
        for (name, placement) in &config.placements {
            let row = table.rows.get(name).filter(|row| row.role == Role::Engine);
            let Some(row) = row.filter(|row| row.domain == *domain && !row.leaving) else {
                continue;
            };
            let desired = desired(placement);
            let queued = self.queued.contains_key(name);
            if !queued && queue.unmet_count() >= node.settings.orders.loads {
                self.waiting.insert(name.clone());
                continue;
            }
            queue.set_desired(name.clone(), desired.clone());
            self.queued.insert(name.clone(), (row.address, desired));
        }
        self.queued.retain(|name, _| {
            let placed = config.placements.contains_key(name);
            let present = table.rows.get(name).is_some_and(|row| !row.leaving);
            (placed && present) || !queue.remove(name, now)
        });
    }

    pub(super) fn address(&self, engine: &Upstream) -> Option<SocketAddr> {
        self.queued.get(engine).map(|(address, _)| *address)
    }

    pub(super) fn get(&self, engine: &Upstream) -> Option<&Desired> {
        self.queued.get(engine).map(|(_, desired)| desired)
    }

    /// Returns the engines that are not queued yet.
    pub(super) fn iter_waiting(&self) -> impl Iterator<Item = &Upstream> {
        self.waiting.iter()
    }
}

fn desired(placement: &Entity<Placement>) -> Desired {
    let Placement { model, layers, version, adapters, .. } = &placement.body;
    Desired::Load(Held {
        model: model.clone(),
        version: version.clone(),
        layers: *layers,
        adapters: adapters.clone(),
    })
}
