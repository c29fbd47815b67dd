//! The membership state machine of one instance: events in, actions out.

mod periodic;

use goldcrestvale_base::{
    id::{Incarnation, Instance},
    time::Instant,
};
use rand::{Rng, seq::IteratorRandom};
use serde::Serialize;

use self::periodic::Timers;
use crate::{
    action::{Action, Notice},
    backoff::Backoff,
    chain_limit::ChainLimits,
    customer_load::{LocalLoads, PeerLoads},
    event::Event,
    evidence::{Evidence, Reports},
    identity::Identity,
    in_flight::{LocalWork, PeerWork},
    leaving::{self, Mark},
    limit::{Shares, Sharing},
    message::{Heartbeat, MemberRecord, Message, Status},
    retry_loan::RetryLoans,
    settings::Settings,
    silence::{Silence, Silences},
    view::{Notices, Peer, State, View},
};

/// Maximum number of upstreams in one message about leaving upstreams.
pub const MAX_MARKS: usize = 64;

/// Maximum number of instances in one message that introduces them.
const MAX_INTRODUCED: usize = 64;

/// Number of members of its own failure domain that an instance of another one is introduced to.
/// One of them is enough to reach all others.
const FAR_INTRODUCTIONS: usize = 3;

/// The actions that result from one event, in order.
pub type Actions = Vec<Action>;

/// The membership of one instance.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{id::Incarnation, time::Instant};
/// use goldcrestvale_member::prelude::*;
/// use rand::{SeedableRng, rngs::StdRng};
///
/// let own = Identity {
///     instance: "bole-1".parse()?,
///     incarnation: Incarnation(1),
///     domain: "bole".parse()?,
///     address: "127.0.0.1:7000".parse().expect("an address"),
/// };
/// let seed = "127.0.0.1:7001".parse().expect("an address");
/// let mut member = Member::new(Settings::new(own).seeds(vec![seed]));
/// let mut rng = StdRng::seed_from_u64(1);
/// let actions = member.handle(Instant(0), Event::Tick, &mut rng);
/// assert_eq!(actions, [Action::Connect(seed)]);
/// # Ok::<(), goldcrestvale_base::id::Error>(())
/// ```
#[derive(Debug, Clone, Serialize)]
pub struct Member {
    #[serde(skip)]
    settings: Settings,
    status: Status,
    sequence: u64,
    stopped: bool,
    view: View,
    leaving: leaving::Set,
    sharing: Sharing,
    #[serde(skip)]
    local_work: LocalWork,
    #[serde(skip)]
    peer_work: PeerWork,
    #[serde(skip)]
    local_loads: LocalLoads,
    #[serde(skip)]
    peer_loads: PeerLoads,
    #[serde(skip)]
    silences: Silences,
    #[serde(skip)]
    reports: Reports,
    #[serde(rename = "dials")]
    backoff: Backoff,
    #[serde(skip)]
    timers: Timers,
}

impl Member {
    /// Creates a member with the settings.
    pub fn new(settings: Settings) -> Self {
        Self {
            status: Status::default(),
            sequence: 0,
            stopped: false,
            view: View::new(&settings),
            leaving: leaving::Set::default(),
            sharing: Sharing::new(settings.instances, settings.loan_duration),
            local_work: LocalWork::default(),
            peer_work: PeerWork::default(),
            local_loads: LocalLoads::default(),
            peer_loads: PeerLoads::default(),
            silences: Silences::default(),
            reports: Reports::default(),
            backoff: Backoff::default(),
            timers: Timers::new(&settings),
            settings,
        }
    }

    /// Returns the interval at which the member needs [`Event::Tick`].
    pub fn tick_interval(&self) -> std::time::Duration {
        self.settings.heartbeat / 4
    }

    /// Returns the view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the lowest of the newest schema versions that this instance and its live peers
    /// support.
    pub fn min_schema(&self) -> u32 {
        self.view.min_schema(self.status.schema)
    }

    /// Returns the upstreams that are leaving.
    pub fn leaving(&self) -> &leaving::Set {
        &self.leaving
    }

    /// Returns the parts of the limits that this instance may use.
    pub fn shares(&self, now: Instant) -> Shares {
        self.sharing.shares(now)
    }

    /// Returns the state of the sharing of the limits.
    pub fn sharing(&self) -> &Sharing {
        &self.sharing
    }

