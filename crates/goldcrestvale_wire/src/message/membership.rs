//! Messages about the identity and the state of instances.

use bytes::Bytes;

/// The identity of an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Its incarnation, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub incarnation: Bytes,
    /// Its name.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Its failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// Its address for peers, `IP:port`.
    #[prost(string, tag = "4")]
    pub address: String,
    /// The newest version of the protocol that it supports.
    #[prost(uint32, tag = "5")]
    pub version: u32,
}

/// A periodic message that shows that the sender is alive, with its configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// A number that increases with each heartbeat of an incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Version of the configuration in force, plus one; 0 for none.
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// First 8 bytes of its digest.
    #[prost(fixed64, tag = "3")]
    pub config_digest: u64,
    /// Whether the sender accepts no new requests.
    #[prost(bool, tag = "4")]
    pub draining: bool,
    /// Newest major schema version that the sender supports.
    #[prost(uint32, tag = "5")]
    pub schema: u32,
    /// Whether the sender is responsible for placing layers.
    #[prost(bool, tag = "6")]
    pub leads: bool,
    /// Port at the sender's address for peers on which it serves callers; 0 if it takes no requests
    /// that peers pass on.
    #[prost(uint32, tag = "7")]
    pub relay_port: u32,
}

/// The end of an incarnation.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Goodbye {
    /// The incarnation that ends, 16 bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub incarnation: Bytes,
}

/// Part of the sender's view.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Members {
    /// Instances that the sender knows.
    #[prost(message, repeated, tag = "1")]
    pub known: Vec<Known>,
}

/// One instance of the view.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Known {
    /// Its identity.
    #[prost(message, optional, tag = "1")]
    pub who: Option<Hello>,
    /// Time since any instance received a message from it directly, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether the incarnation has ended.
    #[prost(bool, tag = "3")]
    pub gone: bool,
}
