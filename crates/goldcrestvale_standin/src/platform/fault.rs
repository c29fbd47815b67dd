//! Faults of the platform.

use serde::{Deserialize, Serialize};

/// Faults of a platform, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused and open ones closed.
    pub refuse: bool,
    /// Every request is answered 503.
    pub down: bool,
    /// Every append is answered 503; reads are not affected.
    pub down_appends: bool,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
    /// Delay of the answer to each append, after the append takes effect, in milliseconds.
    pub late_ms: u64,
    /// Number of upcoming appends that take effect and are not answered.
    pub lose_answers: u32,
    /// Number of upcoming appends that neither take effect nor are answered.
    pub lose_appends: u32,
    /// Number of upcoming reads that return the last page of their stream again.
    pub repeat_pages: u32,
}

impl crate::fault::Faults for Faults {
    fn refuse(&self) -> bool {
        self.refuse
    }
}
