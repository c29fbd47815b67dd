//! Messages that forward the platform's list to an instance that cannot read it.

use bytes::Bytes;

/// A request for the platform's list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ListAsk {}

/// The platform's list, as last read by the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct List {
    /// Wall time that the list describes, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub as_of_ms: u64,
    /// The list, in the platform's format.
    #[prost(bytes = "bytes", tag = "2")]
    pub bytes: Bytes,
    /// Offset up to which the sender knows the directory; 0 if it does not say.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
    /// How long records that vanished may take to return, in milliseconds; 0 if they are gone.
    #[prost(uint32, tag = "4")]
    pub grace_ms: u32,
}
