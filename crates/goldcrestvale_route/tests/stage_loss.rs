//! Recovery of a draft from lost stages and leaving engines, on virtual time.

mod support;

use std::time::Duration;

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::{
    chain,
    draft::{Action, Error, Event, Fault, Recovery, Settings},
    health::{self, Monitor},
};
use support::{InjectedFault, Outcome, Simulation, candidate, candidate_of, check_outcome, prompt};

/// Layers of the model, in four stages.
const DEPTH: u32 = 48;
const STAGES: [&str; 4] = ["a", "b", "c", "d"];

/// Maximum time from the loss of a stage to the next token.
const TARGET: Duration = Duration::from_secs(1);

/// Returns a fleet with two engines for each stage, `a0`, `a1`, `b0` and so on.
fn simulation(kind: Accelerator) -> Simulation {
    let stage_layers = DEPTH / STAGES.len() as u32;
    let engines = STAGES.iter().zip(0..).flat_map(|(stage, index)| {
        let kind = kind.clone();
        (0..2).map(move |replica| {
            let name = format!("{stage}{replica}");
            candidate_of(kind.clone(), &name, index * stage_layers, (index + 1) * stage_layers)
        })
    });
    Simulation::new(DEPTH, engines)
}

fn run(mut simulation: Simulation, length: u32, max_tokens: u32, settings: Settings) -> Outcome {
    let outcome = simulation.run(prompt(length, max_tokens).settings(settings));
    check_outcome(&outcome, length, max_tokens, DEPTH).expect("the reference answer");
    outcome
}

#[test]
fn next_token_within_the_target() {
    let kinds = [Accelerator::Large, Accelerator::Medium, Accelerator::Small];
    let faults = [
        InjectedFault::Crash,
        InjectedFault::Blackhole,
        InjectedFault::Evict,
        InjectedFault::Leave { export: true },
        InjectedFault::Leave { export: false },
        InjectedFault::Refuse(Fault::Busy, 100),
        InjectedFault::Refuse(Fault::Gap, 1),
    ];
    for kind in kinds {
        for recovery in [Recovery::Stage, Recovery::Whole] {
            for fault in faults {
                for stage in STAGES {
                    let mut simulation = simulation(kind.clone());
                    simulation.inject(&format!("{stage}0"), 3, fault);
                    let settings = Settings { recovery, ..Settings::default() };
                    let outcome = run(simulation, 1_000, 6, settings);
                    let case = format!("{kind:?} {recovery:?} {fault:?} at {stage}");
                    assert!(outcome.end.is_ok(), "{case}: {:?}", outcome.end);
                    assert!(outcome.max_gap() <= TARGET, "{case}: {:?}", outcome.max_gap());
                    assert_eq!(outcome.stats.rebuilds + outcome.stats.moved, 1, "{case}");
                }
            }
        }
    }
}

#[test]
fn rebuild_runs_only_the_required_layers() {
    // A draft with a prompt of 20 tokens loses a stage at its third step, at position 21: the first
    // step held positions 0..20, the second position 20. A step to a dead engine is sent twice.
    type Row<'a> = (&'a str, Recovery, usize, InjectedFault, u64, u32);
    let stage_layers = u64::from(DEPTH / 4);
    let everything = 1 << 20;
    let rows: [Row<'_>; 9] = [
        ("a0", Recovery::Stage, everything, InjectedFault::Crash, 21 * stage_layers, 0),
        ("d0", Recovery::Stage, everything, InjectedFault::Crash, 21 * stage_layers, 0),
        ("c0", Recovery::Stage, everything, InjectedFault::Evict, 21 * stage_layers, 0),
        // The stages before also ran position 21, once before the loss and once in the rebuild.
        ("c0", Recovery::Stage, 0, InjectedFault::Crash, (22 + 22 + 21) * stage_layers, 0),
        ("a0", Recovery::Stage, 0, InjectedFault::Crash, 21 * stage_layers, 0),
        (
            "c0",
            Recovery::Whole,
            everything,
            InjectedFault::Crash,
            (22 + 22 + 21 + 21) * stage_layers,
            0,
        ),
        ("b0", Recovery::Stage, everything, InjectedFault::Leave { export: true }, 0, 1),
        (
            "b0",
            Recovery::Stage,
            everything,
            InjectedFault::Leave { export: false },
            22 * stage_layers,
            0,
        ),
        ("b0", Recovery::Whole, everything, InjectedFault::Leave { export: true }, 0, 1),
    ];
    for (name, recovery, retain_bytes, fault, rebuilt, moved) in rows {
        let mut simulation = simulation(Accelerator::Large);
        simulation.inject(name, 3, fault);
        let settings = Settings { recovery, retain_bytes, ..Settings::default() };
        let outcome = run(simulation, 20, 6, settings);
        let case = format!("{name} {recovery:?} {retain_bytes} {fault:?}");
        assert!(outcome.end.is_ok(), "{case}");
        assert_eq!(outcome.stats.rebuilt(), rebuilt, "{case}");
        assert_eq!(outcome.stats.moved, moved, "{case}");
        assert_eq!(outcome.stats.rebuilds, u32::from(moved == 0), "{case}");
    }
}

