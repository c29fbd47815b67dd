//! Settings of the platform.

use std::net::{Ipv4Addr, SocketAddr};

/// Settings of a platform.
#[derive(Debug, Clone, clap::Args)]
pub struct Settings {
    /// Address to serve.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Age after which records expire, in milliseconds.
    #[arg(long, default_value_t = 3_600_000)]
    pub retention_ms: u64,
    /// Number of records that a stream keeps at most.
    #[arg(long, default_value_t = 1_000_000)]
    pub retention_records: usize,
    /// Appends that are accepted in a second, over all streams.
    #[arg(long, default_value_t = 500)]
    pub appends_per_second: u32,
    /// Lag of the list of instances, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub list_lag_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: (Ipv4Addr::LOCALHOST, 0).into(),
            retention_ms: 3_600_000,
            retention_records: 1_000_000,
            appends_per_second: 500,
            list_lag_ms: 0,
        }
    }
}
