//! Faults of an instance of a plain service.

use serde::{Deserialize, Serialize};

/// Faults of an instance of a plain service, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused and open ones closed.
    pub refuse: bool,
    /// The instance ends at once.
    pub die: bool,
    /// Requests are read and never answered; they have no effect.
    pub hang: bool,
    /// Requests take effect and are never answered.
    pub hang_after: bool,
    /// Delay before the effect, in milliseconds.
    pub delay_ms: u64,
    /// Pause before each piece of the body of an answer, in milliseconds.
    pub slow_body_ms: u64,
    /// Number of next requests whose connection is closed before they are read.
    pub close_before: u32,
    /// Number of next requests that take effect and are not answered.
    pub close_after: u32,
    /// Number of next requests that take effect and are answered by half.
    pub close_half: u32,
    /// Number of next requests that are answered 500 with no effect.
    pub fail: u32,
    /// Number of next requests that are answered 500 after their effect.
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
