//! The task that holds the membership and the connections.

mod assembly;
mod config;
mod query;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use goldcrestvale_base::id::{Digest, Instance, Offset};
use goldcrestvale_member::{
    action::{Action, Notice},
    event::Event,
    member::{Actions, Member},
    message::Message,
    upload::Uploads,
};
use goldcrestvale_wire::{handshake::Role, message as wire};
use indexmap::IndexMap;
use rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom};
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use self::{assembly::Assembly, config::config_ask};
use crate::{
    connection::{self, Shared},
    convert,
    dump::Dump,
    events::{Configuration, EventHandler, Held},
    link::{InsertResult, Link, Links},
    query::{PendingQueries, Query},
    queue::{PushResult, Queue},
    snapshot::Snapshot,
};

/// Number of random peers that a request for the platform's list goes to. Each sends the complete
/// list, which is long; a later attempt finds another peer.
const LIST_REQUESTS: usize = 2;

/// Time without a query after which a connection that was opened for one is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// An input of the task.
#[derive(Debug)]
pub(crate) enum Input {
    /// A connection was established.
    Connected(Link),
    /// A connection ended.
    Disconnected(u64),
    /// An attempt to connect failed.
    DialFailed(SocketAddr),
    /// A message for the membership.
    Membership { link: u64, message: Message },
    /// A part of a configuration was written to a connection.
    PartSent { link: u64, is_last: bool },
    /// Any other message.
    Other { link: u64, message: wire::Message },
    /// A command of the daemon.
    Command(Command),
}

/// A command of the daemon.
#[derive(Debug)]
pub(crate) enum Command {
    Event(Event),
    /// An event, with a channel that signals when the snapshot reflects it.
    Apply(Event, oneshot::Sender<()>),
    Query(Query),
    OfferConfig {
        version: Offset,
        digest: Digest,
    },
    RequestConfig {
        to: Instance,
        version: Offset,
        held: Option<Held>,
    },
    RequestList,
    SendChanges(wire::Changes),
    SendList {
        to: Instance,
        list: wire::List,
    },
    SendConfig {
        to: Instance,
        configuration: Configuration,
    },
    Dump(oneshot::Sender<Dump>),
    Stop(oneshot::Sender<()>),
}

/// The state of the task.
pub(crate) struct Core<E> {
    shared: Arc<Shared>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    events: E,
    member: Member,
    rng: StdRng,
    links: Links,
    queries: PendingQueries,
    assembly: Assembly,
    uploads: Uploads,
    /// The versions that the peers hold which wait for a newer one.
    waiting: IndexMap<Instance, Held>,
    /// Whether the last request for the platform's list preferred the instance that places layers.
    asks_leader: bool,
}

impl<E: EventHandler> Core<E> {
    pub(crate) fn new(
        shared: Arc<Shared>,
        snapshot: Arc<ArcSwap<Snapshot>>,
        events: E,
        member: Member,
    ) -> Self {
        Self {
            shared,
            snapshot,
            events,
            member,
            rng: StdRng::from_os_rng(),
            links: Links::default(),
            queries: PendingQueries::default(),
            assembly: Assembly::default(),
            uploads: Uploads::default(),
            waiting: IndexMap::new(),
            asks_leader: false,
        }
    }

