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
        /// Name of this incarnation of the engine.
        pub upstream: Upstream,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: Domain,
        /// Name of its accelerator card.
        pub card: String,
        /// Layers that it holds.
        pub held: Option<Layers>,
        /// Whether it takes new work.
        pub ready: bool,
        /// Whether it has stopped responding.
        pub silent: bool,
        /// Time until which it gets no new work, because it refused some.
        pub avoided_until: Instant,
    }
}

impl Engine {
    /// Returns whether the engine is ready and responds, so that layers may be placed on it.
    pub fn is_present(&self) -> bool {
        self.ready && !self.silent
    }

    /// Returns whether new work may go through the engine now.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_present() && self.avoided_until <= now
    }
}
