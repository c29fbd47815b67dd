//! Instances, their log and a service, moved by steps.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use goldcrestvale_base::{
    id::{Digest, Incarnation, Key, Offset, RecordId},
    time::{Instant, Wall},
    verdict::Verdict,
};
use goldcrestvale_ledger::{
    batch::{Batch, Fixed},
    claim::{Checkpoint, Claim, Fold, Lost, Owner, OwnerAnswer, Window, Won},
    coordinator::{Action, Call, Coordinator, Event, Scope, Settings, Ticket},
    prefix::Prefix,
    record::{Draft, Page, Sequence, View},
};
use proptest::{prelude::*, test_runner::TestCaseError};
use rand::{SeedableRng, rngs::StdRng};

use super::step::{Fate, INSTANCES, Reader, Step};

const WINDOW: Window = Window { length: Duration::from_secs(60) };
const START: u64 = 1_700_000_000_000;

pub(crate) struct Stored {
    id: RecordId,
    written: Wall,
    data: String,
}

pub(crate) struct Node {
    pub(super) coordinator: Coordinator<Fixed>,
    pub(super) paused: bool,
    pub(super) log_out: bool,
    pub(super) appends: VecDeque<Batch>,
    pub(super) sends: VecDeque<(Ticket, Claim<Won>)>,
    pub(super) asks: VecDeque<(Ticket, Claim<Lost>, Owner)>,
    pub(super) tickets: BTreeMap<Ticket, Key>,
    /// Offset that a wrong reader has come to, and what it took out of order.
    pub(super) guess: u64,
    /// Offset below which records were trimmed before they were read here.
    pub(super) gap: u64,
    pub(super) ahead: BTreeSet<RecordId>,
}

pub(crate) struct World {
    pub(super) reader: Reader,
    pub(super) now: Instant,
    pub(super) log: Vec<Stored>,
    pub(super) oldest: usize,
    pub(super) stray: Vec<Batch>,
    pub(super) nodes: Vec<Node>,
    pub(super) lives: u128,
    pub(super) tickets: u64,
    pub(super) keys: BTreeMap<usize, Key>,
    pub(super) effects: BTreeMap<Key, Vec<Ticket>>,
    pub(super) answers: BTreeMap<Ticket, Option<Verdict>>,
    /// Calls of which their instance said that they will never run.
    pub(super) denied: BTreeSet<Ticket>,
    /// Digest of the live claims at each offset, from folds that prove the window.
    pub(super) digests: BTreeMap<Offset, Digest>,
}

pub(crate) type Check = Result<(), TestCaseError>;

impl World {
    pub(crate) fn new(reader: Reader) -> Self {
        let mut world = Self {
            reader,
            now: Instant(0),
            log: Vec::new(),
            oldest: 0,
            stray: Vec::new(),
            nodes: Vec::new(),
            lives: 0,
            tickets: 0,
            keys: BTreeMap::new(),
            effects: BTreeMap::new(),
            answers: BTreeMap::new(),
            denied: BTreeSet::new(),
            digests: BTreeMap::new(),
        };
        world.nodes = (0..INSTANCES).map(|at| world.start(at, None)).collect();
        world
    }

    fn wall(&self) -> Wall {
        Wall(START + self.now.0 / 1_000)
    }

    fn start(&mut self, at: usize, checkpoint: Option<&Checkpoint>) -> Node {
        self.lives += 1;
        let settings = Settings::new(format!("node-{at}").parse().unwrap(), WINDOW).max_calls(16);
        let sequence = Sequence::new(Incarnation(self.lives), 0);
        let fold = match (checkpoint, self.reader) {
            (Some(checkpoint), _) => Fold::restore(WINDOW, checkpoint).unwrap(),
            (None, Reader::InOrder) => {
                Fold::new(WINDOW, Prefix::trimmed(Offset(self.oldest as u64)))
            }
            (None, _) => Fold::new(WINDOW, Prefix::from_start()),
        };
        let policy = Fixed::new(Duration::from_millis(10));
        let rng = StdRng::seed_from_u64(1);
        Node {
            coordinator: Coordinator::with_fold(settings, policy, fold, sequence, rng),
            paused: false,
            log_out: false,
            appends: VecDeque::new(),
            sends: VecDeque::new(),
            asks: VecDeque::new(),
            tickets: BTreeMap::new(),
            guess: self.oldest as u64,
            gap: 0,
            ahead: BTreeSet::new(),
        }
    }

    fn key(&mut self, number: usize) -> Key {
        let late = [0, 2_000, 9_000][number % 3];
        let issued = u128::from(self.wall().0 + late);
        let bits = issued << 80 | 7 << 76 | 2 << 62 | number as u128;
        *self.keys.entry(number).or_insert(Key(uuid::Uuid::from_u128(bits)))
    }

