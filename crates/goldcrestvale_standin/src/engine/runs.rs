//! The record of all layer runs, used to detect skipped positions and positions that ran twice.

use std::collections::BTreeMap;

use goldcrestvale_base::id::Request;
use goldcrestvale_upstream::message::{Layers, StepName};

use super::counts::Run;

/// Ranges of positions in the order in which they ran, by request, attempt and layer.
#[derive(Debug, Default)]
pub(super) struct Runs(BTreeMap<(Request, u32, u32), Vec<(u32, u32)>>);

impl Runs {
    /// Records one step and returns the violations found.
    pub(super) fn record(&mut self, name: StepName, layers: Layers, positions: u32) -> Vec<String> {
        let mut violations = Vec::new();
        let (from, to) = (name.position, name.position + positions);
        for layer in layers.from..layers.to {
            let ranges = self.0.entry((name.request, name.attempt, layer)).or_default();
            match ranges.last_mut() {
                Some(last) if last.1 == from => last.1 = to,
                Some(last) => {
                    violations.push(format!(
                        "request {} attempt {} layer {layer}: {from}..{to} after {}..{}",
                        name.request, name.attempt, last.0, last.1
                    ));
                    ranges.push((from, to));
                }
                None => ranges.push((from, to)),
            }
        }
        violations
    }

    /// Returns all runs, ordered by request, attempt, layer and time.
    pub(super) fn list(&self) -> Vec<Run> {
        let runs = self.0.iter().flat_map(|(&(request, attempt, layer), ranges)| {
            ranges.iter().map(move |&(from, to)| Run { request, attempt, layer, from, to })
        });
        runs.collect()
    }
}
