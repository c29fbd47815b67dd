//! Decides which entry instances are live and what they share.
//!
//! [`member::Member`] is fed events with the time and a seeded generator, and returns actions:
//! whom to connect to, what to send, what to tell the daemon. It opens no socket and reads no
//! clock. No correctness rests on its view: claims, leases and configuration are decided by the
//! order of the platform log.

pub mod action;
pub mod backoff;
pub mod event;
pub mod identity;
pub mod in_flight;
pub mod leaving;
pub mod limit;
pub mod links;
pub mod member;
pub mod message;
pub mod settings;
pub mod silence;
pub mod view;

/// Re-exports the types that a daemon needs.
pub mod prelude {
    pub use crate::{
        action::{Action, Notice},
        event::Event,
        identity::{Identity, Seed},
        leaving::{Mark, Source},
        limit::Parts,
        member::Member,
        message::{Config, Message, Status},
        settings::Settings,
    };
}
