//! Measurements and experiments: `goldcrestvale-bench SUBCOMMAND`.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use clap::Parser;
use goldcrestvale_bench::{baseline::Proxy, control, experiment, mixed, overhead, recovery};

/// Measures the router and compares policies.
#[derive(Debug, Parser)]
#[command(name = "goldcrestvale-bench", version)]
enum Command {
    /// Measures the overhead of an entry instance per call, with real processes on loopback.
    Overhead(overhead::Settings),
    /// Compares router programs by drafts over mixed accelerators, with real processes.
    Mixed(mixed::Settings),
    /// Measures how long drafts stall when an engine fails, with real processes.
    Recovery(recovery::Settings),
    /// Measures the idle cost of an entry instance by the number of upstreams.
    Control(control::Settings),
    /// Compares policies for the choice of an engine in a simulation.
    Policies(experiment::Settings),
    /// Runs the pass-through proxy that `overhead` compares with.
    Proxy {
        /// Address to forward requests to.
        #[arg(long)]
        target: SocketAddr,
    },
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut out = io::stdout();
    match Command::parse() {
        Command::Overhead(settings) => {
            let table = overhead::run(&settings).await?;
            if let Some(path) = &settings.out {
                table.write(path)?;
            }
            write!(out, "{table}")
        }
        Command::Mixed(settings) => write!(out, "{}", mixed::run(&settings).await?),
        Command::Recovery(settings) => {
            let table = recovery::run(&settings).await?;
            if let Some(path) = &settings.out {
                table.write(path)?;
            }
            write!(out, "{table}")
        }
        Command::Control(settings) => write!(out, "{}", control::run(&settings).await?),
        Command::Policies(settings) => experiment::run(&settings),
        Command::Proxy { target } => {
            let proxy = Proxy::bind(target).await?;
            writeln!(out, "listening on {}", proxy.address()?)?;
            out.flush()?;
            proxy.run().await
        }
    }
}
