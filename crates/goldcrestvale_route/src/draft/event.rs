//! What a draft is told.

use goldcrestvale_base::{
    engine::{StepName, StepOutput},
    id::Upstream,
};

goldcrestvale_base::domain! {
    copy
    /// Why a step was not answered.
    #[serde(rename_all = "kebab-case")]
    pub enum Fault {
        /// The connection broke or could not be opened.
        Lost,
        /// No answer came in time.
        Timeout,
        /// The engine is leaving.
        Leaving,
        /// The engine holds too much work.
        Busy,
        /// The engine does not hold the layers.
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
            /// Name that the answer carries.
            name: StepName,
            /// Output that the answer carries.
            output: StepOutput,
        },
        /// A step was refused, or its answer is not to be expected.
        Failed {
            /// Name of the step that was sent.
            name: StepName,
            /// Cause.
            fault: Fault,
        },
        /// An engine is gone, and its KV caches with it.
        EngineLost {
            /// Name of the engine.
            upstream: Upstream,
        },
        /// An engine is leaving; it goes on with what it has begun.
        Leaving {
            /// Name of the engine.
            upstream: Upstream,
        },
        /// An engine or its link is suspected of failing: it is left where another can take over.
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
            /// The attempt that it was to be imported under.
            attempt: u32,
            /// Whether it was exported, and the import failed.
            exported: bool,
        },
        /// Time has passed; due at the latest at [`Draft::wake`](super::Draft::wake).
        Tick,
        /// The caller is gone.
        Cancel,
    }
}
