//! Queries for the stored result of an idempotent call.

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

/// The result of a query.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a query got no answer. The call may have run.
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
    /// Too many queries are pending.
    #[snafu(display("too many queries are pending"))]
    TooMany,
    /// The tasks have stopped.
    #[snafu(display("the peer tasks have stopped"))]
    Stopped,
}

/// A query of the daemon.
#[derive(Debug)]
pub(crate) struct Query {
    /// The incarnation that owns the key.
    pub(crate) owner: Incarnation,
    /// The idempotency key.
    pub(crate) key: Key,
    /// Digest of the request.
    pub(crate) digest: Digest,
    /// Receives the answer.
    pub(crate) reply: oneshot::Sender<Result<StoredResult>>,
}

#[derive(Debug)]
struct Pending {
    query: Query,
    deadline: Instant,
    /// The connection that the query was sent over, or `None` if it was not sent yet.
    link: Option<u64>,
}

/// The pending queries by id.
#[derive(Debug, Default)]
pub(crate) struct PendingQueries {
    next: u64,
    pending: IndexMap<u64, Pending>,
}

impl PendingQueries {
    /// Adds a query and returns its id.
    pub(crate) fn add(&mut self, query: Query, deadline: Instant) -> u64 {
        self.next += 1;
        self.pending.insert(self.next, Pending { query, deadline, link: None });
        self.next
    }

    /// Returns the number of pending queries.
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the ids of the queries to an owner that were not sent yet.
    pub(crate) fn unsent(&self, owner: Incarnation) -> Vec<u64> {
        let unsent = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.link.is_none() && pending.query.owner == owner);
        unsent.map(|(&id, _)| id).collect()
    }

    /// Marks a query as sent over a connection and returns the message.
    pub(crate) fn send(&mut self, id: u64, link: u64) -> Option<AnswerAsk> {
        let pending = self.pending.get_mut(&id)?;
        pending.link = Some(link);
        Some(AnswerAsk {
            ask: id,
            key: field::encode_key(pending.query.key),
            digest: field::encode_digest(pending.query.digest),
        })
    }

    /// Handles an answer; one that is late, a duplicate or from another connection is ignored.
    pub(crate) fn answer(&mut self, link: u64, answer: Answer) {
        let matches = self.pending.get(&answer.ask).is_some_and(|p| p.link == Some(link));
        if let Some(pending) = matches.then(|| self.pending.swap_remove(&answer.ask)).flatten() {
            let stored = StoredResult {
                state: answer.state(),
                status: u16::try_from(answer.status).unwrap_or(0),
                headers: answer.headers,
                body: answer.body,
            };
            let _ = pending.query.reply.send(Ok(stored));
        }
    }

    /// Fails the queries that were sent over a connection that ended.
    pub(crate) fn connection_lost(&mut self, link: u64) -> usize {
        self.fail_matching(|pending| pending.link == Some(link), || Error::Disconnected)
    }

    /// Fails the queries whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant) -> usize {
        self.fail_matching(|pending| pending.deadline <= now, || Error::Timeout)
    }

    fn fail_matching(
        &mut self,
        matches: impl Fn(&Pending) -> bool,
        error: impl Fn() -> Error,
    ) -> usize {
        let failed: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| matches(pending))
            .map(|(&id, _)| id)
            .collect();
        for id in &failed {
            if let Some(pending) = self.pending.swap_remove(id) {
                let _ = pending.query.reply.send(Err(error()));
            }
        }
        failed.len()
    }
}
