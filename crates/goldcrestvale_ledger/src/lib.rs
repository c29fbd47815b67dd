//! Decides claims of idempotency keys and leases from records in the platform log.
//!
//! Only the order of the log decides: a [`claim::Fold`] and a [`lease::Fold`] are pure functions of
//! a prefix of one stream, so that instances at the same offset have the same state. This package
//! does no I/O and reads no clock; a [`coordinator::Coordinator`] processes events with the time of
//! their arrival and returns the actions to take.

pub mod batch;
pub mod claim;
pub mod coordinator;
pub mod lease;
pub mod prefix;
pub mod record;
pub mod seen;
pub mod shard;

/// Re-exports the most commonly used types of this package.
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
