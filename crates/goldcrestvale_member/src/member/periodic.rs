//! Periodic tasks of an instance: heartbeats, gossip, resynchronisation.

use std::time::Duration;

use goldcrestvale_base::{
    id::{Domain, Instance},
    time::Instant,
};
use rand::{Rng, seq::IteratorRandom};

use super::{Actions, Member, send};
use crate::{action::Action, message::Message, settings::Settings};

/// A timer of a periodic task.
#[derive(Debug, Clone, Copy)]
struct Timer {
    period: Duration,
    next: Option<Instant>,
}

impl Timer {
    fn new(period: Duration) -> Self {
        Self { period, next: None }
    }

    /// Returns whether the task is due, and if so reschedules it with some jitter.
    fn poll(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let is_due = self.next.is_none_or(|next| next <= now);
        if is_due {
            self.next = Some(now + self.period.mul_f64(rng.random_range(0.85..1.0)));
        }
        is_due
    }
}

/// The timers of the periodic tasks.
#[derive(Debug, Clone)]
pub(super) struct Timers {
    heartbeat: Timer,
    gossip: Timer,
    resync: Timer,
}

impl Timers {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            heartbeat: Timer::new(settings.heartbeat),
            gossip: Timer::new(settings.gossip),
            resync: Timer::new(settings.gossip * 3),
        }
    }

    /// Makes gossip due at the next tick.
    pub(super) fn gossip_soon(&mut self) {
        self.gossip.next = None;
    }
}

impl Member {
    /// Runs the tasks that are due.
    pub(super) fn tick(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Actions) {
        if self.stopped {
            return;
        }
        let notices = self.view.sweep(now);
        self.notify(notices, actions);
        self.update_instance_count();
        self.connect(now, actions);
        if self.timers.heartbeat.poll(now, rng) {
            self.send_heartbeats(now, actions);
        }
        if self.timers.gossip.poll(now, rng) {
            self.send_gossip(now, rng, actions);
        }
        if self.timers.resync.poll(now, rng) {
            self.resync(now, rng, actions);
        }
    }

    fn connect(&mut self, now: Instant, actions: &mut Actions) {
        let mut wanted = self.view.unconnected_targets();
        let is_known = |address| self.view.peers().any(|peer| peer.seed.address == address);
        let own = self.settings.own.address;
        let seeds = self.settings.seeds.iter().copied();
        wanted.extend(seeds.filter(|&seed| seed != own && !is_known(seed)));
        self.backoff.retain(|address| wanted.contains(address));
        for address in wanted {
            if self.backoff.try_start(now, address) {
                actions.push(Action::Connect(address));
            }
        }
    }

    /// Sends the heartbeat to all connected peers, and with it what changed since the last one.
    fn send_heartbeats(&mut self, now: Instant, actions: &mut Actions) {
        let heartbeat = self.next_heartbeat();
        let totals = self.local_work.take_changes();
        for peer in self.view.linked() {
            let to = &peer.seed.instance;
            send(actions, to, heartbeat.clone());
            if let Some(totals) =
                totals.as_ref().filter(|_| self.reports_work_to(&peer.seed.domain))
            {
                send(actions, to, Message::InFlight(totals.clone()));
            }
            if let Some(limit_use) = self.sharing.report(now, to) {
                send(actions, to, Message::Use(limit_use));
            }
        }
    }

    /// Sends the streams of customers that changed to the connected peers.
    pub(super) fn send_customer_loads(&mut self, actions: &mut Actions) {
        let Some(loads) = self.local_loads.take_changes() else { return };
        for peer in self.view.linked() {
            if self.reports_work_to(&peer.seed.domain) {
                send(actions, &peer.seed.instance, Message::CustomerLoad(loads.clone()));
            }
        }
    }

    /// Returns whether this instance reports its work in flight to a failure domain.
    pub(super) fn reports_work_to(&self, domain: &Domain) -> bool {
        self.settings.reports_to_all_domains || self.is_near(domain)
    }

    fn send_gossip(&self, now: Instant, rng: &mut impl Rng, actions: &mut Actions) {
        let records = self.view.sample(now, rng);
        if let Some(to) = self.random_peer(rng).filter(|_| !records.is_empty()) {
            send(actions, &to, Message::Members(records));
        }
    }

    /// Sends the leaving upstreams again to a random peer, since earlier messages may have been
    /// lost, and removes expired state.
    fn resync(&mut self, now: Instant, rng: &mut impl Rng, actions: &mut Actions) {
        self.leaving.sweep(now);
        self.sharing.sweep(now);
        let neighbours = self.view.linked().filter(|peer| self.is_near(&peer.seed.domain));
        let neighbour = neighbours.choose(rng).map(|peer| peer.seed.instance.clone());
        // Where all domains are linked, each one makes up for its own losses.
        let to = match neighbour {
            Some(neighbour) if self.settings.reports_to_all_domains => Some(neighbour),
            _ => self.random_peer(rng),
        };
        if let Some(to) = to {
            self.send_leaving(&to, actions);
        }
    }

    fn is_near(&self, domain: &Domain) -> bool {
        self.settings.own.domain == *domain
    }

    fn random_peer(&self, rng: &mut impl Rng) -> Option<Instance> {
        self.view.linked().choose(rng).map(|peer| peer.seed.instance.clone())
    }
}
