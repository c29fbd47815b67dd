//! Messages that forward what the sender read from the platform's directory.

use bytes::Bytes;

/// Changes of the platform's directory, or the notice that it was read and nothing changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Changes {
    /// What the message describes.
    #[prost(enumeration = "Scope", tag = "1")]
    pub scope: i32,
    /// Offset from which the sender read.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Offset up to which the sender read; for the configuration, the version that the sender has in
    /// force, or 0 from builds that do not say.
    #[prost(uint64, tag = "3")]
    pub next: u64,
    /// How long records that vanished may take to return, in milliseconds; 0 if they are gone.
    #[prost(uint32, tag = "4")]
    pub grace_ms: u32,
    /// The changes, in the platform's format; empty if there are none.
    #[prost(bytes = "bytes", tag = "5")]
    pub bytes: Bytes,
}

/// What a message of changes describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
pub enum Scope {
    /// A read of the upstreams.
    Upstreams = 0,
    /// A read of the configuration, whose content is offered separately.
    Configuration = 1,
    /// Properties of upstreams that are newer than their records in the directory.
    Amendments = 2,
}
