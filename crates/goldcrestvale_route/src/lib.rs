//! Decision logic for stage chains, upstream selection, admission, retries and recovery.
//!
//! Nothing here does I/O, reads a clock or draws random numbers. Callers pass in events and the
//! time and receive actions, so every failure can be replayed on virtual time.

pub mod admission;
pub mod balance;
pub mod chain;
pub mod contention;
pub mod cost;
pub mod draft;
pub mod forward;
pub mod health;
pub mod intake;
pub mod limit;
pub mod links;
pub mod pipeline;
pub mod prefix;
pub mod promise;
pub mod quarantine;
pub mod rate_share;
pub mod repeats;
pub mod retry;
pub mod trials;

/// Re-exports the most commonly used types of this package.
pub mod prelude {
    pub use crate::{
        chain::{Candidate, Chain, Planner, Stage},
        draft::{Action, Draft, Event, Prompt},
        health::Monitor,
    };
}
