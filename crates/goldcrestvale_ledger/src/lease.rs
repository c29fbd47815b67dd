//! Leases: roles that one instance at a time holds, granted by the order of the log.
//!
//! A grant names the last record of the lease that its writer had read and is valid only if that
//! is still the last record, so the log order alone decides between racing candidates. The fencing
//! number is the offset of the grant. No wall clock is involved: a holder measures the lease on its
//! own monotonic clock from before the append of its last renewal, and a new holder waits for the
//! old lease to expire and for the maximum delay of an order, counted from when it read its own
//! grant.

mod fold;
mod lifecycle;
mod manager;
mod order;
mod record;

pub use fold::{Current, FORGET_AFTER, Fold, MAX_LENGTH, Outcome};
pub use lifecycle::{Ended, Granted, Held, Lease, Request, Requested, Waiting};
pub use manager::{Event, Manager, Settings};
pub use order::{Action, Queue};
pub use record::{Grant, Kind, Record, Release, Renewal, SCHEMA};
