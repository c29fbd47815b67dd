//! Admission control, which decides whether a request runs, waits or is rejected.
//!
//! [`Queue`] shares a number of slots between customers by weight, orders the requests of one
//! customer by priority and deadline, and rejects a request as soon as it cannot meet its
//! deadline. [`Capacity`] adapts the number of slots to observed times.

mod capacity;
mod customer_queue;
mod queue;
mod rate;
mod request;
mod settings;

pub use capacity::Capacity;
pub use queue::{Queue, Released};
pub use request::{Cause, Decision, Rejection, Request, Ticket};
pub use settings::Settings;
