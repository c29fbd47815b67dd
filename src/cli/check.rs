//! `goldcrestvale check`.

use std::{path::PathBuf, process::ExitCode};

use clap::Args;
use goldcrestvale_adapter::SETTINGS_VARIABLE;

use super::{Exit, client::complain};
use crate::settings::File;

/// Checks a settings file and prints every fault in it.
#[derive(Debug, Args)]
pub struct Check {
    /// The settings file.
    #[arg(long, value_name = "FILE", env = SETTINGS_VARIABLE)]
    settings: PathBuf,
}

impl Check {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        match File::read(&self.settings) {
            Ok(_) => Exit::Done.into(),
            Err(e) => {
                complain(&e.to_string());
                Exit::Usage.into()
            }
        }
    }
}
