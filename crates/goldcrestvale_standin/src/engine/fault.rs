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
    /// Number of the next step at which the engine ends, before it runs; 0 for never.
    pub die_at_step: u32,
    /// Steps are neither run nor answered.
    pub hang: bool,
    /// Steps are run and not answered.
    pub hang_after: bool,
    /// Waiting steps are not taken into a batch; only with a time scale above 0.
    pub hold: bool,
    /// Steps are refused as busy.
    pub busy: bool,
    /// Delay of each answer to a step, after it was run, in milliseconds.
    pub late_ms: u64,
    /// Factor on the time of batches; 0 for none.
    pub slow: f64,
    /// Number of next steps whose answer carries the name of another step.
    pub cross: u32,
    /// Number of next steps that run and whose connection is then closed with no answer.
    pub lose_answers: u32,
    /// Number of next steps whose answer is cut off after `cut_bytes`.
    pub cut: u32,
    /// Bytes of the body that a cut answer still has.
    pub cut_bytes: usize,
    /// Number of next orders that take effect and whose connection is closed with no answer.
    pub lose_order_answers: u32,
}

impl crate::fault::Faults for Faults {
    fn refuse(&self) -> bool {
        self.refuse
    }

    fn die(&self) -> bool {
        self.die
    }
}
