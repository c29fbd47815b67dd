//! Messages about the use of limits and the work in flight at upstreams.

/// Use of the limits of customers, in parts per million of each limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Use {
    /// A number that increases with each such message on a connection.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The newest sequence number that the sender received from the receiver; the duration of loans
    /// starts when that message was sent.
    #[prost(uint64, tag = "2")]
    pub echo: u64,
    /// Duration of the loans, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub hold_ms: u32,
    /// The customers of which the sender needs or lends shares.
    #[prost(message, repeated, tag = "4")]
    pub customers: Vec<CustomerUse>,
}

/// Use of one customer's limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CustomerUse {
    /// The customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Share that the sender needs beyond its own, in parts per million.
    #[prost(uint32, tag = "2")]
    pub need: u32,
    /// Share that the sender lends to the receiver, in parts per million.
    #[prost(uint32, tag = "3")]
    pub lent: u32,
}

/// Work that the sender has in flight at upstreams.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sends {
    /// First 4 bytes of the digest of each upstream's name.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Units of work in flight at each, in the same order.
    #[prost(uint64, repeated, tag = "2")]
    pub units: Vec<u64>,
    /// Tokens that this work holds and will still write at each, in the same order; 0 if unknown,
    /// and empty from peers that do not count them.
    #[prost(uint64, repeated, tag = "3")]
    pub tokens: Vec<u64>,
}
