//! A simulated cluster: instances, their log and a service, advanced step by step.

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

use super::step::{Delivery, INSTANCES, Reader, Step};

const WINDOW: Window = Window { length: Duration::from_secs(60) };
const START: u64 = 1_700_000_000_000;

pub(crate) struct LogRecord {
    id: RecordId,
    written: Wall,
    data: String,
}

pub(crate) struct Node {
    pub(super) coordinator: Coordinator<Fixed>,
    pub(super) paused: bool,
    pub(super) log_unavailable: bool,
    pub(super) appends: VecDeque<Batch>,
    pub(super) sends: VecDeque<(Ticket, Claim<Won>)>,
    pub(super) queries: VecDeque<(Ticket, Claim<Lost>, Owner)>,
    pub(super) tickets: BTreeMap<Ticket, Key>,
    /// Position of an incorrect reader in the log.
    pub(super) next_index: u64,
    /// Offset below which records were trimmed before they were read here.
    pub(super) trimmed_below: u64,
    /// Records that an incorrect reader has read out of order.
    pub(super) read_early: BTreeSet<RecordId>,
}

pub(crate) struct Cluster {
    pub(super) reader: Reader,
    pub(super) now: Instant,
    pub(super) log: Vec<LogRecord>,
    pub(super) oldest: usize,
    pub(super) delayed: Vec<Batch>,
    pub(super) nodes: Vec<Node>,
    pub(super) incarnations: u128,
    pub(super) tickets: u64,
    pub(super) keys: BTreeMap<usize, Key>,
    pub(super) effects: BTreeMap<Key, Vec<Ticket>>,
    pub(super) answers: BTreeMap<Ticket, Option<Verdict>>,
    /// Calls that their instance reported as given up.
    pub(super) given_up: BTreeSet<Ticket>,
    /// Digest of the live claims at each offset, from folds that cover the complete window.
    pub(super) digests: BTreeMap<Offset, Digest>,
}

pub(crate) type Check = Result<(), TestCaseError>;

impl Cluster {
    pub(crate) fn new(reader: Reader) -> Self {
        let mut cluster = Self {
            reader,
            now: Instant(0),
            log: Vec::new(),
            oldest: 0,
            delayed: Vec::new(),
            nodes: Vec::new(),
            incarnations: 0,
            tickets: 0,
            keys: BTreeMap::new(),
            effects: BTreeMap::new(),
            answers: BTreeMap::new(),
            given_up: BTreeSet::new(),
            digests: BTreeMap::new(),
        };
        cluster.nodes = (0..INSTANCES).map(|instance| cluster.start(instance, None)).collect();
        cluster
    }

    fn wall(&self) -> Wall {
        Wall(START + self.now.0 / 1_000)
    }

