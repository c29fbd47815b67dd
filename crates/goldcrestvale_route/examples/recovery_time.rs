//! Prints the time from the loss of a stage to the next token, on virtual time, for each recovery
//! mode, accelerator and context length, and the memory use of a draft.
//!
//! The time model is that of `tests/support`: a model of 48 layers in four stages, links of
//! 512 microseconds round trip, a step of 250, 500 or 1,000 microseconds a layer and each
//! further position 2, 5 or 12 microseconds a layer on a large, medium or small accelerator.

#![allow(clippy::print_stdout, reason = "the example prints a table")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use goldcrestvale_base::engine::Accelerator;
use goldcrestvale_route::draft::{Recovery, Settings};
use support::{InjectedFault, Outcome, Simulation, candidate_of, check_outcome, prompt};

const DEPTH: u32 = 48;
const STAGES: u32 = 4;

/// Tokens requested, and the step at which the third stage is lost.
const MAX_TOKENS: u32 = 8;
const LOST_AT: u32 = 4;

/// A recovery mode, with the fault that triggers it.
struct Row {
    recovery: &'static str,
    fault: InjectedFault,
    settings: Settings,
}

fn simulation(kind: &Accelerator) -> Simulation {
    let stage_layers = DEPTH / STAGES;
    let engines = (0..STAGES * 2).map(|index| {
        let stage = index / 2;
        let name = format!("s{stage}-{}", index % 2);
        candidate_of(kind.clone(), &name, stage * stage_layers, (stage + 1) * stage_layers)
    });
    Simulation::new(DEPTH, engines)
}

fn run(kind: &Accelerator, context: u32, row: &Row) -> Outcome {
    let mut simulation = simulation(kind);
    // The steps of a chunked prefill come before those of the tokens.
    let prefill = context.div_ceil(row.settings.chunk.min(context));
    simulation.inject("s2-0", prefill + LOST_AT - 1, row.fault);
    let outcome = simulation.run(prompt(context, MAX_TOKENS).settings(row.settings.clone()));
    check_outcome(&outcome, context, MAX_TOKENS, DEPTH).expect("the answer matches the reference");
    outcome
}

fn rows() -> Vec<Row> {
    let whole = Settings {
        recovery: Recovery::Whole,
        moves: false,
        chunk: u32::MAX,
        retain_bytes: 1 << 30,
        ..Settings::default()
    };
    let stage = Settings { recovery: Recovery::Stage, ..whole.clone() };
    let chunked = |settings: &Settings| Settings { chunk: 512, ..settings.clone() };
    let none = Settings { retain_bytes: 0, ..stage.clone() };
    let moved = Settings { moves: true, ..stage.clone() };
    let row = |recovery, fault, settings| Row { recovery, fault, settings };
    let leave = InjectedFault::Leave { export: true };
    vec![
        row("whole replay", InjectedFault::Crash, whole.clone()),
        row("whole replay, chunks of 512", InjectedFault::Crash, chunked(&whole)),
        row("stage, nothing retained", InjectedFault::Crash, none.clone()),
        row("stage, nothing retained, chunks of 512", InjectedFault::Crash, chunked(&none)),
        row("stage, retained", InjectedFault::Crash, stage.clone()),
        row("stage, retained, chunks of 512", InjectedFault::Crash, chunked(&stage)),
        row("stage, retained, silent death", InjectedFault::Blackhole, stage.clone()),
        row("KV move, the engine leaves", leave, moved),
    ]
}

fn millis(span: Duration) -> String {
    format!("{:.1}", span.as_secs_f64() * 1e3)
}

fn main() {
    println!(
        "| accelerator | context | way | detection ms | rebuild ms | gap ms | usual gap ms | bytes |"
    );
    println!("|---|--:|---|--:|--:|--:|--:|--:|");
    for kind in [Accelerator::Large, Accelerator::Medium, Accelerator::Small] {
        for context in [100, 1_000, 8_000] {
            for row in rows() {
                let outcome = run(&kind, context, &row);
                let (detection, rebuild) = outcome.recoveries.first().copied().unzip();
                let typical_gap = outcome.tokens[1].2.since(outcome.tokens[0].2);
                println!(
                    "| {kind:?} | {context} | {} | {} | {} | {} | {} | {} |",
                    row.recovery,
                    detection.map_or("-".into(), millis),
                    rebuild.map_or("-".into(), millis),
                    millis(outcome.max_gap()),
                    millis(typical_gap),
                    outcome.peak_bytes,
                );
            }
        }
    }
}
