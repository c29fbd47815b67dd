//! Decides which configuration is in force, from versioned records in the platform log.
//!
//! Every instance folds the same stream of [`change::Change`]s in log order, so all reach the same
//! state; readers use an immutable [`snapshot::Snapshot`] of it. Nothing here does I/O or reads a
//! clock.

pub mod alarm;
mod body;
mod canonical;
pub mod change;
pub mod checkpoint;
pub mod chunk;
mod encoding;
pub mod evaluate;
pub mod fold;
pub mod link;
pub mod offer;
pub mod outcome;
pub mod record;
pub mod schema;
mod set_digest;
mod slot;
pub mod snapshot;
pub mod stagger;
pub mod start;
mod state;
pub mod submission;
pub mod sync;
pub mod tail;
pub mod upgrade;
pub mod writer;

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
