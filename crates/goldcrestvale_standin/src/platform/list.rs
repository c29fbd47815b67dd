//! The list of instances, which readers see with a lag.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::time::Wall;
use goldcrestvale_platform::message::{Listed, Listing};
use tokio::time::Instant;

use super::wall_now;

/// The list of instances and its recent versions.
#[derive(Debug, Default)]
pub(super) struct List {
    instances: Vec<Listed>,
    history: VecDeque<(Instant, Listing)>,
}

impl List {
    /// Replaces all instances.
    pub(super) fn replace(&mut self, instances: Vec<Listed>, lag: Duration) {
        self.instances = instances;
        self.publish(lag);
    }

    /// Adds an instance, or replaces the one with the same name and role.
    pub(super) fn upsert(&mut self, listed: Listed, lag: Duration) {
        let same = |old: &Listed| old.name == listed.name && old.role == listed.role;
        match self.instances.iter_mut().find(|old| same(old)) {
            Some(old) => *old = listed,
            None => self.instances.push(listed),
        }
        self.publish(lag);
    }

    /// Returns the list as it was before the lag.
    pub(super) fn read(&mut self, lag: Duration) -> Listing {
        self.prune(lag);
        let due = self.history.front().filter(|(taken, _)| taken.elapsed() >= lag);
        let empty = || Listing { as_of: Wall(0), instances: Vec::new() };
        let mut listing = due.map_or_else(empty, |(_, listing)| listing.clone());
        let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        listing.as_of = listing.as_of.max(Wall(wall_now().0.saturating_sub(lag_ms)));
        listing
    }

    fn publish(&mut self, lag: Duration) {
        self.prune(lag);
        let listing = Listing { as_of: wall_now(), instances: self.instances.clone() };
        self.history.push_back((Instant::now(), listing));
    }

    /// Drops versions that no reader can see any more.
    fn prune(&mut self, lag: Duration) {
        while self.history.get(1).is_some_and(|(taken, _)| taken.elapsed() >= lag) {
            self.history.pop_front();
        }
    }
}
