//! Actions that a draft returns, and its errors.

use std::time::Duration;

use goldcrestvale_base::{
    engine::{Layers, Step},
    id::{Digest, Upstream},
    verdict::Verdict,
};
use smallvec::SmallVec;
use snafu::Snafu;

use crate::chain;

/// The reason why a draft was rejected or failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The prompt contains no tokens.
    #[snafu(display("the prompt holds no token"))]
    Prompt,
    /// No chain could be planned.
    #[snafu(display("no chain of engines can run the draft: {source}"))]
    Chain {
        /// The planner's error.
        source: chain::Error,
    },
    /// The deadline has passed.
    #[snafu(display("the deadline passed after {count} tokens"))]
    Deadline {
        /// Number of tokens committed.
        count: u32,
    },
    /// The next token is expected after the deadline.
    #[snafu(display("the next token needs {needed:?}, but the deadline is in {left:?}"))]
    Late {
        /// Expected time to the next token.
        needed: Duration,
        /// Time to the deadline.
        left: Duration,
    },
    /// Stages were lost more often than [`Settings::rebuilds`](super::Settings::rebuilds) allows.
    #[snafu(display("stages were rebuilt {rebuilds} times"))]
    Rebuilds {
        /// Maximum number of rebuilds.
        rebuilds: u32,
    },
    /// The caller cancelled the draft or disconnected.
    #[snafu(display("the caller cancelled the draft"))]
    Cancelled,
}

/// The failure of a draft whose answer is incomplete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The cause.
    pub error: Error,
    /// Whether an engine may have run a step.
    pub verdict: Verdict,
    /// Time after which a retry may succeed; `None` if a retry would not help.
    pub retry_after: Option<Duration>,
}

/// The actions for one event, in the order in which to perform them.
pub type Actions = SmallVec<[Action; 2]>;

/// An action that the caller of a draft performs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a step to an engine.
    Send {
        /// Name of the engine.
        upstream: Upstream,
        /// The step.
        step: Step,
        /// Expected time to the answer, for evaluating the engine's health.
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
    /// Export a KV cache from one engine and import it at another under a new attempt. The result
    /// is reported by [`Event::KvMoved`](super::Event::KvMoved) or
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
    /// Send a token to the caller.
    Commit {
        /// Position of the token, counted from the first token of the prompt.
        position: u32,
        /// The token.
        token: u32,
    },
    /// Record the recovery of a lost stage, at the first token after the loss.
    Recovered {
        /// Time from sending the lost step to detecting the loss.
        detection: Duration,
        /// Time from detecting the loss to the next token.
        rebuild: Duration,
    },
    /// End the complete answer.
    Finish {
        /// Number of tokens of the complete answer, including those that it was resumed with.
        count: u32,
        /// Digest of these tokens, each as four bytes in little-endian order.
        digest: Digest,
    },
    /// End the answer with an error.
    Fail(Failure),
}
