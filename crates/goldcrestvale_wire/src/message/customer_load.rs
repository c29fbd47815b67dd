//! Messages about the streams of customers.

/// The streams of customers at the sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CustomerLoad {
    /// The counts that the message reports; each replaces the previous one.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<CustomerCount>,
}

/// The streams of one customer at one service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CustomerCount {
    /// First 4 bytes of the digest of the customer's name.
    #[prost(fixed32, tag = "1")]
    pub customer: u32,
    /// First 4 bytes of the digest of the service's name.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
    /// Streams that run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Streams that wait for capacity.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}
