//! Messages about upstreams that take no new work.

/// Upstreams that take no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leaving {
    /// The upstreams.
    #[prost(message, repeated, tag = "1")]
    pub marks: Vec<Mark>,
}

/// One upstream that takes no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Mark {
    /// Its name.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its incarnation, or empty if the source does not tell it.
    #[prost(string, tag = "2")]
    pub incarnation: String,
    /// Who said so.
    #[prost(enumeration = "Source", tag = "3")]
    pub source: i32,
    /// Wall time at which it was so, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "4")]
    pub as_of_ms: u64,
}

/// Who said that an upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Source {
    /// A source that a newer version knows.
    Other = 0,
    /// The platform's list.
    List = 1,
    /// The upstream's load report.
    Report = 2,
    /// The upstream's refusal of a request.
    Refusal = 3,
    /// An operator.
    Operator = 4,
}
