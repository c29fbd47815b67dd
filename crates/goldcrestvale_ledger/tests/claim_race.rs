//! Several instances claim keys concurrently in one log, with faults of the log and the instances.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod race;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};

use race::{
    cluster::Cluster,
    step::{Reader, Step, step},
};

fn run_cases(reader: Reader, cases: u32) -> Result<(), TestError<Vec<Step>>> {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec(step(), 10..120);
    TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut cluster = Cluster::new(reader);
        for step in &steps {
            cluster.run(step)?;
        }
        cluster.finish()
    })
}

#[test]
fn a_key_runs_at_most_once_and_not_run_verdicts_are_correct() {
    run_cases(Reader::InOrder, 1_500).unwrap();
}

#[test]
fn dispatching_on_acknowledgement_runs_a_key_twice() {
    let error = run_cases(Reader::AckAsRead, 1_500).unwrap_err().to_string();
    assert!(error.contains("ran for"), "{error}");
}

#[test]
fn treating_a_trimmed_log_as_complete_runs_a_key_twice() {
    let error = run_cases(Reader::AssumeStart, 1_500).unwrap_err().to_string();
    assert!(error.contains("ran for"), "{error}");
}
