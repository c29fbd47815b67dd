//! An engine as an instance sees it.

use std::net::SocketAddr;

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Upstream},
    time::Instant,
};

goldcrestvale_base::domain! {
    record
    /// An engine as an instance sees it.
    pub struct Engine {
        /// Name of this life of the engine.
        pub upstream: Upstream,
        /// Where it listens.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: Domain,
        /// Name of its card.
        pub card: String,
        /// Layers that it holds.
        pub held: Option<Layers>,
        /// Whether it takes new work.
        pub ready: bool,
        /// It gets no new work before this time: it failed, or a chain through it did.
        pub avoided_until: Instant,
    }
}

impl Engine {
    /// Returns whether new work may go through the engine.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.ready && self.avoided_until <= now
    }
}
