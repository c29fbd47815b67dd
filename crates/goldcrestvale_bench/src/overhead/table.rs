//! The cells of all rounds, as a table and as CSV.

use std::{collections::BTreeMap, fmt, io, path::Path, time::Duration};

use super::{Cell, Kind, Route};
use crate::cpu::Machine;

/// The cells of all rounds.
#[derive(Debug)]
pub struct Table {
    idle: Duration,
    machine: Machine,
    cells: BTreeMap<(Kind, usize, Route), Vec<Cell>>,
}

impl Table {
    pub(super) fn new(idle: Duration) -> Self {
        Self { idle, machine: Machine::now(), cells: BTreeMap::new() }
    }

    pub(super) fn push(&mut self, cell: Cell) {
        self.cells.entry((cell.kind, cell.callers, cell.route)).or_default().push(cell);
    }

    /// Writes every cell of every round as CSV.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = csv::Writer::from_path(path)?;
        file.write_record([
            "kind", "callers", "way", "round", "p50_us", "p99_us", "rate", "cpu_us", "answered",
            "failed",
        ])?;
        for ((kind, callers, route), cells) in &self.cells {
            for (cell, round) in cells.iter().zip(1..) {
                file.write_record([
                    kind.name().to_owned(),
                    callers.to_string(),
                    route.name().to_owned(),
                    round.to_string(),
                    micros(cell.p50),
                    micros(cell.p99),
                    format!("{:.0}", cell.rate),
                    cell.cpu.map_or_else(String::new, micros),
                    cell.answered.to_string(),
                    cell.failed.to_string(),
                ])?;
            }
        }
        file.flush()
    }

    fn row(&self, f: &mut fmt::Formatter<'_>, key: (Kind, usize, Route)) -> fmt::Result {
        let (kind, callers, route) = key;
        let cells = &self.cells[&key];
        let direct = self.cells.get(&(kind, callers, Route::Direct));
        let added = |of: fn(&Cell) -> Duration| match direct {
            Some(direct) if route != Route::Direct => {
                let more = median(cells, |cell| of(cell).as_secs_f64());
                let base = median(direct, |cell| of(cell).as_secs_f64());
                format!("{:+.0}", (more - base) * 1e6)
            }
            _ => "–".to_owned(),
        };
        let cpu = cells
            .iter()
            .all(|cell| cell.cpu.is_some())
            .then(|| median(cells, |cell| cell.cpu.unwrap_or_default().as_secs_f64()));
        let failed: u32 = cells.iter().map(|cell| cell.failed).sum();
        writeln!(
            f,
            "| {} | {callers} | {} | {} | {} | {} | {} | {:.0} | {} | {} | {failed} |",
            kind.name(),
            route.name(),
            spread(cells, |cell| cell.p50.as_secs_f64() * 1e6),
            added(|cell| cell.p50),
            spread(cells, |cell| cell.p99.as_secs_f64() * 1e6),
            added(|cell| cell.p99),
            median(cells, |cell| cell.rate),
            cpu.map_or("–".to_owned(), |cpu| format!("{:.0}", cpu * 1e6)),
            cpu.filter(|cpu| *cpu > 0.0)
                .map_or("–".to_owned(), |cpu| format!("{:.0}", 1.0 / cpu)),
        )
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| kind | callers | way | p50 µs | added | p99 µs | added | requests/s | CPU µs/request | requests/s/core | failed |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|---|---|---|---|")?;
        for key in self.cells.keys() {
            self.row(f, *key)?;
        }
        writeln!(f, "\nIdle entry instance: {:.1}% of a core.", self.idle.as_secs_f64() * 100.0)?;
        writeln!(f, "{}", self.machine)
    }
}

fn micros(span: Duration) -> String {
    format!("{:.1}", span.as_secs_f64() * 1e6)
}

/// Returns the median of the rounds.
fn median(cells: &[Cell], of: impl Fn(&Cell) -> f64) -> f64 {
    let mut values: Vec<f64> = cells.iter().map(of).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Formats the median of the rounds, with the minimum and the maximum.
fn spread(cells: &[Cell], of: impl Fn(&Cell) -> f64) -> String {
    let values = || cells.iter().map(&of);
    let low = values().fold(f64::INFINITY, f64::min);
    let high = values().fold(0.0, f64::max);
    format!("{:.0} ({low:.0}–{high:.0})", median(cells, &of))
}
