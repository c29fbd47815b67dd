//! Coordinates claims, their fold and their appends at one entry instance.
//!
//! A [`Coordinator`] handles the keyed calls of one claim stream. It processes events and returns
//! actions; the program around it appends, reads, dispatches and queries other instances.

mod call;
mod completion;
mod event;
mod machine;
mod reading;
mod refusal;
mod settings;

pub use call::{Call, Ticket};
pub use event::{Action, Event};
pub use machine::Coordinator;
pub use refusal::{Cause, Refused, Scope};
pub use settings::Settings;
