//! Each layer runs exactly once for each token, in order, under any faults of the stages.

mod support;

use std::time::Duration;

use goldcrestvale_route::{
    chain::Candidate,
    draft::{Fault, Recovery, Settings},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestCaseError, TestRunner},
};
use support::{AnswerFaults, InjectedFault, Simulation, candidate, check_outcome, prompt};

const DEPTH: u32 = 6;

/// A random fleet with faults, and a draft that runs on it.
#[derive(Debug, Clone)]
struct Scenario {
    held_layers: Vec<(u32, u32)>,
    faults: Vec<(usize, u32, InjectedFault)>,
    answer_faults: (u32, u32, u32, u32),
    prompt: u32,
    max_tokens: u32,
    settings: Settings,
    seed: u64,
}

impl Scenario {
    fn simulation(&self) -> Simulation {
        let engine = |(i, &(from, to)): (usize, &(u32, u32))| candidate(&format!("e{i}"), from, to);
        let mut simulation =
            Simulation::new(DEPTH, self.held_layers.iter().enumerate().map(engine));
        for (index, step, fault) in &self.faults {
            simulation.inject(&format!("e{}", index % self.held_layers.len()), *step, *fault);
        }
        let (duplicated, delayed, misnamed, lost) = self.answer_faults;
        simulation.answer_faults = AnswerFaults { duplicated, delayed, misnamed, lost };
        simulation.seed(self.seed);
        simulation
    }
}

fn any_injected_fault() -> impl Strategy<Value = InjectedFault> {
    let refusals = vec![Fault::Busy, Fault::Gap, Fault::NotHeld, Fault::Refused];
    prop_oneof![
        4 => Just(InjectedFault::Crash),
        2 => Just(InjectedFault::Blackhole),
        2 => any::<bool>().prop_map(|export| InjectedFault::Leave { export }),
        1 => any::<bool>().prop_map(|lost| InjectedFault::FalseReport { lost }),
        1 => Just(InjectedFault::SlowLink(100)),
        1 => Just(InjectedFault::Evict),
        1 => (proptest::sample::select(refusals), 1..4_u32)
            .prop_map(|(fault, times)| InjectedFault::Refuse(fault, times)),
    ]
}

fn any_settings() -> impl Strategy<Value = Settings> {
    let budgets = proptest::sample::select(vec![0, 64, 200, 1 << 20]);
    let chunks = proptest::sample::select(vec![1, 3, u32::MAX]);
    (any::<bool>(), any::<bool>(), budgets, chunks).prop_map(|(whole, moves, bytes, chunk)| {
        Settings {
            recovery: if whole { Recovery::Whole } else { Recovery::Stage },
            moves,
            retain_bytes: bytes,
            chunk,
            ..Settings::default()
        }
    })
}

fn any_scenario() -> impl Strategy<Value = Scenario> {
    let range = (0..DEPTH).prop_flat_map(|from| (Just(from), from + 1..=DEPTH));
    let held_layers = proptest::collection::vec(range, 4..10).prop_map(|mut held_layers| {
        // Two engines with halves of the model, so that a chain exists at the start.
        held_layers.extend([(0, DEPTH / 2), (DEPTH / 2, DEPTH)]);
        held_layers
    });
    let faults = proptest::collection::vec((0..12_usize, 1..14_u32, any_injected_fault()), 0..5);
    let rate = || proptest::sample::select(vec![0, 0, 100, 300]);
    let answer_faults = (rate(), rate(), rate(), rate());
    (held_layers, faults, answer_faults, 1..8_u32, 1..9_u32, any_settings(), any::<u64>()).prop_map(
        |(held_layers, faults, answer_faults, prompt, max_tokens, settings, seed)| Scenario {
            held_layers,
            faults,
            answer_faults,
            prompt,
            max_tokens,
            settings,
            seed,
        },
    )
}

fn runner(seed: u64, cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    })
}

fn check(scenario: &Scenario, ignore_attempt: bool) -> Result<bool, TestCaseError> {
    let mut simulation = scenario.simulation();
    simulation.ignore_attempt = ignore_attempt;
    let prompt = prompt(scenario.prompt, scenario.max_tokens).settings(scenario.settings.clone());
    let outcome = simulation.run(prompt);
    check_outcome(&outcome, scenario.prompt, scenario.max_tokens, DEPTH)
        .map_err(TestCaseError::fail)?;
    Ok(outcome.end.is_ok())
}

#[test]
fn any_faults_yield_the_reference_answer() {
    let complete = std::cell::Cell::new(0);
    let run = runner(21, 6_000).run(&any_scenario(), |scenario| {
        complete.set(complete.get() + u32::from(check(&scenario, false)?));
        Ok(())
    });
    run.unwrap();
    // For failed drafts only the tokens are checked, so more than half must complete.
    assert!(complete.get() > 3_000, "only {} answers were complete", complete.get());
}

#[test]
fn check_detects_draft_that_ignores_attempts() {
    // Without misnamed answers, so that only late answers of the draft itself can reveal it.
    let scenarios = any_scenario().prop_map(|mut scenario| {
        scenario.answer_faults.2 = 0;
        scenario
    });
    let run = runner(22, 20_000).run(&scenarios, |scenario| check(&scenario, true).map(|_| ()));
    let error = run.unwrap_err().to_string();
    assert!(error.starts_with("Test failed: token "), "{error}");
}

/// Returns two engines for each of three stages, and slow engines whose ranges match no stage.
fn fleet() -> Vec<Candidate> {
    let engines =
        [("a0", 0, 2), ("a1", 0, 2), ("b0", 2, 4), ("b1", 2, 4), ("c0", 4, 6), ("c1", 4, 6)];
    let slow = [("w", 0, 6), ("x", 1, 5)].map(|(name, from, to)| Candidate {
        step: Duration::from_millis(2),
        cost: Duration::from_millis(2),
        ..candidate(name, from, to)
    });
    engines.into_iter().map(|(name, from, to)| candidate(name, from, to)).chain(slow).collect()
}

#[test]
fn fault_at_each_step_of_each_stage() {
    let recoveries = [Recovery::Stage, Recovery::Whole]
        .map(|recovery| [0, 1 << 20].map(|bytes| (recovery, bytes)));
    let stages = [("a0", "a1"), ("b0", "b1"), ("c0", "c1")];
    let faults = [
        InjectedFault::Crash,
        InjectedFault::Blackhole,
        InjectedFault::Evict,
        InjectedFault::SlowLink(1_000),
    ];
    for (recovery, retain_bytes) in recoveries.into_iter().flatten() {
        for ((first, standby), step) in
            stages.into_iter().flat_map(|s| (1..=8).map(move |n| (s, n)))
        {
            for fault in faults {
                let mut simulation = Simulation::new(DEPTH, fleet());
                simulation.inject(first, step, fault);
                simulation.inject(standby, 1, fault);
                let settings = Settings { recovery, retain_bytes, ..Settings::default() };
                let outcome = simulation.run(prompt(4, 8).settings(settings));
                let case = format!("{recovery:?} {retain_bytes} {first} {step} {fault:?}");
                check_outcome(&outcome, 4, 8, DEPTH).unwrap_or_else(|e| panic!("{case}: {e}"));
                assert!(outcome.end.is_ok(), "{case}: {:?}", outcome.end);
                let rebuilt =
                    outcome.stats.rebuilds > 0 || (fault, step) == (InjectedFault::Evict, 1);
                assert!(rebuilt, "{case}: no stage was rebuilt");
            }
        }
    }
}
