//! Messages about upstreams that accept no new work.

/// Upstreams that accept no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leaving {
    /// The upstreams.
    #[prost(message, repeated, tag = "1")]
    pub marks: Vec<Mark>,
}

/// An upstream that accepts no new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Mark {
    /// Its name.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Its incarnation, or empty if the source does not report it.
    #[prost(string, tag = "2")]
    pub incarnation: String,
    /// Where the information comes from.
    #[prost(enumeration = "Source", tag = "3")]
    pub source: i32,
    /// Wall time that the information refers to, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "4")]
    pub as_of_ms: u64,
}

/// Where the information that an upstream is leaving comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Source {
    /// A source known only to a newer version.
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
