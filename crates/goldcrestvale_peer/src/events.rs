//! What the daemon is told and asked.

use std::sync::Arc;

use bytes::Bytes;
use goldcrestvale_base::{
    domain,
    id::{Digest, Instance, Key, Offset},
};
use goldcrestvale_member::action::Notice;
use goldcrestvale_wire::message::{Answer, Message};

pub use goldcrestvale_wire::message::{AnswerState, Header};

use crate::{count::Counts, queue::Queue, snapshot::Snapshot};

/// What the daemon does about the news of other instances.
///
/// The methods are called by the task that holds the membership, so they must return at once;
/// longer work goes into a task of the daemon.
pub trait EventHandler: Send + Sync + 'static {
    /// Takes the snapshot that was just published.
    fn published(&self, _snapshot: &Arc<Snapshot>) {}

    /// Takes a change of the view, a leaving upstream, or a peer's newer configuration.
    fn notice(&self, notice: Notice);

    /// Takes the offer of a configuration.
    fn config_offered(&self, from: &Instance, version: Offset, digest: Digest);

    /// Takes a request for a configuration of at least some version.
    fn config_requested(&self, from: &Instance, version: Offset);

    /// Takes a configuration that came whole and matches its digest.
    fn config_received(&self, from: &Instance, configuration: Configuration);

    /// Takes a request for the platform's list.
    fn list_requested(&self, _from: &Instance) {}

    /// Takes the platform's list as a peer read it last.
    fn list_received(&self, _from: &Instance, _list: Bytes) {}

    /// Takes a request for the stored result of an idempotent call.
    fn result_queried(&self, ask: ResultQuery, reply: Reply);
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
    value
    /// A request for the stored result of an idempotent call.
    pub struct ResultQuery {
        /// The instance that asks.
        pub from: Instance,
        /// The idempotency key.
        pub key: Key,
        /// Digest of the asker's request.
        pub digest: Digest,
    }
}

/// The stored result of an idempotent call.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResult {
    /// What became of the call.
    pub state: AnswerState,
    /// Status of the answer, or 0.
    pub status: u16,
    /// Header fields of the answer.
    pub headers: Vec<Header>,
    /// Body of the answer.
    pub body: Bytes,
}

impl StoredResult {
    /// Makes a result without an answer.
    pub fn without_answer(state: AnswerState) -> Self {
        Self { state, status: 0, headers: Vec::new(), body: Bytes::new() }
    }
}

/// The way back for one result.
#[derive(Debug)]
pub struct Reply {
    pub(crate) ask: u64,
    pub(crate) queue: Arc<Queue>,
    pub(crate) counts: Arc<Counts>,
    pub(crate) max_body: usize,
}

impl Reply {
    /// Sends the result; one that is too long for a frame is named so.
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

fn answer(ask: u64, stored: StoredResult) -> Answer {
    Answer {
        ask,
        state: stored.state.into(),
        status: stored.status.into(),
        headers: stored.headers,
        body: stored.body,
    }
}

fn answer_without_body(ask: u64) -> Message {
    answer(ask, StoredResult::without_answer(AnswerState::TooLong)).into()
}
