//! Tasks that run the protocol between entry instances.
//!
//! [`peer::start`] binds the listener and runs the membership of [`goldcrestvale_member`]. The
//! [`handle::Handle`] that it returns feeds events to the membership, sends queries to other
//! instances, and reads immutable snapshots. The daemon receives what it has to act on through
//! [`events::EventHandler`].

mod clock;
mod connection;
mod core;
mod link;

pub mod convert;
pub mod count;
pub mod dump;
pub mod events;
pub mod handle;
pub mod peer;
pub mod query;
pub mod queue;
pub mod settings;
pub mod snapshot;

/// Re-exports the types that a daemon needs.
pub mod prelude {
    pub use crate::{
        events::{Configuration, EventHandler, Header, Reply, ResultQuery, StoredResult},
        handle::Handle,
        settings::Settings,
        snapshot::Snapshot,
    };
}
