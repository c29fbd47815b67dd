//! Recovery of a draft whose stages are lost or leave, on virtual time.

mod support;

use std::time::Duration;

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::{
    chain,
    draft::{Action, Error, Event, Fault, Recovery, Settings},
    health::{self, Monitor},
};
use support::{Outcome, Trouble, World, candidate, candidate_of, judge, prompt};

/// Layers of the model, in four stages.
const DEPTH: u32 = 48;
const STAGES: [&str; 4] = ["a", "b", "c", "d"];

/// Longest time from the death of a stage to the next token.
const TARGET: Duration = Duration::from_secs(1);

/// Returns a fleet with two engines for each stage, `a0`, `a1`, `b0` and so on.
fn world(kind: Accelerator) -> World {
    let each = DEPTH / STAGES.len() as u32;
    let engines = STAGES.iter().zip(0..).flat_map(|(stage, index)| {
        let kind = kind.clone();
        (0..2).map(move |spare| {
            let name = format!("{stage}{spare}");
            candidate_of(kind.clone(), &name, index * each, (index + 1) * each)
        })
    });
    World::new(DEPTH, engines)
}

fn run(mut world: World, length: u32, most: u32, settings: Settings) -> Outcome {
    let outcome = world.run(prompt(length, most).settings(settings));
    judge(&outcome, length, most, DEPTH).expect("the reference answer");
    outcome
}

#[test]
fn next_token_within_the_target() {
    let kinds = [Accelerator::Large, Accelerator::Medium, Accelerator::Small];
    let troubles = [
        Trouble::Die,
        Trouble::Vanish,
        Trouble::Evict,
        Trouble::Leave { export: true },
        Trouble::Leave { export: false },
        Trouble::Refuse(Fault::Busy, 100),
        Trouble::Refuse(Fault::Gap, 1),
    ];
    for kind in kinds {
        for recovery in [Recovery::Stage, Recovery::Whole] {
            for trouble in troubles {
                for stage in STAGES {
                    let mut world = world(kind.clone());
                    world.trouble(&format!("{stage}0"), 3, trouble);
                    let settings = Settings { recovery, ..Settings::default() };
                    let outcome = run(world, 1_000, 6, settings);
                    let case = format!("{kind:?} {recovery:?} {trouble:?} at {stage}");
                    assert!(outcome.end.is_ok(), "{case}: {:?}", outcome.end);
                    assert!(outcome.longest_gap() <= TARGET, "{case}: {:?}", outcome.longest_gap());
                    assert_eq!(outcome.stats.rebuilds + outcome.stats.moved, 1, "{case}");
                }
            }
        }
    }
}

#[test]
fn rebuild_runs_no_more_than_it_must() {
    // A draft of 20 tokens of prompt loses a stage at its third step, at position 21: the first
    // step held positions 0..20, the second position 20. A dead engine is asked twice.
    type Row<'a> = (&'a str, Recovery, usize, Trouble, u64, u32);
    let each = u64::from(DEPTH / 4);
    let everything = 1 << 20;
    let rows: [Row<'_>; 9] = [
        ("a0", Recovery::Stage, everything, Trouble::Die, 21 * each, 0),
        ("d0", Recovery::Stage, everything, Trouble::Die, 21 * each, 0),
        ("c0", Recovery::Stage, everything, Trouble::Evict, 21 * each, 0),
        // The stages before ran position 21 too, once for the lost stage and once again.
        ("c0", Recovery::Stage, 0, Trouble::Die, (22 + 22 + 21) * each, 0),
        ("a0", Recovery::Stage, 0, Trouble::Die, 21 * each, 0),
        ("c0", Recovery::Whole, everything, Trouble::Die, (22 + 22 + 21 + 21) * each, 0),
        ("b0", Recovery::Stage, everything, Trouble::Leave { export: true }, 0, 1),
        ("b0", Recovery::Stage, everything, Trouble::Leave { export: false }, 22 * each, 0),
        ("b0", Recovery::Whole, everything, Trouble::Leave { export: true }, 0, 1),
    ];
    for (name, recovery, retain_bytes, trouble, rebuilt, moved) in rows {
        let mut world = world(Accelerator::Large);
        world.trouble(name, 3, trouble);
        let settings = Settings { recovery, retain_bytes, ..Settings::default() };
        let outcome = run(world, 20, 6, settings);
        let case = format!("{name} {recovery:?} {retain_bytes} {trouble:?}");
        assert!(outcome.end.is_ok(), "{case}");
        assert_eq!(outcome.stats.rebuilt(), rebuilt, "{case}");
        assert_eq!(outcome.stats.moved, moved, "{case}");
        assert_eq!(outcome.stats.rebuilds, u32::from(moved == 0), "{case}");
    }
}

