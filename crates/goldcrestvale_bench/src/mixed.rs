//! Drafts over mixed accelerators: throughput and latency of one program against another.
//!
//! Both programs run in turns of one run, each with entry instances and engines of its own, so
//! that their figures compare as ratios on a busy machine.

use std::{
    fmt, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use clap::Args;
use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Builder, Fleet, LAYERS, MODEL, Programs},
};
use serde_json::{Value, json};

use crate::load::{Amount, Seen, Worker, drive};

/// Entry instances of each program.
const ENTRIES: usize = 2;

/// Engines of each kind for each half of the layers.
const ENGINES: usize = 2;

/// Settings of the measurement.
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// The programs to compare; the stand-ins are beside this one.
    #[arg(long = "router", required = true)]
    pub routers: Vec<PathBuf>,
    /// Callers at the same time, over all entry instances.
    #[arg(long, default_value_t = 64)]
    pub callers: usize,
    /// Tokens of a draft.
    #[arg(long, default_value_t = 32)]
    pub tokens: u32,
    /// Time of each turn, in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    pub time_ms: u64,
    /// Turns of each program.
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
}

/// One turn of one program.
#[derive(Debug)]
pub struct Turn {
    /// The program.
    pub router: PathBuf,
    /// What its callers saw.
    pub seen: Seen,
}

/// All turns of a run.
#[derive(Debug, Default)]
pub struct Turns(Vec<Turn>);

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a program cannot be started.
pub async fn run(settings: &Settings) -> io::Result<Turns> {
    let mut turns = Turns::default();
    for _ in 0..settings.rounds {
        for router in &settings.routers {
            let fleet = start(router).await?;
            let seen = load(&fleet, settings).await;
            turns.0.push(Turn { router: router.clone(), seen });
        }
    }
    Ok(turns)
}

async fn start(router: &Path) -> io::Result<Fleet> {
    let standin = std::env::current_exe()?.with_file_name("goldcrestvale-standin");
    let mut builder = Builder::new(Programs { router: router.to_owned(), standin });
    for kind in ["large", "medium", "small"] {
        for number in 0..ENGINES {
            for (half, from, to) in [("a", 0, LAYERS / 2), ("b", LAYERS / 2, LAYERS)] {
                let accelerator = format!("--accelerator={kind}");
                let arguments = [accelerator.as_str(), "--time-scale=1", "--record-runs=false"];
                builder = builder.engine(&format!("{kind}-{half}{number}"), from, to, &arguments);
            }
        }
    }
    for entry in 0..ENTRIES {
        builder = builder.entry(&format!("entry-{entry}"), "");
    }
    builder.start().await
}

async fn load(fleet: &Fleet, settings: &Settings) -> Seen {
    let worker = |number: usize| Drafter {
        caller: fleet.customer(),
        entry: fleet.entries[number % ENTRIES].callers,
        ask: json!({
            "model": MODEL, "prompt": "a notice for the weekend", "max_tokens": settings.tokens,
        }),
    };
    let workers = (0..settings.callers).map(worker).collect();
    let amount = Amount { requests: u32::MAX, time: Duration::from_millis(settings.time_ms) };
    drive(workers, amount).await
}

/// A caller that asks for one draft after the other.
struct Drafter {
    caller: Caller,
    entry: SocketAddr,
    ask: Value,
}

impl Worker for Drafter {
    async fn send(&mut self) -> bool {
        let answer = self.caller.post(self.entry, "/v1/completions", &self.ask).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }
}

impl fmt::Display for Turns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| program | drafts/s | p50 ms | p95 ms | failed |")?;
        writeln!(f, "|---|---|---|---|---|")?;
        for Turn { router, seen } in &self.0 {
            let name = router.file_name().unwrap_or_default().display();
            let rate = f64::from(seen.answered) / seen.time.as_secs_f64();
            let [p50, p95] = [50.0, 95.0].map(|p| seen.latency(p).as_millis());
            writeln!(f, "| {name} | {rate:.1} | {p50} | {p95} | {} |", seen.failed)?;
        }
        Ok(())
    }
}