    pub(super) fn handle(&mut self, at: usize, event: Event<'_>) -> Check {
        let mut out = Vec::new();
        self.nodes[at].coordinator.handle(event, self.now, &mut out);
        for action in out {
            match action {
                Action::Append(batch) => self.nodes[at].appends.push_back(batch),
                Action::Dispatch { ticket, claim } => {
                    self.nodes[at].sends.push_back((ticket, claim));
                }
                Action::Refuse { ticket, refused } => {
                    let ran = self.effects.contains_key(&self.nodes[at].tickets[&ticket]);
                    let not_run = refused.verdict.is_not_run();
                    let key_free = refused.scope == Scope::Key && not_run;
                    prop_assert!(!(key_free && ran), "key said free of effects has one");
                    self.answer(ticket, refused.verdict)?;
                }
                Action::QueryOwner { ticket, claim, owner, .. } => {
                    self.nodes[at].asks.push_back((ticket, claim, owner));
                }
                Action::Replay { ticket, claim, outcome } => {
                    self.note_denied(at, claim.key(), &outcome);
                    self.answer(ticket, claim.end(&outcome))?;
                }
            }
        }
        Ok(())
    }

    fn answer(&mut self, ticket: Ticket, verdict: Verdict) -> Check {
        let before = self.answers.insert(ticket, Some(verdict));
        prop_assert_eq!(before, Some(None), "call answered twice");
        Ok(())
    }

    pub(crate) fn run(&mut self, step: &Step) -> Check {
        match *step {
            Step::Advance { ms } => self.now = self.now + Duration::from_millis(ms),
            Step::Trim { keep } => {
                self.oldest = self.oldest.max(self.log.len().saturating_sub(keep));
            }
            Step::Land => {
                if let Some(batch) = self.stray.pop() {
                    self.store(&batch.records);
                }
            }
            Step::Wake { at } => self.nodes[at].paused = false,
            Step::Pause { at } => self.nodes[at].paused = true,
            Step::Crash { at, from_checkpoint } => self.crash(at, from_checkpoint),
            Step::Call { at, .. }
            | Step::Append { at, .. }
            | Step::Read { at, .. }
            | Step::Send { at, .. }
            | Step::Ask { at, .. }
            | Step::LogOut { at }
            | Step::LogBack { at }
            | Step::OldPage { at }
            | Step::Leave { at, .. } => {
                if !self.nodes[at].paused {
                    self.run_at(at, step)?;
                }
            }
        }
        self.check()
    }

    fn run_at(&mut self, at: usize, step: &Step) -> Check {
        match *step {
            Step::Call { key, other_body, deadline_ms, .. } => {
                self.call(at, key, other_body, deadline_ms)
            }
            Step::Append { fate, .. } => self.append(at, fate),
            Step::Read { most, .. } => self.read(at, most),
            Step::Send { fate, .. } => self.send(at, fate),
            Step::Ask { reached, .. } => self.ask(at, reached),
            Step::LogOut { .. } => {
                self.nodes[at].log_out = true;
                self.handle(at, Event::LogUnavailable)
            }
            Step::LogBack { .. } => {
                self.nodes[at].log_out = false;
                self.handle(at, Event::LogAvailable)
            }
            Step::OldPage { .. } if self.reader == Reader::InOrder => self.read_old(at),
            Step::Leave { ticket, .. } => {
                let ticket = Ticket(ticket);
                match self.nodes[at].tickets.get(&ticket).copied() {
                    Some(key) => self.handle(at, Event::CallerGone(ticket, key)),
                    None => Ok(()),
                }
            }
            _ => Ok(()),
        }
    }

    fn call(&mut self, at: usize, key: usize, other_body: bool, deadline_ms: u64) -> Check {
        let ticket = Ticket(self.tickets);
        self.tickets += 1;
        let key = self.key(key);
        self.answers.insert(ticket, None);
        self.nodes[at].tickets.insert(ticket, key);
        let call = Call {
            ticket,
            key,
            customer: "tezeta".parse().unwrap(),
            service: "booking".parse().unwrap(),
            digest: Digest::of(if other_body { b"b" } else { b"a" }),
            deadline: self.now + Duration::from_millis(deadline_ms),
        };
        self.handle(at, Event::Call(call))
    }

    fn store(&mut self, records: &[Draft]) {
        let written = self.wall();
        let stored = |draft: &Draft| Stored { id: draft.id, written, data: draft.data.clone() };
        self.log.extend(records.iter().map(stored));
    }

    pub(super) fn append(&mut self, at: usize, fate: Fate) -> Check {
        let Some(batch) = self.nodes[at].appends.pop_front() else {
            return self.handle(at, Event::Tick);
        };
        let out = self.nodes[at].log_out;
        if !out && matches!(fate, Fate::Done | Fate::AnswerLost) {
            self.store(&batch.records);
        }
        let number = batch.number;
        match fate {
            Fate::Done if !out => {
                self.handle(at, Event::Appended(number))?;
                if self.reader == Reader::AckFirst { self.take_own(at, &batch) } else { Ok(()) }
            }
            Fate::Late => {
                self.stray.push(batch);
                self.handle(at, Event::AppendLost(number))
            }
            _ => self.handle(at, Event::AppendLost(number)),
        }
    }