    fn start(&mut self, instance: usize, checkpoint: Option<&Checkpoint>) -> Node {
        self.incarnations += 1;
        let settings =
            Settings::new(format!("node-{instance}").parse().unwrap(), WINDOW).max_calls(16);
        let sequence = Sequence::new(Incarnation(self.incarnations), 0);
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
            log_unavailable: false,
            appends: VecDeque::new(),
            sends: VecDeque::new(),
            queries: VecDeque::new(),
            tickets: BTreeMap::new(),
            next_index: self.oldest as u64,
            trimmed_below: 0,
            read_early: BTreeSet::new(),
        }
    }

    fn key(&mut self, number: usize) -> Key {
        let offset_ms = [0, 2_000, 9_000][number % 3];
        let issued = u128::from(self.wall().0 + offset_ms);
        let bits = issued << 80 | 7 << 76 | 2 << 62 | number as u128;
        *self.keys.entry(number).or_insert(Key(uuid::Uuid::from_u128(bits)))
    }

    pub(super) fn handle(&mut self, instance: usize, event: Event<'_>) -> Check {
        let mut out = Vec::new();
        self.nodes[instance].coordinator.handle(event, self.now, &mut out);
        for action in out {
            match action {
                Action::Append(batch) => self.nodes[instance].appends.push_back(batch),
                Action::Dispatch { ticket, claim } => {
                    self.nodes[instance].sends.push_back((ticket, claim));
                }
                Action::Refuse { ticket, refused } => {
                    let ran = self.effects.contains_key(&self.nodes[instance].tickets[&ticket]);
                    let not_run = refused.verdict.is_not_run();
                    let key_free = refused.scope == Scope::Key && not_run;
                    prop_assert!(!(key_free && ran), "a key reported as not run has run");
                    self.answer(ticket, refused.verdict)?;
                }
                Action::QueryOwner { ticket, claim, owner, .. } => {
                    self.nodes[instance].queries.push_back((ticket, claim, owner));
                }
                Action::Replay { ticket, claim, outcome } => {
                    self.record_given_up(instance, claim.key(), &outcome);
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
            Step::StoreDelayed => {
                if let Some(batch) = self.delayed.pop() {
                    self.store(&batch.records);
                }
            }
            Step::Resume { instance } => self.nodes[instance].paused = false,
            Step::Pause { instance } => self.nodes[instance].paused = true,
            Step::Crash { instance, from_checkpoint } => self.crash(instance, from_checkpoint),
            Step::Call { instance, .. }
            | Step::Append { instance, .. }
            | Step::Read { instance, .. }
            | Step::Dispatch { instance, .. }
            | Step::QueryOwner { instance, .. }
            | Step::LogUnavailable { instance }
            | Step::LogAvailable { instance }
            | Step::ReadOldPage { instance }
            | Step::CallerGone { instance, .. } => {
                if !self.nodes[instance].paused {
                    self.run_on_instance(instance, step)?;
                }
            }
        }
        self.check()
    }

    fn run_on_instance(&mut self, instance: usize, step: &Step) -> Check {
        match *step {
            Step::Call { key, other_body, deadline_ms, .. } => {
                self.call(instance, key, other_body, deadline_ms)
            }
            Step::Append { delivery, .. } => self.append(instance, delivery),
            Step::Read { max_records, .. } => self.read(instance, max_records),
            Step::Dispatch { delivery, .. } => self.dispatch(instance, delivery),
            Step::QueryOwner { reached, .. } => self.query_owner(instance, reached),
            Step::LogUnavailable { .. } => {
                self.nodes[instance].log_unavailable = true;
                self.handle(instance, Event::LogUnavailable)
            }
            Step::LogAvailable { .. } => {
                self.nodes[instance].log_unavailable = false;
                self.handle(instance, Event::LogAvailable)
            }
            Step::ReadOldPage { .. } if self.reader == Reader::InOrder => self.read_old(instance),
            Step::CallerGone { ticket, .. } => {
                let ticket = Ticket(ticket);
                match self.nodes[instance].tickets.get(&ticket).copied() {
                    Some(key) => self.handle(instance, Event::CallerGone(ticket, key)),
                    None => Ok(()),
                }
            }
            _ => Ok(()),
        }
    }

    fn call(&mut self, instance: usize, key: usize, other_body: bool, deadline_ms: u64) -> Check {
        let ticket = Ticket(self.tickets);
        self.tickets += 1;
        let key = self.key(key);
        self.answers.insert(ticket, None);
        self.nodes[instance].tickets.insert(ticket, key);
        let call = Call {
            ticket,
            key,
            customer: "tezeta".parse().unwrap(),
            service: "booking".parse().unwrap(),
            digest: Digest::of(if other_body { b"b" } else { b"a" }),
            deadline: self.now + Duration::from_millis(deadline_ms),
        };
        self.handle(instance, Event::Call(call))
    }

    fn store(&mut self, records: &[Draft]) {
        let written = self.wall();
        let stored = |draft: &Draft| LogRecord { id: draft.id, written, data: draft.data.clone() };
        self.log.extend(records.iter().map(stored));
    }

    pub(super) fn append(&mut self, instance: usize, delivery: Delivery) -> Check {
        let Some(batch) = self.nodes[instance].appends.pop_front() else {
            return self.handle(instance, Event::Tick);
        };
        let unavailable = self.nodes[instance].log_unavailable;
        if !unavailable && matches!(delivery, Delivery::Delivered | Delivery::AnswerLost) {
            self.store(&batch.records);
        }
        let number = batch.number;
        match delivery {
            Delivery::Delivered if !unavailable => {
                self.handle(instance, Event::Appended(number))?;
                if self.reader == Reader::AckAsRead {
                    self.read_own(instance, &batch)
                } else {
                    Ok(())
                }
            }
            Delivery::Delayed => {
                self.delayed.push(batch);
                self.handle(instance, Event::AppendLost(number))
            }
            _ => self.handle(instance, Event::AppendLost(number)),
        }
    }

    fn read_own(&mut self, instance: usize, batch: &Batch) -> Check {
        let written = self.wall();
        for Draft { id, data } in &batch.records {
            let offset = self.nodes[instance].coordinator.fold().next();
            self.nodes[instance].read_early.insert(*id);
            let records = [View { offset, id: *id, written, data }];
            let page = Page { oldest: Offset(0), end: offset.next(), records: &records };
            self.handle(instance, Event::Read(page))?;
        }
        Ok(())
    }

    pub(super) fn read(&mut self, instance: usize, max_records: usize) -> Check {
        if self.nodes[instance].log_unavailable {
            return self.handle(instance, Event::Tick);
        }
        if self.reader != Reader::InOrder {
            return self.read_incorrectly(instance, max_records);
        }
        let next = usize::try_from(self.nodes[instance].coordinator.fold().next().0).unwrap();
        if next < self.oldest {
            self.nodes[instance].trimmed_below = self.oldest as u64;
        }
        let from = usize::try_from(self.nodes[instance].coordinator.fold().prefix().read_from().0)
            .unwrap();
        let from = from.max(self.oldest);
        let to = self.log.len().min(from + max_records);
        let log = std::mem::take(&mut self.log);
        let views: Vec<_> = (from..to).map(|index| view(&log, index, index as u64)).collect();
        let (oldest, end) = (Offset(self.oldest as u64), Offset(log.len() as u64));
        let result = self.handle(instance, Event::Read(Page { oldest, end, records: &views }));
        self.log = log;
        result
    }

    /// Reads a page as it was when the log had half of its current records.
    fn read_old(&mut self, instance: usize) -> Check {
        let log = std::mem::take(&mut self.log);
        let half = log.len() / 2;
        let views: Vec<_> = (0..half).map(|index| view(&log, index, index as u64)).collect();
        let page = Page { oldest: Offset(0), end: Offset(half as u64), records: &views };
        let result = self.handle(instance, Event::Read(page));
        self.log = log;
        result
    }

    /// Reads the log with offsets assigned by the reader instead of the log.
    fn read_incorrectly(&mut self, instance: usize, max_records: usize) -> Check {
        let log = std::mem::take(&mut self.log);
        for _ in 0..max_records {
            let index = usize::try_from(self.nodes[instance].next_index).unwrap().max(self.oldest);
            if index >= log.len() {
                break;
            }
            self.nodes[instance].next_index = index as u64 + 1;
            if self.nodes[instance].read_early.contains(&log[index].id) {
                continue;
            }
            let next = self.nodes[instance].coordinator.fold().next();
            let records = [view(&log, index, next.0)];
            let page = Page { oldest: Offset(0), end: next.next(), records: &records };
            self.handle(instance, Event::Read(page))?;
        }
        self.log = log;
        Ok(())
    }

    pub(super) fn dispatch(&mut self, instance: usize, delivery: Delivery) -> Check {
        let Some((ticket, claim)) = self.nodes[instance].sends.pop_front() else { return Ok(()) };
        let key = claim.key();
        if delivery == Delivery::NotDelivered {
            return self.handle(instance, Event::Returned(claim));
        }
        let claim = claim.dispatch();
        self.effects.entry(key).or_default().push(ticket);
        match delivery {
            Delivery::Delivered => {
                let settled = claim.settle(200);
                self.answer(ticket, settled.verdict())?;
                self.handle(instance, Event::Settled(settled))
            }
            _ => {
                let unanswered = claim.lose();
                self.answer(ticket, unanswered.verdict())?;
                self.handle(instance, Event::Unanswered(unanswered))
            }
        }
    }

    pub(super) fn query_owner(&mut self, i: usize, reached: bool) -> Check {
        let Some((ticket, claim, owner)) = self.nodes[i].queries.pop_front() else { return Ok(()) };
        let is_owner =
            |node: &Node| node.coordinator.incarnation() == owner.incarnation && !node.paused;
        let owner_index = self.nodes.iter().position(is_owner).filter(|_| reached);
        let mut answer = OwnerAnswer::Silent;
        if let Some(owner_index) = owner_index {
            answer = self.nodes[owner_index].coordinator.owner_answer(&claim.key());
            self.record_given_up(owner_index, claim.key(), &answer);
        }
        self.answer(ticket, claim.end(&answer))
    }

    /// Records the calls that an instance reports as given up.
    fn record_given_up(&mut self, instance: usize, key: Key, outcome: &OwnerAnswer) {
        if *outcome == OwnerAnswer::GivenUp {
            let tickets = &self.nodes[instance].tickets;
            let of_key = tickets.iter().filter(|(_, claimed)| **claimed == key);
            self.given_up.extend(of_key.map(|(ticket, _)| *ticket));
        }
    }

    fn crash(&mut self, instance: usize, from_checkpoint: bool) {
        let source = &self.nodes[(instance + 1) % INSTANCES].coordinator;
        let checkpoint = from_checkpoint.then(|| source.fold().checkpoint());
        let tickets = std::mem::take(&mut self.nodes[instance].tickets);
        for ticket in tickets.into_keys() {
            self.answers.entry(ticket).and_modify(|answer| {
                answer.get_or_insert(Verdict::MayHaveRun);
            });
        }
        self.nodes[instance] = self.start(instance, checkpoint.as_ref());
    }
}

pub(crate) fn view(log: &[LogRecord], index: usize, offset: u64) -> View<'_> {
    let LogRecord { id, written, data } = &log[index];
    View { offset: Offset(offset), id: *id, written: *written, data }
}
