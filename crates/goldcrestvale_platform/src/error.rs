//! Failures of the platform's clients.

use std::net::SocketAddr;

use goldcrestvale_base::id::Offset;
use snafu::Snafu;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// A failed call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection was made, so nothing was handed to the platform.
    #[snafu(display("cannot connect to the platform at {address}: {detail}"))]
    Connect {
        /// Address of the platform.
        address: SocketAddr,
        /// What the transport reported.
        detail: String,
    },
    /// The connection failed after the call may have been handed over.
    #[snafu(display("no answer from the platform at {address} to {call}: {detail}"))]
    Lost {
        /// Address of the platform.
        address: SocketAddr,
        /// Method and path.
        call: String,
        /// What the transport reported.
        detail: String,
    },
    /// The platform answered that it did not take the call.
    #[snafu(display("the platform at {address} refused {call} with status {status}"))]
    Refused {
        /// Address of the platform.
        address: SocketAddr,
        /// Method and path.
        call: String,
        /// Status code.
        status: u16,
    },
    /// The asked offset is older than the oldest record that is kept.
    #[snafu(display("stream {stream} is trimmed: asked for {asked}, oldest kept is {oldest}"))]
    Trimmed {
        /// Name of the stream.
        stream: String,
        /// The asked offset.
        asked: Offset,
        /// The oldest offset that the stream still holds.
        oldest: Offset,
        /// The offset that the next record will have.
        end: Offset,
    },
    /// The answer does not have the agreed form.
    #[snafu(display("the platform's answer to {call} is malformed: {detail}"))]
    Malformed {
        /// Method and path.
        call: String,
        /// What is wrong with it.
        detail: String,
    },
}

impl Error {
    /// Returns whether an append that failed this way may stand in the log, now or later.
    pub fn may_have_appended(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Malformed { .. })
    }
}
