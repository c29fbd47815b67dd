//! What an instance does from time to time.

use std::time::Duration;

use goldcrestvale_base::{
    id::{Domain, Instance},
    time::Instant,
};
use rand::{Rng, seq::IteratorRandom};

use super::{Actions, Member, send};
use crate::{action::Action, message::Message, settings::Settings};

/// A duty that falls due at regular times.
#[derive(Debug, Clone, Copy)]
struct Duty {
    every: Duration,
    next: Option<Instant>,
}

impl Duty {
    fn new(every: Duration) -> Self {
        Self { every, next: None }
    }

    /// Returns whether the duty is due, and sets its next time with some jitter.
    fn take(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let due = self.next.is_none_or(|next| next <= now);
        if due {
            self.next = Some(now + self.every.mul_f64(rng.random_range(0.85..1.0)));
        }
        due
    }
}

/// The duties of one instance.
#[derive(Debug, Clone)]
pub(super) struct Duties {
    heartbeat: Duty,
    gossip: Duty,
    repair: Duty,
}

impl Duties {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            heartbeat: Duty::new(settings.heartbeat),
            gossip: Duty::new(settings.gossip),
            repair: Duty::new(settings.gossip * 3),
        }
    }

    /// Makes the next gossip due.
    pub(super) fn gossip_soon(&mut self) {
        self.gossip.next = None;
    }
}

impl Member {
    /// Lets time pass.
    pub(super) fn pass(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Actions) {
        if self.stopped {
            return;
        }
        let notices = self.view.sweep(now);
        self.notify(notices, actions);
        self.count();
        self.connect(now, actions);
        if self.duties.heartbeat.take(now, rng) {
            self.beat(now, actions);
        }
        if self.duties.gossip.take(now, rng) {
            self.gossip(now, rng, actions);
        }
        if self.duties.repair.take(now, rng) {
            self.repair(now, rng, actions);
        }
    }

    fn connect(&mut self, now: Instant, actions: &mut Actions) {
        let mut wanted = self.view.wanted();
        let known = |address| self.view.peers().any(|peer| peer.seed.address == address);
        let own = self.settings.own.address;
        let seeds = self.settings.seeds.iter().copied();
        wanted.extend(seeds.filter(|&seed| seed != own && !known(seed)));
        self.dials.keep(|address| wanted.contains(address));
        for address in wanted {
            if self.dials.start(now, address) {
                actions.push(Action::Connect(address));
            }
        }
    }

    /// Sends the heartbeat, and with it what changed since the last one.
    fn beat(&mut self, now: Instant, actions: &mut Actions) {
        let heartbeat = self.heartbeat();
        let totals = self.own_sends.report();
        for peer in self.view.linked() {
            let to = &peer.seed.instance;
            send(actions, to, heartbeat.clone());
            if let Some(totals) = totals.as_ref().filter(|_| self.tells(&peer.seed.domain)) {
                send(actions, to, Message::InFlight(totals.clone()));
            }
            if let Some(told) = self.sharing.report(now, to) {
                send(actions, to, Message::Use(told));
            }
        }
    }

    /// Returns whether instances of a failure domain are told what this one has in progress.
    pub(super) fn tells(&self, domain: &Domain) -> bool {
        self.settings.reports_to_all_domains || self.settings.own.domain == *domain
    }

    fn gossip(&self, now: Instant, rng: &mut impl Rng, actions: &mut Actions) {
        let known = self.view.gossip(now, rng);
        if let Some(to) = self.draw(rng).filter(|_| !known.is_empty()) {
            send(actions, &to, Message::Members(known));
        }
    }

    /// Repeats to one peer what may have been lost.
    fn repair(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Actions) {
        self.leaving.sweep(now);
        self.sharing.sweep(now);
        if let Some(to) = self.draw(rng) {
            self.tell_leaving(&to, actions);
        }
    }

    fn draw(&self, rng: &mut impl Rng) -> Option<Instance> {
        self.view.linked().choose(rng).map(|peer| peer.seed.instance.clone())
    }
}
