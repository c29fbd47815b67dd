//! Stand-ins for the platform, the engines and the services, for tests and measurement.
//!
//! Each stand-in speaks the protocol of `docs/INTERFACES.md` on a real socket, either inside the
//! calling process ([`platform::Platform::start`] and its siblings) or as a process of its own
//! (the binary `goldcrestvale-standin`). Faults are switched at run time.
//!
//! Never a dependency of the router.

pub mod audit;
pub mod caller;
pub mod client;
pub mod engine;
pub mod fault;
pub mod fleet;
mod lag;
pub mod platform;
pub mod process;
pub mod reference;
mod reply;
pub mod server;
pub mod service;
mod settings;

/// Re-exports the types that most users of this package name.
pub mod prelude {
    pub use crate::{engine::Engine, platform::Platform, server::Handle, service::Service};
}
