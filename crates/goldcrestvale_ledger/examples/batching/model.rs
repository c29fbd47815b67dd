//! Instances that append claims to one log of bounded rate, on virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use goldcrestvale_base::{id::Incarnation, time::Instant};
use goldcrestvale_ledger::{
    batch::{Adaptive, Batch, Control, Fixed, Limits, Policy, Queue, Size},
    record::{Draft, Sequence},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Appends a second that the log takes.
pub(crate) const LOG_RATE: f64 = 300.0;
/// Time of a message between an instance and the log.
const TRAVEL: Duration = Duration::from_micros(500);
/// Time of a call at its service, after which the claim is settled by a record.
const SERVICE: Duration = Duration::from_millis(20);

/// Claims a second, from one time on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    /// Start of the phase.
    pub(crate) from: Duration,
    /// Claims a second from all instances together.
    pub(crate) rate: f64,
}

/// One run.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Share of the claims that each instance takes.
    pub(crate) shares: Vec<f64>,
    /// The load.
    pub(crate) phases: Vec<Phase>,
    /// Length of the run.
    pub(crate) length: Duration,
    /// Claims that arrive before this time are not counted.
    pub(crate) count_from: Duration,
}

/// What a run measured.
#[derive(Debug, Clone)]
pub(crate) struct Figures {
    /// Claims read back a second.
    pub(crate) claims: f64,
    /// Appends a second.
    pub(crate) appends: f64,
    /// Time from a claim's arrival until its instance has read it back, sorted.
    latencies: Vec<Duration>,
}

impl Figures {
    /// Returns the latency that this share of the claims does not exceed.
    pub(crate) fn percentile(&self, share: f64) -> Duration {
        let last = self.latencies.len().saturating_sub(1);
        let at = (last as f64 * share).round() as usize;
        self.latencies.get(at).copied().unwrap_or_default()
    }
}

/// A policy and the most appends of an instance that are not answered yet.
#[derive(Debug)]
pub(crate) struct Choice {
    /// Name in the table.
    pub(crate) name: String,
    /// The policy.
    pub(crate) policy: Box<dyn Policy + Send>,
    /// Most appends that are not answered yet.
    pub(crate) in_flight: usize,
}

/// The policies that are compared.
pub(crate) fn choices(instances: usize) -> Vec<Choice> {
    let spaced = Duration::from_secs_f64(instances as f64 / (LOG_RATE * 0.7));
    let fixed = |interval: Duration| -> Box<dyn Policy + Send> { Box::new(Fixed::new(interval)) };
    let control = Control { budget: LOG_RATE, ..Control::default() };
    let adaptive = || Box::new(Adaptive::new(control.clone()));
    let choice = |name: &str, policy, in_flight| Choice { name: name.into(), policy, in_flight };
    vec![
        choice("no interval", fixed(Duration::ZERO), 4),
        choice("no interval, 1 in flight", fixed(Duration::ZERO), 1),
        choice(&format!("fixed {} ms", spaced.as_millis()), fixed(spaced), 4),
        choice("fixed 100 ms", fixed(Duration::from_millis(100)), 4),
        choice("size 16 or 50 ms", Box::new(Size::new(16, Duration::from_millis(50))), 4),
        choice("adaptive", adaptive(), 4),
        choice("adaptive, 2 in flight", adaptive(), 2),
        choice("adaptive, 1 in flight", adaptive(), 1),
    ]
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
    Settle(usize),
    Stored { at: usize, number: u64 },
    Poll(usize),
}

struct Sim {
    now: Instant,
    order: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Happening)>>,
    queues: Vec<Queue<Box<dyn Policy + Send>>>,
    sequences: Vec<Sequence>,
    /// Arrival of each claim in an append on its way.
    flying: Vec<Vec<(u64, Vec<Instant>)>>,
    log_free: Instant,
}

