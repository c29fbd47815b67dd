//! The protobuf messages between entry instances.
//!
//! Field numbers and kinds are never reused. An instance skips unknown fields and kinds, so that
//! instances of different versions can run side by side.

mod answer;
mod chain_limits;
mod changes;
mod config;
mod customer_load;
mod evidence;
mod leaving;
mod list;
mod membership;
mod retry_loans;
mod silent;
mod traffic;

use bytes::Bytes;
use prost::Message as _;
use snafu::Snafu;

pub use self::{
    answer::{Answer, AnswerAsk, AnswerState, Header},
    chain_limits::{ChainLimit, ChainLimits, Demand},
    changes::{Changes, Scope},
    config::{ConfigAsk, ConfigOffer, ConfigState},
    customer_load::{CustomerCount, CustomerLoad},
    evidence::{Crash, End, Evidence, Hold, RequestHold, Suspect, SuspectRequest},
    leaving::{Leaving, Mark, Source},
    list::{List, ListAsk},
    membership::{Goodbye, Heartbeat, Hello, Known, Members},
    retry_loans::{RetryAsk, RetryGrant, RetryLoans, RetryReturn},
    silent::{Silence, Silent},
    traffic::{CustomerUse, Sends, Use},
};

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// An error: a body is not a valid protobuf message of its kind.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("the body of kind {kind} is malformed: {source}"))]
pub struct Error {
    /// Kind of the frame.
    pub kind: u16,
    /// The cause.
    pub source: prost::DecodeError,
}

macro_rules! messages {
    ($($(#[$doc:meta])* $name:ident = $kind:literal,)+) => {
        /// A message of any kind.
        #[derive(Debug, Clone, PartialEq)]
        pub enum Message {
            $($(#[$doc])* $name($name),)+
        }

        impl Message {
            /// Returns the kind that the frame carries.
            pub fn kind(&self) -> u16 {
                match self {
                    $(Self::$name(_) => $kind,)+
                }
            }

            /// Returns the length of the encoded body, in bytes.
            pub fn body_len(&self) -> usize {
                match self {
                    $(Self::$name(message) => message.encoded_len(),)+
                }
            }

            /// Encodes the body.
            pub fn encode_body(&self) -> Bytes {
                match self {
                    $(Self::$name(message) => message.encode_to_vec().into(),)+
                }
            }

            /// Decodes the body of a kind, or returns `None` if the kind is unknown.
            ///
            /// # Errors
            ///
            /// Fails if the body is not the protobuf message of the kind.
            pub fn decode(kind: u16, body: Bytes) -> Result<Option<Self>> {
                let message = match kind {
                    $($kind => $name::decode(body).map(Self::$name),)+
                    _ => return Ok(None),
                };
                message.map(Some).map_err(|source| Error { kind, source })
            }
        }

        $(impl From<$name> for Message {
            fn from(message: $name) -> Self {
                Self::$name(message)
            }
        })+
    };
}

messages! {
    /// The first message of each side, with its identity.
    Hello = 1,
    /// A periodic message that shows that the sender is alive.
    Heartbeat = 2,
    /// The end of the incarnation of the sender.
    Goodbye = 3,
    /// Part of the sender's view.
    Members = 4,
    /// Upstreams that accept no new work.
    Leaving = 5,
    /// The sender's configuration.
    ConfigOffer = 6,
    /// A request for a configuration.
    ConfigAsk = 7,
    /// Part of a configuration.
    ConfigState = 8,
    /// A query for the result of an idempotent call.
    AnswerAsk = 9,
    /// The result of an idempotent call.
    Answer = 10,
    /// Use of the limits of customers.
    Use = 11,
    /// Work that the sender has in flight at upstreams.
    Sends = 12,
    /// A request for the platform's list.
    ListAsk = 13,
    /// The platform's list, as last read by the sender.
    List = 14,
    /// Upstreams that do not answer or accept no new work.
    Silent = 15,
    /// Changes of the platform's directory.
    Changes = 16,
    /// What the sender knows of prompts that crash engines.
    Evidence = 17,
    /// The streams of customers at the sender.
    CustomerLoad = 18,
    /// Limits of chains, and the demand for them.
    ChainLimits = 19,
    /// Retries that the sender requests, lends or returns.
    RetryLoans = 20,
}
