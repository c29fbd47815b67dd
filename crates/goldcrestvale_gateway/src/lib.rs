//! Forwards requests to plain services and streams to chains of engines.
//!
//! The decisions are made in `goldcrestvale_route`; the tasks here supply their input and carry
//! them out. [`port`] defines the interface that a platform has to implement.

mod attempt;
mod body;
mod catalog;
mod chain_limits;
mod config_document;
mod config_version;
mod configuration;
mod contention;
mod cost;
mod crash_watch;
mod customer_load;
mod directory_changes;
mod directory_state;
mod directory_sync;
mod error_response;
mod event;
mod failover;
mod forward;
mod gateway;
mod instance;
mod listing;
mod metrics;
mod opening;
mod peers;
mod placement;
mod plain;
pub mod port;
mod recent_reads;
mod registry;
mod rejection;
mod relay;
mod retry_budget;
mod send;
pub mod settings;
mod stream;
mod trace;
mod trial_log;
mod upstream_limits;
mod upstream_state;
mod view;

pub use catalog::{Catalog, CatalogChange};
pub use event::Splitter;
pub use instance::{Error, Instance, Result};
pub use listing::Listing;
pub use recent_reads::RecentReads;

/// Re-exports the types that most users of this package need.
pub mod prelude {
    pub use crate::{
        instance::Instance,
        port::{Directory, EngineControl, Headers, LeaderElection, Port},
        settings::Settings,
    };
}
