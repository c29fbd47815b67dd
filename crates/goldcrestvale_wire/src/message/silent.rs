//! Messages about upstreams that do not answer or accept no new work.

/// Upstreams that other instances should temporarily avoid.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Silent {
    /// The upstreams.
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<Silence>,
}

/// An upstream to avoid.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Silence {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Remaining time to avoid it, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
    /// Whether it answers but accepts no new work.
    #[prost(bool, tag = "3")]
    pub refuses: bool,
}
