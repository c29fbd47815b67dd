//! Throughput and latency of drafts over mixed accelerators, compared between router programs.
//!
//! The programs run alternately, each with its own entry instances and engines, so that their
//! figures can be compared as ratios on a busy machine.

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

use crate::load::{Limits, Stats, Worker, drive};

/// Number of entry instances of each program.
const ENTRIES: usize = 2;

/// Number of engines of each kind for each half of the layers.
const ENGINES: usize = 2;

/// Settings of the measurement.
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// Router programs to compare; the stand-ins are in the directory of this program.
    #[arg(long = "router", required = true)]
    pub routers: Vec<PathBuf>,
    /// Number of concurrent callers over all entry instances.
    #[arg(long, default_value_t = 64)]
    pub callers: usize,
    /// Number of tokens of a draft.
    #[arg(long, default_value_t = 32)]
    pub tokens: u32,
    /// Duration of each run, in milliseconds.
    #[arg(long, default_value_t = 4_000)]
    pub time_ms: u64,
    /// Number of runs of each program.
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
}

/// One run of one program.
#[derive(Debug)]
pub struct Run {
    /// The router program.
    pub router: PathBuf,
    /// The results that its callers observed.
    pub stats: Stats,
}

/// All runs of a measurement.
#[derive(Debug, Default)]
pub struct Runs(Vec<Run>);

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a program cannot be started.
pub async fn run(settings: &Settings) -> io::Result<Runs> {
    let mut runs = Runs::default();
    for _ in 0..settings.rounds {
        for router in &settings.routers {
            let fleet = start(router).await?;
            let stats = load(&fleet, settings).await;
            runs.0.push(Run { router: router.clone(), stats });
        }
    }
    Ok(runs)
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

async fn load(fleet: &Fleet, settings: &Settings) -> Stats {
    let worker = |number: usize| Drafter {
        caller: fleet.customer(),
        entry: fleet.entries[number % ENTRIES].callers,
        body: json!({
            "model": MODEL, "prompt": "a notice for the weekend", "max_tokens": settings.tokens,
        }),
    };
    let workers = (0..settings.callers).map(worker).collect();
    let limits = Limits { requests: u32::MAX, time: Duration::from_millis(settings.time_ms) };
    drive(workers, limits).await
}

/// A caller that sends drafts in sequence.
struct Drafter {
    caller: Caller,
    entry: SocketAddr,
    body: Value,
}

impl Worker for Drafter {
    async fn send(&mut self) -> bool {
        let answer = self.caller.post(self.entry, "/v1/completions", &self.body).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }
}

impl fmt::Display for Runs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| program | drafts/s | p50 ms | p95 ms | failed |")?;
        writeln!(f, "|---|---|---|---|---|")?;
        for Run { router, stats } in &self.0 {
            let name = router.file_name().unwrap_or_default().display();
            let rate = f64::from(stats.answered) / stats.time.as_secs_f64();
            let [p50, p95] = [50.0, 95.0].map(|p| stats.latency(p).as_millis());
            writeln!(f, "| {name} | {rate:.1} | {p50} | {p95} | {} |", stats.failed)?;
        }
        Ok(())
    }
}
