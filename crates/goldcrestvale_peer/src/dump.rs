//! The state of the peer tasks, for diagnosis.

use goldcrestvale_base::id::{Incarnation, Instance};
use goldcrestvale_member::member::Member;
use serde::Serialize;

use crate::count::Values;

/// The state of the peer tasks.
#[derive(Debug, Clone, Serialize)]
pub struct Dump {
    /// The membership.
    pub member: Member,
    /// The connections.
    pub links: Vec<LinkDump>,
    /// The counters.
    pub counts: Values,
    /// Queries that are waiting for an answer.
    pub asks: usize,
}

/// One connection.
#[derive(Debug, Clone, Serialize)]
pub struct LinkDump {
    /// The peer.
    pub instance: Instance,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether this side opened the connection.
    pub dialed: bool,
    /// Messages queued for the peer.
    pub waiting: usize,
}
