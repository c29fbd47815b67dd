//! Retries that an instance lends to another one. Amounts are thousandths, since the share of an
//! instance of a large deployment may be less than one.

use crate::customer_load::ServiceHash;

crate::domain! {
    copy
    /// A request for retries at a service.
    pub struct Ask {
        /// The service.
        pub service: ServiceHash,
        /// Sequence number of the request, which no other incarnation uses.
        pub sequence: u64,
        /// Thousandths of a retry that the receiver may lend.
        pub milli_retries: u32,
    }

    /// Retries that an instance lends in answer to a request.
    pub struct Grant {
        /// The service.
        pub service: ServiceHash,
        /// Sequence number of the request.
        pub sequence: u64,
        /// Thousandths of a retry.
        pub milli_retries: u32,
        /// How long after the request was sent they may be used, in milliseconds.
        pub hold_ms: u32,
    }

    /// Retries of a loan that were not used and no longer will be.
    pub struct Return {
        /// The service.
        pub service: ServiceHash,
        /// Sequence number of the request.
        pub sequence: u64,
        /// Thousandths of a retry.
        pub milli_retries: u32,
    }
}
