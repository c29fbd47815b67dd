//! Events and queries that the daemon handles.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestvale_base::{
    domain,
    id::{Digest, Instance, Key, Offset},
};
use goldcrestvale_member::action::Notice;
use goldcrestvale_wire::message::{Answer, Message};

pub use goldcrestvale_wire::message::{AnswerState, Changes, Header, List, Scope};

use crate::{count::Counts, queue::Queue, snapshot::Snapshot};

/// Handles the messages and state changes of other instances.
///
/// The task that holds the membership calls these methods, so they must not block; longer work
/// belongs in a task of the daemon.
pub trait EventHandler: Send + Sync + 'static {
    /// Handles a newly published snapshot.
    fn published(&self, _snapshot: &Arc<Snapshot>) {}

    /// Handles a change of the view, a leaving upstream, or a peer's newer configuration.
    fn notice(&self, notice: Notice);

    /// Handles the offer of a configuration.
    fn config_offered(&self, from: &Instance, version: Offset, digest: Digest);

    /// Handles a request for a configuration of at least the given version.
    fn config_requested(&self, from: &Instance, version: Offset);

    /// Returns the configuration for a peer that can apply the changes since a version that it
    /// holds; `None` if there is no newer one.
    ///
    /// By default, the request is handled as one for the complete configuration.
    fn changes_since(&self, to: &Instance, held: Held) -> Option<Configuration> {
        self.config_requested(to, held.version.next());
        None
    }

    /// Handles the arrival of a part of a configuration.
    fn part_received(&self, _from: &Instance) {}

    /// Handles a complete configuration, whose digest is not yet checked.
    fn config_received(&self, from: &Instance, configuration: Configuration);

    /// Handles a request for the platform's list.
    fn list_requested(&self, _from: &Instance) {}

    /// Handles the platform's list as a peer last read it.
    fn list_received(&self, _from: &Instance, _list: List) {}

    /// Handles changes of the platform's directory that a peer of the own failure domain read.
    fn changes_received(&self, _from: &Instance, _changes: Changes) {}

    /// Handles a query for the stored result of an idempotent call.
    fn result_queried(&self, query: ResultQuery, reply: Reply);
}

/// A configuration as bytes that only the configuration package interprets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Configuration {
    /// Its version.
    pub version: Offset,
    /// The digest of its bytes.
    pub digest: Digest,
    /// Its bytes.
    pub bytes: Bytes,
}

domain! {
    copy
    /// The configuration that an instance holds.
    pub struct Held {
        /// Its version.
        pub version: Offset,
        /// The digest of its content.
        pub digest: Digest,
    }
}

domain! {
    value
    /// A query for the stored result of an idempotent call.
    pub struct ResultQuery {
        /// The instance that sent the query.
        pub from: Instance,
        /// The idempotency key.
        pub key: Key,
        /// Digest of the caller's request at that instance.
        pub digest: Digest,
    }
}

/// The stored result of an idempotent call.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResult {
    /// State of the call.
    pub state: AnswerState,
    /// HTTP status of the answer, or 0.
    pub status: u16,
    /// Header fields of the answer.
    pub headers: Vec<Header>,
    /// Body of the answer.
    pub body: Bytes,
}

impl StoredResult {
    /// Creates a result without an answer.
    pub fn without_answer(state: AnswerState) -> Self {
        Self { state, status: 0, headers: Vec::new(), body: Bytes::new() }
    }
}

/// Sends the result of one query back to its sender.
#[derive(Debug)]
pub struct Reply {
    pub(crate) ask: u64,
    pub(crate) queue: Arc<Queue>,
    pub(crate) counts: Arc<Counts>,
    pub(crate) max_body: usize,
}

impl Reply {
    /// Sends the result; one that is too long for a frame is sent as [`AnswerState::TooLong`].
    pub fn send(self, stored: StoredResult) {
        let answer = answer(self.ask, stored);
        let message = Message::from(answer);
        let message = if message.body_len() > self.max_body {
            answer_without_body(self.ask)
        } else {
            message
        };
        if !matches!(self.queue.push(message), crate::queue::PushResult::Queued) {
            self.counts.dropped.inc();
        }
    }
}

fn answer(query_id: u64, stored: StoredResult) -> Answer {
    Answer {
        ask: query_id,
        state: stored.state.into(),
        status: stored.status.into(),
        headers: stored.headers,
        body: stored.body,
    }
}

fn answer_without_body(query_id: u64) -> Message {
    answer(query_id, StoredResult::without_answer(AnswerState::TooLong)).into()
}
