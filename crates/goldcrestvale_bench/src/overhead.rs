//! What an entry instance adds to a call: latency, and processor time a request.
//!
//! The same load goes to the upstream directly, through a bare pass-through, and through a real
//! entry instance, in turns of one run.

mod cell;
mod table;
mod testbed;

use std::{io, path::PathBuf, time::Duration};

use clap::Args;

use crate::load::Amount;
pub use cell::{Cell, Kind, Way};
pub use table::Table;
use testbed::Ground;

/// Settings of the measurement.
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// The program of the entry instance; the stand-ins are beside it.
    #[arg(long)]
    pub router: Option<PathBuf>,
    /// Requests of each cell in each round, at most.
    #[arg(long, default_value_t = 20_000)]
    pub requests: u32,
    /// Time of each cell in each round at most, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    pub time_ms: u64,
    /// Rounds.
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// Callers at the same time in the cells that measure throughput.
    #[arg(long, default_value_t = 32)]
    pub callers: usize,
    /// File to write the cells to, as CSV.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

impl Settings {
    fn amount(&self) -> Amount {
        Amount { requests: self.requests, time: Duration::from_millis(self.time_ms) }
    }
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a program cannot be started.
pub async fn run(settings: &Settings) -> io::Result<Table> {
    let mut ground = Ground::start(settings.router.as_deref()).await?;
    let mut table = Table::new(ground.idle().await?);
    for _ in 0..settings.rounds {
        for kind in Kind::ALL {
            for callers in [1, settings.callers] {
                for way in Way::ALL {
                    if let Some(cell) = ground.run(kind, way, callers, settings.amount()).await? {
                        table.push(cell);
                    }
                }
            }
        }
    }
    Ok(table)
}
