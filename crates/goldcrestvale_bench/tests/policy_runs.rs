//! The policy experiment: results depend only on the seed, and all policies get the same requests.

use std::time::Duration;

use goldcrestvale_bench::{
    experiment::{self, Scenario},
    policy::Kind,
    sim::{Settings, Simulation},
};

#[test]
fn output_files_are_reproducible() {
    let mut all = Vec::new();
    for threads in [1, 3] {
        let directory = tempfile::tempdir().unwrap();
        let settings = experiment::Settings {
            out: directory.path().into(),
            scenario: vec![Scenario::Skew],
            seeds: 1,
            seconds: 2,
            threads,
        };
        experiment::run(&settings).unwrap();
        let read =
            |extension| std::fs::read(directory.path().join("skew").with_extension(extension));
        all.push(["csv", "md", "svg"].map(|extension| read(extension).unwrap()));
    }
    assert_eq!(all[0], all[1]);
    assert!(all[0].iter().all(|file| file.len() > 500));
}

#[test]
fn light_load_is_within_target_for_policies_that_know_the_capacity() {
    for kind in [Kind::WeightedRandom, Kind::Balance, Kind::BalanceAlike, Kind::BalanceShared] {
        let settings = Settings::default().with_load(0.1).with_length(Duration::from_secs(20));
        let outcome = Simulation::new(settings, kind).run();
        assert!(outcome.complete() > 1_000, "{}", kind.name());
        assert!(outcome.within_target() > 0.95, "{}: {}", kind.name(), outcome.within_target());
    }
}

#[test]
fn all_policies_get_the_same_requests() {
    let run = |kind| {
        let settings = Settings::default().with_load(0.1).with_length(Duration::from_secs(10));
        Simulation::new(settings, kind).run().offered()
    };
    let offered = run(Kind::ALL[0]);
    assert!(offered > 0);
    assert!(Kind::ALL.iter().all(|kind| run(*kind) == offered));
}
