//! Runs one draft on virtual time, over simulated engines that hash activations.

#![allow(dead_code, unused_imports, unreachable_pub, reason = "each test uses only a part")]

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
pub use engine::{InjectedFault, candidate, candidate_of};
pub use reference::{Outcome, check_outcome, digest, prompt, prompt_tokens, reference_answer};

/// Virtual time after which a running draft counts as hung.
const MAX_VIRTUAL_TIME: Instant = Instant(600_000_000);

/// Probabilities of faults in answers, per thousand.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerFaults {
    /// The answer arrives twice, the second time late.
    pub duplicated: u32,
    /// The answer arrives late, mostly after the timeout.
    pub delayed: u32,
    /// An answer with another step name arrives before it.
    pub misnamed: u32,
    /// The step runs, but its connection breaks before the answer.
    pub lost: u32,
}

#[derive(Debug)]
enum Arrival {
    Step(Upstream, Step),
    Event(Event),
}

/// Simulated engines and network, with a planner that is not informed of faults.
pub struct Simulation {
    pub planner: Planner,
    pub answer_faults: AnswerFaults,
    /// Whether answers are matched without their attempt, as by an incorrect draft.
    pub ignore_attempt: bool,
    /// Number of committed tokens after which the draft is cancelled.
    pub cancel_after: Option<usize>,
    /// Evaluates the engines by their answers; an ejected engine is reported as suspected.
    pub monitor: Option<Monitor>,
    sent: BTreeMap<StepName, (Upstream, Instant, Duration)>,
    /// When the first fault of each engine occurred.
    pub first_fault_at: BTreeMap<Upstream, Instant>,
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

impl Simulation {
    pub fn new(depth: u32, candidates: impl IntoIterator<Item = Candidate>) -> Self {
        let mut simulation = Self {
            planner: Planner::new(depth, 1),
            answer_faults: AnswerFaults::default(),
            ignore_attempt: false,
            cancel_after: None,
            monitor: None,
            sent: BTreeMap::new(),
            first_fault_at: BTreeMap::new(),
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
            simulation.planner.insert(candidate.clone());
            let engine = Engine {
                candidate: candidate.clone(),
                faults: Vec::new(),
                steps: 0,
                crashed: false,
                unreachable: false,
                leaving: false,
                exports: true,
                link_slowdown: 1,
                refuses: None,
                caches: BTreeMap::new(),
            };
            simulation.engines.insert(candidate.upstream, engine);
        }
        simulation
    }

    pub fn seed(&mut self, seed: u64) {
        self.rng = ChaCha8Rng::seed_from_u64(seed);
    }

    /// Injects a fault when the `step`-th step, from 1, arrives at an engine.
    pub fn inject(&mut self, name: &str, step: u32, fault: InjectedFault) {
        let engine = self.engines.get_mut(name).expect("a known engine");
        engine.faults.push((step, fault));
    }

    /// Crashes an engine before the draft starts.
    pub fn crash(&mut self, name: &str) {
        self.engines.get_mut(name).expect("a known engine").crashed = true;
    }

    pub fn steps(&self, name: &str) -> u32 {
        self.engines[name].steps
    }

    /// Runs a draft to its end, and then delivers the remaining events.
    pub fn run(&mut self, prompt: Prompt) -> Outcome {
        let planner = self.planner.clone();
        let mut outcome = Outcome {
            tokens: Vec::new(),
            end: Ok((0, digest(&[]))),
            ended_at: self.now,
            stats: Stats::default(),
            recoveries: Vec::new(),
            peak_bytes: 0,
            engine_runs: 0,
            actions_after_end: 0,
            started_while_leaving: 0,
        };
        let (mut draft, actions) = match prompt.start(self.now, &planner) {
            Ok(started) => started,
            Err(failure) => {
                outcome.end = Err(failure);
                return outcome;
            }
        };
        self.perform(actions, &mut outcome);
        while draft.is_running() {
            assert!(self.now < MAX_VIRTUAL_TIME, "the draft hangs: {draft:?}");
            let event = self.next_event(&draft);
            let actions = draft.handle(self.now, event, &planner);
            outcome.peak_bytes = outcome.peak_bytes.max(draft.bytes());
            self.perform(actions, &mut outcome);
            if self.cancel_after.is_some_and(|count| outcome.tokens.len() >= count) {
                self.cancel_after = None;
                let actions = draft.handle(self.now, Event::Cancel, &planner);
                self.perform(actions, &mut outcome);
            }
        }
        outcome.ended_at = self.now;
        while let Some(((at, _), arrival)) = self.queue.pop_first() {
            self.now = at;
            if let Arrival::Event(event) = arrival {
                outcome.actions_after_end += draft.handle(self.now, event, &planner).len();
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
                    return self.match_without_attempt(event);
                }
                Arrival::Step(upstream, step) => self.deliver_step(&upstream, step),
            }
        }
    }

