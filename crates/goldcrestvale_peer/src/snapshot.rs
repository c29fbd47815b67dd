//! The state that the request path reads: an immutable copy, replaced as a whole.

use std::sync::Arc;

use goldcrestvale_base::{
    id::{Customer, Upstream},
    time::Instant,
};
use goldcrestvale_member::{
    customer_load,
    in_flight::PeerWork,
    leaving,
    limit::{Parts, Shares},
    read_schedule::Position,
    view::Relays,
};

/// The state of the membership that the request path needs.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Upstreams that accept no new work.
    pub leaving: leaving::Set,
    /// Shares of the limits that this instance may use.
    pub shares: Shares,
    /// Work that other instances have in flight at upstreams.
    pub peer_work: PeerWork,
    /// Streams of customers at the other instances.
    pub peer_loads: Arc<customer_load::Totals>,
    /// Number of counts of customers' streams that were beyond the bounds.
    pub ignored_loads: u64,
    /// Number of instances that share the limits, including this one.
    pub instance_count: u32,
    /// Number of instances that this one is connected to.
    pub linked: u32,
    /// Whether a peer has sent a heartbeat, or no listed peer can be running.
    pub is_synced: bool,
    /// Lowest of the newest schema versions that this instance and its live peers support.
    pub min_schema: u32,
    /// Whether a live peer reports that it is responsible for placing layers.
    pub has_placement_leader: bool,
    /// Number of live, non-draining peers that precede this instance by name.
    pub rank: usize,
    /// Place of this instance among the live, non-draining instances of its failure domain.
    pub position: Option<Position>,
    /// Peers that take requests which this instance cannot serve itself.
    pub relays: Relays,
}

impl Snapshot {
    /// Returns whether an upstream accepts no new work.
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.leaving.contains(upstream)
    }

    /// Returns the share of a customer's limit that this instance may use.
    pub fn share(&self, customer: &Customer) -> Parts {
        let named = self.shares.customers.iter().find(|share| &share.customer == customer);
        named.map_or(self.shares.base, |share| share.parts)
    }

    /// Returns by how much the work of the other instances at an upstream has grown since a time.
    pub fn peer_work_growth(&self, upstream: &Upstream, since: Instant) -> i64 {
        self.peer_work.growth_since(upstream, since)
    }
}
