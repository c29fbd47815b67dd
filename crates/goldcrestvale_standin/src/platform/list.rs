//! The list of instances, which readers see with a lag.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::time::Wall;
use goldcrestvale_platform::message::{Listed, Listing};
use tokio::time::Instant;

use super::wall;

/// The list of instances with its recent past.
#[derive(Debug, Default)]
pub(super) struct List {
    instances: Vec<Listed>,
    past: VecDeque<(Instant, Listing)>,
}

impl List {
    /// Replaces all instances.
    pub(super) fn replace(&mut self, instances: Vec<Listed>, lag: Duration) {
        self.instances = instances;
        self.publish(lag);
    }

    /// Adds an instance, or replaces the one of the same name and role.
    pub(super) fn upsert(&mut self, listed: Listed, lag: Duration) {
        let same = |old: &Listed| old.name == listed.name && old.role == listed.role;
        match self.instances.iter_mut().find(|old| same(old)) {
            Some(old) => *old = listed,
            None => self.instances.push(listed),
        }
        self.publish(lag);
    }

    /// Returns the list as it was one lag ago.
    pub(super) fn read(&mut self, lag: Duration) -> Listing {
        self.forget(lag);
        let due = self.past.front().filter(|(taken, _)| taken.elapsed() >= lag);
        let empty = || Listing { as_of: Wall(0), instances: Vec::new() };
        let mut listing = due.map_or_else(empty, |(_, listing)| listing.clone());
        let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        listing.as_of = listing.as_of.max(Wall(wall().0.saturating_sub(lag_ms)));
        listing
    }

    fn publish(&mut self, lag: Duration) {
        self.forget(lag);
        let listing = Listing { as_of: wall(), instances: self.instances.clone() };
        self.past.push_back((Instant::now(), listing));
    }

    /// Drops what no reader is given any more.
    fn forget(&mut self, lag: Duration) {
        while self.past.get(1).is_some_and(|(taken, _)| taken.elapsed() >= lag) {
            self.past.pop_front();
        }
    }
}