    fn take_own(&mut self, at: usize, batch: &Batch) -> Check {
        let written = self.wall();
        for Draft { id, data } in &batch.records {
            let offset = self.nodes[at].coordinator.fold().next();
            self.nodes[at].ahead.insert(*id);
            let records = [View { offset, id: *id, written, data }];
            let page = Page { oldest: Offset(0), end: offset.next(), records: &records };
            self.handle(at, Event::Read(page))?;
        }
        Ok(())
    }

    pub(super) fn read(&mut self, at: usize, most: usize) -> Check {
        if self.nodes[at].log_out {
            return self.handle(at, Event::Tick);
        }
        if self.reader != Reader::InOrder {
            return self.read_wrong(at, most);
        }
        let next = usize::try_from(self.nodes[at].coordinator.fold().next().0).unwrap();
        if next < self.oldest {
            self.nodes[at].gap = self.oldest as u64;
        }
        let from =
            usize::try_from(self.nodes[at].coordinator.fold().prefix().read_from().0).unwrap();
        let from = from.max(self.oldest);
        let upto = self.log.len().min(from + most);
        let log = std::mem::take(&mut self.log);
        let views: Vec<_> = (from..upto).map(|place| view(&log, place, place as u64)).collect();
        let (oldest, end) = (Offset(self.oldest as u64), Offset(log.len() as u64));
        let done = self.handle(at, Event::Read(Page { oldest, end, records: &views }));
        self.log = log;
        done
    }

    /// Reads a page as the log answered it when half of it was written.
    fn read_old(&mut self, at: usize) -> Check {
        let log = std::mem::take(&mut self.log);
        let half = log.len() / 2;
        let views: Vec<_> = (0..half).map(|place| view(&log, place, place as u64)).collect();
        let page = Page { oldest: Offset(0), end: Offset(half as u64), records: &views };
        let done = self.handle(at, Event::Read(page));
        self.log = log;
        done
    }

    /// Reads with offsets that the instance makes up.
    fn read_wrong(&mut self, at: usize, most: usize) -> Check {
        let log = std::mem::take(&mut self.log);
        for _ in 0..most {
            let place = usize::try_from(self.nodes[at].guess).unwrap().max(self.oldest);
            if place >= log.len() {
                break;
            }
            self.nodes[at].guess = place as u64 + 1;
            if self.nodes[at].ahead.contains(&log[place].id) {
                continue;
            }
            let next = self.nodes[at].coordinator.fold().next();
            let records = [view(&log, place, next.0)];
            let page = Page { oldest: Offset(0), end: next.next(), records: &records };
            self.handle(at, Event::Read(page))?;
        }
        self.log = log;
        Ok(())
    }

    pub(super) fn send(&mut self, at: usize, fate: Fate) -> Check {
        let Some((ticket, claim)) = self.nodes[at].sends.pop_front() else { return Ok(()) };
        let key = claim.key();
        if fate == Fate::NeverArrived {
            return self.handle(at, Event::Returned(claim));
        }
        let claim = claim.dispatch();
        self.effects.entry(key).or_default().push(ticket);
        match fate {
            Fate::Done => {
                let settled = claim.settle(200);
                self.answer(ticket, settled.verdict())?;
                self.handle(at, Event::Settled(settled))
            }
            _ => {
                let unanswered = claim.lose();
                self.answer(ticket, unanswered.verdict())?;
                self.handle(at, Event::Unanswered(unanswered))
            }
        }
    }

    pub(super) fn ask(&mut self, at: usize, reached: bool) -> Check {
        let Some((ticket, claim, owner)) = self.nodes[at].asks.pop_front() else { return Ok(()) };
        let is_owner =
            |node: &Node| node.coordinator.incarnation() == owner.incarnation && !node.paused;
        let asked = self.nodes.iter().position(is_owner).filter(|_| reached);
        let mut answer = OwnerAnswer::Silent;
        if let Some(asked) = asked {
            answer = self.nodes[asked].coordinator.owner_answer(&claim.key());
            self.note_denied(asked, claim.key(), &answer);
        }
        self.answer(ticket, claim.end(&answer))
    }

    /// Remembers which calls an instance says it gave up.
    fn note_denied(&mut self, at: usize, key: Key, outcome: &OwnerAnswer) {
        if *outcome == OwnerAnswer::GivenUp {
            let tickets = &self.nodes[at].tickets;
            let of_key = tickets.iter().filter(|(_, of)| **of == key);
            self.denied.extend(of_key.map(|(ticket, _)| *ticket));
        }
    }

    fn crash(&mut self, at: usize, from_checkpoint: bool) {
        let donor = &self.nodes[(at + 1) % INSTANCES].coordinator;
        let checkpoint = from_checkpoint.then(|| donor.fold().checkpoint());
        let tickets = std::mem::take(&mut self.nodes[at].tickets);
        for ticket in tickets.into_keys() {
            self.answers.entry(ticket).and_modify(|answer| {
                answer.get_or_insert(Verdict::MayHaveRun);
            });
        }
        self.nodes[at] = self.start(at, checkpoint.as_ref());
    }
}

pub(crate) fn view(log: &[Stored], place: usize, offset: u64) -> View<'_> {
    let Stored { id, written, data } = &log[place];
    View { offset: Offset(offset), id: *id, written: *written, data }
}
