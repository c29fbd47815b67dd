//! Tasks that speak the protocol between entry instances.
//!
//! [`peer::start`] binds the listener and runs the membership of
//! [`goldcrestvale_member`]; the [`handle::Handle`] that it returns feeds it events, asks other
//! instances, and reads immutable snapshots. What the daemon must do comes through
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
