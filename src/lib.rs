//! A router for pipelines over mixed accelerators.
//!
//! The program `goldcrestvale` runs one entry instance; this crate provides its command line,
//! settings, logging and life cycle, and re-exports the packages that others may embed.

pub use goldcrestvale_adapter as adapter;
pub use goldcrestvale_base as base;
pub use goldcrestvale_config as config;
pub use goldcrestvale_entry as entry;
pub use goldcrestvale_gateway as gateway;
pub use goldcrestvale_ledger as ledger;
pub use goldcrestvale_member as member;
pub use goldcrestvale_peer as peer;
pub use goldcrestvale_platform as platform;
pub use goldcrestvale_route as route;
pub use goldcrestvale_upstream as upstream;
pub use goldcrestvale_wire as wire;

pub mod cli;
pub mod forwarding;
pub mod logging;
pub mod serve;
pub mod settings;

/// Re-exports the types that most users of this crate need.
pub mod prelude {
    pub use crate::{serve::Instance, settings::File};
    pub use goldcrestvale_base::prelude::*;
    pub use goldcrestvale_entry::prelude::*;
}