#[test]
fn budget_releases_the_least_useful_boundaries() {
    // Three boundaries of 8 bytes per position. If two are retained, or only the middle one, at
    // most one stage besides the lost one runs again.
    let mut rebuilt = Vec::new();
    for retain_bytes in [1 << 20, 2 * 8 * 64, 8 * 64, 0] {
        let mut max_stages = 0;
        for stage in ["b0", "c0", "d0"] {
            let mut simulation = simulation(Accelerator::Large);
            simulation.inject(stage, 3, InjectedFault::Crash);
            let settings = Settings { retain_bytes, ..Settings::default() };
            let outcome = run(simulation, 30, 6, settings);
            assert!(outcome.end.is_ok());
            max_stages = max_stages.max(outcome.stats.rebuilt() / (31 * u64::from(DEPTH / 4)));
        }
        rebuilt.push(max_stages);
    }
    assert_eq!(rebuilt, [1, 2, 2, 4], "maximum number of stages that run again, by budget");
}

#[test]
fn no_replacement_fails_at_once() {
    let settings = Settings::default();
    let rows = [
        ("refused connections", InjectedFault::Crash, Duration::from_millis(3)),
        ("no response", InjectedFault::Blackhole, settings.timeout_floor),
        ("layers unloaded", InjectedFault::Refuse(Fault::NotHeld, 9), Duration::from_millis(3)),
    ];
    for (name, fault, bound) in rows {
        let mut simulation = simulation(Accelerator::Large);
        simulation.inject("b0", 3, fault);
        simulation.inject("b1", 1, fault);
        let outcome = simulation.run(prompt(20, 6).settings(settings.clone()));
        let failure = outcome.end.unwrap_err();
        let layers = [Layers { from: 12, to: 24 }].into_iter().collect();
        let source = chain::Error::Uncovered { layers };
        assert_eq!(failure.error, Error::Chain { source }, "{name}");
        assert_eq!(failure.verdict, Verdict::MayHaveRun, "{name}");
        assert!(failure.retry_after.is_some(), "{name}");
        let last_fault_at = simulation.first_fault_at["b1"];
        assert!(outcome.ended_at.since(last_fault_at) <= bound, "{name}");
    }
}

#[test]
fn crashed_replacement_is_replaced() {
    for step in 1..4 {
        let mut simulation = Simulation::new(
            4,
            [
                candidate("a0", 0, 2),
                candidate("b0", 2, 4),
                candidate("b1", 2, 4),
                candidate("b2", 2, 3),
                candidate("b3", 3, 4),
            ],
        );
        simulation.inject("b0", 3, InjectedFault::Crash);
        simulation.inject("b1", step, InjectedFault::Crash);
        let outcome = simulation.run(prompt(20, 8));
        check_outcome(&outcome, 20, 8, 4).unwrap();
        assert!(outcome.end.is_ok());
        assert_eq!(outcome.stats.rebuilds, 2);
        assert!(
            simulation.steps("b2") > 0 && simulation.steps("b3") > 0,
            "one stage is replaced by two"
        );
        assert!(outcome.max_gap() <= TARGET);
    }
}

