//! Experiments: all policies at all points of a scenario, as a table, CSV and a plot.

mod plot;
mod scenario;
mod table;

use std::{
    io,
    path::{Path, PathBuf},
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use clap::Args;

use crate::{
    policy::Kind,
    sim::{Outcome, Simulation},
};
pub use scenario::Scenario;
pub use table::Table;

/// Settings of the experiments.
#[derive(Debug, Clone, Args)]
pub struct Settings {
    /// Output directory, for NAME.csv, NAME.md and NAME.svg of each scenario.
    #[arg(long, default_value = "docs/figures/policies")]
    pub out: PathBuf,
    /// Scenarios to run; by default all.
    #[arg(long, value_enum)]
    pub scenario: Vec<Scenario>,
    /// Number of seeds, starting at 1.
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
    /// Length of each run in seconds of virtual time.
    #[arg(long, default_value_t = 40)]
    pub seconds: u64,
    /// Number of threads.
    #[arg(long, default_value_t = 3)]
    pub threads: usize,
}

/// One run of a policy at a point of a scenario.
#[derive(Debug)]
pub struct Run {
    /// Index of the point.
    pub point: usize,
    /// The policy.
    pub kind: Kind,
    /// The seed.
    pub seed: u64,
    /// The outcome.
    pub outcome: Outcome,
}

/// Runs the experiments and writes their files.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn run(settings: &Settings) -> io::Result<()> {
    std::fs::create_dir_all(&settings.out)?;
    let all = Scenario::ALL.to_vec();
    let scenarios = if settings.scenario.is_empty() { all } else { settings.scenario.clone() };
    for scenario in scenarios {
        let table = Table::new(scenario, runs(scenario, settings));
        let file = |extension: &str| settings.out.join(scenario.name()).with_extension(extension);
        write(&table, &file)?;
    }
    Ok(())
}

fn write(table: &Table, file: &dyn Fn(&str) -> PathBuf) -> io::Result<()> {
    table.write(&file("csv"))?;
    std::fs::write(file("md"), table.to_string())?;
    plot(table, &file("svg"))
}

fn plot(table: &Table, path: &Path) -> io::Result<()> {
    plot::draw(table, path).map_err(|error| io::Error::other(error.to_string()))
}

/// Runs every policy with every seed at every point; the order of the results does not depend on
/// the threads.
fn runs(scenario: Scenario, settings: &Settings) -> Vec<Run> {
    let mut cases = Vec::new();
    for point in 0..scenario.points().len() {
        for kind in Kind::ALL {
            for seed in 1..=settings.seeds {
                cases.push((point, kind, seed));
            }
        }
    }
    let length = Duration::from_secs(settings.seconds);
    let next = AtomicUsize::new(0);
    let worker = || {
        let mut done = Vec::new();
        while let Some(&(point, kind, seed)) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
            let settings = scenario.settings(point).with_length(length).with_seed(seed);
            let outcome = Simulation::new(settings, kind).run();
            done.push(Run { point, kind, seed, outcome });
        }
        done
    };
    let mut runs = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..settings.threads.max(1)).map(|_| scope.spawn(worker)).collect();
        let done = threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default());
        done.collect::<Vec<_>>()
    });
    runs.sort_by_key(|run| (run.point, run.kind, run.seed));
    runs
}
