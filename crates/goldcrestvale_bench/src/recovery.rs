//! How long drafts stand still when an engine fails: real processes, engines in modelled time.
//!
//! Several drafts are streamed through one entry instance over a chain of two stages, for each of
//! which there are two engines. When every draft has some tokens, the engine that serves most of
//! the second stage fails. A draft that it served stands still until its next token.

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
    /// The program of the entry instance; the stand-ins are beside it.
    #[arg(long)]
    pub router: Option<PathBuf>,
    /// Drafts at the same time.
    #[arg(long, default_value_t = 8)]
    pub drafts: usize,
    /// Tokens of each answer.
    #[arg(long, default_value_t = 120)]
    pub tokens: u32,
    /// Tokens of the prompts, one series for each.
    #[arg(long, value_delimiter = ',', default_value = "40,1000")]
    pub prompts: Vec<usize>,
    /// Factor on the modelled time of the engines.
    #[arg(long, default_value_t = 4.0)]
    pub time_scale: f64,
    /// Rounds.
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// File to write the rows to, as CSV.
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
