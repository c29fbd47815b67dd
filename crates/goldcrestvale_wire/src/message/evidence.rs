//! Messages about prompts and requests that crash upstreams.

/// What the sender knows of prompts and requests that crash upstreams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Evidence {
    /// Engines that ended.
    #[prost(message, repeated, tag = "1")]
    pub crashes: Vec<Crash>,
    /// Prompt parts under suspicion on which an engine has written an answer.
    #[prost(fixed64, repeated, tag = "2")]
    pub sound: Vec<u64>,
    /// Prompts that the sender keeps from engines.
    #[prost(message, repeated, tag = "3")]
    pub holds: Vec<Hold>,
    /// Requests that were not answered since upstreams ended under them.
    #[prost(message, repeated, tag = "4")]
    pub suspects: Vec<SuspectRequest>,
    /// Requests under suspicion that were answered.
    #[prost(fixed64, repeated, tag = "5")]
    pub answered: Vec<u64>,
    /// Requests that the sender keeps from upstreams.
    #[prost(message, repeated, tag = "6")]
    pub request_holds: Vec<RequestHold>,
}

/// A request that was not answered since upstreams ended under it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectRequest {
    /// Short digest of its content.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// The ends of upstreams under it.
    #[prost(message, repeated, tag = "2")]
    pub ends: Vec<End>,
}

/// The end of an upstream under a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// When it started, in milliseconds since the Unix epoch; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
    /// How long before the message was sent it ended, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// A request that is kept from upstreams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestHold {
    /// Short digest of its content.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Remaining time, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}

/// The end of an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Crash {
    /// Name of the engine.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// When it started, in milliseconds since the Unix epoch; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
    /// The requests that may have caused the end.
    #[prost(message, repeated, tag = "3")]
    pub suspects: Vec<Suspect>,
}

/// A request that was at its start on an engine when the engine ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Suspect {
    /// Short digest of its content.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Prompt parts that may be the cause.
    #[prost(fixed64, repeated, tag = "2")]
    pub parts: Vec<u64>,
    /// Whether its answer had begun.
    #[prost(bool, tag = "3")]
    pub begun: bool,
}

/// Prompts that are kept from engines.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hold {
    /// The parts that all of them have.
    #[prost(fixed64, repeated, tag = "1")]
    pub parts: Vec<u64>,
    /// Remaining time, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub left_ms: u32,
}
