//! What a draft asks for.

use std::time::Duration;

use goldcrestvale_base::{
    engine::{Layers, Step},
    id::{Digest, Upstream},
    verdict::Verdict,
};
use smallvec::SmallVec;
use snafu::Snafu;

use crate::chain;

/// Why a draft was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The prompt holds no token.
    #[snafu(display("the prompt holds no token"))]
    Prompt,
    /// No chain could be planned.
    #[snafu(display("no chain of engines can run the draft: {source}"))]
    Chain {
        /// What is missing.
        source: chain::Error,
    },
    /// The deadline has passed.
    #[snafu(display("the deadline passed after {count} tokens"))]
    Deadline {
        /// Tokens committed.
        count: u32,
    },
    /// The deadline will pass before the next token.
    #[snafu(display("the next token needs {needed:?}, but the deadline is in {left:?}"))]
    Late {
        /// Expected time to the next token.
        needed: Duration,
        /// Time to the deadline.
        left: Duration,
    },
    /// Stages were lost more often than the settings allow.
    #[snafu(display("stages were rebuilt {rebuilds} times"))]
    Rebuilds {
        /// Times that stages were rebuilt.
        rebuilds: u32,
    },
    /// The caller is gone.
    #[snafu(display("the caller cancelled the draft"))]
    Cancelled,
}

/// The end of a draft that has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Cause.
    pub error: Error,
    /// Whether any engine may have run a step.
    pub verdict: Verdict,
    /// When asking again may help.
    pub retry_after: Option<Duration>,
}

/// The actions that one event gives rise to, in the order to carry them out.
pub type Actions = SmallVec<[Action; 2]>;

/// An action of a draft.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a step to an engine.
    Send {
        /// Name of the engine.
        upstream: Upstream,
        /// The step.
        step: Step,
        /// Expected time to the answer, for judging the engine's health.
        expected: Duration,
        /// Time after which the step counts as lost.
        timeout: Duration,
    },
    /// Cancel an attempt at an engine and free its KV cache; the outcome does not matter.
    CancelAttempt {
        /// Name of the engine.
        upstream: Upstream,
        /// The attempt.
        attempt: u32,
    },
    /// Export a KV cache from one engine and import it at another under a new attempt; answer
    /// with [`Event::KvMoved`](super::Event::KvMoved) or
    /// [`Event::KvFailed`](super::Event::KvFailed).
    MoveKv {
        /// Engine to export from.
        from: Upstream,
        /// Attempt to export.
        attempt: u32,
        /// Engine to import at.
        to: Upstream,
        /// Attempt to import under.
        new_attempt: u32,
        /// Layers that the cache covers.
        layers: Layers,
        /// Positions that the cache covers.
        positions: u32,
        /// Time after which the move counts as failed.
        timeout: Duration,
    },
    /// Hand a token to the caller.
    Commit {
        /// Position of the token, counted from the first token of the prompt.
        position: u32,
        /// The token.
        token: u32,
    },
    /// Record that a token followed the loss of a stage.
    Recovered {
        /// From the sending of the step that was lost to the loss being known.
        detection: Duration,
        /// From the loss being known to the next token.
        rebuild: Duration,
    },
    /// End the answer: it is whole.
    Finish {
        /// Tokens of the whole answer, with those that it was resumed with.
        count: u32,
        /// Digest of these tokens, each as four bytes in little-endian order.
        digest: Digest,
    },
    /// End the answer with an error.
    Fail(Failure),
}
