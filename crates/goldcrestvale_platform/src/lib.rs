//! Clients for the platform: the append-only log and the instance list.
//!
//! [`log::Log`] appends to and reads from streams, [`reader::Reader`] follows one stream from an
//! offset on, and [`list::List`] fetches the instance list. The messages are in [`message`];
//! `docs/INTERFACES.md` specifies the protocol.

mod client;
pub mod error;
pub mod list;
pub mod log;
pub mod message;
pub mod reader;

pub use error::{Error, Result};

/// Re-exports the most commonly used types.
pub mod prelude {
    pub use crate::{
        list::List,
        log::Log,
        message::{Append, Appended, Entry, Listing, Page, Record},
        reader::Reader,
    };
}
