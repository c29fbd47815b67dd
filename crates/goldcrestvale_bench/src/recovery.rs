//! How long drafts stall when an engine fails, with real processes and modelled engine time.
//!
//! Several drafts are streamed through one entry instance over a chain of two stages with two
//! engines each. When every draft has some tokens, the engine of the second stage that ran the most
//! steps fails. A draft that it served stalls until its next token.

mod case;
mod draft;
mod table;

use std::{io, path::PathBuf};

use clap::Args;

pub use case::Fault;
pub use draft::Draft;
pub use table::{Row, Table};

/// Settings of the measurement.
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// Program of the entry instance; the stand-ins are in the same directory.
    #[arg(long)]
    pub router: Option<PathBuf>,
    /// Number of concurrent drafts.
    #[arg(long, default_value_t = 8)]
    pub drafts: usize,
    /// Number of tokens of each answer.
    #[arg(long, default_value_t = 120)]
    pub tokens: u32,
    /// Numbers of tokens of the prompts, one series each.
    #[arg(long, value_delimiter = ',', default_value = "40,1000")]
    pub prompts: Vec<usize>,
    /// Factor of the modelled time of the engines.
    #[arg(long, default_value_t = 4.0)]
    pub time_scale: f64,
    /// Number of rounds.
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// CSV file to write the rows to.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a program cannot be started.
pub async fn run(settings: &Settings) -> io::Result<Table> {
    let mut table = Table::default();
    for &prompt in &settings.prompts {
        for fault in Fault::ALL {
            for _ in 0..settings.rounds {
                table.push(fault, prompt, case::run(settings, fault, prompt).await?);
            }
        }
    }
    Ok(table)
}