#[test]
fn stages_lost_together() {
    let simulation = simulation(Accelerator::Large);
    let planner = simulation.planner;
    let (mut draft, _) = prompt(20, 6).start(Instant(0), &planner).unwrap();
    let mut sent = Vec::new();
    for name in ["a0", "c0", "d0", "a1"] {
        let event = Event::EngineLost { upstream: name.parse().unwrap() };
        for action in draft.handle(Instant(1_000), event, &planner) {
            if let Action::Send { upstream, step, .. } = action {
                sent.push((upstream.to_string(), step.name.attempt));
            }
        }
    }
    assert_eq!(sent, [("a1".into(), 2)], "only the first stage has inputs");
    assert!(!draft.is_running(), "the last engine of the first stage is lost too");
}

#[test]
fn leaving_engine_without_replacement_finishes_the_draft() {
    let mut simulation = simulation(Accelerator::Large);
    simulation.inject("b0", 3, InjectedFault::Leave { export: true });
    simulation.inject("b1", 1, InjectedFault::Crash);
    simulation.planner.remove(&"b1".parse().unwrap());
    let outcome = run(simulation, 20, 6, Settings::default());
    assert!(outcome.end.is_ok());
    assert_eq!((outcome.stats.rebuilds, outcome.stats.moved), (0, 0));
    assert_eq!(outcome.started_while_leaving, 0);
}

#[test]
fn degraded_link_is_avoided() {
    for replaceable in [true, false] {
        let mut simulation = simulation(Accelerator::Large);
        let settings = health::Settings { ejected_share: 0.2, ..health::Settings::default() };
        let mut monitor = Monitor::new(settings);
        for (index, stage) in
            STAGES.iter().flat_map(|s| [format!("{s}0"), format!("{s}1")]).enumerate()
        {
            let (upstream, domain) = (stage.parse().unwrap(), "kirkos".parse().unwrap());
            monitor.join(Instant(0), &upstream, &domain, Incarnation(index as u128));
        }
        simulation.monitor = Some(monitor);
        simulation.inject("c0", 8, InjectedFault::SlowLink(100));
        if !replaceable {
            simulation.planner.remove(&"c1".parse().unwrap());
        }
        let outcome = run(simulation, 1_000, 40, Settings::default());
        assert!(outcome.end.is_ok());
        assert_eq!(outcome.stats.rebuilds, u32::from(replaceable));
        assert!(outcome.max_gap() <= TARGET);
        if !replaceable {
            continue;
        }
        let last = &outcome.tokens[outcome.tokens.len() - 2..];
        assert!(last[1].2.since(last[0].2) < Duration::from_millis(20), "still uses the slow link");
    }
}

#[test]
fn rebuilds_are_bounded() {
    let mut simulation = simulation(Accelerator::Large);
    for step in 2..200 {
        simulation.inject("a0", step, InjectedFault::Evict);
    }
    let settings = Settings { rebuilds: 5, ..Settings::default() };
    let failure = simulation.run(prompt(20, 100).settings(settings)).end.unwrap_err();
    assert_eq!(failure.error, Error::Rebuilds { rebuilds: 5 });
}

#[test]
fn recovery_past_the_deadline_fails_at_once() {
    let mut simulation = simulation(Accelerator::Small);
    // Two steps of prefill, one token, and the lost step.
    simulation.inject("b0", 4, InjectedFault::Crash);
    let deadline = Instant(0) + Duration::from_millis(600);
    let outcome = simulation.run(prompt(1_000, 100).deadline(deadline));
    let failure = outcome.end.unwrap_err();
    assert!(matches!(failure.error, Error::Late { .. }), "{failure:?}");
    assert!(outcome.ended_at.since(simulation.first_fault_at["b0"]) < Duration::from_millis(5));
}

#[test]
fn failed_import_keeps_the_stage_on_its_engine() {
    // The only other engine for the stage is dead.
    let mut simulation = simulation(Accelerator::Large);
    simulation.inject("b0", 3, InjectedFault::Leave { export: true });
    simulation.crash("b1");
    let outcome = run(simulation, 20, 6, Settings::default());
    assert!(outcome.end.is_ok(), "{:?}", outcome.end);
    assert_eq!((outcome.stats.rebuilds, outcome.stats.moved), (0, 0));
}

