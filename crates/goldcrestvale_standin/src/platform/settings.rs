//! Settings of the platform.

use std::net::SocketAddr;

use crate::settings::builder;

/// Settings of a platform.
///
/// # Examples
///
/// ```
/// use goldcrestvale_standin::platform::Settings;
///
/// let settings = Settings::default().with_retention_records(100);
/// assert_eq!(settings.appends_per_second, 500);
/// ```
#[derive(Debug, Clone, clap::Args)]
pub struct Settings {
    /// Address to serve.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub address: SocketAddr,
    /// Age after which records expire, in milliseconds.
    #[arg(long, default_value_t = 3_600_000)]
    pub retention_ms: u64,
    /// Maximum number of records that a stream keeps.
    #[arg(long, default_value_t = 1_000_000)]
    pub retention_records: usize,
    /// Maximum number of appends accepted per second, over all streams.
    #[arg(long, default_value_t = 500)]
    pub appends_per_second: u32,
    /// Lag of the list of instances, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub list_lag_ms: u64,
}

builder! {
    with_address(address: SocketAddr);
    with_retention_ms(retention_ms: u64);
    with_retention_records(retention_records: usize);
    with_appends_per_second(appends_per_second: u32);
    with_list_lag_ms(list_lag_ms: u64);
}
