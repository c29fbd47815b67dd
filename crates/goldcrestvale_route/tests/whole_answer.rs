//! An answer is complete or ends with an error, even if answers to steps of this or another
//! request are late, lost, duplicated or misnamed.

mod support;

use std::time::Duration;

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::{
    chain::Planner,
    draft::{Action, Error, Event, Fault, Settings},
};
use support::{
    AnswerFaults, InjectedFault, Outcome, Simulation, candidate, check_outcome, digest, prompt,
    prompt_tokens, reference_answer,
};

const DEPTH: u32 = 4;

fn simulation() -> Simulation {
    let held = [("a", 0, 2), ("b", 2, 4), ("c", 0, 2), ("d", 2, 4)];
    Simulation::new(DEPTH, held.map(|(name, from, to)| candidate(name, from, to)))
}

fn tokens(outcome: &Outcome) -> Vec<u32> {
    outcome.tokens.iter().map(|(_, token, _)| *token).collect()
}

#[test]
fn delayed_misnamed_duplicated_and_lost_answers() {
    let rows = [
        ("duplicated", AnswerFaults { duplicated: 1_000, ..AnswerFaults::default() }),
        ("misnamed", AnswerFaults { misnamed: 1_000, ..AnswerFaults::default() }),
        ("delayed", AnswerFaults { delayed: 300, ..AnswerFaults::default() }),
        ("lost", AnswerFaults { lost: 300, ..AnswerFaults::default() }),
        ("all", AnswerFaults { duplicated: 300, misnamed: 300, delayed: 200, lost: 200 }),
    ];
    for (name, answer_faults) in rows {
        let mut complete = 0;
        for seed in 0..200 {
            let mut simulation = simulation();
            simulation.answer_faults = answer_faults;
            simulation.seed(seed);
            let outcome = simulation.run(prompt(3, 12));
            check_outcome(&outcome, 3, 12, DEPTH)
                .unwrap_or_else(|e| panic!("{name}, seed {seed}: {e}"));
            complete += u32::from(outcome.end.is_ok());
        }
        assert!(complete > 0, "{name}: no answer was complete");
        if answer_faults.delayed + answer_faults.lost == 0 {
            assert_eq!(complete, 200, "{name}");
        }
    }
}

#[test]
fn end_carries_count_and_digest() {
    let expected = reference_answer(&prompt_tokens(5), 9, DEPTH);
    for max_tokens in [0, 1, 9] {
        let outcome = simulation().run(prompt(5, max_tokens));
        let expected = &expected[..max_tokens as usize];
        assert_eq!(tokens(&outcome), expected);
        assert_eq!(outcome.end, Ok((max_tokens, digest(expected))));
    }
    let stopped = simulation().run(prompt(5, 9).stop(expected[3]));
    assert_eq!(stopped.end, Ok((4, digest(&expected[..4]))));
}

#[test]
fn resumed_answer_continues_at_the_next_position() {
    let expected = reference_answer(&prompt_tokens(5), 9, DEPTH);
    for known in 0..=9 {
        let mut simulation = simulation();
        simulation.inject("a", 2, InjectedFault::Crash);
        let outcome = simulation.run(prompt(5, 9).resume(&expected[..known]));
        assert_eq!(tokens(&outcome), expected[known..]);
        assert!(outcome.tokens.iter().zip(5 + known as u32..).all(|(token, at)| token.0 == at));
        assert_eq!(outcome.end, Ok((9, digest(&expected))));
    }
}

#[test]
fn no_actions_after_cancel() {
    for count in 1..6 {
        let mut simulation = simulation();
        simulation.answer_faults =
            AnswerFaults { duplicated: 500, delayed: 100, ..AnswerFaults::default() };
        simulation.cancel_after = Some(count);
        let outcome = simulation.run(prompt(3, 8));
        let failure = outcome.end.as_ref().unwrap_err();
        assert_eq!((&failure.error, failure.verdict), (&Error::Cancelled, Verdict::MayHaveRun));
        assert_eq!(failure.retry_after, None);
        assert_eq!(outcome.tokens.len(), count);
        check_outcome(&outcome, 3, 8, DEPTH).unwrap();
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
fn rejected_prompt_is_not_run() {
    let late = Instant(0) + Duration::from_micros(900);
    let mut incomplete = simulation();
    incomplete.planner.remove(&"a".parse().unwrap());
    incomplete.planner.remove(&"c".parse().unwrap());
    let rows = [
        ("no chain", incomplete.run(prompt(3, 4)), true),
        ("no prompt", simulation().run(prompt(0, 4)), false),
        ("no time", simulation().run(prompt(3, 4).deadline(late)), true),
    ];
    for (name, outcome, retryable) in rows {
        let failure = outcome.end.unwrap_err();
        assert!(failure.verdict.is_not_run(), "{name}");
        assert_eq!(failure.retry_after.is_some(), retryable, "{name}");
        assert_eq!(outcome.engine_runs, 0, "{name}");
    }
}

#[test]
fn deadline_ends_a_running_draft_at_once() {
    let deadline = Instant(0) + Duration::from_millis(20);
    let outcome = simulation().run(prompt(3, 1_000).deadline(deadline));
    let failure = outcome.end.unwrap_err();
    assert_eq!(outcome.ended_at, deadline);
    assert_eq!(failure.verdict, Verdict::MayHaveRun);
    assert_eq!(failure.error, Error::Deadline { count: outcome.tokens.len() as u32 });
}

#[test]
fn malformed_output_is_treated_as_refused() {
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
    let max_sends = Settings::default().tries;
    let (mut draft, actions) = prompt(3, 4).start(Instant(0), &planner).unwrap();
    let Action::Send { step, .. } = &actions[0] else { panic!("{actions:?}") };
    for _ in 1..max_sends {
        let event = Event::Failed { name: step.name, fault: Fault::Lost };
        let actions = draft.handle(Instant(1), event, &planner);
        assert!(matches!(&actions[..], [Action::Send { step: retry, .. }] if retry == step));
    }
}
