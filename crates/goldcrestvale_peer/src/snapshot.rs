//! What the path of a request reads: an immutable copy, replaced as a whole.

use goldcrestvale_base::{
    id::{Customer, Upstream},
    time::Instant,
};
use goldcrestvale_member::{
    in_flight::PeerWork,
    leaving,
    limit::{Parts, Shares},
};

/// The state of the membership that requests need.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Upstreams that take no new work.
    pub leaving: leaving::Set,
    /// Parts of the limits that this instance may use.
    pub shares: Shares,
    /// What other instances have in progress at upstreams.
    pub peer_work: PeerWork,
    /// Instances that share the limits, this one included.
    pub instance_count: u32,
    /// Instances that this one has a connection to.
    pub linked: u32,
    /// Whether a peer has told what it knows, or no peer is known to ask.
    pub is_synced: bool,
    /// Lowest schema version that this instance and its live peers read.
    pub min_schema: u32,
    /// Whether a live peer says that it has the duty of placing layers.
    pub has_placement_leader: bool,
    /// How many instances that live and stay come before this one by name.
    pub rank: usize,
}

impl Snapshot {
    /// Returns whether an upstream takes no new work.
    pub fn is_leaving(&self, upstream: &Upstream) -> bool {
        self.leaving.contains(upstream)
    }

    /// Returns the part of a customer's limit that this instance may use.
    pub fn share(&self, customer: &Customer) -> Parts {
        let named = self.shares.customers.iter().find(|share| &share.customer == customer);
        named.map_or(self.shares.base, |share| share.parts)
    }

    /// Returns by how much the work of the others at an upstream has grown since a time.
    pub fn peer_work_growth(&self, upstream: &Upstream, since: Instant) -> i64 {
        self.peer_work.growth_since(upstream, since)
    }
}
