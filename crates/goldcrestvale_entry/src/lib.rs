//! The entry instance: its HTTP interfaces for callers and operators, and its background tasks.
//!
//! [`daemon::Builder`] assembles an instance from parts that register themselves; every part
//! shares a [`node::Node`]. Requests read immutable snapshots and update atomic counters.

mod activity;
pub mod admission;
pub mod body;
pub mod callers;
pub mod claims;
pub mod clock;
pub mod configuration;
pub mod crash_watch;
pub mod daemon;
pub mod gate;
pub mod header;
pub mod health;
pub mod intake;
pub mod limits;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod phase;
pub mod plans;
pub mod receive;
mod records;
pub mod refusal;
pub mod round_trip;
pub mod server;
pub mod settings;
pub mod table;
pub mod trial_log;
pub mod trial_stream;
pub mod watch;

/// Re-exports the most commonly used types of this package.
pub mod prelude {
    pub use crate::{
        daemon::{Builder, Daemon, Part},
        node::Node,
        phase::Phase,
        refusal::{Cause, Refusal},
        settings::Settings,
    };
}