#[test]
fn budget_gives_up_the_least_useful_boundaries() {
    // Three boundaries of 8 bytes a position. With two kept or the middle one alone, at most one
    // more stage than the lost one runs again.
    let mut rebuilt = Vec::new();
    for retain_bytes in [1 << 20, 2 * 8 * 64, 8 * 64, 0] {
        let mut most = 0;
        for stage in ["b0", "c0", "d0"] {
            let mut world = world(Accelerator::Large);
            world.trouble(stage, 3, Trouble::Die);
            let settings = Settings { retain_bytes, ..Settings::default() };
            let outcome = run(world, 30, 6, settings);
            assert!(outcome.end.is_ok());
            most = most.max(outcome.stats.rebuilt() / (31 * u64::from(DEPTH / 4)));
        }
        rebuilt.push(most);
    }
    assert_eq!(rebuilt, [1, 2, 2, 4], "most stages run again, by budget");
}

#[test]
fn no_replacement_fails_at_once() {
    let settings = Settings::default();
    let rows = [
        ("refused connections", Trouble::Die, Duration::from_millis(3)),
        ("silence", Trouble::Vanish, settings.timeout_floor),
        ("layers unloaded", Trouble::Refuse(Fault::NotHeld, 9), Duration::from_millis(3)),
    ];
    for (name, trouble, bound) in rows {
        let mut world = world(Accelerator::Large);
        world.trouble("b0", 3, trouble);
        world.trouble("b1", 1, trouble);
        let outcome = world.run(prompt(20, 6).settings(settings.clone()));
        let failure = outcome.end.unwrap_err();
        let layers = [Layers { from: 12, to: 24 }].into_iter().collect();
        let source = chain::Error::Uncovered { layers };
        assert_eq!(failure.error, Error::Chain { source }, "{name}");
        assert_eq!(failure.verdict, Verdict::MayHaveRun, "{name}");
        assert!(failure.retry_after.is_some(), "{name}");
        let known = world.troubled["b1"];
        assert!(outcome.at.since(known) <= bound, "{name}");
    }
}

#[test]
fn replacement_that_dies_too_is_replaced() {
    for step in 1..4 {
        let mut world = World::new(
            4,
            [
                candidate("a0", 0, 2),
                candidate("b0", 2, 4),
                candidate("b1", 2, 4),
                candidate("b2", 2, 3),
                candidate("b3", 3, 4),
            ],
        );
        world.trouble("b0", 3, Trouble::Die);
        world.trouble("b1", step, Trouble::Die);
        let outcome = world.run(prompt(20, 8));
        judge(&outcome, 20, 8, 4).unwrap();
        assert!(outcome.end.is_ok());
        assert_eq!(outcome.stats.rebuilds, 2);
        assert!(world.steps("b2") > 0 && world.steps("b3") > 0, "one stage became two");
        assert!(outcome.longest_gap() <= TARGET);
    }
}

#[test]
fn stages_lost_together() {
    let world = world(Accelerator::Large);
    let planner = world.planner;
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
    let mut world = world(Accelerator::Large);
    world.trouble("b0", 3, Trouble::Leave { export: true });
    world.trouble("b1", 1, Trouble::Die);
    world.planner.remove(&"b1".parse().unwrap());
    let outcome = run(world, 20, 6, Settings::default());
    assert!(outcome.end.is_ok());
    assert_eq!((outcome.stats.rebuilds, outcome.stats.moved), (0, 0));
    assert_eq!(outcome.started_while_leaving, 0);
}

