//! Submitted changes: appended, retried while no answer arrives, and answered from the fold.

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

/// Maximum number of changes that wait for an answer at one instance.
pub const MAX_PENDING: usize = 256;

/// Maximum time for which an append is retried.
///
/// It must be far shorter than the time in which the log gains
/// [`WINDOW_RECORDS`](crate::outcome::WINDOW_RECORDS) records, within which duplicates are
/// recognised.
pub const MAX_RETRY_TIME: Duration = Duration::from_secs(300);

/// Wait before the first retry of an append.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum wait between retries of an append.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

domain! {
    value
    /// The answer to an operator.
    #[serde(rename_all = "kebab-case")]
    pub enum Answer {
        /// The change is accepted at this instance, and will not be lost.
        Accepted {
            /// The version of the change.
            version: Offset,
        },
        /// The change has no effect and never will.
        Rejected {
            /// The reason.
            reason: String,
        },
        /// The entity was changed in between; the change has no effect and never will.
        Conflict {
            /// Current version of the entity; `None` if it does not exist.
            now: Option<Offset>,
        },
        /// The change may have been appended, or may still be; query or retry it by this id.
        Unknown {
            /// The id.
            id: RecordId,
        },
        /// The change was not appended and will not be: the log accepts no records, or too many
        /// changes are waiting.
        NotTaken {
            /// The reason.
            reason: String,
        },
    }

    /// The result of an append.
    #[serde(rename_all = "kebab-case")]
    pub enum AppendResult {
        /// The log has stored the record.
        Stored,
        /// The log has not stored the record from this append.
        Refused(String),
        /// The log may have stored the record.
        Lost,
    }

    /// The origin of a record id.
    #[serde(rename_all = "kebab-case")]
    pub enum Origin {
        /// This instance has just issued it: no other instance can have appended the record.
        New,
        /// The operator retries a change by its id; it may have been appended before.
        Repeat {
            /// Time since the id was issued; beyond [`MAX_RETRY_TIME`] nothing is appended.
            age: Duration,
        },
    }
}

/// An action for the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a record, and report the result to [`Queue::record_append`].
    Append {
        /// Identity of the record, the same in every retry.
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
struct PendingChange {
    data: Arc<str>,
    deadline: Instant,
    /// Reason for which no append has reached the log; `None` once one may have.
    refused: Option<String>,
    /// Whether the log acknowledged an append.
    stored: bool,
    in_flight: bool,
    wait: Duration,
    again: Instant,
}

/// The submitted changes of one instance that are not answered yet.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::{id::{Incarnation, Offset, RecordId}, time::Instant};
/// use goldcrestvale_config::{submission::{Action, Answer, Queue, Origin}, fold::Fold};
///
/// let change = serde_json::from_str(r#"{"schema": {"major": 1, "minor": 0}, "kind": "service",
///     "name": "desk", "operator": "ana", "body": {"pool": "desk", "timeout_ms": 500}}"#)?;
/// let (mut queue, mut fold) = (Queue::default(), Fold::new());
/// let id = RecordId { incarnation: Incarnation(1), sequence: 1 };
/// let deadline = Instant(5_000_000);
/// let actions = queue.submit(Instant(0), id, &change, Origin::New, deadline, &fold);
/// let [Action::Append { data, .. }] = &actions[..] else { panic!("one append") };
/// fold.apply(Offset(0), id, data);
/// let accepted = Answer::Accepted { version: Offset(0) };
/// assert_eq!(queue.resolve(&fold), [Action::Answer { id, answer: accepted }]);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<RecordId, PendingChange>,
}

impl Queue {
    /// Accepts a change from an operator.
    ///
    /// The deadline is limited to [`MAX_RETRY_TIME`].
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
        if self.waiting.len() >= MAX_PENDING {
            let reason = format!("{MAX_PENDING} changes wait already");
            return answer(match origin {
                Origin::New => Answer::NotTaken { reason },
                Origin::Repeat { .. } => Answer::Unknown { id },
            });
        }
        // The first copy of an old record may have left the window, and the second would be
        // evaluated anew.
        if matches!(origin, Origin::Repeat { age } if age > MAX_RETRY_TIME) {
            return answer(Answer::Unknown { id });
        }
        if let Err(reason) = fold.try_validate(change) {
            return answer(match origin {
                Origin::New => Answer::Rejected { reason },
                Origin::Repeat { .. } => Answer::Unknown { id },
            });
        }
        let data = serde_json::to_string(change).expect("the keys of all maps are strings");
        let data: Arc<str> = data.into();
        let pending = PendingChange {
            data: Arc::clone(&data),
            deadline: deadline.min(now + MAX_RETRY_TIME),
            refused: (origin == Origin::New).then(|| "the log did not answer".to_owned()),
            stored: false,
            in_flight: true,
            wait: INITIAL_BACKOFF,
            again: now,
        };
        self.waiting.insert(id, pending);
        vec![Action::Append { id, data }]
    }

    /// Records the result of an append; the retry of a failed one is delayed with jitter.
    pub fn record_append(
        &mut self,
        now: Instant,
        id: &RecordId,
        append: &AppendResult,
        rng: &mut impl Rng,
    ) {
        let Some(pending) = self.waiting.get_mut(id) else { return };
        pending.in_flight = false;
        match append {
            AppendResult::Stored => pending.stored = true,
            AppendResult::Lost | AppendResult::Refused(_) => {
                pending.again = now + pending.wait.mul_f64(rng.random_range(0.5..=1.0));
                pending.wait = (pending.wait * 2).min(MAX_BACKOFF);
            }
        }
        match (append, &mut pending.refused) {
            (AppendResult::Refused(reason), Some(last)) => last.clone_from(reason),
            (AppendResult::Refused(_), None) => {}
            (AppendResult::Stored | AppendResult::Lost, refusal) => *refusal = None,
        }
    }

    /// Answers the changes that the fold has reached; to be called after records were folded.
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

    /// Retries appends that are due, and answers changes whose deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.waiting.retain(|id, pending| {
            if now >= pending.deadline {
                // An append in flight may still reach the log.
                let answer = match pending.refused.take().filter(|_| !pending.in_flight) {
                    Some(reason) => Answer::NotTaken { reason },
                    None => Answer::Unknown { id: *id },
                };
                actions.push(Action::Answer { id: *id, answer });
                return false;
            }
            if !pending.in_flight && !pending.stored && now >= pending.again {
                pending.in_flight = true;
                actions.push(Action::Append { id: *id, data: Arc::clone(&pending.data) });
            }
            true
        });
        actions
    }

    /// Returns the time at which [`tick`](Self::tick) is due next.
    pub fn due(&self) -> Option<Instant> {
        let due = |pending: &PendingChange| match pending.in_flight || pending.stored {
            true => pending.deadline,
            false => pending.again.min(pending.deadline),
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
