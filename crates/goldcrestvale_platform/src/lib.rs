//! Clients of the platform: the append-only log and the list of instances.
//!
//! The messages are in [`message`]; `docs/INTERFACES.md` states the protocol around them.

pub mod message;

/// Re-exports the types that most users of this package name.
pub mod prelude {
    pub use crate::message::{Append, Appended, Listing, Page, Record};
}
