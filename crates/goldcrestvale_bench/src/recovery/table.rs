//! The rows of all cases, as a table and as CSV.

use std::{collections::BTreeMap, fmt, io, path::Path, time::Duration};

use goldcrestvale_base::id::Request;

use super::{Draft, Fault};

/// The result of one case.
#[derive(Debug, Clone)]
pub struct Row {
    /// Number of drafts.
    pub drafts: usize,
    /// Number of drafts whose answer was complete and correct.
    pub correct: usize,
    /// Number of drafts that the engine served when it failed.
    pub served: usize,
    /// Median time between tokens before the fault.
    pub gap: Duration,
    /// Longest stall after the fault of each draft that the engine served, in ascending order.
    pub stalls: Vec<Duration>,
    /// Errors that ended answers early.
    pub errors: Vec<String>,
}

impl Row {
    pub(super) fn new(
        drafts: &[Draft],
        served: &[Request],
        fault_time: std::time::Instant,
    ) -> Self {
        let mut gaps: Vec<Duration> = Vec::new();
        let mut stalls = Vec::new();
        for draft in drafts {
            let pairs = || draft.times.windows(2).map(|pair| (pair[1], pair[1] - pair[0]));
            gaps.extend(pairs().filter(|(end, _)| *end < fault_time).map(|(_, gap)| gap));
            if draft.request.is_some_and(|request| served.contains(&request)) {
                stalls.extend(
                    pairs().filter(|(end, _)| *end >= fault_time).map(|(_, gap)| gap).max(),
                );
            }
        }
        gaps.sort_unstable();
        stalls.sort_unstable();
        Self {
            drafts: drafts.len(),
            correct: drafts.iter().filter(|draft| draft.correct).count(),
            served: served.len(),
            gap: gaps.get(gaps.len() / 2).copied().unwrap_or_default(),
            stalls,
            errors: drafts.iter().filter_map(|draft| draft.error.clone()).collect(),
        }
    }
}

/// The rows of all cases.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<(usize, Fault), Vec<Row>>,
}

impl Table {
    pub(super) fn push(&mut self, fault: Fault, prompt: usize, row: Row) {
        self.rows.entry((prompt, fault)).or_default().push(row);
    }

    /// Writes every round as CSV.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = csv::Writer::from_path(path)?;
        file.write_record([
            "prompt",
            "fault",
            "round",
            "drafts",
            "right",
            "served",
            "gap_ms",
            "still_p50_ms",
            "still_max_ms",
        ])?;
        for ((prompt, fault), rows) in &self.rows {
            for (row, round) in rows.iter().zip(1..) {
                file.write_record([
                    prompt.to_string(),
                    fault.name().to_owned(),
                    round.to_string(),
                    row.drafts.to_string(),
                    row.correct.to_string(),
                    row.served.to_string(),
                    millis(Some(&row.gap)),
                    millis(row.stalls.get(row.stalls.len() / 2)),
                    millis(row.stalls.last()),
                ])?;
            }
        }
        file.flush()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| prompt | engine is | drafts | whole and right | served by it | gap before, ms | standstill p50, ms | standstill max, ms |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|---|")?;
        for ((prompt, fault), rows) in &self.rows {
            let sum = |of: fn(&Row) -> usize| rows.iter().map(of).sum::<usize>();
            let mut gaps: Vec<Duration> = rows.iter().map(|row| row.gap).collect();
            gaps.sort_unstable();
            let mut stalls: Vec<Duration> =
                rows.iter().flat_map(|row| row.stalls.clone()).collect();
            stalls.sort_unstable();
            writeln!(
                f,
                "| {prompt} | {} | {} | {} | {} | {} | {} | {} |",
                fault.name(),
                sum(|row| row.drafts),
                sum(|row| row.correct),
                sum(|row| row.served),
                millis(gaps.get(gaps.len() / 2)),
                millis(stalls.get(stalls.len() / 2)),
                millis(stalls.last()),
            )?;
        }
        writeln!(f)?;
        let mut errors: BTreeMap<&str, usize> = BTreeMap::new();
        for error in self.rows.values().flatten().flat_map(|row| &row.errors) {
            *errors.entry(error).or_default() += 1;
        }
        for (error, count) in errors {
            writeln!(f, "{count} drafts ended with {error}")?;
        }
        Ok(())
    }
}

fn millis(span: Option<&Duration>) -> String {
    span.map_or_else(|| "–".to_owned(), |span| format!("{:.1}", span.as_secs_f64() * 1e3))
}
