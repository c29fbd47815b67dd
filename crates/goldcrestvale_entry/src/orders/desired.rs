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

/// What each engine of the domain should hold, let into the queue a few at a time.
#[derive(Debug, Default)]
pub(super) struct Wanted {
    queued: BTreeMap<Upstream, (SocketAddr, Desired)>,
    waiting: BTreeSet<Upstream>,
}

impl Wanted {
    /// Follows the configuration and the table of upstreams.
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
            let known = self.queued.contains_key(name);
            if !known && queue.unmet_count() >= node.settings.orders.loads {
                self.waiting.insert(name.clone());
                continue;
            }
            queue.set_desired(name.clone(), desired.clone());
            self.queued.insert(name.clone(), (row.address, desired));
        }
        self.queued.retain(|name, _| {
            let placed = config.placements.contains_key(name);
            let stays = table.rows.get(name).is_some_and(|row| !row.leaving);
            (placed && stays) || !queue.remove(name, now)
        });
    }

    pub(super) fn address(&self, engine: &Upstream) -> Option<SocketAddr> {
        self.queued.get(engine).map(|(address, _)| *address)
    }

    pub(super) fn desired(&self, engine: &Upstream) -> Option<&Desired> {
        self.queued.get(engine).map(|(_, desired)| desired)
    }

    /// Returns the engines that are not let into the queue yet.
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