impl Sim {
    fn at(&mut self, time: Instant, what: Happening) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, what)));
    }

    /// Queues a record; a claim carries its time of arrival as its content.
    fn push(&mut self, at: usize, data: String) {
        let draft = Draft { id: self.sequences[at].next_id(), data };
        self.queues[at].push(draft, self.now);
        self.poll(at);
    }

    fn poll(&mut self, at: usize) {
        while let Some(batch) = self.queues[at].poll(self.now) {
            self.append(at, &batch);
        }
        if let Some(due) = self.queues[at].due() {
            self.at(due.max(self.now + Duration::from_micros(1)), Happening::Poll(at));
        }
    }

    fn append(&mut self, at: usize, batch: &Batch) {
        let start = self.log_free.max(self.now + TRAVEL);
        self.log_free = start + Duration::from_secs_f64(1.0 / LOG_RATE);
        let arrivals =
            batch.records.iter().filter_map(|record| record.data.parse().ok().map(Instant));
        self.flying[at].push((batch.number, arrivals.collect()));
        let stored = Happening::Stored { at, number: batch.number };
        self.at(self.log_free + TRAVEL, stored);
    }
}

fn queue(choice: Choice) -> Queue<Box<dyn Policy + Send>> {
    Queue::new(choice.policy, Limits { max_in_flight: choice.in_flight, ..Limits::default() })
}

fn rate_at(run: &Run, now: Instant) -> f64 {
    let passed = |phase: &&Phase| Instant(0) + phase.from <= now;
    run.phases.iter().rev().find(passed).map_or(1.0, |phase| phase.rate)
}

/// Runs the load against the log with one policy at every instance.
pub(crate) fn simulate(run: &Run, choice: impl Fn() -> Choice) -> Figures {
    let mut rng = StdRng::seed_from_u64(11);
    let count = run.shares.len();
    let mut sim = Sim {
        now: Instant(0),
        order: 0,
        events: BinaryHeap::new(),
        queues: (0..count).map(|_| queue(choice())).collect(),
        sequences: (0..count).map(|at| Sequence::new(Incarnation(at as u128), 0)).collect(),
        flying: vec![Vec::new(); count],
        log_free: Instant(0),
    };
    let end = Instant(0) + run.length;
    let counted = Instant(0) + run.count_from;
    let (mut latencies, mut appends) = (Vec::new(), 0_u32);
    for at in 0..count {
        sim.at(Instant(1 + at as u64), Happening::Arrive(at));
    }
    while let Some(Reverse((time, _, what))) = sim.events.pop() {
        if time > end {
            break;
        }
        sim.now = time;
        match what {
            Happening::Arrive(at) => {
                sim.push(at, time.0.to_string());
                let mean = 1.0 / (rate_at(run, time) * run.shares[at]).max(1e-6);
                let gap = -mean * (1.0 - rng.random::<f64>()).ln();
                sim.at(time + Duration::from_secs_f64(gap.min(1e6)), Happening::Arrive(at));
            }
            Happening::Settle(at) => sim.push(at, "settle".into()),
            Happening::Poll(at) => sim.poll(at),
            Happening::Stored { at, number } => {
                let place = sim.flying[at].iter().position(|(of, _)| *of == number);
                let (_, arrivals) = sim.flying[at].remove(place.expect("each append ends once"));
                sim.queues[at].acknowledge(number);
                for queue in &mut sim.queues {
                    queue.observe(time, 1);
                }
                appends += u32::from(time >= counted);
                for arrival in arrivals {
                    if arrival >= counted {
                        latencies.push(time.since(arrival));
                    }
                    sim.at(time + SERVICE, Happening::Settle(at));
                }
                sim.poll(at);
            }
        }
    }
    latencies.sort_unstable();
    let seconds = (run.length - run.count_from).as_secs_f64();
    let claims = latencies.len() as f64 / seconds;
    Figures { claims, appends: f64::from(appends) / seconds, latencies }
}