    /// Returns the work that the other instances report to have in flight at upstreams.
    pub fn peer_work(&self) -> &PeerWork {
        &self.peer_work
    }

    /// Returns the streams of customers that the other instances report.
    pub fn peer_loads(&self) -> &PeerLoads {
        &self.peer_loads
    }

    /// Handles an event.
    pub fn handle(&mut self, now: Instant, event: Event, rng: &mut impl Rng) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Tick => self.tick(now, rng, &mut actions),
            Event::Listed(seeds) => {
                self.view.apply_list(now, &seeds);
                self.update_instance_count();
            }
            Event::Connected(who) => self.on_connected(now, &who, &mut actions),
            Event::DialFailed(address) => self.backoff.record_failure(now, address, rng),
            Event::Disconnected { instance, incarnation } => {
                if let Some(peer) = self.view.peer(&instance).filter(|peer| peer.linked) {
                    self.backoff.record_failure(now, peer.seed.address, rng);
                }
                self.view.remove_connection(&instance, incarnation);
                self.sharing.reset(&instance);
            }
            Event::Received { from, message } => self.on_message(now, &from, message, &mut actions),
            Event::Status(status) => self.status = status,
            Event::IncarnationReported { upstream, incarnation, at } => {
                self.leaving.record_incarnation(now, at, &upstream, &incarnation);
            }
            Event::Leaving(mark) => self.on_leaving(now, &mark, None, &mut actions),
            Event::Silent(silence) => self.on_silent(now, &silence, None, &mut actions),
            Event::Evidence(evidence) => self.on_evidence(now, evidence, None, &mut actions),
            Event::ChainLimits(limits) => self.send_chain_limits(&limits, &mut actions),
            Event::RetryAsk { ask, peers } => {
                let loans = RetryLoans { asks: vec![ask], ..RetryLoans::default() };
                for to in self.forward_targets(None).choose_multiple(rng, peers as usize) {
                    send(&mut actions, to, Message::RetryLoans(loans.clone()));
                }
            }
            Event::RetryLoans { to, loans } => {
                if self.view.peer(&to).is_some_and(|peer| peer.linked) {
                    send(&mut actions, &to, Message::RetryLoans(loans));
                }
            }
            Event::Removed(upstream) => self.leaving.remove(now, &upstream),
            Event::Demand { customer, parts } => self.sharing.set_demand(&customer, parts),
            Event::WorkInProgress(work) => self.local_work.set(&work),
            Event::CustomerLoads(loads) => {
                self.local_loads.set(&loads);
                self.send_customer_loads(&mut actions);
            }
            Event::Stop => self.stop(&mut actions),
        }
        actions
    }

    fn on_connected(&mut self, now: Instant, who: &Identity, actions: &mut Actions) {
        let known = self.incarnation(&who.instance);
        let Some(notices) = self.view.add_connection(now, who) else {
            actions.push(Action::Close(who.instance.clone()));
            return;
        };
        self.backoff.record_success(who.address);
        self.notify(notices, actions);
        self.introduce(now, who, actions);
        if known != Some(who.incarnation) {
            self.forward_member(now, &who.instance, None, actions);
        }
        self.sharing.reset(&who.instance);
        let heartbeat = self.next_heartbeat();
        let identified = self.view.peers().filter_map(Peer::identity).count();
        if !self.learns_from_neighbours(who) {
            self.send_leaving(&who.instance, actions);
        }
        send(actions, &who.instance, heartbeat);
        // Later messages report only changes.
        if let Some(totals) =
            self.local_work.last_reported().filter(|_| self.reports_work_to(&who.domain))
        {
            send(actions, &who.instance, Message::InFlight(totals));
        }
        // The peer sends its complete counts on a new connection as well.
        self.peer_loads.forget(&who.instance);
        if self.reports_work_to(&who.domain) {
            for loads in self.local_loads.last_reported() {
                send(actions, &who.instance, Message::CustomerLoad(loads));
            }
        }
        if identified > 1 {
            self.timers.gossip_soon();
        }
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: &Instance,
        message: Message,
        actions: &mut Actions,
    ) {
        match message {
            Message::Heartbeat(Heartbeat { status, .. }) => {
                let notices = self.view.record_heartbeat(now, from, status);
                self.notify(notices, actions);
                self.compare_config(from, &status, actions);
            }
            Message::Goodbye(incarnation) => {
                let notices = self.view.end_incarnation(from, incarnation);
                self.notify(notices, actions);
            }
            Message::Members(records) => {
                for record in &records {
                    let instance = &record.who.instance;
                    let known = self.incarnation(instance);
                    let notices = self.view.merge(now, record);
                    self.notify(notices, actions);
                    if self.incarnation(instance) != known {
                        self.forward_member(now, instance, Some(from), actions);
                    }
                }
            }
            Message::Leaving(marks) => {
                for mark in marks {
                    self.on_leaving(now, &mark, Some(from), actions);
                }
            }
            Message::Use(limit_use) => self.sharing.receive(now, from, &limit_use),
            Message::InFlight(totals) => self.peer_work.receive(now, from, &totals),
            Message::CustomerLoad(loads) => self.peer_loads.receive(from, &loads),
            Message::Silent(silences) => {
                for silence in silences {
                    self.on_silent(now, &silence, Some(from), actions);
                }
            }
            Message::Evidence(evidence) => {
                self.on_evidence(now, evidence, Some(from), actions);
            }
            Message::ChainLimits(limits) => {
                let limits = limits.bounded();
                actions.push(Action::Notify(Notice::ChainLimits { from: from.clone(), limits }));
            }
            Message::RetryLoans(loans) => {
                let loans = loans.bounded();
                actions.push(Action::Notify(Notice::RetryLoans { from: from.clone(), loans }));
            }
        }
    }

    /// Returns whether a peer of another failure domain learns the leaving upstreams from its own
    /// domain. Where all domains are linked, every instance would otherwise send it the same set.
    fn learns_from_neighbours(&self, who: &Identity) -> bool {
        let is_neighbour = |peer: &Peer| {
            peer.state == State::Live
                && peer.seed.domain == who.domain
                && peer.seed.instance != who.instance
        };
        self.settings.reports_to_all_domains
            && who.domain != self.settings.own.domain
            && self.view.peers().any(is_neighbour)
    }

    fn incarnation(&self, instance: &Instance) -> Option<Incarnation> {
        self.view.peer(instance)?.incarnation
    }

    /// Sends a connected peer all members if it is in the own failure domain, and otherwise a few
    /// live ones of its domain. Random gossip alone takes minutes until hundreds of instances know
    /// each other.
    fn introduce(&self, now: Instant, who: &Identity, actions: &mut Actions) {
        let others = self.view.peers().filter(|peer| peer.seed.instance != who.instance);
        let records: Vec<MemberRecord> = if who.domain == self.settings.own.domain {
            others.filter_map(|peer| peer.to_record(now)).collect()
        } else {
            others
                .filter(|peer| peer.seed.domain == who.domain && peer.state == State::Live)
                .filter_map(|peer| peer.to_record(now))
                .take(FAR_INTRODUCTIONS)
                .collect()
        };
        for records in records.chunks(MAX_INTRODUCED) {
            send(actions, &who.instance, Message::Members(records.to_vec()));
        }
    }

    /// Forwards a member that was unknown to the connected peers of the own failure domain.
    fn forward_member(
        &self,
        now: Instant,
        instance: &Instance,
        from: Option<&Instance>,
        actions: &mut Actions,
    ) {
        let record = self.view.peer(instance).and_then(|peer| peer.to_record(now));
        let Some(record) = record else { return };
        for peer in self.view.linked() {
            let to = &peer.seed.instance;
            if peer.seed.domain == self.settings.own.domain && to != instance && Some(to) != from {
                send(actions, to, Message::Members(vec![record.clone()]));
            }
        }
    }

    /// Applies a mark of a leaving upstream, and forwards it at once if it is new.
    fn on_leaving(
        &mut self,
        now: Instant,
        mark: &Mark,
        from: Option<&Instance>,
        actions: &mut Actions,
    ) {
        let Some(mark) = self.leaving.mark(now, mark) else { return };
        for to in self.forward_targets(from) {
            send(actions, to, Message::Leaving(vec![mark.clone()]));
        }
        actions.push(Action::Notify(Notice::Leaving(mark)));
    }

    /// Forwards a report of a silent upstream if it is new, and notifies the daemon if it came
    /// from a peer.
    fn on_silent(
        &mut self,
        now: Instant,
        silence: &Silence,
        from: Option<&Instance>,
        actions: &mut Actions,
    ) {
        if !self.silences.record(now, silence) {
            return;
        }
        for to in self.forward_targets(from) {
            send(actions, to, Message::Silent(vec![silence.clone()]));
        }
        if from.is_some() {
            actions.push(Action::Notify(Notice::Silent(silence.clone())));
        }
    }

    /// Sends what this instance knows of prompts that crash engines; forwards a peer's report if it
    /// is new, and notifies the daemon of it.
    fn on_evidence(
        &mut self,
        now: Instant,
        evidence: Evidence,
        from: Option<&Instance>,
        actions: &mut Actions,
    ) {
        let is_new = self.reports.record(now, &evidence);
        if is_new || from.is_none() {
            for to in self.forward_targets(from) {
                send(actions, to, Message::Evidence(evidence.clone()));
            }
        }
        if from.is_some() && (is_new || evidence.has_holds()) {
            actions.push(Action::Notify(Notice::Evidence(evidence)));
        }
    }

    /// Sends limits and demand of this instance to the connected peers, which do not forward them.
    fn send_chain_limits(&self, limits: &ChainLimits, actions: &mut Actions) {
        for to in self.forward_targets(None) {
            send(actions, to, Message::ChainLimits(limits.clone()));
        }
    }

    /// Returns the peers that a report from a peer, or of this instance, is sent to.
    ///
    /// Where the instances of all domains are connected to each other, the first sender reaches
    /// every domain. If each receiver forwarded the report to other domains as well, the bytes
    /// between domains would grow with the square of the number of instances.
    fn forward_targets(&self, from: Option<&Instance>) -> impl Iterator<Item = &Instance> {
        let only_near = from.is_some() && self.settings.reports_to_all_domains;
        let own = &self.settings.own.domain;
        let targets = self.view.linked().filter(move |peer| {
            Some(&peer.seed.instance) != from && (!only_near || peer.seed.domain == *own)
        });
        targets.map(|peer| &peer.seed.instance)
    }

    fn send_leaving(&self, to: &Instance, actions: &mut Actions) {
        let marks: Vec<Mark> = self.leaving.marks().collect();
        for marks in marks.chunks(MAX_MARKS) {
            send(actions, to, Message::Leaving(marks.to_vec()));
        }
    }

    /// Notifies the daemon if a peer has a newer configuration, or another one under the same
    /// version.
    fn compare_config(&self, from: &Instance, status: &Status, actions: &mut Actions) {
        let Some(theirs) = status.config else { return };
        let differs = match self.status.config {
            None => true,
            Some(own) if own.version == theirs.version => own.digest != theirs.digest,
            Some(own) => own.version < theirs.version,
        };
        if differs {
            let instance = from.clone();
            let domain = self.view.peer(from).map(|peer| &peer.seed.domain);
            let is_near = domain == Some(&self.settings.own.domain);
            actions.push(Action::Notify(Notice::Config { instance, is_near, config: theirs }));
        }
    }

    fn notify(&mut self, notices: Notices, actions: &mut Actions) {
        let changed = !notices.is_empty();
        for notice in notices {
            if let Notice::Gone { instance, .. } = &notice {
                self.sharing.reset(instance);
                self.peer_work.forget(instance);
                self.peer_loads.forget(instance);
            }
            if let Notice::Dead(instance) = &notice {
                self.peer_loads.forget(instance);
                if self.view.peer(instance).is_some_and(|peer| peer.linked) {
                    actions.push(Action::Close(instance.clone()));
                }
            }
            actions.push(Action::Notify(notice));
        }
        if changed {
            self.update_instance_count();
        }
    }

    /// Updates the number of instances that share the limits.
    fn update_instance_count(&mut self) {
        self.sharing.set_instances(self.view.instance_count(self.settings.instances));
    }

    fn next_heartbeat(&mut self) -> Message {
        self.sequence += 1;
        Message::Heartbeat(Heartbeat { sequence: self.sequence, status: self.status })
    }

    fn stop(&mut self, actions: &mut Actions) {
        self.stopped = true;
        for peer in self.view.linked() {
            let goodbye = Message::Goodbye(self.settings.own.incarnation);
            send(actions, &peer.seed.instance, goodbye);
        }
    }
}

fn send(actions: &mut Actions, to: &Instance, message: Message) {
    actions.push(Action::Send { to: to.clone(), message });
}
