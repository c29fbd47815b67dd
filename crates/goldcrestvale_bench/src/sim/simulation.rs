//! One run of the simulation, as a queue of events in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use goldcrestvale_base::time::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Outcome, Settings,
    engine::{Engine, Job, LAYERS, slots},
    workload::{ANSWER_MEAN, PROMPT_MEAN, Workload},
};
use crate::policy::{self, Kind, LoadChange, Policy, Report};

/// One in this number of engines is slowed down.
const SLOWED_STRIDE: usize = 10;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    EndRound(usize),
    Report(usize),
    Share(usize),
    Slow,
}

/// One run of a policy.
pub struct Simulation {
    settings: Settings,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    views: Vec<policy::Engine>,
    policies: Vec<Box<dyn Policy>>,
    /// Changes that each router has not shared with the others yet.
    unshared: Vec<Vec<LoadChange>>,
    workload: Workload,
    /// Arrivals and lengths, the same for every policy.
    arrivals: ChaCha8Rng,
    choices: ChaCha8Rng,
    outcome: Outcome,
}

impl Simulation {
    /// Creates a run of a policy.
    pub fn new(settings: Settings, kind: Kind) -> Self {
        let kinds = settings.fleet.kinds();
        let report = Report { taken: Instant(0), requests: 0 };
        let views: Vec<policy::Engine> = kinds
            .iter()
            .map(|kind| policy::Engine {
                accelerator: kind.clone(),
                layers: LAYERS,
                slots: slots(kind),
                report,
            })
            .collect();
        let capacity: f64 =
            views.iter().map(|engine| engine.capacity(PROMPT_MEAN, ANSWER_MEAN)).sum();
        let mut simulation = Self {
            now: Instant(0),
            events: BinaryHeap::new(),
            sequence: 0,
            engines: kinds.iter().map(Engine::new).collect(),
            policies: (0..settings.routers)
                .map(|router| kind.build(router, settings.routers))
                .collect(),
            unshared: vec![Vec::new(); settings.routers],
            workload: Workload::new(capacity * settings.load),
            arrivals: ChaCha8Rng::seed_from_u64(settings.seed),
            choices: ChaCha8Rng::seed_from_u64(settings.seed ^ u64::MAX),
            outcome: Outcome::default(),
            views,
            settings,
        };
        simulation.schedule_initial();
        simulation
    }

    /// Runs to the end and returns the outcome.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_bench::{policy::Kind, sim::{Settings, Simulation}};
    ///
    /// let settings = Settings::default().with_length(Duration::from_secs(5)).with_load(0.3);
    /// let outcome = Simulation::new(settings, Kind::BalanceShared).run();
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

    /// Schedules the first event of each kind, each at its own phase.
    fn schedule_initial(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrive);
        for engine in 0..self.engines.len() {
            let phase = self.settings.report_interval.mul_f64(self.choices.random());
            self.schedule(phase, Event::Report(engine));
        }
        for router in 0..self.settings.routers {
            let phase = self.settings.share_interval.mul_f64(self.choices.random());
            self.schedule(phase, Event::Share(router));
        }
        self.schedule(self.settings.length / 2, Event::Slow);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::EndRound(engine) => self.end_round(engine),
            Event::Report(engine) => {
                let requests = self.engines[engine].requests();
                self.views[engine].report = Report { taken: self.now, requests };
                self.schedule(self.settings.report_interval, event);
            }
            Event::Share(router) => {
                let changes = std::mem::take(&mut self.unshared[router]);
                let others = self.policies.iter_mut().zip(0..);
                for (policy, _) in others.filter(|(_, other)| *other != router) {
                    policy.record_peer(&changes);
                }
                self.schedule(self.settings.share_interval, event);
            }
            Event::Slow => {
                for engine in self.engines.iter_mut().step_by(SLOWED_STRIDE) {
                    engine.set_slowdown(self.settings.slowdown);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let request = self.workload.request(&mut self.arrivals);
        let router = self.draw_router();
        let delay = self.workload.next_arrival(&mut self.arrivals);
        self.schedule(delay, Event::Arrive);
        let engine = self.policies[router].choose(self.now, &self.views, &mut self.choices);
        self.record_change(router, engine, 1);
        if self.is_counted(self.now) {
            self.outcome.offer();
        }
        let job = Job { router, arrived: self.now, request, first_token: None, generated: 0 };
        self.engines[engine].push(job);
        self.start_round(engine);
    }

    /// Draws the router of a request, as the balancer in front of the routers does.
    fn draw_router(&mut self) -> usize {
        let routers = self.settings.routers;
        match self.settings.skew {
            Some(skew) if self.arrivals.random_bool(skew) => 0,
            Some(_) if routers > 1 => self.arrivals.random_range(1..routers),
            _ => self.arrivals.random_range(0..routers),
        }
    }

    fn end_round(&mut self, engine: usize) {
        for job in self.engines[engine].end_round(self.now) {
            self.record_change(job.router, engine, -1);
            if self.is_counted(job.arrived) {
                let first = job.first_token.unwrap_or(self.now);
                let gap = self.now.since(first) / job.request.answer.saturating_sub(1).max(1);
                self.outcome.add(first.since(job.arrived), gap);
            }
        }
        self.start_round(engine);
    }

    fn start_round(&mut self, engine: usize) {
        if let Some(length) = self.engines[engine].start_round() {
            self.schedule(length, Event::EndRound(engine));
        }
    }

    fn record_change(&mut self, router: usize, engine: usize, change: i32) {
        let load_change = LoadChange { at: self.now, engine, change };
        self.policies[router].record_own(load_change);
        self.unshared[router].push(load_change);
    }

    /// Returns whether a request that arrived at this time is counted.
    fn is_counted(&self, arrived: Instant) -> bool {
        let length = self.settings.length;
        arrived >= Instant(0) + length / 5 && arrived < Instant(0) + length * 4 / 5
    }
}
