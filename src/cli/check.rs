//! `goldcrestvale check`.

use std::{path::PathBuf, process::ExitCode};

use clap::Args;
use goldcrestvale_adapter::SETTINGS_VARIABLE;

use super::{Exit, client::print_error};
use crate::settings::File;

/// Checks a settings file and prints every error in it.
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
                print_error(&e.to_string());
                Exit::Usage.into()
            }
        }
    }
}
