//! Load generation, measurements and experiments that compare policies with baselines.

pub mod baseline;
pub mod control;
pub mod cpu;
pub mod experiment;
pub mod load;
pub mod mixed;
pub mod overhead;
pub mod policy;
pub mod recovery;
pub mod sim;

/// Re-exports the types that most users of this package need.
pub mod prelude {
    pub use crate::{
        policy::{Kind, Policy},
        sim::{Outcome, Settings, Simulation},
    };
}
