//! Invariants of the simulation.

use std::time::Duration;

use goldcrestvale_base::verdict::Verdict;
use goldcrestvale_ledger::coordinator::Event;
use proptest::prelude::*;

use super::{
    cluster::{Check, Cluster, Node},
    step::{Delivery, INSTANCES, Reader},
};

impl Cluster {
    /// Checks the invariants that hold after every step.
    pub(super) fn check(&mut self) -> Check {
        for (key, effects) in &self.effects {
            prop_assert!(effects.len() <= 1, "key {key} ran for {effects:?}");
            for ticket in effects {
                let verdict = self.answers[ticket];
                let not_run = verdict.is_some_and(Verdict::is_not_run);
                prop_assert!(!not_run, "{ticket:?} ran but was answered as not run");
                let given_up = self.given_up.contains(ticket);
                prop_assert!(!given_up, "{ticket:?} ran but was reported as given up");
            }
        }
        for node in &self.nodes {
            let fold = node.coordinator.fold();
            if self.reader == Reader::InOrder && fold.proves_all() {
                let digest = fold.digest();
                let known = *self.digests.entry(fold.next()).or_insert(digest);
                prop_assert_eq!(known, digest, "folds differ at {}", fold.next());
            }
        }
        Ok(())
    }

    /// Delivers every message and lets every deadline pass; each call must then be answered.
    pub(crate) fn finish(&mut self) -> Check {
        for instance in 0..INSTANCES {
            self.nodes[instance].paused = false;
            self.nodes[instance].log_unavailable = false;
            self.handle(instance, Event::LogAvailable)?;
        }
        for _ in 0..12 {
            self.now = self.now + Duration::from_secs(2);
            for instance in 0..INSTANCES {
                self.handle(instance, Event::Tick)?;
                while !self.nodes[instance].appends.is_empty() {
                    self.append(instance, Delivery::Delivered)?;
                }
                self.read(instance, usize::MAX / 2)?;
                while !self.nodes[instance].sends.is_empty() {
                    self.dispatch(instance, Delivery::Delivered)?;
                }
                while !self.nodes[instance].queries.is_empty() {
                    self.query_owner(instance, true)?;
                }
            }
        }
        self.check()?;
        for (ticket, answer) in &self.answers {
            prop_assert!(answer.is_some(), "{ticket:?} was never answered");
        }
        let idle = self.nodes.iter().all(|node| node.coordinator.is_idle());
        prop_assert!(idle, "an instance does not become idle");
        if self.reader == Reader::InOrder { self.check_unheld() } else { Ok(()) }
    }

    /// Checks that no live, idle owner holds a key that did not run.
    ///
    /// An owner cannot know of its claim if the claim was trimmed before the owner read it.
    fn check_unheld(&self) -> Check {
        for key in self.keys.values().filter(|key| !self.effects.contains_key(key)) {
            for holding in self.nodes.iter().filter_map(|node| node.coordinator.fold().get(key)) {
                let owner =
                    |node: &&Node| node.coordinator.incarnation() == holding.owner.incarnation;
                let owner = self.nodes.iter().find(owner);
                let is_known = owner.is_some_and(|owner| holding.claim.0 >= owner.trimmed_below);
                prop_assert!(!is_known, "key {key} is held and will never run");
            }
        }
        Ok(())
    }
}
