//! A model of several routers before mixed engines, on virtual time.
//!
//! Engines batch continuously: in each round every running request gets its whole prompt read or
//! one token written. They publish load reports at intervals, which all routers see. Routers tell
//! each other at intervals what they sent. Nothing here reads a clock; one seed gives one result.

mod engine;
mod outcome;
mod settings;
mod simulation;
mod workload;

pub use outcome::Outcome;
pub use settings::{Fleet, Settings};
pub use simulation::World;
pub use workload::{ANSWER_MEAN, PROMPT_MEAN};
