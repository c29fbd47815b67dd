//! Stand-ins for the platform, the engines and the services, for tests and measurement.
//!
//! Each stand-in implements the protocol of `docs/INTERFACES.md` on a real socket, either inside
//! the calling process ([`platform::Platform::start`], [`engine::Engine::start`],
//! [`service::Service::start`]) or as a separate process (the binary `goldcrestvale-standin`).
//! Faults can be set at run time.
//!
//! The router must not depend on this package.

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

/// Re-exports the most commonly used types.
pub mod prelude {
    pub use crate::{engine::Engine, platform::Platform, server::Handle, service::Service};
}
