//! Instances that submit changes to an unreliable log, on virtual time.

use std::time::Duration;

use goldcrestvale_base::{
    id::{Offset, RecordId},
    time::Instant,
};
use goldcrestvale_config::{
    change::Change,
    fold::Fold,
    submission::{Action, Answer, AppendResult, Origin, Queue},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Log;

/// A fault injected into an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The record is stored and the answer arrives.
    None,
    /// The record is stored and the answer is lost.
    LostAfter,
    /// The record is not stored and no answer arrives.
    LostBefore,
    /// The record is stored only after this time; the answer is lost.
    Late(Duration),
}

/// An append that reaches the log later.
struct DelayedAppend {
    at: Instant,
    id: RecordId,
    data: String,
}

/// An instance that accepts changes.
pub struct Instance {
    pub fold: Fold,
    pub queue: Queue,
    pub answers: Vec<(RecordId, Answer, Instant)>,
}

/// The log and its instances.
pub struct Cluster {
    pub now: Instant,
    pub log: Log,
    pub instances: Vec<Instance>,
    /// Whether records can be read.
    pub readable: bool,
    pub rng: ChaCha8Rng,
    delayed: Vec<DelayedAppend>,
}

pub const STEP: Duration = Duration::from_millis(50);

impl Cluster {
    pub fn new(instances: usize, seed: u64) -> Self {
        let instance =
            || Instance { fold: Fold::new(), queue: Queue::default(), answers: Vec::new() };
        Self {
            now: Instant(1),
            log: Log::default(),
            instances: std::iter::repeat_with(instance).take(instances).collect(),
            readable: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
            delayed: Vec::new(),
        }
    }

    /// Submits a change to an instance.
    pub fn submit(
        &mut self,
        instance: usize,
        id: RecordId,
        change: &Change,
        origin: Origin,
        timeout: Duration,
        fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault,
    ) {
        let Instance { fold, queue, .. } = &mut self.instances[instance];
        let actions = queue.submit(self.now, id, change, origin, self.now + timeout, fold);
        self.execute(instance, actions, fault);
    }

    /// Advances time by one step: delayed appends arrive, records are read, queues tick.
    pub fn step(&mut self, fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault) {
        self.now = self.now + STEP;
        let (due, delayed) =
            std::mem::take(&mut self.delayed).into_iter().partition(|append| append.at <= self.now);
        self.delayed = delayed;
        let due: Vec<DelayedAppend> = due;
        for DelayedAppend { id, data, .. } in due {
            self.log.append(id, &data);
        }
        for index in 0..self.instances.len() {
            let instance = &mut self.instances[index];
            if self.readable && self.rng.random_bool(0.7) {
                self.log.read_into(&mut instance.fold);
            }
            let mut actions = instance.queue.resolve(&instance.fold);
            actions.extend(instance.queue.tick(self.now));
            self.execute(index, actions, fault);
        }
    }

    pub fn run(&mut self, time: Duration, fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault) {
        let end = self.now + time;
        while self.now < end {
            self.step(fault);
        }
    }

    /// Panics if an answer contradicts the log.
    pub fn check(&mut self) {
        let mut fold = Fold::new();
        self.log.read_into(&mut fold);
        for (id, answer, _) in self.instances.iter().flat_map(|instance| &instance.answers) {
            let outcome = fold.outcome(id).cloned().map(Answer::from);
            match answer {
                Answer::Accepted { .. } | Answer::Conflict { .. } => {
                    assert_eq!(outcome.as_ref(), Some(answer), "{id}");
                }
                Answer::Rejected { .. } | Answer::NotTaken { .. } => {
                    let effect = matches!(outcome, Some(Answer::Accepted { .. }));
                    assert!(!effect, "{id} was answered as without effect, but has one");
                }
                Answer::Unknown { .. } => {}
            }
        }
        for instance in &mut self.instances {
            self.log.read_into(&mut instance.fold);
            super::assert_same(&instance.fold, &fold, "an instance");
        }
    }

    pub fn answer(&self, id: &RecordId) -> Option<&Answer> {
        let answers = self.instances.iter().flat_map(|instance| &instance.answers);
        answers.filter(|(other, ..)| other == id).map(|(_, answer, _)| answer).next_back()
    }

    fn execute(
        &mut self,
        instance: usize,
        actions: Vec<Action>,
        fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault,
    ) {
        for action in actions {
            match action {
                Action::Answer { id, answer } => {
                    self.instances[instance].answers.push((id, answer, self.now));
                }
                Action::Append { id, data } => {
                    let result = self.append(id, &data, fault);
                    let queue = &mut self.instances[instance].queue;
                    queue.record_append(self.now, &id, &result, &mut self.rng);
                }
            }
        }
    }

    fn append(
        &mut self,
        id: RecordId,
        data: &str,
        fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault,
    ) -> AppendResult {
        match fault(&mut self.rng) {
            Fault::None => {
                self.log.append(id, data);
                return AppendResult::Stored;
            }
            Fault::LostAfter => {
                self.log.append(id, data);
            }
            Fault::LostBefore => {}
            Fault::Late(delay) => {
                self.delayed.push(DelayedAppend {
                    at: self.now + delay,
                    id,
                    data: data.to_owned(),
                });
            }
        }
        AppendResult::Lost
    }
}

/// Returns the end of a log as a number.
pub fn end(log: &Log) -> u64 {
    let Offset(end) = log.end();
    end
}
