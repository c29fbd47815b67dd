//! What must hold in every race.

use std::time::Duration;

use goldcrestvale_base::verdict::Verdict;
use goldcrestvale_ledger::coordinator::Event;
use proptest::prelude::*;

use super::{
    cluster::{Check, Node, World},
    step::{Fate, INSTANCES, Reader},
};

impl World {
    /// Checks what must hold after every step.
    pub(super) fn check(&mut self) -> Check {
        for (key, effects) in &self.effects {
            prop_assert!(effects.len() <= 1, "key {key} ran for {effects:?}");
            for ticket in effects {
                let verdict = self.answers[ticket];
                let denied = verdict.is_some_and(Verdict::is_not_run);
                prop_assert!(!denied, "{ticket:?} ran and was answered not run");
                let given_up = self.denied.contains(ticket);
                prop_assert!(!given_up, "{ticket:?} ran and was said to be given up");
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

    /// Lets every message arrive and every deadline pass; each call must be answered then.
    pub(crate) fn finish(&mut self) -> Check {
        for at in 0..INSTANCES {
            self.nodes[at].paused = false;
            self.nodes[at].log_out = false;
            self.handle(at, Event::LogAvailable)?;
        }
        for _ in 0..12 {
            self.now = self.now + Duration::from_secs(2);
            for at in 0..INSTANCES {
                self.handle(at, Event::Tick)?;
                while !self.nodes[at].appends.is_empty() {
                    self.append(at, Fate::Done)?;
                }
                self.read(at, usize::MAX / 2)?;
                while !self.nodes[at].sends.is_empty() {
                    self.send(at, Fate::Done)?;
                }
                while !self.nodes[at].asks.is_empty() {
                    self.ask(at, true)?;
                }
            }
        }
        self.check()?;
        for (ticket, answer) in &self.answers {
            prop_assert!(answer.is_some(), "{ticket:?} was never answered");
        }
        let idle = self.nodes.iter().all(|node| node.coordinator.is_idle());
        prop_assert!(idle, "an instance never comes to rest");
        if self.reader == Reader::InOrder { self.check_free() } else { Ok(()) }
    }

    /// Checks that no live owner, at rest, holds a key that did not run.
    ///
    /// An owner whose claim was trimmed before it read it cannot know of it.
    fn check_free(&self) -> Check {
        for key in self.keys.values().filter(|key| !self.effects.contains_key(key)) {
            for holding in self.nodes.iter().filter_map(|node| node.coordinator.fold().get(key)) {
                let owner =
                    |node: &&Node| node.coordinator.incarnation() == holding.owner.incarnation;
                let owner = self.nodes.iter().find(owner);
                let knows = owner.is_some_and(|owner| holding.claim.0 >= owner.gap);
                prop_assert!(!knows, "key {key} is held and will never run");
            }
        }
        Ok(())
    }
}
