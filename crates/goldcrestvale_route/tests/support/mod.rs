//! Engines on virtual time that hash activations, and a driver of one draft over them.

#![allow(dead_code, unreachable_pub, reason = "each test uses a part")]

use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::{
    chain::{Candidate, Planner},
    draft::{Action, Actions, Draft, Event, Failure, Fault, Prompt, Tally},
    health::{Change, Monitor, Outcome as Observed},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Longest virtual time of a run; a draft that is still running then hangs.
const LIMIT: Instant = Instant(600_000_000);

fn mix(state: u64, input: u64, salt: u64) -> u64 {
    let mut x = state ^ input.rotate_left(23) ^ salt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

fn token_of(activation: u64) -> u32 {
    (activation % 50_021) as u32
}

/// Computes the answer to a prompt with no router: each layer once for each position, in order.
pub fn reference(prompt: &[u32], count: usize, depth: u32) -> Vec<u32> {
    let mut states = vec![0; depth as usize];
    let mut tokens = prompt.to_vec();
    let mut position = 0;
    while tokens.len() < prompt.len() + count {
        let mut activation = 0;
        while position < tokens.len() {
            activation = u64::from(tokens[position]);
            for (layer, state) in states.iter_mut().enumerate() {
                *state = mix(*state, activation, layer as u64);
                activation = *state;
            }
            position += 1;
        }
        tokens.push(token_of(activation));
    }
    tokens.split_off(prompt.len())
}

/// Returns the digest that ends an answer.
pub fn digest(tokens: &[u32]) -> Digest {
    let bytes: Vec<u8> = tokens.iter().flat_map(|token| token.to_le_bytes()).collect();
    Digest::of(&bytes)
}

pub fn request() -> Request {
    "018f3c5e-0000-7000-8000-000000000001".parse().expect("a valid request")
}

pub fn prompt(length: u32, most: u32) -> Prompt {
    let tokens = (0..length).map(|i| i * 7 + 3).collect();
    Prompt::new(request(), "notices".parse().expect("a valid name"), tokens, most)
}

pub fn prompt_tokens(length: u32) -> Vec<u32> {
    (0..length).map(|i| i * 7 + 3).collect()
}

/// Returns an engine of a kind of accelerator.
///
/// The time model: a step of one position takes 250, 500 or 1,000 microseconds a layer on a
/// large, medium or small accelerator, each further position 2, 5 or 12 microseconds a layer.
pub fn candidate_of(kind: Accelerator, name: &str, from: u32, to: u32) -> Candidate {
    let (step, prefill) = match kind {
        Accelerator::Large => (250, 2),
        Accelerator::Medium => (500, 5),
        Accelerator::Small => (1_000, 12),
    };
    Candidate {
        accelerator: kind,
        step: Duration::from_micros(step),
        cost: Duration::from_micros(step),
        prefill: Duration::from_micros(prefill),
        ..candidate(name, from, to)
    }
}

pub fn candidate(name: &str, from: u32, to: u32) -> Candidate {
    Candidate {
        upstream: name.parse().expect("a valid name"),
        domain: "kirkos".parse().expect("a valid name"),
        accelerator: Accelerator::Large,
        holds: [Layers { from, to }].into_iter().collect(),
        step: Duration::from_micros(250),
        cost: Duration::from_micros(250),
        prefill: Duration::from_micros(2),
        link: Duration::from_micros(512),
    }
}

/// What befalls an engine when a step reaches it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// It ends; connections to it break and are refused.
    Die,
    /// It ends behind a link that drops everything.
    Vanish,
    /// It leaves, and can or cannot export its KV cache.
    Leave { export: bool },
    /// Its link becomes slower by a factor.
    Slow(u32),
    /// It forgets its KV caches.
    Evict,
    /// It refuses some steps.
    Refuse(Fault, u32),
}

#[derive(Debug, Default, Clone)]
struct Cache {
    layers: BTreeMap<u32, (u64, u32)>,
    answers: BTreeMap<(u32, u32), StepOutput>,
}

#[derive(Debug)]
struct Engine {
    candidate: Candidate,
    troubles: Vec<(u32, Trouble)>,
    steps: u32,
    dead: bool,
    vanished: bool,
    leaving: bool,
    exports: bool,
    slow: u32,
    refuses: Option<(Fault, u32)>,
    caches: BTreeMap<u32, Cache>,
}

impl Engine {
    /// Runs a step, or answers a repeated one again.
    fn run(&mut self, step: &Step, depth: u32, runs: &mut u64) -> Result<StepOutput, Fault> {
        if let Some((fault, left)) = self.refuses.as_mut().filter(|(_, left)| *left > 0) {
            *left -= 1;
            return Err(*fault);
        }
        let place = (step.name.stage, step.name.position);
        let known = self.caches.get(&step.name.attempt);
        if let Some(output) = known.and_then(|cache| cache.answers.get(&place)) {
            return Ok(output.clone());
        }
        if self.leaving && known.is_none() {
            return Err(Fault::Leaving);
        }
        if !self.candidate.ranges().iter().any(|range| range.covers(step.layers)) {
            return Err(Fault::NotHeld);
        }
        let span = step.layers.from..step.layers.to;
        let positions = |layer| known.and_then(|cache| cache.layers.get(&layer)).map_or(0, |l| l.1);
        if span.clone().any(|layer| positions(layer) != step.name.position) {
            return Err(Fault::Gap);
        }
        let mut values: Vec<u64> = match &step.input {
            StepInput::Tokens(tokens) => tokens.iter().map(|&token| u64::from(token)).collect(),
            StepInput::Activations(values) => values.clone(),
        };
        let cache = self.caches.entry(step.name.attempt).or_default();
        for layer in span {
            let (state, positions) = cache.layers.entry(layer).or_default();
            for value in &mut values {
                *state = mix(*state, *value, u64::from(layer));
                *positions += 1;
                *runs += 1;
                *value = *state;
            }
        }
        let output = match values.last() {
            Some(&last) if step.layers.to == depth => StepOutput::Token(token_of(last)),
            _ => StepOutput::Activations(values),
        };
        cache.answers.insert(place, output.clone());
        Ok(output)
    }
}

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

/// How a draft ended.
#[derive(Debug)]
pub struct Outcome {
    /// Tokens in the order of their commits, each with its position and time.
    pub tokens: Vec<(u32, u32, Instant)>,
    /// Count and digest, or the failure.
    pub end: Result<(u32, Digest), Failure>,
    pub at: Instant,
    pub tally: Tally,
    /// Detection and rebuild time of each recovery.
    pub recoveries: Vec<(Duration, Duration)>,
    /// Most bytes that the draft held.
    pub bytes: usize,
    /// Positions times layers that engines ran.
    pub engine_runs: u64,
    /// Events handed over after the end, and the actions that they gave rise to.
    pub after_end: usize,
    /// Engines that got a step that starts a KV cache after they began to leave.
    pub started_while_leaving: u32,
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
            tally: Tally::default(),
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
        outcome.tally = draft.tally().clone();
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
                self.push(Duration::ZERO, Arrival::Event(Event::Leaving { upstream }));
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
        let mut leaves = false;
        if !due.is_empty() {
            self.troubled.entry(upstream.clone()).or_insert(self.now);
        }
        for trouble in due {
            match trouble {
                Trouble::Die => engine.dead = true,
                Trouble::Vanish => engine.vanished = true,
                Trouble::Leave { export } => {
                    (engine.leaving, engine.exports, leaves) = (true, export, true);
                }
                Trouble::Slow(factor) => engine.slow = factor,
                Trouble::Evict => engine.caches.clear(),
                Trouble::Refuse(fault, times) => engine.refuses = Some((fault, times)),
            }
        }
        if leaves {
            let event = Event::Leaving { upstream: upstream.clone() };
            self.push(Duration::from_micros(100), Arrival::Event(event));
        }
    }

    fn move_kv(&mut self, from: &Upstream, old: u32, to: &Upstream, attempt: u32, layers: Layers) {
        let source = &self.engines[from];
        let target = &self.engines[to];
        if source.vanished || target.vanished {
            return;
        }
        let ready = !source.dead && source.exports && !target.dead && !target.leaving;
        let cache = source.caches.get(&old).filter(|_| ready).cloned();
        let time = self.way(from) * 2 + self.way(to) * 2;
        let Some(mut cache) = cache else {
            return self.push(time, Arrival::Event(Event::KvFailed { attempt }));
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

impl Outcome {
    /// Returns the longest time between two tokens.
    pub fn longest_gap(&self) -> Duration {
        let gaps = self.tokens.windows(2).map(|pair| pair[1].2.since(pair[0].2));
        gaps.max().unwrap_or_default()
    }
}

/// Judges a finished draft: the answer is the reference's, in order, each token once.
///
/// # Errors
///
/// Says what was violated.
pub fn judge(outcome: &Outcome, prompt: u32, most: u32, depth: u32) -> Result<(), String> {
    let expected = reference(&prompt_tokens(prompt), most as usize, depth);
    for (index, (position, token, _)) in outcome.tokens.iter().enumerate() {
        if *position != prompt + index as u32 || *token != expected[index] {
            return Err(format!("token {index}: {token} at {position}, not {}", expected[index]));
        }
    }
    if outcome.after_end > 0 {
        return Err("actions after the end".into());
    }
    let Ok((count, found)) = &outcome.end else { return Ok(()) };
    if (*count, *found) != (most, digest(&expected)) || outcome.tokens.len() != most as usize {
        return Err(format!("the end says {count} tokens with digest {found}"));
    }
    let tally = &outcome.tally;
    let needed = u64::from(prompt + most - 1) * u64::from(depth);
    if tally.needed != needed || tally.run < needed || outcome.engine_runs < tally.run {
        return Err(format!("{needed} needed, {tally:?}, engines ran {}", outcome.engine_runs));
    }
    if tally.rebuilds == 0 && tally.run != needed {
        return Err(format!("layers ran twice with nothing rebuilt: {tally:?}"));
    }
    Ok(())
}
