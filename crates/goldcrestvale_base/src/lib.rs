//! Identifiers, verdicts, exchange states and time units shared by every package.
//!
//! This package does no I/O and reads no clock, so that every package of pure decision logic can
//! depend on it.

#[macro_use]
mod derive;

pub mod content;
pub mod crash;
pub mod customer_load;
pub mod engine;
pub mod exchange;
pub mod id;
pub mod lenient;
pub mod prompt;
pub mod retry_loan;
pub mod time;
pub mod verdict;

/// Re-exports the types that almost every package uses.
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
