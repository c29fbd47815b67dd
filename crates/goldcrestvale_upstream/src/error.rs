//! Failures of calls to upstreams, each with its verdict.

use std::net::SocketAddr;

use goldcrestvale_base::verdict::Verdict;
use snafu::Snafu;

use crate::message::Refusal;

/// The result of a call to an upstream.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to an upstream.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The request was not sent.
    #[snafu(display("nothing was sent to {address}: {detail}"))]
    Unsent {
        /// Address of the upstream.
        address: SocketAddr,
        /// The error of the transport.
        detail: String,
        /// The verdict, which only the owner of the unsent request can create.
        verdict: Verdict,
    },
    /// The connection failed after bytes may have been sent.
    #[snafu(display("the connection to {address} failed after sending: {detail}"))]
    Broken {
        /// Address of the upstream.
        address: SocketAddr,
        /// The error of the transport.
        detail: String,
    },
    /// No complete answer arrived in time.
    #[snafu(display("no whole answer from {address} within {waited_ms} ms"))]
    Timeout {
        /// Address of the upstream.
        address: SocketAddr,
        /// Time that the call waited, in milliseconds.
        waited_ms: u128,
    },
    /// The answer is larger than the limit.
    #[snafu(display("the answer from {address} is larger than {limit} bytes"))]
    Oversized {
        /// Address of the upstream.
        address: SocketAddr,
        /// The limit, in bytes.
        limit: usize,
    },
    /// An engine refused the call.
    #[snafu(display("engine {address} refused ({refusal:?}): {detail}"))]
    Refused {
        /// Address of the engine.
        address: SocketAddr,
        /// The engine's reason.
        refusal: Refusal,
        /// The engine's message.
        detail: String,
    },
    /// The answer is not in the expected format.
    #[snafu(display("the answer from {address} is malformed: {detail}"))]
    Malformed {
        /// Address of the upstream.
        address: SocketAddr,
        /// The error in the answer.
        detail: String,
    },
}

impl Error {
    /// Returns whether the request may have run at the upstream.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unsent { verdict, .. } => *verdict,
            Self::Broken { .. }
            | Self::Timeout { .. }
            | Self::Oversized { .. }
            | Self::Refused { .. }
            | Self::Malformed { .. } => Verdict::MayHaveRun,
        }
    }

    /// Returns whether the upstream itself seems to be gone or unreachable.
    pub fn is_transport(&self) -> bool {
        matches!(self, Self::Unsent { .. } | Self::Broken { .. } | Self::Timeout { .. })
    }
}
