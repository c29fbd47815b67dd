//! Decides which answers may promise a caller that its request did not run.
//!
//! Callers send a request that may run only once again after such an answer, so it must be true. An
//! upstream can answer with one of these statuses after the request ran; only its own statement
//! makes the answer a promise.

/// HTTP statuses that promise that the request did not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Returns whether an answer with an HTTP status promises that the request did not run.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::promise::is_promise;
///
/// assert!(is_promise(503));
/// assert!(!is_promise(500));
/// ```
pub fn is_promise(status: u16) -> bool {
    PROMISES.contains(&status)
}

goldcrestvale_base::domain! {
    copy
    /// What is known of an answer, by which its caller decides whether to send the request again.
    pub struct Answer {
        /// HTTP status.
        pub status: u16,
        /// Whether its sender states that the request did not run.
        pub states_not_run: bool,
        /// Whether the request may run more than once.
        pub is_idempotent: bool,
    }
}

impl Answer {
    /// Returns whether the caller may receive the answer as it is.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_route::promise::Answer;
    ///
    /// let booking = Answer { status: 503, states_not_run: false, is_idempotent: false };
    /// assert!(!booking.may_be_forwarded());
    /// assert!(Answer { states_not_run: true, ..booking }.may_be_forwarded());
    /// assert!(Answer { status: 500, ..booking }.may_be_forwarded());
    /// ```
    pub fn may_be_forwarded(self) -> bool {
        self.is_idempotent || self.states_not_run || !is_promise(self.status)
    }
}
