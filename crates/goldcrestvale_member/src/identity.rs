//! Who an entry instance is.

use std::net::SocketAddr;

use goldcrestvale_base::{
    domain,
    id::{Domain, Incarnation, Instance},
};

domain! {
    value
    /// An entry instance in one of its lives.
    pub struct Identity {
        /// Its name.
        pub instance: Instance,
        /// This life of its process.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: Domain,
        /// Its address for peers.
        pub address: SocketAddr,
    }

    /// An entry instance that was named by the platform's list, of unknown incarnation.
    pub struct Seed {
        /// Its name.
        pub instance: Instance,
        /// Its failure domain.
        pub domain: Domain,
        /// Its address for peers.
        pub address: SocketAddr,
    }
}

impl Identity {
    /// Returns the identity without the incarnation.
    pub fn seed(&self) -> Seed {
        Seed { instance: self.instance.clone(), domain: self.domain.clone(), address: self.address }
    }
}
