//! The life cycle of a gateway instance: start, reload, drain, end.

use std::{
    path::{Path, PathBuf},
    time::Duration,
};

use goldcrestvale_adapter::Adapter;
use goldcrestvale_gateway::Instance;
use log::{error, info};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    time::interval,
};

use crate::settings::File;

/// The result of running a gateway instance.
pub type Result<T> = std::result::Result<T, Error>;

/// Interval at which the settings file is compared with the text last read; it may change without
/// a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// A failure to run a gateway instance.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings have no section `gateway`.
    #[snafu(display("the settings have no section [gateway]"))]
    MissingSection,
    /// The runtime cannot be started.
    #[snafu(display("cannot start the runtime: {source}"))]
    Start {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The instance cannot be started.
    #[snafu(display("{source}"))]
    Instance {
        /// The cause.
        source: goldcrestvale_gateway::Error,
    },
    /// A signal handler cannot be set.
    #[snafu(display("cannot handle signals: {source}"))]
    Signals {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Runs a gateway instance until it is stopped; returns whether every request in progress could
/// finish.
///
/// # Errors
///
/// Fails if the instance cannot be started.
pub fn run(path: &Path, file: &File) -> Result<bool> {
    let runtime = runtime(file.gateway.threads).context(StartSnafu)?;
    let clean = runtime.block_on(serve(path, file))?;
    runtime.shutdown_background();
    Ok(clean)
}

fn runtime(threads: usize) -> std::io::Result<Runtime> {
    match threads {
        1 => Builder::new_current_thread().enable_all().build(),
        threads => Builder::new_multi_thread().worker_threads(threads).enable_all().build(),
    }
}

async fn serve(path: &Path, file: &File) -> Result<bool> {
    let entry = &file.entry;
    let (settings, store) = file
        .gateway
        .settings(
            &entry.instance.name,
            &entry.instance.domain,
            &entry.callers,
            entry.machine,
            &entry.peer,
        )
        .context(MissingSectionSnafu)?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
    let instance = Instance::start(settings, Adapter::new(store)).await.context(InstanceSnafu)?;
    let mut reload = Reload::new(path);
    let mut ticks = interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload.check(&instance, true),
            _ = ticks.tick() => reload.check(&instance, false),
        }
    }
    Ok(instance.stop().await)
}

/// Applies changes of the settings file to a running instance.
struct Reload {
    path: PathBuf,
    text: Option<String>,
}

impl Reload {
    fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), text: std::fs::read_to_string(path).ok() }
    }

    /// Applies the file if its text has changed; an invalid file is logged and not applied.
    fn check(&mut self, instance: &Instance<Adapter>, on_signal: bool) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(e) => {
                error!(path:% = self.path.display(), error:% = e; "settings cannot be read");
                return;
            }
        };
        if self.text.as_ref() == Some(&text) {
            if on_signal {
                info!("settings are unchanged");
            }
            return;
        }
        match File::parse(&self.path.display().to_string(), &text) {
            Ok(file) => {
                instance.reload(file.gateway.retry);
                log::set_max_level(file.logging.level);
                info!(retry_ratio = file.gateway.retry.ratio, retry_floor = file.gateway.retry.floor; "settings are in force");
            }
            Err(e) => error!(error:% = e; "changed settings are wrong and not taken over"),
        }
        self.text = Some(text);
    }
}
