//! Idle cost of an entry instance by the number of upstreams.

use std::{fmt, io, path::PathBuf, time::Duration};

use clap::Args;
use goldcrestvale_standin::{
    caller::Caller,
    engine::{self, Engine},
    fleet::{Builder, Fleet, Programs},
    server::Handle,
};
use serde_json::json;

use crate::cpu;

/// Settings of the measurement.
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// Numbers of upstreams, in ascending order.
    #[arg(long, value_delimiter = ',', default_value = "0,40,160,430")]
    pub upstreams: Vec<usize>,
    /// Duration of the measurement for each number, in milliseconds.
    #[arg(long, default_value_t = 6_000)]
    pub time_ms: u64,
}

/// The idle cost of an instance with a number of upstreams.
#[derive(Debug, Clone)]
pub struct Cell {
    upstreams: usize,
    /// Processor time per second, in cores.
    cores: f64,
    resident_bytes: u64,
}

/// All cells of a run.
#[derive(Debug, Default)]
pub struct Cells(Vec<Cell>);

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a program cannot be started.
pub async fn run(settings: &Settings) -> io::Result<Cells> {
    let router = std::env::current_exe()?.with_file_name("goldcrestvale");
    let programs = Programs::beside(&router.display().to_string());
    let default = "[platform]\nlist_interval_ms = 500\n[upstream]\nload_interval_ms = 1000\n";
    let fleet = Builder::new(programs).entry("entry-1", default).start().await?;
    let mut engines = Vec::new();
    let mut cells = Cells::default();
    for &upstreams in &settings.upstreams {
        while engines.len() < upstreams {
            engines.push(start(&fleet, engines.len()).await?);
        }
        let all_reported = |dump: &serde_json::Value| {
            let rows = dump["upstreams"]["rows"].as_object();
            rows.map_or(0, |rows| rows.values().filter(|row| !row["report"].is_null()).count())
                >= upstreams
        };
        fleet.wait_dump(0, all_reported).await?;
        cells.0.push(measure(&fleet, upstreams, Duration::from_millis(settings.time_ms)).await?);
    }
    Ok(cells)
}

async fn start(fleet: &Fleet, number: usize) -> io::Result<Handle<Engine>> {
    let name = format!("engine-{number}");
    let settings = engine::Settings {
        name: name.parse().map_err(io::Error::other)?,
        record_runs: false,
        ..engine::Settings::default()
    };
    let engine = Engine::start(settings).await?;
    let listed = json!({
        "name": name, "role": "engine", "pool": "drafting", "address": engine.address(),
        "domain": "local", "state": "live",
    });
    Caller::default().post(fleet.platform.address, "/instances", &listed).await?;
    Ok(engine)
}

async fn measure(fleet: &Fleet, upstreams: usize, time: Duration) -> io::Result<Cell> {
    let process = fleet.entries[0].process.id();
    let before = cpu::used(process)?;
    tokio::time::sleep(time).await;
    let used = cpu::used(process)? - before;
    let cores = used.as_secs_f64() / time.as_secs_f64();
    Ok(Cell { upstreams, cores, resident_bytes: resident_bytes(process)? })
}

/// Returns the resident memory of a process.
fn resident_bytes(process: i32) -> io::Result<u64> {
    let path = PathBuf::from(format!("/proc/{process}/status"));
    let status = std::fs::read_to_string(path)?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kibibytes
        .map(|kibibytes| kibibytes << 10)
        .ok_or_else(|| io::Error::other("unexpected format of /proc/PID/status"))
}

impl fmt::Display for Cells {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| upstreams | % of a core | resident MiB |")?;
        writeln!(f, "|---|---|---|")?;
        for Cell { upstreams, cores, resident_bytes } in &self.0 {
            let mebibytes = *resident_bytes as f64 / f64::from(1 << 20);
            writeln!(f, "| {upstreams} | {:.2} | {mebibytes:.1} |", cores * 100.0)?;
        }
        writeln!(f, "\n{}", cpu::Machine::now())
    }
}
