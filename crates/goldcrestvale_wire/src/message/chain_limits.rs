//! Messages about the streams that chains can hold, and the demand for them.

/// Limits of chains that the sender learned, and the streams that it has to place.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChainLimits {
    /// Limits that the sender learned from refusals.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<ChainLimit>,
    /// The demand of the sender at services with full chains.
    #[prost(message, repeated, tag = "2")]
    pub demands: Vec<Demand>,
}

/// The streams that a chain held when it refused one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ChainLimit {
    /// First 4 bytes of the digest of the name of the first engine.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Streams of all instances.
    #[prost(uint32, tag = "2")]
    pub streams: u32,
    /// Tokens that the chain could hold.
    #[prost(uint64, tag = "3")]
    pub token_capacity: u64,
    /// How long before the message was sent it refused, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
}

/// The streams that the sender has to place at a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// First 4 bytes of the digest of the name of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Thousandths of a stream, weighted over the last half second.
    #[prost(uint32, tag = "2")]
    pub milli_streams: u32,
}