    /// Runs until the daemon stops the task.
    pub(crate) async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut ticks = tokio::time::interval(self.member.tick_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                input = inputs.recv() => match input {
                    Some(Input::Command(Command::Stop(done))) => {
                        self.stop();
                        let _ = done.send(());
                        return;
                    }
                    Some(input) => self.handle_input(input),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.handle_event(Event::Tick);
        self.start_uploads();
        let expired = self.queries.expire(now);
        self.shared.counts.unanswered.inc_by(expired as u64);
        for link in self.links.iter() {
            let unneeded = !self.member.view().is_target(&link.peer.instance);
            if unneeded && link.role == Role::Dialer && now.since(link.last_used) > IDLE_TIMEOUT {
                link.queue.close();
            }
        }
        self.publish();
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Connected(link) => self.connected(link),
            Input::Disconnected(id) => self.disconnected(id),
            Input::DialFailed(address) => self.handle_event(Event::DialFailed(address)),
            Input::Membership { link, message } => {
                if let Some(from) = self.sender(link) {
                    self.handle_event(Event::Received { from, message });
                }
            }
            Input::PartSent { link, is_last } => self.part_sent(link, is_last),
            Input::Other { link, message } => self.handle_message(link, message),
            Input::Command(command) => self.handle_command(command),
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.handle_event(event),
            Command::Apply(event, done) => {
                self.handle_event(event);
                self.publish();
                let _ = done.send(());
            }
            Command::Query(query) => self.start_query(query),
            Command::OfferConfig { version, digest } => self.offer_config(version, digest),
            Command::RequestConfig { to, version, held } => {
                self.send(&to, config_ask(version, held).into());
            }
            Command::RequestList => self.request_list(),
            Command::SendChanges(changes) => {
                let own = &self.shared.settings.membership.own.domain;
                for link in self.links.iter().filter(|link| link.peer.domain == *own) {
                    self.push(&link.queue, changes.clone().into());
                }
            }
            Command::SendList { to, list } => self.send(&to, list.into()),
            Command::SendConfig { to, configuration } => {
                self.send_config(&to, &configuration);
            }
            Command::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            Command::Stop(_) => {}
        }
    }

    /// Requests the platform's list from the instance that places layers, which knows the most
    /// while the platform is unreachable, and in turns with it from random peers, of which one may
    /// have read more.
    fn request_list(&mut self) {
        self.asks_leader = !self.asks_leader;
        let leads = |link: &&Link| {
            let peer = self.member.view().peer(&link.peer.instance);
            peer.is_some_and(|peer| peer.status.leads)
        };
        if self.asks_leader
            && let Some(leader) = self.links.iter().find(leads)
        {
            self.push(&leader.queue, wire::ListAsk {}.into());
            return;
        }
        for link in self.links.iter().choose_multiple(&mut self.rng, LIST_REQUESTS) {
            self.push(&link.queue, wire::ListAsk {}.into());
        }
    }

    fn connected(&mut self, link: Link) {
        let own = self.shared.settings.membership.own.instance.clone();
        let peer = link.peer.clone();
        if peer.instance == own || self.member.view().has_ended(peer.incarnation) {
            link.cancel.cancel();
            return;
        }
        let (id, cancel) = (link.id, link.cancel.clone());
        match self.links.insert(&own, link) {
            InsertResult::Added => {}
            InsertResult::Rejected => {
                cancel.cancel();
                return;
            }
            InsertResult::Replaced(old) => {
                old.queue.close();
                self.fail_queries(old.id);
                self.assembly.discard(&peer.instance);
                self.remove_upload(&peer.instance);
                if old.peer.incarnation != peer.incarnation {
                    let incarnation = old.peer.incarnation;
                    let instance = old.peer.instance;
                    self.handle_event(Event::Disconnected { instance, incarnation });
                }
            }
        }
        let incarnation = peer.incarnation;
        self.handle_event(Event::Connected(peer));
        for query in self.queries.unsent(incarnation) {
            self.send_query(query, id, incarnation);
        }
    }

    fn disconnected(&mut self, id: u64) {
        self.fail_queries(id);
        if let Some(Link { peer, .. }) = self.links.remove(id) {
            self.assembly.discard(&peer.instance);
            self.remove_upload(&peer.instance);
            let (instance, incarnation) = (peer.instance, peer.incarnation);
            self.handle_event(Event::Disconnected { instance, incarnation });
        }
    }

    fn fail_queries(&mut self, link: u64) {
        let lost = self.queries.connection_lost(link);
        self.shared.counts.unanswered.inc_by(lost as u64);
    }

    pub(super) fn sender(&self, link: u64) -> Option<Instance> {
        let link = self.links.iter().find(|candidate| candidate.id == link)?;
        Some(link.peer.instance.clone())
    }

    fn handle_event(&mut self, event: Event) {
        let actions = self.member.handle(self.shared.clock.now(), event, &mut self.rng);
        self.run_actions(actions);
    }

