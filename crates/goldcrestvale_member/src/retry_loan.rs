//! Requests for retries that other instances do not need, and loans of them.
//!
//! They go directly to connected peers and are not forwarded: a lost message costs the use of a few
//! retries.

use goldcrestvale_base::{
    domain,
    retry_loan::{Ask, Grant, Return},
};

/// Maximum number of requests, loans or returns in one message.
pub const MAX_ENTRIES: usize = 64;

domain! {
    value
    /// Requests, loans and returns from one instance to another.
    #[derive(Default)]
    pub struct RetryLoans {
        /// Requests of the sender.
        pub asks: Vec<Ask>,
        /// Retries that the sender lends.
        pub grants: Vec<Grant>,
        /// Retries that the receiver lent and the sender did not use.
        pub returns: Vec<Return>,
    }
}

impl RetryLoans {
    /// Removes entries beyond the bounds of a message.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::{customer_load::ServiceHash, retry_loan::Ask};
    /// use goldcrestvale_member::retry_loan::{MAX_ENTRIES, RetryLoans};
    ///
    /// let ask = Ask { service: ServiceHash(7), sequence: 1, milli_retries: 2_000 };
    /// let loans = RetryLoans { asks: vec![ask; 100], ..RetryLoans::default() };
    /// assert_eq!(loans.bounded().asks.len(), MAX_ENTRIES);
    /// ```
    pub fn bounded(mut self) -> Self {
        self.asks.truncate(MAX_ENTRIES);
        self.grants.truncate(MAX_ENTRIES);
        self.returns.truncate(MAX_ENTRIES);
        self
    }
}
