//! An operator's change: appended, repeated while its answer is lost, answered by the fold.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use goldcrestvale_base::{
    domain,
    id::{Offset, RecordId},
    time::Instant,
};
use rand::Rng;

use crate::{
    change::Change,
    fold::{Fold, Outcome},
};

/// Most changes that wait for an answer at one instance.
pub const MAX_WAITING: usize = 256;

/// Longest time for which an append is repeated.
///
/// It must be far shorter than the log takes to gain
/// [`WINDOW_RECORDS`](crate::outcome::WINDOW_RECORDS) records, by which repeats are recognised.
pub const MAX_RETRY_TIME: Duration = Duration::from_secs(300);

/// Wait before the first repeat of an append.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait between repeats of an append.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

domain! {
    value
    /// The answer to an operator.
    #[serde(rename_all = "kebab-case")]
    pub enum Answer {
        /// The change holds at this instance, and will not be lost.
        Accepted {
            /// Its version.
            version: Offset,
        },
        /// The change has no effect and never will.
        Rejected {
            /// Why.
            reason: String,
        },
        /// The entity was changed in between; the change has no effect and never will.
        Conflict {
            /// Version of the entity; `None` if it does not exist.
            now: Option<Offset>,
        },
        /// The change may have been appended, or may still be; ask, or send it again, by this id.
        Unknown {
            /// The id.
            id: RecordId,
        },
        /// The change was not appended, and will not be: the log takes no records, or too many
        /// changes wait.
        NotTaken {
            /// Why.
            reason: String,
        },
    }

    /// What became of one append.
    #[serde(rename_all = "kebab-case")]
    pub enum AppendResult {
        /// The log has the record.
        Stored,
        /// The log does not have the record from this append.
        Refused(String),
        /// The log may have the record.
        Lost,
    }

    /// Who drew a record's id.
    #[serde(rename_all = "kebab-case")]
    pub enum Origin {
        /// This instance did, just now: nobody else can have appended the record.
        New,
        /// The operator repeats a change by its id; it may have been appended before.
        Repeat {
            /// Time since the id was drawn; beyond [`MAX_RETRY_TIME`] nothing is appended.
            age: Duration,
        },
    }
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a record, and report by [`Queue::record_append`].
    Append {
        /// Identity of the record, the same in every repeat.
        id: RecordId,
        /// Its data.
        data: Arc<str>,
    },
    /// Answer the operator.
    Answer {
        /// Identity of the change.
        id: RecordId,
        /// The answer.
        answer: Answer,
    },
}

#[derive(Debug)]
struct Waiting {
    data: Arc<str>,
    deadline: Instant,
    /// Why no append has reached the log; `None` once one may have.
    refused: Option<String>,
    /// Whether the log acknowledged an append.
    stored: bool,
    in_flight: bool,
    wait: Duration,
    again: Instant,
}

/// The changes that operators wait for at one instance.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{id::{Incarnation, Offset, RecordId}, time::Instant};
/// use goldcrestvale_config::{submission::{Action, Answer, Queue, Origin}, fold::Fold};
///
/// let change = serde_json::from_str(r#"{"schema": {"major": 1, "minor": 0}, "kind": "service",
///     "name": "desk", "operator": "ana", "body": {"pool": "desk", "timeout_ms": 500}}"#)?;
/// let (mut desk, mut fold) = (Queue::default(), Fold::new());
/// let id = RecordId { incarnation: Incarnation(1), sequence: 1 };
/// let deadline = Instant(5_000_000);
/// let actions = desk.submit(Instant(0), id, &change, Origin::New, deadline, &fold);
/// let [Action::Append { data, .. }] = &actions[..] else { panic!("one append") };
/// fold.apply(Offset(0), id, data);
/// let accepted = Answer::Accepted { version: Offset(0) };
/// assert_eq!(desk.resolve(&fold), [Action::Answer { id, answer: accepted }]);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<RecordId, Waiting>,
}

