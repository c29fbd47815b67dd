//! Decides stage chains, choice of upstream, admission, retries and recovery.
//!
//! Nothing here does I/O, reads a clock or draws random numbers: events and the time go in,
//! actions come out, and every failure can be replayed on virtual time.

pub mod admission;
pub mod balance;
pub mod chain;
pub mod draft;
pub mod forward;
pub mod health;
pub mod limit;
pub mod pipeline;
pub mod prefix;
pub mod retry;

/// Re-exports the types that most users of this package name.
pub mod prelude {
    pub use crate::{
        chain::{Candidate, Chain, Planner, Stage},
        draft::{Action, Draft, Event, Prompt},
        health::Monitor,
    };
}
