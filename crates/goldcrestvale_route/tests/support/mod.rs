//! Engines on virtual time that hash activations, and a driver of one draft over them.

#![allow(dead_code, unused_imports, unreachable_pub, reason = "each test uses a part")]

mod engine;
mod reference;

use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::{
    chain::{Candidate, Planner},
    draft::{Action, Actions, Draft, Event, Fault, Prompt, Stats},
    health::{Change, Monitor, Outcome as Observed},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use engine::Engine;
pub use engine::{Trouble, candidate, candidate_of};
pub use reference::{Outcome, digest, judge, prompt, prompt_tokens, reference};

/// Longest virtual time of a run; a draft that is still running then hangs.
const LIMIT: Instant = Instant(600_000_000);

/// Chances of faults of answers, each out of a thousand.
#[derive(Debug, Clone, Copy, Default)]
pub struct Chances {
    /// The answer comes twice, the second time late.
    pub twice: u32,
    /// The answer comes late, mostly after the timeout.
    pub late: u32,
    /// An answer that carries another name comes before it.
    pub crossed: u32,
    /// The step runs and its connection breaks before the answer.
    pub lost: u32,
}

#[derive(Debug)]
enum Arrival {
    Step(Upstream, Step),
    Event(Event),
}

/// Engines, the network between, and a planner that learns of no fault.
pub struct World {
    pub planner: Planner,
    pub chances: Chances,
    /// Ignores the attempt when answers are matched, as a wrong draft would.
    pub ignore_attempt: bool,
    /// Cancels the draft when so many tokens were committed.
    pub cancel_after: Option<usize>,
    /// Judges the engines by their answers; an ejected engine is left.
    pub monitor: Option<Monitor>,
    sent: BTreeMap<StepName, (Upstream, Instant, Duration)>,
    /// When each engine met its first trouble.
    pub troubled: BTreeMap<Upstream, Instant>,
    depth: u32,
    engines: BTreeMap<Upstream, Engine>,
    now: Instant,
    queue: BTreeMap<(Instant, u64), Arrival>,
    sequence: u64,
    awaited: BTreeMap<(u32, u32), StepName>,
    rng: ChaCha8Rng,
    runs: u64,
    started_while_leaving: u32,
}

impl World {
    pub fn new(depth: u32, candidates: impl IntoIterator<Item = Candidate>) -> Self {
        let mut world = Self {
            planner: Planner::new(depth, 1),
            chances: Chances::default(),
            ignore_attempt: false,
            cancel_after: None,
            monitor: None,
            sent: BTreeMap::new(),
            troubled: BTreeMap::new(),
            depth,
            engines: BTreeMap::new(),
            now: Instant(0),
            queue: BTreeMap::new(),
            sequence: 0,
            awaited: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(1),
            runs: 0,
            started_while_leaving: 0,
        };
        for candidate in candidates {
            world.planner.insert(candidate.clone());
            let engine = Engine {
                candidate: candidate.clone(),
                troubles: Vec::new(),
                steps: 0,
                dead: false,
                vanished: false,
                leaving: false,
                exports: true,
                slow: 1,
                refuses: None,
                caches: BTreeMap::new(),
            };
            world.engines.insert(candidate.upstream, engine);
        }
        world
    }

    pub fn seed(&mut self, seed: u64) {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
    }

    /// Lets trouble befall an engine when its step of a number, from 1, arrives.
    pub fn trouble(&mut self, name: &str, step: u32, trouble: Trouble) {
        let engine = self.engines.get_mut(name).expect("a known engine");
        engine.troubles.push((step, trouble));
    }

    /// Ends an engine before the draft starts.
    pub fn kill(&mut self, name: &str) {
        self.engines.get_mut(name).expect("a known engine").dead = true;
    }

    pub fn steps(&self, name: &str) -> u32 {
        self.engines[name].steps
    }

    /// Runs a draft to its end, and then hands over what is still under way.
    pub fn run(&mut self, prompt: Prompt) -> Outcome {
        let planner = self.planner.clone();
        let mut outcome = Outcome {
            tokens: Vec::new(),
            end: Ok((0, digest(&[]))),
            at: self.now,
            stats: Stats::default(),
            recoveries: Vec::new(),
            bytes: 0,
            engine_runs: 0,
            after_end: 0,
            started_while_leaving: 0,
        };
        let (mut draft, actions) = match prompt.start(self.now, &planner) {
            Ok(started) => started,
            Err(failure) => {
                outcome.end = Err(failure);
                return outcome;
            }
        };
        self.carry_out(actions, &mut outcome);
        while draft.is_running() {
            assert!(self.now < LIMIT, "the draft hangs: {draft:?}");
            let event = self.next_event(&draft);
            let actions = draft.handle(self.now, event, &planner);
            outcome.bytes = outcome.bytes.max(draft.bytes());
            self.carry_out(actions, &mut outcome);
            if self.cancel_after.is_some_and(|count| outcome.tokens.len() >= count) {
                self.cancel_after = None;
                let actions = draft.handle(self.now, Event::Cancel, &planner);
                self.carry_out(actions, &mut outcome);
            }
        }
        outcome.at = self.now;
        while let Some(((at, _), arrival)) = self.queue.pop_first() {
            self.now = at;
            if let Arrival::Event(event) = arrival {
                outcome.after_end += draft.handle(self.now, event, &planner).len();
            }
        }
        outcome.stats = draft.stats().clone();
        outcome.engine_runs = self.runs;
        outcome.started_while_leaving = self.started_while_leaving;
        outcome
    }

    fn next_event(&mut self, draft: &Draft) -> Event {
        loop {
            let wake = draft.wake().expect("a running draft awaits something");
            if self.queue.first_key_value().is_none_or(|((at, _), _)| *at > wake) {
                self.now = self.now.max(wake);
                return Event::Tick;
            }
            let ((at, _), arrival) = self.queue.pop_first().expect("the queue is not empty");
            self.now = at;
            match arrival {
                Arrival::Event(event) => {
                    self.observe(&event);
                    return self.seam(event);
                }
                Arrival::Step(upstream, step) => self.arrive(&upstream, step),
            }
        }
    }

    /// Shows an answer or a failure to the monitor.
    fn observe(&mut self, event: &Event) {
        let (name, outcome) = match event {
            Event::Answered { name, .. } => (name, None),
            Event::Failed { name, fault } => (name, Some(Observed::Failed(*fault))),
            _ => return,
        };
        let (Some(monitor), Some((upstream, at, expected))) =
            (&mut self.monitor, self.sent.remove(name))
        else {
            return;
        };
        let answered = Observed::Answered { took: self.now.since(at), expected };
        for change in monitor.observe(self.now, &upstream, outcome.unwrap_or(answered)) {
            if let Change::Ejected { upstream, .. } = change {
                self.push(Duration::ZERO, Arrival::Event(Event::Suspected { upstream }));
            }
        }
    }

    /// Renames a late answer to the awaited step of the same position and stage.
    fn seam(&self, event: Event) -> Event {
        match event {
            Event::Answered { name, output } if self.ignore_attempt => {
                let awaited = self.awaited.get(&(name.position, name.stage));
                Event::Answered { name: awaited.copied().unwrap_or(name), output }
            }
            event => event,
        }
    }

    fn push(&mut self, after: Duration, arrival: Arrival) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), arrival);
    }

    fn chance(&mut self, of_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < of_thousand
    }

    fn carry_out(&mut self, actions: Actions, outcome: &mut Outcome) {
        for action in actions {
            match action {
                Action::Send { upstream, step, expected, .. } => {
                    let name = step.name;
                    self.sent.insert(name, (upstream.clone(), self.now, expected));
                    self.awaited.insert((name.position, name.stage), name);
                    let way = self.way(&upstream);
                    self.push(way, Arrival::Step(upstream, step));
                }
                Action::CancelAttempt { upstream, attempt } => {
                    // A late step must not run again under an attempt that was cancelled, but a
                    // cancel may also be lost; only half of them arrive.
                    if self.chance(500) {
                        let engine = self.engines.get_mut(&upstream).expect("a known engine");
                        engine.caches.remove(&attempt);
                    }
                }
                Action::MoveKv { from, attempt, to, new_attempt, layers, .. } => {
                    self.move_kv(&from, attempt, &to, new_attempt, layers);
                }
                Action::Commit { position, token } => {
                    outcome.tokens.push((position, token, self.now));
                }
                Action::Recovered { detection, rebuild } => {
                    outcome.recoveries.push((detection, rebuild));
                }
                Action::Finish { count, digest } => outcome.end = Ok((count, digest)),
                Action::Fail(failure) => outcome.end = Err(failure),
            }
        }
    }

    /// Returns the time of the link to an engine, one way.
    fn way(&self, upstream: &Upstream) -> Duration {
        let engine = &self.engines[upstream];
        engine.candidate.link * engine.slow / 2
    }

    fn arrive(&mut self, upstream: &Upstream, step: Step) {
        let name = step.name;
        self.befall(upstream);
        let engine = self.engines.get_mut(upstream).expect("a known engine");
        if engine.vanished {
            return;
        }
        if engine.dead {
            let way = self.way(upstream);
            return self.push(way, Arrival::Event(Event::Failed { name, fault: Fault::Lost }));
        }
        let fresh = !engine.caches.contains_key(&name.attempt);
        self.started_while_leaving += u32::from(engine.leaving && fresh);
        let output = engine.run(&step, self.depth, &mut self.runs);
        let positions = match &step.input {
            StepInput::Tokens(tokens) => tokens.len(),
            StepInput::Activations(values) => values.len(),
        } as u32;
        let candidate = &engine.candidate;
        let each = candidate.step + candidate.prefill * (positions - 1);
        let time = self.way(upstream) + each * step.layers.len();
        match output {
            Err(fault) => {
                let way = self.way(upstream);
                self.push(way, Arrival::Event(Event::Failed { name, fault }));
            }
            Ok(output) => self.answer(time, name, output),
        }
    }

    /// Sends an answer on its way, as the chances have it.
    fn answer(&mut self, time: Duration, name: StepName, output: StepOutput) {
        let chances = self.chances;
        let late = Duration::from_millis(self.rng.random_range(1..900));
        if self.chance(chances.lost) {
            let event = Event::Failed { name, fault: Fault::Lost };
            return self.push(time, Arrival::Event(event));
        }
        if self.chance(chances.crossed) {
            let mut other = name;
            match self.rng.random_range(0..4) {
                0 => other.position += 1,
                1 => other.stage += 1,
                2 => other.attempt += 1,
                _ => other.request = Request(uuid::Uuid::from_u128(7)),
            }
            let wrong = StepOutput::Token(u32::MAX);
            self.push(time, Arrival::Event(Event::Answered { name: other, output: wrong }));
        }
        let answered = || Event::Answered { name, output: output.clone() };
        if self.chance(chances.twice) {
            self.push(time + late, Arrival::Event(answered()));
        }
        let extra = if self.chance(chances.late) { late } else { Duration::ZERO };
        self.push(time + extra, Arrival::Event(answered()));
    }

    /// Lets the troubles that are due befall an engine.
    fn befall(&mut self, upstream: &Upstream) {
        let engine = self.engines.get_mut(upstream).expect("a known engine");
        engine.steps += 1;
        let steps = engine.steps;
        let due: Vec<_> = engine.troubles.iter().filter(|t| t.0 == steps).map(|t| t.1).collect();
        let mut event = None;
        let name = || upstream.clone();
        if !due.is_empty() {
            self.troubled.entry(upstream.clone()).or_insert(self.now);
        }
        for trouble in due {
            match trouble {
                Trouble::Die => engine.dead = true,
                Trouble::Vanish => engine.vanished = true,
                Trouble::Leave { export } => {
                    (engine.leaving, engine.exports) = (true, export);
                    event = Some(Event::Leaving { upstream: name() });
                }
                Trouble::Slow(factor) => engine.slow = factor,
                Trouble::Evict => engine.caches.clear(),
                Trouble::Accuse { lost: true } => {
                    event = Some(Event::EngineLost { upstream: name() });
                }
                Trouble::Accuse { lost: false } => {
                    event = Some(Event::Suspected { upstream: name() });
                }
                Trouble::Refuse(fault, times) => engine.refuses = Some((fault, times)),
            }
        }
        if let Some(event) = event {
            self.push(Duration::from_micros(100), Arrival::Event(event));
        }
    }

    fn move_kv(&mut self, from: &Upstream, old: u32, to: &Upstream, attempt: u32, layers: Layers) {
        let source = &self.engines[from];
        let target = &self.engines[to];
        if source.vanished || target.vanished {
            return;
        }
        let time = self.way(from) * 2 + self.way(to) * 2;
        let ready = !source.dead && source.exports;
        let cache = source.caches.get(&old).filter(|_| ready).cloned();
        let exported = cache.is_some();
        let Some(mut cache) = cache.filter(|_| !target.dead && !target.leaving) else {
            let event = Event::KvFailed { attempt, exported };
            return self.push(time, Arrival::Event(event));
        };
        cache.layers.retain(|layer, _| layers.from <= *layer && *layer < layers.to);
        cache.answers.clear();
        let positions = cache.layers.values().next().map_or(0, |layer| layer.1);
        self.engines.get_mut(to).expect("a known engine").caches.insert(attempt, cache);
        let transfer = Duration::from_micros(u64::from(positions * layers.len()));
        let event = Event::KvMoved { attempt, positions };
        self.push(time + transfer, Arrival::Event(event));
    }
}