impl Queue {
    /// Takes an operator's change.
    ///
    /// The deadline is cut to [`MAX_RETRY_TIME`].
    pub fn submit(
        &mut self,
        now: Instant,
        id: RecordId,
        change: &Change,
        origin: Origin,
        deadline: Instant,
        fold: &Fold,
    ) -> Vec<Action> {
        let answer = |answer| vec![Action::Answer { id, answer }];
        if let Some(outcome) = fold.outcome(&id) {
            return answer(outcome.clone().into());
        }
        if self.waiting.contains_key(&id) {
            return Vec::new();
        }
        if self.waiting.len() >= MAX_WAITING {
            let reason = format!("{MAX_WAITING} changes wait already");
            return answer(match origin {
                Origin::New => Answer::NotTaken { reason },
                Origin::Repeat { .. } => Answer::Unknown { id },
            });
        }
        // The first copy of an old record may be forgotten, and the second would be judged anew.
        if matches!(origin, Origin::Repeat { age } if age > MAX_RETRY_TIME) {
            return answer(Answer::Unknown { id });
        }
        if let Err(reason) = fold.try_read(change) {
            return answer(match origin {
                Origin::New => Answer::Rejected { reason },
                Origin::Repeat { .. } => Answer::Unknown { id },
            });
        }
        let data = serde_json::to_string(change).expect("a change has only text as map keys");
        let data: Arc<str> = data.into();
        let waiting = Waiting {
            data: Arc::clone(&data),
            deadline: deadline.min(now + MAX_RETRY_TIME),
            refused: (origin == Origin::New).then(|| "the log did not answer".to_owned()),
            stored: false,
            in_flight: true,
            wait: INITIAL_BACKOFF,
            again: now,
        };
        self.waiting.insert(id, waiting);
        vec![Action::Append { id, data }]
    }

    /// Takes the result of an append; the repeat of one that failed is spread by jitter.
    pub fn record_append(
        &mut self,
        now: Instant,
        id: &RecordId,
        append: &AppendResult,
        rng: &mut impl Rng,
    ) {
        let Some(waiting) = self.waiting.get_mut(id) else { return };
        waiting.in_flight = false;
        match append {
            AppendResult::Stored => waiting.stored = true,
            AppendResult::Lost | AppendResult::Refused(_) => {
                waiting.again = now + waiting.wait.mul_f64(rng.random_range(0.5..=1.0));
                waiting.wait = (waiting.wait * 2).min(MAX_BACKOFF);
            }
        }
        match (append, &mut waiting.refused) {
            (AppendResult::Refused(reason), Some(last)) => last.clone_from(reason),
            (AppendResult::Refused(_), None) => {}
            (AppendResult::Stored | AppendResult::Lost, refused) => *refused = None,
        }
    }

    /// Answers the changes that the fold has reached; call it after records were folded.
    pub fn resolve(&mut self, fold: &Fold) -> Vec<Action> {
        let mut actions = Vec::new();
        self.waiting.retain(|id, _| match fold.outcome(id) {
            Some(outcome) => {
                actions.push(Action::Answer { id: *id, answer: outcome.clone().into() });
                false
            }
            None => true,
        });
        actions
    }

    /// Repeats appends that are due, and answers changes whose deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.waiting.retain(|id, waiting| {
            if now >= waiting.deadline {
                // An append in flight may still reach the log.
                let answer = match waiting.refused.take().filter(|_| !waiting.in_flight) {
                    Some(reason) => Answer::NotTaken { reason },
                    None => Answer::Unknown { id: *id },
                };
                actions.push(Action::Answer { id: *id, answer });
                return false;
            }
            if !waiting.in_flight && !waiting.stored && now >= waiting.again {
                waiting.in_flight = true;
                actions.push(Action::Append { id: *id, data: Arc::clone(&waiting.data) });
            }
            true
        });
        actions
    }

    /// Returns when [`tick`](Self::tick) has something to do next.
    pub fn due(&self) -> Option<Instant> {
        let due = |waiting: &Waiting| match waiting.in_flight || waiting.stored {
            true => waiting.deadline,
            false => waiting.again.min(waiting.deadline),
        };
        self.waiting.values().map(due).min()
    }
}

impl From<Outcome> for Answer {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted { version } => Self::Accepted { version },
            Outcome::Rejected { reason } => Self::Rejected { reason },
            Outcome::Conflict { now } => Self::Conflict { now },
        }
    }
}
