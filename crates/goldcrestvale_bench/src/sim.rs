//! A discrete-event simulation of several routers in front of mixed engines.
//!
//! Engines batch continuously: in each round every running request has its complete prompt read or
//! one token generated. They publish load reports at intervals, which all routers receive. Routers
//! share the requests that they sent at intervals. Time is virtual, and the result depends only on
//! the seed.

mod engine;
mod outcome;
mod settings;
mod simulation;
mod workload;

pub use outcome::Outcome;
pub use settings::{Fleet, Settings};
pub use simulation::Simulation;
pub use workload::{ANSWER_MEAN, PROMPT_MEAN};
