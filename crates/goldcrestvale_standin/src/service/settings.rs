//! Settings of an instance of a plain service.

use std::net::SocketAddr;

use goldcrestvale_base::id::{Service, Upstream};

use crate::settings::builder;

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
    pub service: Service,
    /// Lag of the load report, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub load_lag_ms: u64,
    /// Maximum number of requests that run concurrently; others wait.
    #[arg(long, default_value_t = 1_000)]
    pub slots: usize,
}

builder! {
    with_address(address: SocketAddr);
    with_name(name: Upstream);
    with_service(service: Service);
    with_load_lag_ms(load_lag_ms: u64);
    with_slots(slots: usize);
}