#[test]
fn engine_that_failed_long_ago_is_used_again() {
    // The two engines of a stage refuse one step alternately, at long intervals.
    for (avoid, succeeds) in
        [(Settings::default().avoid, true), (Duration::from_secs(3_600), false)]
    {
        let mut simulation = simulation(Accelerator::Small);
        for (step, name) in [(3, "b0"), (250, "b1"), (500, "b0")] {
            simulation.inject(name, step, InjectedFault::Refuse(Fault::NotHeld, 1));
        }
        let outcome = run(simulation, 20, 900, Settings { avoid, ..Settings::default() });
        assert_eq!(outcome.end.is_ok(), succeeds, "{:?}", outcome.end);
        assert_eq!(outcome.stats.rebuilds, if succeeds { 3 } else { 2 });
    }
}

#[test]
fn slowdown_extends_the_timeout_but_not_the_expected_time() {
    let mut times = Vec::new();
    for (slowdown, factor) in [(1, 1), (10, 10)] {
        let mut simulation = simulation(Accelerator::Small);
        let slow = candidate_of(Accelerator::Small, "a0", 0, 12);
        simulation.planner.insert(chain::Candidate { slowdown, ..slow });
        let settings = Settings { timeout_floor: Duration::ZERO, ..Settings::default() };
        let prompt = prompt(20, 6).settings(settings.clone());
        let (_, actions) = prompt.start(Instant(0), &simulation.planner).unwrap();
        let Action::Send { expected, timeout, .. } = &actions[0] else { panic!("{actions:?}") };
        assert_eq!(*timeout, *expected * settings.timeout_factor * factor);
        times.push(*expected);
    }
    assert_eq!(times[0], times[1]);
}

// A draft ended when an engine was leaving and its stage could not be rebuilt elsewhere in time, although
// the engine still ran it.
#[test]
fn stage_that_is_late_elsewhere_stays_on_a_leaving_engine() {
    for event in ["leaving", "suspected"] {
        let simulation = simulation(Accelerator::Small);
        let planner = simulation.planner;
        let settings = Settings { moves: false, ..Settings::default() };
        let start = Instant(0);
        let prompt = prompt(1_000, 100).settings(settings);
        let (mut draft, _) = prompt.deadline(Instant(600_000)).start(start, &planner).unwrap();
        let upstream = "d0".parse().unwrap();
        let event = match event {
            "leaving" => Event::Leaving { upstream },
            _ => Event::Suspected { upstream },
        };
        draft.handle(Instant(590_000), event, &planner);
        assert!(draft.is_running());
    }
}

// A draft ended when an engine was leaving after its stages had been rebuilt as often as is allowed.
#[test]
fn stage_without_a_rebuild_stays_on_a_leaving_engine() {
    let simulation = simulation(Accelerator::Large);
    let planner = simulation.planner;
    for settings in [
        Settings { moves: false, rebuilds: 0, ..Settings::default() },
        Settings { rebuilds: 0, ..Settings::default() },
    ] {
        for event in ["leaving", "suspected"] {
            let prompt = prompt(20, 6).settings(settings.clone());
            let (mut draft, _) = prompt.start(Instant(0), &planner).unwrap();
            let upstream = "d0".parse().unwrap();
            let event = match event {
                "leaving" => Event::Leaving { upstream },
                _ => Event::Suspected { upstream },
            };
            draft.handle(Instant(1_000), event, &planner);
            assert!(draft.is_running());
        }
    }
}

// A draft ended when an engine with its KV cache was busy twice within 20 ms and no other held the layers.
#[test]
fn busy_engine_without_replacement_keeps_the_draft() {
    let mut simulation = simulation(Accelerator::Large);
    simulation.inject("b0", 3, InjectedFault::Refuse(Fault::Busy, 5));
    simulation.planner.remove(&"b1".parse().unwrap());
    let deadline = Instant(0) + Duration::from_secs(20);
    let outcome = simulation.run(prompt(20, 6).deadline(deadline));
    check_outcome(&outcome, 20, 6, DEPTH).unwrap();
    assert!(outcome.end.is_ok(), "{:?}", outcome.end);
}
