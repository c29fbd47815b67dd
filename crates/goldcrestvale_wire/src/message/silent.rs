//! Upstreams that were found not to answer, or not to take work.

/// Upstreams that other instances should leave alone for a while.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Silent {
    /// The upstreams.
    #[prost(message, repeated, tag = "1")]
    pub upstreams: Vec<Silence>,
}

/// One upstream that is to be left alone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Silence {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// How much longer it is to be left alone, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
    /// Whether it answers but takes no new work.
    #[prost(bool, tag = "3")]
    pub refuses: bool,
}
