//! Settings of an instance of a plain service.

use std::net::{Ipv4Addr, SocketAddr};

use goldcrestvale_base::id::Upstream;

/// Settings of an instance of a plain service.
#[derive(Debug, Clone, clap::Args)]
pub struct Settings {
    /// Address to serve.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Name of the instance.
    #[arg(long, default_value = "booking-1")]
    pub name: Upstream,
    /// Name of the service.
    #[arg(long, default_value = "booking")]
    pub service: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            name: "booking-1".parse().expect("a fixed name is valid"),
            service: "booking".into(),
        }
    }
}
