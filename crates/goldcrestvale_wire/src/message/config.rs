//! Messages that exchange configurations.

use bytes::Bytes;

/// The sender's configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigOffer {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Its digest, 32 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
}

/// A request for a configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigAsk {
    /// The lowest version that is requested.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The version that the sender holds, or 0 if it holds none.
    #[prost(uint64, tag = "2")]
    pub held: u64,
    /// Digest of the held version, 32 bytes; empty if the sender reads complete configurations only.
    #[prost(bytes = "bytes", tag = "3")]
    pub held_digest: Bytes,
}

/// Part of a configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigState {
    /// Its version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the complete configuration, 32 bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub digest: Bytes,
    /// Index of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of parts.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The bytes of this part.
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: Bytes,
}
