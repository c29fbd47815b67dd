//! Overhead of an entry instance: added latency, and processor time per request.
//!
//! The same load goes to the upstream directly, through a pass-through proxy and through a real
//! entry instance, alternately within one run.

mod cell;
mod table;
mod testbed;

use std::{io, path::PathBuf, time::Duration};

use clap::Args;

use crate::load::Limits;
pub use cell::{Cell, Kind, Route};
pub use table::Table;
use testbed::Testbed;

/// Settings of the measurement.
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// Program of the entry instance; the stand-ins are in the same directory.
    #[arg(long)]
    pub router: Option<PathBuf>,
    /// Max number of requests of each cell in each round.
    #[arg(long, default_value_t = 20_000)]
    pub requests: u32,
    /// Max time of each cell in each round, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    pub time_ms: u64,
    /// Number of rounds.
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// Number of concurrent callers in the cells that measure throughput.
    #[arg(long, default_value_t = 32)]
    pub callers: usize,
    /// CSV file to write the cells to.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

impl Settings {
    fn limits(&self) -> Limits {
        Limits { requests: self.requests, time: Duration::from_millis(self.time_ms) }
    }
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a program cannot be started.
pub async fn run(settings: &Settings) -> io::Result<Table> {
    let mut testbed = Testbed::start(settings.router.as_deref()).await?;
    let mut table = Table::new(testbed.idle().await?);
    for _ in 0..settings.rounds {
        for kind in Kind::ALL {
            for callers in [1, settings.callers] {
                for route in Route::ALL {
                    if let Some(cell) = testbed.run(kind, route, callers, settings.limits()).await?
                    {
                        table.push(cell);
                    }
                }
            }
        }
    }
    Ok(table)
}
