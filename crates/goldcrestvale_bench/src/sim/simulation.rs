//! One run: events in the order of virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use goldcrestvale_base::time::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Outcome, Settings,
    engine::{Engine, Job, LAYERS, slots},
    workload::{ANSWER_MEAN, PROMPT_MEAN, Workload},
};
use crate::policy::{self, Kind, Move, Policy, Report};

/// One engine in this many is slowed down.
const SLOWED_SHARE: usize = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    EndRound(usize),
    Report(usize),
    Share(usize),
    Slow,
}

/// One run of a policy.
pub struct World {
    settings: Settings,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    seen: Vec<policy::Engine>,
    policies: Vec<Box<dyn Policy>>,
    /// Moves that each router has not told the others yet.
    untold: Vec<Vec<Move>>,
    workload: Workload,
    /// Arrivals and lengths, the same for every policy.
    arrivals: ChaCha8Rng,
    choices: ChaCha8Rng,
    outcome: Outcome,
}

impl World {
    /// Creates a run of a policy.
    pub fn new(settings: Settings, kind: Kind) -> Self {
        let kinds = settings.fleet.kinds();
        let report = Report { taken: Instant(0), requests: 0 };
        let seen: Vec<policy::Engine> = kinds
            .iter()
            .map(|kind| policy::Engine {
                accelerator: kind.clone(),
                layers: LAYERS,
                slots: slots(kind),
                report,
            })
            .collect();
        let capacity: f64 =
            seen.iter().map(|engine| engine.capacity(PROMPT_MEAN, ANSWER_MEAN)).sum();
        let mut world = Self {
            now: Instant(0),
            events: BinaryHeap::new(),
            sequence: 0,
            engines: kinds.iter().map(Engine::new).collect(),
            policies: (0..settings.routers)
                .map(|router| kind.build(router, settings.routers))
                .collect(),
            untold: vec![Vec::new(); settings.routers],
            workload: Workload::new(capacity * settings.load),
            arrivals: ChaCha8Rng::seed_from_u64(settings.seed),
            choices: ChaCha8Rng::seed_from_u64(settings.seed ^ u64::MAX),
            outcome: Outcome::default(),
            seen,
            settings,
        };
        world.schedule();
        world
    }

    /// Runs to the end and returns what it showed.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_bench::{policy::Kind, sim::{Settings, World}};
    ///
    /// let settings = Settings::default().with_length(Duration::from_secs(5)).with_load(0.3);
    /// let outcome = World::new(settings, Kind::BalanceShared).run();
    /// assert!(outcome.complete() > 0);
    /// ```
    pub fn run(mut self) -> Outcome {
        let end = Instant(0) + self.settings.length;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        let tokens: u64 = self.engines.iter().map(|engine| engine.tokens).sum();
        self.outcome.tokens_per_second = tokens as f64 / self.settings.length.as_secs_f64();
        self.outcome
    }

    /// Schedules the first event of each kind, at phases of their own.
    fn schedule(&mut self) {
        self.after(Duration::ZERO, Event::Arrive);
        for engine in 0..self.engines.len() {
            let phase = self.settings.report_interval.mul_f64(self.choices.random());
            self.after(phase, Event::Report(engine));
        }
        for router in 0..self.settings.routers {
            let phase = self.settings.share_interval.mul_f64(self.choices.random());
            self.after(phase, Event::Share(router));
        }
        self.after(self.settings.length / 2, Event::Slow);
    }

    fn after(&mut self, pause: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + pause, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::EndRound(engine) => self.end_round(engine),
            Event::Report(engine) => {
                let requests = self.engines[engine].requests();
                self.seen[engine].report = Report { taken: self.now, requests };
                self.after(self.settings.report_interval, event);
            }
            Event::Share(router) => {
                let moves = std::mem::take(&mut self.untold[router]);
                let others = self.policies.iter_mut().zip(0..);
                for (policy, _) in others.filter(|(_, other)| *other != router) {
                    policy.heard(&moves);
                }
                self.after(self.settings.share_interval, event);
            }
            Event::Slow => {
                for engine in self.engines.iter_mut().step_by(SLOWED_SHARE) {
                    engine.slow(self.settings.slowdown);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let request = self.workload.request(&mut self.arrivals);
        let router = self.router();
        let pause = self.workload.pause(&mut self.arrivals);
        self.after(pause, Event::Arrive);
        let engine = self.policies[router].choose(self.now, &self.seen, &mut self.choices);
        self.moved(router, engine, 1);
        if self.counts(self.now) {
            self.outcome.offer();
        }
        let job = Job { router, arrived: self.now, request, first: None, written: 0 };
        self.engines[engine].push(job);
        self.start_round(engine);
    }

    /// Draws the router of a request, as the balancer in front of them does.
    fn router(&mut self) -> usize {
        let routers = self.settings.routers;
        match self.settings.skew {
            Some(skew) if self.arrivals.random_bool(skew) => 0,
            Some(_) if routers > 1 => self.arrivals.random_range(1..routers),
            _ => self.arrivals.random_range(0..routers),
        }
    }

    fn end_round(&mut self, engine: usize) {
        for job in self.engines[engine].end(self.now) {
            self.moved(job.router, engine, -1);
            if self.counts(job.arrived) {
                let first = job.first.unwrap_or(self.now);
                let gap = self.now.since(first) / job.request.answer.saturating_sub(1).max(1);
                self.outcome.add(first.since(job.arrived), gap);
            }
        }
        self.start_round(engine);
    }

    fn start_round(&mut self, engine: usize) {
        if let Some(length) = self.engines[engine].start() {
            self.after(length, Event::EndRound(engine));
        }
    }

    fn moved(&mut self, router: usize, engine: usize, change: i32) {
        let moved = Move { at: self.now, engine, change };
        self.policies[router].moved(moved);
        self.untold[router].push(moved);
    }

    /// Returns whether a request that arrived then is counted.
    fn counts(&self, arrived: Instant) -> bool {
        let length = self.settings.length;
        arrived >= Instant(0) + length / 5 && arrived < Instant(0) + length * 4 / 5
    }
}
