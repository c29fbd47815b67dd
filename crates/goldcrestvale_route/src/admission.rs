//! Admission: which requests run now, which wait, and which are refused at once.
//!
//! [`Queue`] shares a number of slots between customers by weight, orders the requests of one
//! customer by priority and deadline, and refuses a request as soon as it cannot meet its
//! deadline. [`Capacity`] finds how many requests the upstreams carry at once.

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
