//! Messages that query the owner of a call for its result.

use bytes::Bytes;

/// A query for the result of an idempotent call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerAsk {
    /// The id of the query, used once per connection.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// The idempotency key, 16 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// Digest of the request that the sender received, 32 bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: Bytes,
}

/// The result of an idempotent call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// The id of the query.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// State of the call.
    #[prost(enumeration = "AnswerState", tag = "2")]
    pub state: i32,
    /// HTTP status of the stored answer, or 0.
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

/// State of an idempotent call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AnswerState {
    /// The owner does not know the state; the call may have run.
    Unknown = 0,
    /// The call ran, and its answer is included.
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