    fn run_actions(&mut self, actions: Actions) {
        let mut urgent = false;
        for action in actions {
            match action {
                Action::Connect(address) => self.connect(address),
                Action::Close(instance) => {
                    if let Some(link) = self.links.get(&instance) {
                        link.cancel.cancel();
                    }
                }
                Action::Send { to, message } => self.send(&to, convert::encode(&message)),
                Action::Notify(notice) => {
                    urgent |= matches!(notice, Notice::Leaving(_) | Notice::Gone { .. });
                    self.events.notice(notice);
                }
            }
        }
        if urgent {
            self.publish();
        }
    }

    fn connect(&self, address: SocketAddr) {
        self.shared.tasks.spawn(connection::dial(Arc::clone(&self.shared), address));
    }

    fn send(&self, to: &Instance, message: wire::Message) {
        let Some(link) = self.links.get(to) else { return };
        // A peer whose queue is full of messages that may not be dropped is disconnected; it
        // receives the complete state when it reconnects.
        if self.push(&link.queue, message) == PushResult::Full {
            self.shared.counts.slow.inc();
            link.cancel.cancel();
        }
    }

    pub(super) fn push(&self, queue: &Queue, message: wire::Message) -> PushResult {
        let pushed = queue.push(message);
        match pushed {
            PushResult::Queued | PushResult::Closed => {}
            PushResult::Displaced { dropped } => self.shared.counts.dropped.inc_by(dropped as u64),
            PushResult::Dropped | PushResult::Full => self.shared.counts.dropped.inc(),
        }
        pushed
    }

    fn handle_message(&mut self, link: u64, message: wire::Message) {
        if !self.links.contains(link) && !matches!(message, wire::Message::Answer(_)) {
            return;
        }
        let handled = match message {
            wire::Message::Answer(answer) => {
                self.queries.answer(link, answer);
                Ok(())
            }
            wire::Message::AnswerAsk(ask) => self.query_received(link, &ask),
            wire::Message::ConfigOffer(offer) => self.config_offered(link, &offer),
            wire::Message::ConfigState(state) => self.config_part(link, state),
            wire::Message::ListAsk(_) => {
                if let Some(from) = self.sender(link) {
                    self.events.list_requested(&from);
                }
                Ok(())
            }
            wire::Message::List(list) => {
                if let Some(from) = self.sender(link) {
                    self.events.list_received(&from, list);
                }
                Ok(())
            }
            wire::Message::Changes(changes) => {
                if let Some(from) = self.sender(link) {
                    self.events.changes_received(&from, changes);
                }
                Ok(())
            }
            wire::Message::ConfigAsk(ask) => self.config_requested(link, &ask),
            _ => Ok(()),
        };
        if let Err(error) = handled {
            self.shared.counts.broken.inc();
            log::warn!("skipped a message: {error}");
        }
    }

    pub(crate) fn publish(&self) {
        let now = self.shared.clock.now();
        let configured = self.shared.settings.membership.instances;
        let snapshot = Arc::new(Snapshot {
            leaving: self.member.leaving().clone(),
            shares: self.member.shares(now),
            peer_work: self.member.peer_work().clone(),
            peer_loads: Arc::clone(self.member.peer_loads().totals()),
            ignored_loads: self.member.peer_loads().ignored(),
            instance_count: self.member.view().instance_count(configured),
            linked: self.member.view().linked().count() as u32,
            is_synced: self.member.view().is_synced(),
            min_schema: self.member.min_schema(),
            has_placement_leader: self.member.view().has_placement_leader(),
            rank: self.member.view().rank(),
            position: Some(self.member.view().position()),
            relays: self.member.view().relays(),
        });
        self.snapshot.store(Arc::clone(&snapshot));
        self.events.published(&snapshot);
    }

    fn dump(&self) -> Dump {
        Dump {
            member: self.member.clone(),
            links: self.links.dump(),
            counts: self.shared.counts.values(),
            asks: self.queries.len(),
        }
    }

    fn stop(&mut self) {
        self.shared.closing.cancel();
        self.handle_event(Event::Stop);
        for link in self.links.iter() {
            link.queue.close();
        }
    }
}
