//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// Faults of an engine, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused and open ones closed.
    pub refuse: bool,
    /// The engine ends immediately.
    pub die: bool,
    /// Ends the engine before it runs the step with this number, counted from now; 0 for never.
    pub die_at_step: u32,
    /// Ends the engine when it receives a step with this sequence of tokens; empty for never.
    pub die_on: Vec<u32>,
    /// Steps are neither run nor answered.
    pub hang: bool,
    /// Steps are run and not answered.
    pub hang_after: bool,
    /// Waiting steps are not taken into a batch; effective only with a time scale above 0.
    pub hold: bool,
    /// Steps are refused as busy.
    pub busy: bool,
    /// Delay of each answer to a step, after the step ran, in milliseconds.
    pub late_ms: u64,
    /// Factor on the time of batches; 0 disables it.
    pub slow: f64,
    /// Number of upcoming steps whose answer carries the name of another step.
    pub cross: u32,
    /// Number of upcoming steps that run and whose connection is then closed without an answer.
    pub lose_answers: u32,
    /// Number of upcoming steps whose answer is cut off after `cut_bytes`.
    pub cut: u32,
    /// Number of bytes of the body that are sent of an answer that is cut off.
    pub cut_bytes: usize,
    /// Number of upcoming orders that take effect and whose connection is closed without an answer.
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
