//! The protocol between entry instances: messages and framing.
//!
//! A connection starts with one [`handshake`] frame from each side, which yields a
//! [`codec::Sealer`] and a [`codec::Opener`]. Every later frame carries a version, a kind, a
//! protobuf body and a keyed tag over a per-connection counter, so that a frame can be neither
//! forged nor replayed. This package opens no sockets and generates no random numbers.

pub mod codec;
pub mod field;
pub mod frame;
pub mod handshake;
pub mod key;
pub mod message;

/// Re-exports the types that a connection needs.
pub mod prelude {
    pub use crate::{
        codec::{Opened, Opener, Sealer},
        handshake::{Handshake, Role, Session},
        key::{Keyring, Secret},
        message::Message,
    };
}
