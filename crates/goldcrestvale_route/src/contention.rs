//! Decides which streams of a service take a place first when there are fewer places than streams,
//! and divides the places between customers.
//!
//! The load is a service whose routes promise different things, at 1.5 to 2 times of what its
//! chains hold: served first come, first served, urgent streams would be refused as often as others.

pub mod customer_share;
mod first_event;
mod freed;
mod priorities;
mod request;
mod reservation;
mod returns;
mod wait_queue;

pub use customer_share::Shares;
pub use first_event::FirstEvent;
pub use freed::Freed;
pub use priorities::Priorities;
pub use request::{Cause, Decision, Delay, Offer, Request, Standing, Ticket};
pub use reservation::{Capacity, Reservation};
pub use returns::Returns;
pub use wait_queue::{MAX_WAITING, WaitQueue};

pub use crate::pipeline::Places;
