//! Runs one stand-in as a process: `goldcrestvale-standin platform|engine|service`.

use std::io::{self, Write};

use clap::Parser;
use goldcrestvale_standin::{
    engine, platform,
    server::{Handle, Server},
    service,
};
use tokio::signal::unix::{SignalKind, signal};

/// Runs one stand-in and prints `listening on ADDRESS` as its first line.
#[derive(Debug, Parser)]
#[command(name = "goldcrestvale-standin", version)]
enum Command {
    /// The platform: the log and the list of instances.
    Platform(platform::Settings),
    /// A model engine.
    Engine(engine::Settings),
    /// An instance of a plain service.
    Service(service::Settings),
}

#[tokio::main]
async fn main() -> io::Result<()> {
    match Command::parse() {
        Command::Platform(settings) => run(platform::Platform::start(settings).await?).await,
        Command::Engine(settings) => run(engine::Engine::start(settings).await?).await,
        Command::Service(settings) => run(service::Service::start(settings).await?).await,
    }
}

async fn run<S: Server>(mut handle: Handle<S>) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut out = io::stdout();
    writeln!(out, "listening on {}", handle.address())?;
    writeln!(out, "control on {}", handle.control())?;
    out.flush()?;
    tokio::select! {
        _ = terminate.recv() => {
            handle.stop().await;
            Ok(())
        }
        () = handle.wait() => Err(io::Error::other("terminated by a fault setting")),
    }
}
