//! Identifiers, verdicts, exchange states and time units shared by every package.
//!
//! Nothing here does I/O or reads a clock, so that every decision package can depend on it.

#[macro_use]
mod derive;

pub mod engine;
pub mod exchange;
pub mod id;
pub mod time;
pub mod verdict;

/// Re-exports the types that almost every package names.
pub mod prelude {
    pub use crate::{
        engine::{
            Accelerator, Desired, EngineRole, Held, Layers, Step, StepInput, StepName, StepOutput,
        },
        exchange::Exchange,
        id::{
            Customer, Digest, Domain, Incarnation, Instance, Key, Model, Offset, RecordId, Request,
            Service, Upstream,
        },
        time::{Instant, Wall},
        verdict::{NotRun, Verdict},
    };
}
