//! Steps that are late at an engine that lives: waited for where no other engine holds the
//! layers, and timed by the work that stands before them.

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

/// What is known of the engines.
#[derive(Clone, Copy)]
struct Known {
    alive: bool,
    positions: u32,
}

impl EngineState for Known {
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

fn start(planner: &Planner, known: Known) -> (Draft, Actions) {
    let model = "draft".parse().expect("a valid name");
    let prompt = Prompt::new(Request(Uuid::from_u128(7)), model, vec![1, 2, 3], 1);
    let plan = BalancedPlanner::new(planner, 1, known);
    prompt.start(Instant(0), &plan).expect("a chain")
}

/// Ticks until the draft ends or the limit passes; returns the time and the last actions.
fn tick(draft: &mut Draft, planner: &Planner, known: Known, until: Instant) -> (Instant, Actions) {
    let plan = BalancedPlanner::new(planner, 1, known);
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
fn waited_for_or_lost() {
    let settings = Settings::default();
    let floor = Instant(0) + settings.timeout_floor;
    let ceiling = Instant(0) + settings.timeout_ceiling;
    let table = [
        ("alone and silent", &["a"][..], false, floor),
        ("alone and alive", &["a"][..], true, ceiling),
        ("another engine", &["a", "b"][..], true, floor),
    ];
    for (case, engines, alive, expected) in table {
        let planner = planner(engines);
        let known = Known { alive, positions: 0 };
        let (mut draft, _) = start(&planner, known);
        let (at, actions) = tick(&mut draft, &planner, known, ceiling);
        assert_eq!(at, expected, "{case}: {actions:?}");
        let failed = actions.iter().any(|action| matches!(action, Action::Fail(_)));
        assert_eq!(failed, engines.len() == 1, "{case}: {actions:?}");
    }
}

#[test]
fn late_answer_counts() {
    let planner = planner(&["a"]);
    let known = Known { alive: true, positions: 0 };
    let (mut draft, actions) = start(&planner, known);
    let name = step(&actions).expect("a first step");
    let late = Instant(0) + Duration::from_secs(3);
    tick(&mut draft, &planner, known, late);
    let plan = BalancedPlanner::new(&planner, 1, known);
    let event = Event::Answered { name, output: StepOutput::Token(9) };
    draft.handle(late, event, &plan);
    assert_eq!(draft.answer(), [9]);
}

#[test]
fn timeout_counts_the_queue() {
    let planner = planner(&["a"]);
    let timeout = |positions| {
        let (_, actions) = start(&planner, Known { alive: false, positions });
        actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        })
    };
    let (idle, busy) = (timeout(0).expect("a step"), timeout(100_000).expect("a step"));
    // 100,000 positions of 4 layers at 2 us each stand before the step.
    assert_eq!(idle, Settings::default().timeout_floor);
    assert!(busy >= Duration::from_millis(3_200), "{busy:?}");
}

/// A draft that left a late engine for one that turns out to be dead goes back to it.
#[test]
fn late_engine_is_used_again() {
    let planner = planner(&["a", "b"]);
    for (alive, fails) in [(true, false), (false, true)] {
        let known = Known { alive, positions: 0 };
        let (mut draft, actions) = start(&planner, known);
        let first = engine(&actions).expect("a first step");
        let limit = Instant(0) + Duration::from_secs(1);
        let (mut now, mut actions) = tick(&mut draft, &planner, known, limit);
        let second = engine(&actions).expect("a step at the other engine");
        assert_ne!(first, second);
        let plan = BalancedPlanner::new(&planner, 1, known);
        // The second engine is dead; its step is tried once more under its name.
        while engine(&actions) == Some(second.clone()) {
            let name = step(&actions).expect("a step");
            now = now + Duration::from_millis(1);
            let event = Event::Failed { name, fault: Fault::Lost };
            actions = draft.handle(now, event, &plan);
        }
        let failed = actions.iter().any(|action| matches!(action, Action::Fail(_)));
        assert_eq!(failed, fails, "{actions:?}");
        assert_eq!(engine(&actions), (!fails).then_some(first), "{actions:?}");
    }
}

fn engine(actions: &Actions) -> Option<Upstream> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(upstream.clone()),
        _ => None,
    })
}

fn step(actions: &Actions) -> Option<StepName> {
    actions.iter().find_map(|action| match action {
        Action::Send { step, .. } => Some(step.name),
        _ => None,
    })
}
