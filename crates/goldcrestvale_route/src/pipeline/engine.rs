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
        /// Whether it does not answer at all.
        pub silent: bool,
        /// It gets no new work before this time: it refused some.
        pub avoided_until: Instant,
    }
}

impl Engine {
    /// Returns whether the engine stays and answers, so that layers may be placed on it.
    pub fn is_present(&self) -> bool {
        self.ready && !self.silent
    }

    /// Returns whether new work may go through the engine now.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_present() && self.avoided_until <= now
    }
}
