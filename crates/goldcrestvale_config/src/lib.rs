//! Decides which configuration is in force, from versioned records in the platform log.
//!
//! Every instance folds the same stream of [`change::Change`]s in log order, so all reach the same
//! state; readers use an immutable [`snapshot::Snapshot`] of it. Nothing here does I/O or reads a
//! clock.

mod body;
mod canonical;
pub mod change;
pub mod fold;
pub mod link;
pub mod outcome;
pub mod record;
pub mod schema;
mod slot;
pub mod snapshot;
mod state;
mod sum;

/// Re-exports the types that most users of the crate name.
pub mod prelude {
    pub use crate::{
        change::{Change, Schema},
        fold::{Fold, Outcome},
        record::{
            Binding, Customer, Kind, Limit, Method, Model, Placement, Service, Target, Trait,
        },
        snapshot::{Entity, Snapshot},
    };
}
