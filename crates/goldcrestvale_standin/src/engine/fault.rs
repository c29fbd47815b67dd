//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// Faults of an engine, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused and open ones closed.
    pub refuse: bool,
    /// The engine ends at once.
    pub die: bool,
    /// Steps are never answered.
    pub hang: bool,
    /// Delay of each answer to a step, after it was run, in milliseconds.
    pub late_ms: u64,
    /// Number of next steps whose answer carries the name of another step.
    pub cross: u32,
    /// Number of next steps that run and whose connection is then closed with no answer.
    pub lose_answers: u32,
}

impl crate::server::Faults for Faults {
    fn refuse(&self) -> bool {
        self.refuse
    }

    fn die(&self) -> bool {
        self.die
    }
}
