//! Events that a draft handles.

use goldcrestvale_base::{
    engine::{StepName, StepOutput},
    id::Upstream,
};

goldcrestvale_base::domain! {
    copy
    /// The reason why a step failed.
    #[serde(rename_all = "kebab-case")]
    pub enum Fault {
        /// The connection broke or could not be opened.
        Lost,
        /// No answer arrived before the timeout.
        Timeout,
        /// The engine is leaving.
        Leaving,
        /// The engine is overloaded.
        Busy,
        /// The engine does not have the layers loaded.
        NotHeld,
        /// The positions before the step are not in the engine's KV cache.
        Gap,
        /// The engine refused the step, or its answer is malformed.
        Refused,
    }
}

goldcrestvale_base::domain! {
    value
    /// An event of a draft.
    pub enum Event {
        /// A step was answered.
        Answered {
            /// Step name in the answer.
            name: StepName,
            /// Output in the answer.
            output: StepOutput,
        },
        /// A step was refused, or its answer can no longer be expected.
        Failed {
            /// Name of the step that was sent.
            name: StepName,
            /// The cause.
            fault: Fault,
        },
        /// An engine was lost with its KV caches.
        EngineLost {
            /// Name of the engine.
            upstream: Upstream,
        },
        /// An engine is leaving; it continues the attempts that it has started.
        Leaving {
            /// Name of the engine.
            upstream: Upstream,
        },
        /// An engine or its link is suspected of failing; its stages are rebuilt on other engines
        /// where possible.
        Suspected {
            /// Name of the engine.
            upstream: Upstream,
        },
        /// A KV cache was exported and imported under its new attempt.
        KvMoved {
            /// The new attempt.
            attempt: u32,
            /// Positions that the cache covers.
            positions: u32,
        },
        /// A KV cache could not be exported or imported.
        KvFailed {
            /// The attempt for the import.
            attempt: u32,
            /// Whether the export succeeded and the import failed.
            exported: bool,
        },
        /// A timer fired; due no later than [`Draft::wake`](super::Draft::wake).
        Tick,
        /// The caller cancelled the draft or disconnected.
        Cancel,
    }
}
