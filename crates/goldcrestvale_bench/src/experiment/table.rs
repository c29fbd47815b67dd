//! The runs of one scenario, as CSV and as tables of medians over the seeds.

use std::{fmt, io, path::Path};

use super::{Run, Scenario};
use crate::{policy::Kind, sim::Outcome};

/// The runs of one scenario.
#[derive(Debug)]
pub struct Table {
    scenario: Scenario,
    runs: Vec<Run>,
}

impl Table {
    pub(super) fn new(scenario: Scenario, runs: Vec<Run>) -> Self {
        Self { scenario, runs }
    }

    /// Returns the scenario.
    pub fn scenario(&self) -> Scenario {
        self.scenario
    }

    /// Returns the median over the seeds for a policy at a point.
    pub fn median(&self, kind: Kind, point: usize, of: impl Fn(&Outcome) -> f64) -> f64 {
        let runs = self.runs.iter().filter(|run| run.kind == kind && run.point == point);
        let mut values: Vec<f64> = runs.map(|run| of(&run.outcome)).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or_default()
    }

    /// Writes every run as CSV.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = csv::Writer::from_path(path)?;
        file.write_record([
            self.scenario.name(),
            "policy",
            "seed",
            "first_p50_ms",
            "first_p95_ms",
            "first_p99_ms",
            "gap_p95_ms",
            "within_target",
            "complete",
            "tokens_per_second",
        ])?;
        for run in &self.runs {
            let outcome = &run.outcome;
            file.write_record([
                self.scenario.points()[run.point].to_string(),
                run.kind.name().to_owned(),
                run.seed.to_string(),
                format!("{:.1}", outcome.first_ms(50.0)),
                format!("{:.1}", outcome.first_ms(95.0)),
                format!("{:.1}", outcome.first_ms(99.0)),
                format!("{:.1}", outcome.gap_ms(95.0)),
                format!("{:.4}", outcome.within_target()),
                outcome.complete().to_string(),
                format!("{:.0}", outcome.tokens_per_second),
            ])?;
        }
        file.flush()
    }

    fn section(
        &self,
        f: &mut fmt::Formatter<'_>,
        title: &str,
        cell: impl Fn(Kind, usize) -> String,
    ) -> fmt::Result {
        let points = self.scenario.points();
        let headings: Vec<String> = points.iter().map(f64::to_string).collect();
        writeln!(f, "{title}; columns: {}.\n", self.scenario.axis())?;
        writeln!(f, "| policy | {} |", headings.join(" | "))?;
        writeln!(f, "|---|{}", "---|".repeat(points.len()))?;
        for kind in Kind::ALL {
            let cells: Vec<String> = (0..points.len()).map(|point| cell(kind, point)).collect();
            writeln!(f, "| {} | {} |", kind.name(), cells.join(" | "))?;
        }
        writeln!(f)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.section(f, "Requests within target, %", |kind, point| {
            format!("{:.1}", 100.0 * self.median(kind, point, Outcome::within_target))
        })?;
        self.section(f, "Time to the first token, 95th percentile, ms", |kind, point| {
            format!("{:.0}", self.median(kind, point, |outcome| outcome.first_ms(95.0)))
        })
    }
}
