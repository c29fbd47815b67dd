//! Errors of calls to the platform.

use std::net::SocketAddr;

use goldcrestvale_base::id::Offset;
use snafu::Snafu;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection was established, so nothing was sent to the platform.
    #[snafu(display("cannot connect to the platform at {address}: {detail}"))]
    Connect {
        /// Address of the platform.
        address: SocketAddr,
        /// The error of the transport.
        detail: String,
    },
    /// The connection failed after the call may have been sent.
    #[snafu(display("no answer from the platform at {address} to {call}: {detail}"))]
    Lost {
        /// Address of the platform.
        address: SocketAddr,
        /// Method and path.
        call: String,
        /// The error of the transport.
        detail: String,
    },
    /// The platform answered the call with a status that is no success.
    #[snafu(display("the platform at {address} refused {call} with status {status}"))]
    Refused {
        /// Address of the platform.
        address: SocketAddr,
        /// Method and path.
        call: String,
        /// Status code.
        status: u16,
    },
    /// The requested offset is older than the oldest retained record.
    #[snafu(display(
        "stream {stream} is trimmed: requested {requested}, oldest retained is {oldest}"
    ))]
    Trimmed {
        /// Name of the stream.
        stream: String,
        /// The requested offset.
        requested: Offset,
        /// The oldest offset that the stream still retains.
        oldest: Offset,
        /// The offset of the next record to be appended.
        end: Offset,
    },
    /// The answer is not in the expected format.
    #[snafu(display("the platform's answer to {call} is malformed: {detail}"))]
    Malformed {
        /// Method and path.
        call: String,
        /// The error in the answer.
        detail: String,
    },
}

/// Returns whether a status states that a call had no effect: an error of the call itself, the rate of
/// calls, or a log that is down.
fn is_rejection(status: u16) -> bool {
    matches!(status, 400..500 | 503)
}

impl Error {
    /// Returns whether the records of an append that failed this way may be in the log, now or
    /// later.
    pub fn may_have_appended(&self) -> bool {
        match self {
            Self::Lost { .. } | Self::Malformed { .. } => true,
            Self::Refused { status, .. } => !is_rejection(*status),
            Self::Connect { .. } | Self::Trimmed { .. } => false,
        }
    }
}
