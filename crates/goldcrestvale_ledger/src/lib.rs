//! Decides claims of idempotency keys and leases, from records in the platform log.
//!
//! The order of the log is the only arbiter: a [`claim::Fold`] and a [`lease::Fold`] are pure
//! functions of a prefix of one stream, so that instances at the same offset hold the same state.
//! Nothing here does I/O or reads a clock; a [`coordinator::Coordinator`] is fed events with the time of
//! their arrival and returns the actions to take.

pub mod batch;
pub mod claim;
pub mod coordinator;
pub mod lease;
pub mod prefix;
pub mod record;
pub mod seen;
pub mod shard;

/// Re-exports the types that most users of this package name.
pub mod prelude {
    pub use crate::{
        batch::{Policy, Queue},
        claim::{Claim, Window},
        coordinator::{Action, Coordinator, Event},
        lease::Lease,
        record::{Draft, Page, Sequence, View},
        shard::Layout,
    };
}
