//! `goldcrestvale serve`.

use std::{path::PathBuf, process::ExitCode};

use clap::Args;
use goldcrestvale_adapter::SETTINGS_VARIABLE;

use super::{Exit, client::print_error};
use crate::{forwarding, logging, serve::Instance, settings::File};

/// Runs an entry instance until it is stopped.
#[derive(Debug, Args)]
pub struct Serve {
    /// The settings file.
    #[arg(long, value_name = "FILE", env = SETTINGS_VARIABLE)]
    settings: PathBuf,
}

impl Serve {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let file = match File::read(&self.settings) {
            Ok(file) => file,
            Err(e) => {
                print_error(&e.to_string());
                return Exit::Usage.into();
            }
        };
        if let Err(e) = logging::init(&file.logging) {
            print_error(&format!("cannot set up logging: {e}"));
            return Exit::Failed.into();
        }
        let clean = match file.gateway.store {
            Some(_) => forwarding::run(&self.settings, &file).map_err(|e| e.to_string()),
            None => run(file).map_err(|e| e.to_string()),
        };
        match clean {
            Ok(true) => Exit::Done.into(),
            Ok(false) => Exit::CutOff.into(),
            Err(e) => {
                print_error(&e);
                Exit::Failed.into()
            }
        }
    }
}

fn run(file: File) -> crate::serve::Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|source| crate::serve::Error::Runtime { source })?;
    let clean = runtime.block_on(async { Instance::start(file.entry).await?.run().await })?;
    runtime.shutdown_background();
    Ok(clean)
}
