//! Clients of model engines and of plain services.
//!
//! The engine's messages are in [`message`]; `docs/INTERFACES.md` states the protocol around them.

pub mod message;
pub mod prefix;

/// Re-exports the types that most users of this package name.
pub mod prelude {
    pub use crate::message::{Layers, Load, Order, Step, StepOutput};
}
