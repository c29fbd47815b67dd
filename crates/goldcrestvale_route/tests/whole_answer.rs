//! An answer is whole or an error, whatever its own and other requests' answers do.

mod support;

use std::time::Duration;

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::{
    chain::Planner,
    draft::{Action, Error, Event, Fault, Settings},
};
use support::{
    Chances, Outcome, Trouble, World, candidate, digest, judge, prompt, prompt_tokens, reference,
};

const DEPTH: u32 = 4;

fn world() -> World {
    let held = [("a", 0, 2), ("b", 2, 4), ("c", 0, 2), ("d", 2, 4)];
    World::new(DEPTH, held.map(|(name, from, to)| candidate(name, from, to)))
}

fn tokens(outcome: &Outcome) -> Vec<u32> {
    outcome.tokens.iter().map(|(_, token, _)| *token).collect()
}

#[test]
fn late_crossed_doubled_and_lost_answers() {
    let rows = [
        ("doubled", Chances { twice: 1_000, ..Chances::default() }),
        ("crossed", Chances { crossed: 1_000, ..Chances::default() }),
        ("late", Chances { late: 300, ..Chances::default() }),
        ("lost", Chances { lost: 300, ..Chances::default() }),
        ("all of them", Chances { twice: 300, crossed: 300, late: 200, lost: 200 }),
    ];
    for (name, chances) in rows {
        let mut whole = 0;
        for seed in 0..200 {
            let mut world = world();
            world.chances = chances;
            world.seed(seed);
            let outcome = world.run(prompt(3, 12));
            judge(&outcome, 3, 12, DEPTH).unwrap_or_else(|e| panic!("{name}, seed {seed}: {e}"));
            whole += u32::from(outcome.end.is_ok());
        }
        assert!(whole > 0, "{name}: no answer was whole");
        if chances.late + chances.lost == 0 {
            assert_eq!(whole, 200, "{name}");
        }
    }
}

#[test]
fn end_carries_count_and_digest() {
    let expected = reference(&prompt_tokens(5), 9, DEPTH);
    for most in [0, 1, 9] {
        let outcome = world().run(prompt(5, most));
        let expected = &expected[..most as usize];
        assert_eq!(tokens(&outcome), expected);
        assert_eq!(outcome.end, Ok((most, digest(expected))));
    }
    let stopped = world().run(prompt(5, 9).stop(expected[3]));
    assert_eq!(stopped.end, Ok((4, digest(&expected[..4]))));
}

#[test]
fn resumed_answer_goes_on_at_the_next_position() {
    let expected = reference(&prompt_tokens(5), 9, DEPTH);
    for known in 0..=9 {
        let mut world = world();
        world.trouble("a", 2, Trouble::Die);
        let outcome = world.run(prompt(5, 9).resume(&expected[..known]));
        assert_eq!(tokens(&outcome), expected[known..]);
        assert!(outcome.tokens.iter().zip(5 + known as u32..).all(|(token, at)| token.0 == at));
        assert_eq!(outcome.end, Ok((9, digest(&expected))));
    }
}

#[test]
fn nothing_follows_a_cancel() {
    for count in 1..6 {
        let mut world = world();
        world.chances = Chances { twice: 500, late: 100, ..Chances::default() };
        world.cancel_after = Some(count);
        let outcome = world.run(prompt(3, 8));
        let failure = outcome.end.as_ref().unwrap_err();
        assert_eq!((&failure.error, failure.verdict), (&Error::Cancelled, Verdict::MayHaveRun));
        assert_eq!(failure.retry_after, None);
        assert_eq!(outcome.tokens.len(), count);
        judge(&outcome, 3, 8, DEPTH).unwrap();
    }
}

#[test]
fn cancel_reaches_every_stage() {
    let mut planner = Planner::new(DEPTH, 1);
    [("a", 0, 2), ("b", 2, 4)].iter().for_each(|(n, f, t)| planner.insert(candidate(n, *f, *t)));
    let (mut draft, _) = prompt(3, 4).start(Instant(0), &planner).unwrap();
    let actions = draft.handle(Instant(1), Event::Cancel, &planner);
    let cancelled: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::CancelAttempt { upstream, attempt } => Some((upstream.as_str(), *attempt)),
            _ => None,
        })
        .collect();
    assert_eq!(cancelled, [("a", 1), ("b", 1)]);
    assert!(!draft.is_running() && draft.wake().is_none());
    assert!(draft.handle(Instant(2), Event::Tick, &planner).is_empty());
}

#[test]
fn refused_at_the_start_is_not_run() {
    let late = Instant(0) + Duration::from_micros(900);
    let mut lacking = world();
    lacking.planner.remove(&"a".parse().unwrap());
    lacking.planner.remove(&"c".parse().unwrap());
    let rows = [
        ("no chain", lacking.run(prompt(3, 4)), true),
        ("no prompt", world().run(prompt(0, 4)), false),
        ("no time", world().run(prompt(3, 4).deadline(late)), true),
    ];
    for (name, outcome, again) in rows {
        let failure = outcome.end.unwrap_err();
        assert!(failure.verdict.is_not_run(), "{name}");
        assert_eq!(failure.retry_after.is_some(), again, "{name}");
        assert_eq!(outcome.engine_runs, 0, "{name}");
    }
}

#[test]
fn deadline_ends_a_started_draft_at_once() {
    let deadline = Instant(0) + Duration::from_millis(20);
    let outcome = world().run(prompt(3, 1_000).deadline(deadline));
    let failure = outcome.end.unwrap_err();
    assert_eq!(outcome.at, deadline);
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
    assert_eq!(failure.error, Error::Deadline { count: outcome.tokens.len() as u32 });
}

#[test]
fn malformed_output_is_a_refusal() {
    let mut planner = Planner::new(DEPTH, 1);
    [("a", 0, 2), ("b", 2, 4), ("c", 0, 2)]
        .iter()
        .for_each(|(name, from, to)| planner.insert(candidate(name, *from, *to)));
    let wrong = [StepOutput::Token(1), StepOutput::Activations(vec![1, 2])];
    for output in wrong {
        let (mut draft, actions) = prompt(3, 4).start(Instant(0), &planner).unwrap();
        let Action::Send { step, .. } = &actions[0] else { panic!("{actions:?}") };
        let event = Event::Answered { name: step.name, output };
        let actions = draft.handle(Instant(1), event, &planner);
        let sent = actions.iter().find_map(|action| match action {
            Action::Send { upstream, step, .. } => Some((upstream.as_str(), step.name.attempt)),
            _ => None,
        });
        assert_eq!(sent, Some(("c", 2)), "{actions:?}");
    }
    let tries = Settings::default().tries;
    let (mut draft, actions) = prompt(3, 4).start(Instant(0), &planner).unwrap();
    let Action::Send { step, .. } = &actions[0] else { panic!("{actions:?}") };
    for _ in 1..tries {
        let event = Event::Failed { name: step.name, fault: Fault::Lost };
        let actions = draft.handle(Instant(1), event, &planner);
        assert!(matches!(&actions[..], [Action::Send { step: again, .. }] if again == step));
    }
}
