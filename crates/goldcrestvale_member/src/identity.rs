//! Identity of an entry instance.

use std::net::SocketAddr;

use goldcrestvale_base::{
    domain,
    id::{Domain, Incarnation, Instance},
};

domain! {
    value
    /// One incarnation of an entry instance.
    pub struct Identity {
        /// Its name.
        pub instance: Instance,
        /// Its incarnation, which is new with each start of the process.
        pub incarnation: Incarnation,
        /// Its failure domain.
        pub domain: Domain,
        /// Its address for peers.
        pub address: SocketAddr,
    }

    /// An entry instance from the platform's list, whose incarnation is unknown.
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
