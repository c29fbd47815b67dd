//! Instances with desks before a log that loses answers and goes out, on virtual time.

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

/// What becomes of an append while the log misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The record stands and the answer comes.
    None,
    /// The record stands and the answer is lost.
    LostAfter,
    /// The record does not stand and no answer comes.
    LostBefore,
    /// The record stands only after this time; the answer is lost.
    Late(Duration),
}

/// An append that reaches the log later.
struct Late {
    at: Instant,
    id: RecordId,
    data: String,
}

/// One instance that takes changes.
pub struct Clerk {
    pub fold: Fold,
    pub desk: Queue,
    pub answers: Vec<(RecordId, Answer, Instant)>,
}

/// All of it.
pub struct Office {
    pub now: Instant,
    pub log: Log,
    pub clerks: Vec<Clerk>,
    /// Whether records can be read.
    pub readable: bool,
    pub rng: ChaCha8Rng,
    late: Vec<Late>,
}

pub const STEP: Duration = Duration::from_millis(50);

impl Office {
    pub fn new(clerks: usize, seed: u64) -> Self {
        let clerk = || Clerk { fold: Fold::new(), desk: Queue::default(), answers: Vec::new() };
        Self {
            now: Instant(1),
            log: Log::default(),
            clerks: std::iter::repeat_with(clerk).take(clerks).collect(),
            readable: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
            late: Vec::new(),
        }
    }

    /// Hands a change to an instance.
    pub fn submit(
        &mut self,
        clerk: usize,
        id: RecordId,
        change: &Change,
        origin: Origin,
        patience: Duration,
        fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault,
    ) {
        let Clerk { fold, desk, .. } = &mut self.clerks[clerk];
        let actions = desk.submit(self.now, id, change, origin, self.now + patience, fold);
        self.act(clerk, actions, fault);
    }

    /// Lets one step of time pass: late appends arrive, records are read, desks tick.
    pub fn step(&mut self, fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault) {
        self.now = self.now + STEP;
        let (due, late) =
            std::mem::take(&mut self.late).into_iter().partition(|l| l.at <= self.now);
        self.late = late;
        let due: Vec<Late> = due;
        for Late { id, data, .. } in due {
            self.log.append(id, &data);
        }
        for index in 0..self.clerks.len() {
            let clerk = &mut self.clerks[index];
            if self.readable && self.rng.random_bool(0.7) {
                self.log.read_into(&mut clerk.fold);
            }
            let mut actions = clerk.desk.resolve(&clerk.fold);
            actions.extend(clerk.desk.tick(self.now));
            self.act(index, actions, fault);
        }
    }

    pub fn run(&mut self, time: Duration, fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault) {
        let end = self.now + time;
        while self.now < end {
            self.step(fault);
        }
    }

    /// Panics if an answer says what the log does not.
    pub fn check(&mut self) {
        let mut fold = Fold::new();
        self.log.read_into(&mut fold);
        for (id, answer, _) in self.clerks.iter().flat_map(|clerk| &clerk.answers) {
            let outcome = fold.outcome(id).cloned().map(Answer::from);
            match answer {
                Answer::Accepted { .. } | Answer::Conflict { .. } => {
                    assert_eq!(outcome.as_ref(), Some(answer), "{id}");
                }
                Answer::Rejected { .. } | Answer::NotTaken { .. } => {
                    let effect = matches!(outcome, Some(Answer::Accepted { .. }));
                    assert!(!effect, "{id} is called without effect and has one");
                }
                Answer::Unknown { .. } => {}
            }
        }
        for clerk in &mut self.clerks {
            self.log.read_into(&mut clerk.fold);
            super::assert_same(&clerk.fold, &fold, "an instance");
        }
    }

    pub fn answer(&self, id: &RecordId) -> Option<&Answer> {
        let answers = self.clerks.iter().flat_map(|clerk| &clerk.answers);
        answers.filter(|(other, ..)| other == id).map(|(_, answer, _)| answer).next_back()
    }

    fn act(
        &mut self,
        clerk: usize,
        actions: Vec<Action>,
        fault: &mut dyn FnMut(&mut ChaCha8Rng) -> Fault,
    ) {
        for action in actions {
            match action {
                Action::Answer { id, answer } => {
                    self.clerks[clerk].answers.push((id, answer, self.now));
                }
                Action::Append { id, data } => {
                    let result = self.append(id, &data, fault);
                    let desk = &mut self.clerks[clerk].desk;
                    desk.record_append(self.now, &id, &result, &mut self.rng);
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
                self.late.push(Late { at: self.now + delay, id, data: data.to_owned() });
            }
        }
        AppendResult::Lost
    }
}

/// The end of a log as a plain number.
pub fn end(log: &Log) -> u64 {
    let Offset(end) = log.end();
    end
}
