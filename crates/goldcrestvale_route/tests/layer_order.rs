//! Each layer runs exactly once for each token, in order, whatever befalls the stages.

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
use support::{Chances, Trouble, World, candidate, judge, prompt};

const DEPTH: u32 = 6;

/// A random fleet with its troubles, and a draft over it.
#[derive(Debug, Clone)]
struct Plot {
    held: Vec<(u32, u32)>,
    troubles: Vec<(usize, u32, Trouble)>,
    chances: (u32, u32, u32, u32),
    prompt: u32,
    most: u32,
    settings: Settings,
    seed: u64,
}

impl Plot {
    fn world(&self) -> World {
        let engine = |(i, &(from, to)): (usize, &(u32, u32))| candidate(&format!("e{i}"), from, to);
        let mut world = World::new(DEPTH, self.held.iter().enumerate().map(engine));
        for (index, step, trouble) in &self.troubles {
            world.trouble(&format!("e{}", index % self.held.len()), *step, *trouble);
        }
        let (twice, late, crossed, lost) = self.chances;
        world.chances = Chances { twice, late, crossed, lost };
        world.seed(self.seed);
        world
    }
}

fn any_trouble() -> impl Strategy<Value = Trouble> {
    let refusals = vec![Fault::Busy, Fault::Gap, Fault::NotHeld, Fault::Refused];
    prop_oneof![
        4 => Just(Trouble::Die),
        2 => Just(Trouble::Vanish),
        2 => any::<bool>().prop_map(|export| Trouble::Leave { export }),
        1 => any::<bool>().prop_map(|lost| Trouble::Accuse { lost }),
        1 => Just(Trouble::Slow(100)),
        1 => Just(Trouble::Evict),
        1 => (proptest::sample::select(refusals), 1..4_u32)
            .prop_map(|(fault, times)| Trouble::Refuse(fault, times)),
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

fn any_plot() -> impl Strategy<Value = Plot> {
    let range = (0..DEPTH).prop_flat_map(|from| (Just(from), from + 1..=DEPTH));
    let held = proptest::collection::vec(range, 4..10).prop_map(|mut held| {
        // Two engines with halves of the model, so that there is a chain to begin with.
        held.extend([(0, DEPTH / 2), (DEPTH / 2, DEPTH)]);
        held
    });
    let troubles = proptest::collection::vec((0..12_usize, 1..14_u32, any_trouble()), 0..5);
    let chance = || proptest::sample::select(vec![0, 0, 100, 300]);
    let chances = (chance(), chance(), chance(), chance());
    (held, troubles, chances, 1..8_u32, 1..9_u32, any_settings(), any::<u64>()).prop_map(
        |(held, troubles, chances, prompt, most, settings, seed)| Plot {
            held,
            troubles,
            chances,
            prompt,
            most,
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

fn check(plot: &Plot, ignore_attempt: bool) -> Result<bool, TestCaseError> {
    let mut world = plot.world();
    world.ignore_attempt = ignore_attempt;
    let prompt = prompt(plot.prompt, plot.most).settings(plot.settings.clone());
    let outcome = world.run(prompt);
    judge(&outcome, plot.prompt, plot.most, DEPTH).map_err(TestCaseError::fail)?;
    Ok(outcome.end.is_ok())
}

#[test]
fn any_troubles_leave_the_reference_answer() {
    let whole = std::cell::Cell::new(0);
    let run = runner(21, 6_000).run(&any_plot(), |plot| {
        whole.set(whole.get() + u32::from(check(&plot, false)?));
        Ok(())
    });
    run.unwrap();
    // Drafts that fail are judged by their tokens alone, so most have to end whole.
    assert!(whole.get() > 3_000, "only {} answers were whole", whole.get());
}

#[test]
fn the_judge_finds_a_draft_that_ignores_the_attempt() {
    // Answers with made-up names are left out: the draft must be caught by its own late answers.
    let late = any_plot().prop_map(|mut plot| {
        plot.chances.2 = 0;
        plot
    });
    let run = runner(22, 20_000).run(&late, |plot| check(&plot, true).map(|_| ()));
    let error = run.unwrap_err().to_string();
    assert!(error.starts_with("Test failed: token "), "{error}");
}

/// Returns three stages, each with a spare, and slow engines that hold more or less than a stage.
fn fleet() -> Vec<Candidate> {
    let held = [("a0", 0, 2), ("a1", 0, 2), ("b0", 2, 4), ("b1", 2, 4), ("c0", 4, 6), ("c1", 4, 6)];
    let slow = [("w", 0, 6), ("x", 1, 5)].map(|(name, from, to)| Candidate {
        step: Duration::from_millis(2),
        cost: Duration::from_millis(2),
        ..candidate(name, from, to)
    });
    held.into_iter().map(|(name, from, to)| candidate(name, from, to)).chain(slow).collect()
}

#[test]
fn a_death_at_each_step_of_each_stage() {
    let recoveries = [Recovery::Stage, Recovery::Whole]
        .map(|recovery| [0, 1 << 20].map(|bytes| (recovery, bytes)));
    let stages = [("a0", "a1"), ("b0", "b1"), ("c0", "c1")];
    let troubles = [Trouble::Die, Trouble::Vanish, Trouble::Evict, Trouble::Slow(1_000)];
    for (recovery, retain_bytes) in recoveries.into_iter().flatten() {
        for ((first, spare), step) in stages.into_iter().flat_map(|s| (1..=8).map(move |n| (s, n)))
        {
            for trouble in troubles {
                let mut world = World::new(DEPTH, fleet());
                world.trouble(first, step, trouble);
                world.trouble(spare, 1, trouble);
                let settings = Settings { recovery, retain_bytes, ..Settings::default() };
                let outcome = world.run(prompt(4, 8).settings(settings));
                let case = format!("{recovery:?} {retain_bytes} {first} {step} {trouble:?}");
                judge(&outcome, 4, 8, DEPTH).unwrap_or_else(|e| panic!("{case}: {e}"));
                assert!(outcome.end.is_ok(), "{case}: {:?}", outcome.end);
                let rebuilt = outcome.stats.rebuilds > 0 || (trouble, step) == (Trouble::Evict, 1);
                assert!(rebuilt, "{case}: the trouble was not met");
            }
        }
    }
}