#[test]
fn degraded_link_is_left() {
    for replaceable in [true, false] {
        let mut world = world(Accelerator::Large);
        let settings = health::Settings { ejected_share: 0.2, ..health::Settings::default() };
        let mut monitor = Monitor::new(settings);
        for (index, stage) in
            STAGES.iter().flat_map(|s| [format!("{s}0"), format!("{s}1")]).enumerate()
        {
            let (upstream, domain) = (stage.parse().unwrap(), "kirkos".parse().unwrap());
            monitor.join(Instant(0), &upstream, &domain, Incarnation(index as u128));
        }
        world.monitor = Some(monitor);
        world.trouble("c0", 8, Trouble::Slow(100));
        if !replaceable {
            world.planner.remove(&"c1".parse().unwrap());
        }
        let outcome = run(world, 1_000, 40, Settings::default());
        assert!(outcome.end.is_ok());
        assert_eq!(outcome.stats.rebuilds, u32::from(replaceable));
        assert!(outcome.longest_gap() <= TARGET);
        if !replaceable {
            continue;
        }
        let last = &outcome.tokens[outcome.tokens.len() - 2..];
        assert!(last[1].2.since(last[0].2) < Duration::from_millis(20), "still over the slow link");
    }
}

#[test]
fn rebuilds_are_bounded() {
    let mut world = world(Accelerator::Large);
    for step in 2..200 {
        world.trouble("a0", step, Trouble::Evict);
    }
    let settings = Settings { rebuilds: 5, ..Settings::default() };
    let failure = world.run(prompt(20, 100).settings(settings)).end.unwrap_err();
    assert_eq!(failure.error, Error::Rebuilds { rebuilds: 5 });
}

#[test]
fn recovery_past_the_deadline_fails_at_once() {
    let mut world = world(Accelerator::Small);
    // Two steps of prefill, one token, and the step that is lost.
    world.trouble("b0", 4, Trouble::Die);
    let deadline = Instant(0) + Duration::from_millis(600);
    let outcome = world.run(prompt(1_000, 100).deadline(deadline));
    let failure = outcome.end.unwrap_err();
    assert!(matches!(failure.error, Error::Late { .. }), "{failure:?}");
    assert!(outcome.at.since(world.troubled["b0"]) < Duration::from_millis(5));
}

#[test]
fn failed_import_leaves_the_stage_where_it_is() {
    // The engine that is to take the stage over is dead, and there is no other.
    let mut lone = world(Accelerator::Large);
    lone.trouble("b0", 3, Trouble::Leave { export: true });
    lone.kill("b1");
    let outcome = run(lone, 20, 6, Settings::default());
    assert!(outcome.end.is_ok(), "{:?}", outcome.end);
    assert_eq!((outcome.stats.rebuilds, outcome.stats.moved), (0, 0));
}

#[test]
fn engine_that_failed_long_ago_is_used_again() {
    // The two engines of a stage refuse a step in turn, far apart.
    for (avoid, whole) in [(Settings::default().avoid, true), (Duration::from_secs(3_600), false)] {
        let mut world = world(Accelerator::Small);
        for (step, name) in [(3, "b0"), (250, "b1"), (500, "b0")] {
            world.trouble(name, step, Trouble::Refuse(Fault::NotHeld, 1));
        }
        let outcome = run(world, 20, 900, Settings { avoid, ..Settings::default() });
        assert_eq!(outcome.end.is_ok(), whole, "{:?}", outcome.end);
        assert_eq!(outcome.stats.rebuilds, if whole { 3 } else { 2 });
    }
}

#[test]
fn timeout_follows_the_slowdown_and_the_judgement_does_not() {
    let mut times = Vec::new();
    for (slowdown, factor) in [(1, 1), (10, 10)] {
        let mut world = world(Accelerator::Small);
        let slow = candidate_of(Accelerator::Small, "a0", 0, 12);
        world.planner.insert(chain::Candidate { slowdown, ..slow });
        let settings = Settings { timeout_floor: Duration::ZERO, ..Settings::default() };
        let prompt = prompt(20, 6).settings(settings.clone());
        let (_, actions) = prompt.start(Instant(0), &world.planner).unwrap();
        let Action::Send { expected, timeout, .. } = &actions[0] else { panic!("{actions:?}") };
        assert_eq!(*timeout, *expected * settings.timeout_factor * factor);
        times.push(*expected);
    }
    assert_eq!(times[0], times[1]);
}
