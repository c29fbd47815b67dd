//! Messages that pass the platform's list on to an instance that cannot read it.

use bytes::Bytes;

/// Asks for the platform's list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ListAsk {}

/// The platform's list, as the sender read it last.
#[derive(Clone, PartialEq, prost::Message)]
pub struct List {
    /// Wall time that it describes, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub as_of_ms: u64,
    /// The list, in the form of the platform.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
}
