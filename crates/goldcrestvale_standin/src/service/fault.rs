//! Faults of an instance of a plain service.

use serde::{Deserialize, Serialize};

/// Faults of an instance of a plain service, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused and open ones closed.
    pub refuse: bool,
    /// The instance ends immediately.
    pub die: bool,
    /// Ends the instance when it reads a request with this text in its path or body; empty for never.
    pub die_on: String,
    /// Requests are read, have no effect and are never answered.
    pub hang: bool,
    /// Requests take effect and are never answered.
    pub hang_after: bool,
    /// Delay before the effect, in milliseconds.
    pub delay_ms: u64,
    /// Delay before each chunk of the body of an answer, in milliseconds.
    pub slow_body_ms: u64,
    /// Number of upcoming requests whose connection is closed before they are read.
    pub close_before: u32,
    /// Number of upcoming requests that take effect and are not answered.
    pub close_after: u32,
    /// Number of upcoming requests that take effect and whose answer is cut off halfway.
    pub close_half: u32,
    /// Number of upcoming requests that are answered 500 without an effect.
    pub fail: u32,
    /// Number of upcoming requests that are answered 500 after they take effect.
    pub fail_after: u32,
}

impl crate::fault::Faults for Faults {
    fn refuse(&self) -> bool {
        self.refuse
    }

    fn die(&self) -> bool {
        self.die
    }
}
