//! Cluster membership of entry instances, and the state that they share by gossip.
//!
//! [`member::Member`] takes events with the time and a seeded random generator, and returns
//! actions: connections to open, messages to send, notices for the daemon. It opens no socket and
//! reads no clock. Its view may be wrong without harm to correctness: claims, leases and
//! configuration are decided by the order of the platform log.

pub mod action;
pub mod backoff;
pub mod chain_limit;
pub mod config_request;
pub mod customer_load;
pub mod event;
pub mod evidence;
pub mod identity;
pub mod in_flight;
pub mod leaving;
pub mod limit;
pub mod links;
pub mod member;
pub mod message;
pub mod read_schedule;
pub mod retry_loan;
pub mod settings;
pub mod silence;
pub mod upload;
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
