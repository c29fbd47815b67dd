//! Forwards requests to plain services and to chains of engines that pass a stream on themselves.
//!
//! Decisions stand in `goldcrestvale_route`; the tasks here feed them and carry out what they say.
//! [`port`] names what a platform has to provide.

mod answer;
mod asked;
mod blame;
mod body;
mod catalog;
mod event;
mod forward;
mod gateway;
mod known;
mod metrics;
mod peers;
mod placer;
mod plain;
pub mod port;
mod registry;
mod repeats;
mod rescue;
mod send;
mod serve;
pub mod settings;
mod stream;
mod trace;
mod view;
mod watch;

pub use asked::Asked;
pub use catalog::{Catalog, News};
pub use event::Splitter;
pub use serve::{Error, Instance, Result};

/// Re-exports the types that most users of this package name.
pub mod prelude {
    pub use crate::{
        port::{Dialect, Directory, Duty, Engines, Port},
        serve::Instance,
        settings::Settings,
    };
}