    /// Reports an answer or a failure to the monitor.
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

    /// Renames an answer to the pending step with the same position and stage, if the attempt is
    /// ignored.
    fn match_without_attempt(&self, event: Event) -> Event {
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

    fn happens(&mut self, per_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < per_thousand
    }

    fn perform(&mut self, actions: Actions, outcome: &mut Outcome) {
        for action in actions {
            match action {
                Action::Send { upstream, step, expected, .. } => {
                    let name = step.name;
                    self.sent.insert(name, (upstream.clone(), self.now, expected));
                    self.awaited.insert((name.position, name.stage), name);
                    let latency = self.one_way_latency(&upstream);
                    self.push(latency, Arrival::Step(upstream, step));
                }
                Action::CancelAttempt { upstream, attempt } => {
                    // A cancel can be lost, so only half of them arrive. A late step must not run
                    // again under a cancelled attempt.
                    if self.happens(500) {
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

    /// Returns the one-way latency of the link to an engine.
    fn one_way_latency(&self, upstream: &Upstream) -> Duration {
        let engine = &self.engines[upstream];
        engine.candidate.link * engine.link_slowdown / 2
    }

    fn deliver_step(&mut self, upstream: &Upstream, step: Step) {
        let name = step.name;
        self.apply_faults(upstream);
        let engine = self.engines.get_mut(upstream).expect("a known engine");
        if engine.unreachable {
            return;
        }
        if engine.crashed {
            let latency = self.one_way_latency(upstream);
            return self.push(latency, Arrival::Event(Event::Failed { name, fault: Fault::Lost }));
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
        let time = self.one_way_latency(upstream) + each * step.layers.len();
        match output {
            Err(fault) => {
                let latency = self.one_way_latency(upstream);
                self.push(latency, Arrival::Event(Event::Failed { name, fault }));
            }
            Ok(output) => self.send_answer(time, name, output),
        }
    }

    /// Schedules an answer, with faults drawn at the configured probabilities.
    fn send_answer(&mut self, time: Duration, name: StepName, output: StepOutput) {
        let answer_faults = self.answer_faults;
        let delay = Duration::from_millis(self.rng.random_range(1..900));
        if self.happens(answer_faults.lost) {
            let event = Event::Failed { name, fault: Fault::Lost };
            return self.push(time, Arrival::Event(event));
        }
        if self.happens(answer_faults.misnamed) {
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
        if self.happens(answer_faults.duplicated) {
            self.push(time + delay, Arrival::Event(answered()));
        }
        let extra = if self.happens(answer_faults.delayed) { delay } else { Duration::ZERO };
        self.push(time + extra, Arrival::Event(answered()));
    }

    /// Applies the faults that are due at an engine.
    fn apply_faults(&mut self, upstream: &Upstream) {
        let engine = self.engines.get_mut(upstream).expect("a known engine");
        engine.steps += 1;
        let steps = engine.steps;
        let due: Vec<_> =
            engine.faults.iter().filter(|fault| fault.0 == steps).map(|fault| fault.1).collect();
        let mut event = None;
        let name = || upstream.clone();
        if !due.is_empty() {
            self.first_fault_at.entry(upstream.clone()).or_insert(self.now);
        }
        for injected in due {
            match injected {
                InjectedFault::Crash => engine.crashed = true,
                InjectedFault::Blackhole => engine.unreachable = true,
                InjectedFault::Leave { export } => {
                    (engine.leaving, engine.exports) = (true, export);
                    event = Some(Event::Leaving { upstream: name() });
                }
                InjectedFault::SlowLink(factor) => engine.link_slowdown = factor,
                InjectedFault::Evict => engine.caches.clear(),
                InjectedFault::FalseReport { lost: true } => {
                    event = Some(Event::EngineLost { upstream: name() });
                }
                InjectedFault::FalseReport { lost: false } => {
                    event = Some(Event::Suspected { upstream: name() });
                }
                InjectedFault::Refuse(fault, times) => engine.refuses = Some((fault, times)),
            }
        }
        if let Some(event) = event {
            self.push(Duration::from_micros(100), Arrival::Event(event));
        }
    }

    fn move_kv(&mut self, from: &Upstream, old: u32, to: &Upstream, attempt: u32, layers: Layers) {
        let source = &self.engines[from];
        let target = &self.engines[to];
        if source.unreachable || target.unreachable {
            return;
        }
        let time = self.one_way_latency(from) * 2 + self.one_way_latency(to) * 2;
        let ready = !source.crashed && source.exports;
        let cache = source.caches.get(&old).filter(|_| ready).cloned();
        let exported = cache.is_some();
        let Some(mut cache) = cache.filter(|_| !target.crashed && !target.leaving) else {
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
