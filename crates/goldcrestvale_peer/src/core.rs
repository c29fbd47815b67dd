//! The task that holds the membership and the connections.

mod assembly;
mod config;
mod query;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use goldcrestvale_base::{
    id::{Digest, Instance, Offset},
    time::Wall,
};
use goldcrestvale_member::{
    action::{Action, Notice},
    event::Event,
    member::{Actions, Member},
    message::Message,
};
use goldcrestvale_wire::{handshake::Role, message as wire};
use rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom};
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};

use self::assembly::Assembly;
use crate::{
    connection::{self, Shared},
    convert,
    dump::Dump,
    events::{Configuration, EventHandler},
    link::{Link, Links, Taken},
    query::{Asks, Question},
    queue::{PushResult, Queue},
    snapshot::Snapshot,
};

/// Peers that are asked for the platform's list at a time. It is long, and each one sends it whole; with
/// the platform away it is asked for several times a second, so another try finds one that has it.
const LIST_ASKS: usize = 2;

/// Time without an ask after which a connection that was opened for one is closed.
const IDLE: Duration = Duration::from_secs(30);

/// What reaches the task.
#[derive(Debug)]
pub(crate) enum Input {
    /// A connection stands.
    Up(Link),
    /// A connection ended.
    Down(u64),
    /// An attempt to connect failed.
    DialFailed(SocketAddr),
    /// A message for the membership.
    Heard { link: u64, message: Message },
    /// Another message.
    Other { link: u64, message: wire::Message },
    /// A call of the daemon.
    Command(Command),
}

/// A call of the daemon.
#[derive(Debug)]
pub(crate) enum Command {
    Event(Event),
    /// An event whose effect the daemon waits for.
    Apply(Event, oneshot::Sender<()>),
    Ask(Question),
    OfferConfig {
        version: Offset,
        digest: Digest,
    },
    AskConfig {
        to: Instance,
        version: Offset,
    },
    AskList,
    SendList {
        to: Instance,
        as_of: Wall,
        list: Bytes,
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
    asks: Asks,
    assembly: Assembly,
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
            asks: Asks::default(),
            assembly: Assembly::default(),
        }
    }

    /// Runs until the daemon stops it.
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
                    Some(input) => self.take(input),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let now = self.shared.clock.now();
        self.step(Event::Tick);
        let expired = self.asks.expire(now);
        self.shared.counts.unanswered.inc_by(expired as u64);
        for link in self.links.iter() {
            let unneeded = !self.member.view().is_target(&link.who.instance);
            if unneeded && link.role == Role::Dialer && now.since(link.used) > IDLE {
                link.queue.close();
            }
        }
        self.publish();
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Up(link) => self.up(link),
            Input::Down(id) => self.down(id),
            Input::DialFailed(address) => self.step(Event::DialFailed(address)),
            Input::Heard { link, message } => {
                if let Some(from) = self.sender(link) {
                    self.step(Event::Received { from, message });
                }
            }
            Input::Other { link, message } => self.other(link, message),
            Input::Command(command) => self.command(command),
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Event(event) => self.step(event),
            Command::Apply(event, done) => {
                self.step(event);
                self.publish();
                let _ = done.send(());
            }
            Command::Ask(question) => self.ask(question),
            Command::OfferConfig { version, digest } => self.offer_config(version, digest),
            Command::AskConfig { to, version } => {
                self.send(&to, wire::ConfigAsk { version: version.0 }.into());
            }
            Command::AskList => {
                for link in self.links.iter().choose_multiple(&mut self.rng, LIST_ASKS) {
                    self.push(&link.queue, wire::ListAsk {}.into());
                }
            }
            Command::SendList { to, as_of, list } => {
                self.send(&to, wire::List { as_of_ms: as_of.0, bytes: list }.into());
            }
            Command::SendConfig { to, configuration } => self.send_config(&to, &configuration),
            Command::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            Command::Stop(_) => {}
        }
    }

    fn up(&mut self, link: Link) {
        let own = self.shared.settings.membership.own.instance.clone();
        let who = link.who.clone();
        if who.instance == own || self.member.view().has_ended(who.incarnation) {
            link.cancel.cancel();
            return;
        }
        let (id, cancel) = (link.id, link.cancel.clone());
        match self.links.take(&own, link) {
            Taken::Alone => {}
            Taken::Refused => {
                cancel.cancel();
                return;
            }
            Taken::Replaced(old) => {
                old.queue.close();
                self.lose(old.id);
                if old.who.incarnation != who.incarnation {
                    let incarnation = old.who.incarnation;
                    let instance = old.who.instance;
                    self.step(Event::Disconnected { instance, incarnation });
                }
            }
        }
        let incarnation = who.incarnation;
        self.step(Event::Connected(who));
        for ask in self.asks.unsent(incarnation) {
            self.send_ask(ask, id, incarnation);
        }
    }

    fn down(&mut self, id: u64) {
        self.lose(id);
        if let Some(Link { who, .. }) = self.links.end(id) {
            self.assembly.forget(&who.instance);
            let (instance, incarnation) = (who.instance, who.incarnation);
            self.step(Event::Disconnected { instance, incarnation });
        }
    }

    fn lose(&mut self, link: u64) {
        let lost = self.asks.lose(link);
        self.shared.counts.unanswered.inc_by(lost as u64);
    }

    pub(super) fn sender(&self, link: u64) -> Option<Instance> {
        let link = self.links.iter().find(|candidate| candidate.id == link)?;
        Some(link.who.instance.clone())
    }

    fn step(&mut self, event: Event) {
        let actions = self.member.handle(self.shared.clock.now(), event, &mut self.rng);
        self.act(actions);
    }

    fn act(&mut self, actions: Actions) {
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
        // A peer that cannot take what may not be dropped gets all of it when it reconnects.
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

    fn other(&mut self, link: u64, message: wire::Message) {
        if !self.links.holds(link) && !matches!(message, wire::Message::Answer(_)) {
            return;
        }
        let handled = match message {
            wire::Message::Answer(answer) => {
                self.asks.answer(link, answer);
                Ok(())
            }
            wire::Message::AnswerAsk(ask) => self.asked(link, &ask),
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
                    self.events.list_received(&from, list.bytes);
                }
                Ok(())
            }
            wire::Message::ConfigAsk(ask) => {
                if let Some(from) = self.sender(link) {
                    self.events.config_requested(&from, Offset(ask.version));
                }
                Ok(())
            }
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
            instance_count: self.member.view().instance_count(configured),
            linked: self.member.view().linked().count() as u32,
            is_synced: self.member.view().is_synced(),
            min_schema: self.member.min_schema(),
            has_placement_leader: self.member.view().has_placement_leader(),
            rank: self.member.view().rank(),
        });
        self.snapshot.store(Arc::clone(&snapshot));
        self.events.published(&snapshot);
    }

    fn dump(&self) -> Dump {
        Dump {
            member: self.member.clone(),
            links: self.links.dump(),
            counts: self.shared.counts.values(),
            asks: self.asks.len(),
        }
    }

    fn stop(&mut self) {
        self.shared.closing.cancel();
        self.step(Event::Stop);
        for link in self.links.iter() {
            link.queue.close();
        }
    }
}
