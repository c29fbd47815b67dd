//! Asks for the stored result of an idempotent call.

use goldcrestvale_base::{
    id::{Digest, Incarnation, Key},
    time::Instant,
};
use goldcrestvale_wire::{
    field,
    message::{Answer, AnswerAsk},
};
use indexmap::IndexMap;
use snafu::Snafu;
use tokio::sync::oneshot;

use crate::events::StoredResult;

/// The result of an ask.
pub type Result<T> = std::result::Result<T, Error>;

/// An ask got no answer, so the call may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No address is known for the owner.
    #[snafu(display("no address is known for the owner"))]
    Unknown,
    /// The owner's incarnation has ended.
    #[snafu(display("the owner's incarnation has ended"))]
    Gone,
    /// The connection to the owner ended.
    #[snafu(display("the connection to the owner ended"))]
    Disconnected,
    /// The owner did not answer in time.
    #[snafu(display("the owner did not answer in time"))]
    Timeout,
    /// Too many asks wait.
    #[snafu(display("too many asks wait for an answer"))]
    TooMany,
    /// The tasks have stopped.
    #[snafu(display("the peer tasks have stopped"))]
    Stopped,
}

/// An ask of the daemon.
#[derive(Debug)]
pub(crate) struct Question {
    /// The incarnation that owns the key.
    pub(crate) owner: Incarnation,
    /// The idempotency key.
    pub(crate) key: Key,
    /// Digest of the request.
    pub(crate) digest: Digest,
    /// Takes the answer.
    pub(crate) reply: oneshot::Sender<Result<StoredResult>>,
}

#[derive(Debug)]
struct Pending {
    question: Question,
    until: Instant,
    /// The connection that it was sent over, once there is one.
    link: Option<u64>,
}

/// The asks by number.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    next: u64,
    pending: IndexMap<u64, Pending>,
}

impl Asks {
    /// Notes an ask, and returns its number.
    pub(crate) fn add(&mut self, question: Question, until: Instant) -> u64 {
        self.next += 1;
        self.pending.insert(self.next, Pending { question, until, link: None });
        self.next
    }

    /// Returns how many asks wait.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the numbers of the asks of an owner that were not sent yet.
    pub(crate) fn unsent(&self, owner: Incarnation) -> Vec<u64> {
        let unsent = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.link.is_none() && pending.question.owner == owner);
        unsent.map(|(&ask, _)| ask).collect()
    }

    /// Notes that an ask is sent over a connection, and returns the message.
    pub(crate) fn send(&mut self, ask: u64, link: u64) -> Option<AnswerAsk> {
        let pending = self.pending.get_mut(&ask)?;
        pending.link = Some(link);
        Some(AnswerAsk {
            ask,
            key: field::encode_key(pending.question.key),
            digest: field::encode_digest(pending.question.digest),
        })
    }

    /// Takes an answer; one that comes late, twice or over another connection is ignored.
    pub(crate) fn answer(&mut self, link: u64, answer: Answer) {
        let matches = self.pending.get(&answer.ask).is_some_and(|p| p.link == Some(link));
        if let Some(pending) = matches.then(|| self.pending.swap_remove(&answer.ask)).flatten() {
            let stored = StoredResult {
                state: answer.state(),
                status: u16::try_from(answer.status).unwrap_or(0),
                headers: answer.headers,
                body: answer.body,
            };
            let _ = pending.question.reply.send(Ok(stored));
        }
    }

    /// Fails the asks that were sent over a connection that ended.
    pub(crate) fn lose(&mut self, link: u64) -> usize {
        self.fail(|pending| pending.link == Some(link), || Error::Disconnected)
    }

    /// Fails the asks whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) -> usize {
        self.fail(|pending| pending.until <= now, || Error::Timeout)
    }

    fn fail(&mut self, which: impl Fn(&Pending) -> bool, error: impl Fn() -> Error) -> usize {
        let failed: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| which(pending))
            .map(|(&ask, _)| ask)
            .collect();
        for ask in &failed {
            if let Some(pending) = self.pending.swap_remove(ask) {
                let _ = pending.question.reply.send(Err(error()));
            }
        }
        failed.len()
    }
}
