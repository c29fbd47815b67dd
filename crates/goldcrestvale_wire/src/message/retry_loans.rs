//! Messages about retries that instances lend to each other.

/// Retries that the sender requests, lends or returns.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RetryLoans {
    /// Requests of the sender.
    #[prost(message, repeated, tag = "1")]
    pub asks: Vec<RetryAsk>,
    /// Loans to the receiver, which answer its requests.
    #[prost(message, repeated, tag = "2")]
    pub grants: Vec<RetryGrant>,
    /// Retries that the receiver lent and the sender did not use.
    #[prost(message, repeated, tag = "3")]
    pub returns: Vec<RetryReturn>,
}

/// A request for retries at a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RetryAsk {
    /// First 4 bytes of the digest of the name of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Sequence number of the request; an incarnation begins with a random one.
    #[prost(fixed64, tag = "2")]
    pub sequence: u64,
    /// Thousandths of a retry that the receiver may lend.
    #[prost(uint32, tag = "3")]
    pub milli_retries: u32,
}

/// Retries that the sender lends to the receiver.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RetryGrant {
    /// First 4 bytes of the digest of the name of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Sequence number of the request.
    #[prost(fixed64, tag = "2")]
    pub sequence: u64,
    /// Thousandths of a retry.
    #[prost(uint32, tag = "3")]
    pub milli_retries: u32,
    /// How long after the request was sent they may be used, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub hold_ms: u32,
}

/// Retries of a loan that the sender did not use.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RetryReturn {
    /// First 4 bytes of the digest of the name of the service.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Sequence number of the request.
    #[prost(fixed64, tag = "2")]
    pub sequence: u64,
    /// Thousandths of a retry.
    #[prost(uint32, tag = "3")]
    pub milli_retries: u32,
}
