//! Late steps at an engine that is alive: the draft waits for them if no other engine holds the
//! layers, and their timeout includes the time in the queue of the engine.

use std::time::Duration;

use goldcrestvale_base::{
    engine::{Accelerator, Layers, StepName, StepOutput},
    id::{Request, Upstream},
    time::Instant,
};
use goldcrestvale_route::{
    chain::{BalancedPlanner, Candidate, EngineState, Planner},
    draft::{Action, Actions, Draft, Event, Fault, Prompt, Settings},
};
use uuid::Uuid;

/// Reported state of the engines.
#[derive(Clone, Copy)]
struct FixedState {
    alive: bool,
    positions: u32,
}

impl EngineState for FixedState {
    fn steps(&self, _upstream: &Upstream) -> u32 {
        0
    }

    fn positions(&self, _upstream: &Upstream) -> u32 {
        self.positions
    }

    fn is_alive(&self, _upstream: &Upstream) -> bool {
        self.alive
    }
}

const LAYERS: Layers = Layers { from: 0, to: 4 };

fn planner(engines: &[&str]) -> Planner {
    let mut planner = Planner::new(LAYERS.to, 1);
    for name in engines {
        planner.insert(Candidate {
            upstream: name.parse().expect("a valid name"),
            domain: "local".parse().expect("a valid name"),
            accelerator: Accelerator::Large,
            holds: [LAYERS].into_iter().collect(),
            step: Duration::from_micros(250),
            cost: Duration::from_micros(250),
            prefill: Duration::from_micros(2),
            link: Duration::from_millis(1),
            slowdown: 1,
        });
    }
    planner
}

fn start(planner: &Planner, state: FixedState) -> (Draft, Actions) {
    let model = "draft".parse().expect("a valid name");
    let prompt = Prompt::new(Request(Uuid::from_u128(7)), model, vec![1, 2, 3], 1);
    let plan = BalancedPlanner::new(planner, 1, state);
    prompt.start(Instant(0), &plan).expect("a chain")
}

/// Ticks until the draft returns actions, ends, or has no timer due by `until`; returns the time
/// and the last actions.
fn tick_until(
    draft: &mut Draft,
    planner: &Planner,
    state: FixedState,
    until: Instant,
) -> (Instant, Actions) {
    let plan = BalancedPlanner::new(planner, 1, state);
    let mut now = Instant(0);
    while let Some(wake) = draft.wake().filter(|wake| *wake <= until) {
        now = wake;
        let actions = draft.handle(now, Event::Tick, &plan);
        if !actions.is_empty() {
            return (now, actions);
        }
    }
    (now, Actions::new())
}

#[test]
fn late_step_is_awaited_only_without_alternative() {
    let settings = Settings::default();
    let floor = Instant(0) + settings.timeout_floor;
    let ceiling = Instant(0) + settings.timeout_ceiling;
    let table = [
        ("single engine, unresponsive", &["a"][..], false, floor),
        ("single engine, alive", &["a"][..], true, ceiling),
        ("two engines", &["a", "b"][..], true, floor),
    ];
    for (case, engines, alive, expected) in table {
        let planner = planner(engines);
        let state = FixedState { alive, positions: 0 };
        let (mut draft, _) = start(&planner, state);
        let (at, actions) = tick_until(&mut draft, &planner, state, ceiling);
        assert_eq!(at, expected, "{case}: {actions:?}");
        let failed = actions.iter().any(|action| matches!(action, Action::Fail(_)));
        assert_eq!(failed, engines.len() == 1, "{case}: {actions:?}");
    }
}

#[test]
fn late_answer_is_accepted() {
    let planner = planner(&["a"]);
    let state = FixedState { alive: true, positions: 0 };
    let (mut draft, actions) = start(&planner, state);
    let name = first_step(&actions).expect("a first step");
    let late = Instant(0) + Duration::from_secs(3);
    tick_until(&mut draft, &planner, state, late);
    let plan = BalancedPlanner::new(&planner, 1, state);
    let event = Event::Answered { name, output: StepOutput::Token(9) };
    draft.handle(late, event, &plan);
    assert_eq!(draft.answer(), [9]);
}

#[test]
fn timeout_includes_the_queue() {
    let planner = planner(&["a"]);
    let timeout = |positions| {
        let (_, actions) = start(&planner, FixedState { alive: false, positions });
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    let (idle, busy) = (timeout(0).expect("a step"), timeout(100_000).expect("a step"));
    // 100,000 positions of 4 layers at 2 us each are queued before the step.
    assert_eq!(idle, Settings::default().timeout_floor);
    assert!(busy >= Duration::from_millis(3_200), "{busy:?}");
}

/// A draft that replaced a late engine by one that is dead returns to the late engine if it is
/// alive.
#[test]
fn late_engine_is_used_again() {
    let planner = planner(&["a", "b"]);
    for (alive, fails) in [(true, false), (false, true)] {
        let state = FixedState { alive, positions: 0 };
        let (mut draft, actions) = start(&planner, state);
        let first = first_upstream(&actions).expect("a first step");
        let limit = Instant(0) + Duration::from_secs(1);
        let (mut now, mut actions) = tick_until(&mut draft, &planner, state, limit);
        let second = first_upstream(&actions).expect("a step at the other engine");
        assert_ne!(first, second);
        let plan = BalancedPlanner::new(&planner, 1, state);
        // The second engine is dead; its step is retried once under the same name.
        while first_upstream(&actions) == Some(second.clone()) {
            let name = first_step(&actions).expect("a step");
            now = now + Duration::from_millis(1);
            let event = Event::Failed { name, fault: Fault::Lost };
            actions = draft.handle(now, event, &plan);
        }
        let failed = actions.iter().any(|action| matches!(action, Action::Fail(_)));
        assert_eq!(failed, fails, "{actions:?}");
        assert_eq!(first_upstream(&actions), (!fails).then_some(first), "{actions:?}");
    }
}

fn first_upstream(actions: &Actions) -> Option<Upstream> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(upstream.clone()),
        _ => None,
    })
}

fn first_step(actions: &Actions) -> Option<StepName> {
    actions.iter().find_map(|action| match action {
        Action::Send { step, .. } => Some(step.name),
        _ => None,
    })
}
