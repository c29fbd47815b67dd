//! Messages that ask an owner for the result of an idempotent call.

use bytes::Bytes;

/// Asks for the result of an idempotent call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerAsk {
    /// A number that the asker uses once per connection.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// The idempotency key, 16 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// Digest of the asker's request, 32 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: Bytes,
}

/// The result of an idempotent call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// The number of the ask.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// What became of the call.
    #[prost(enumeration = "AnswerState", tag = "2")]
    pub state: i32,
    /// Status of the stored answer, or 0.
    #[prost(uint32, tag = "3")]
    pub status: u32,
    /// Header fields of the stored answer.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<Header>,
    /// Body of the stored answer.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
}

/// One header field.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Header {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: Bytes,
}

/// What became of an idempotent call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AnswerState {
    /// The owner cannot tell; the call may have run.
    Unknown = 0,
    /// The call ran, and its answer is here.
    Settled = 1,
    /// The call is running.
    Running = 2,
    /// The call was abandoned before it was dispatched.
    Abandoned = 3,
    /// The key was used with another request.
    Conflict = 4,
    /// The call ran, but its answer is too long for a frame.
    TooLong = 5,
}
