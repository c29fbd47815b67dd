//! Plans the chain of stages that runs every layer of a model once, in order.
//!
//! A [`Candidate`] is an engine that holds layers. A [`Planner`] indexes candidates by the layer
//! ranges they hold and returns the [`Chain`] of lowest cost.

mod balanced;
mod candidate;
mod graph;
mod planner;
mod stage;

pub use balanced::{BalancedPlanner, EngineState};
pub use candidate::Candidate;
pub use planner::{Error, Plan, Planner, Result};
pub use stage::{Chain, Stage};
