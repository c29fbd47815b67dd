//! Several instances race for keys through one log, under every fault of log and instances.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod race;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};

use race::{
    cluster::World,
    step::{Reader, Step, step},
};

fn race(reader: Reader, cases: u32) -> Result<(), TestError<Vec<Step>>> {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec(step(), 10..120);
    TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut world = World::new(reader);
        for step in &steps {
            world.run(step)?;
        }
        world.finish()
    })
}

#[test]
fn a_key_runs_at_most_once_and_not_run_is_true() {
    race(Reader::InOrder, 1_500).unwrap();
}

#[test]
fn dispatching_on_the_acknowledgement_runs_a_key_twice() {
    let found = race(Reader::AckFirst, 1_500).unwrap_err().to_string();
    assert!(found.contains("ran for"), "{found}");
}

#[test]
fn guessing_that_a_trimmed_log_is_whole_runs_a_key_twice() {
    let found = race(Reader::GuessStart, 1_500).unwrap_err().to_string();
    assert!(found.contains("ran for"), "{found}");
}
