//! A simulation, in virtual time, of instances that append claims to one log with a limited rate.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use goldcrestvale_base::{id::Incarnation, time::Instant};
use goldcrestvale_ledger::{
    batch::{Adaptive, Batch, Control, Fixed, Limits, Policy, Queue, Size},
    record::{Draft, Sequence},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Appends per second that the log accepts.
pub(crate) const LOG_RATE: f64 = 300.0;
/// Delay of a message between an instance and the log.
const NETWORK_DELAY: Duration = Duration::from_micros(500);
/// Duration of a call at its service, after which a record settles the claim.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// The rate of claims from one time on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Phase {
    /// Start of the phase.
    pub(crate) from: Duration,
    /// Claims per second from all instances together.
    pub(crate) rate: f64,
}

/// The parameters of one run.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Share of the claims that each instance receives.
    pub(crate) shares: Vec<f64>,
    /// The phases of the load.
    pub(crate) phases: Vec<Phase>,
    /// Length of the run.
    pub(crate) length: Duration,
    /// Claims that arrive before this time are not counted.
    pub(crate) count_from: Duration,
}

/// The results of a run.
#[derive(Debug, Clone)]
pub(crate) struct Results {
    /// Claims read back per second.
    pub(crate) claims: f64,
    /// Appends per second.
    pub(crate) appends: f64,
    /// Times from the arrival of a claim until its instance has read it back, sorted.
    latencies: Vec<Duration>,
}

impl Results {
    /// Returns the latency that the given share of the claims does not exceed.
    pub(crate) fn percentile(&self, share: f64) -> Duration {
        let last = self.latencies.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        self.latencies.get(index).copied().unwrap_or_default()
    }
}

/// A policy and the maximum number of unanswered appends of an instance.
#[derive(Debug)]
pub(crate) struct Choice {
    /// Name in the table.
    pub(crate) name: String,
    /// The policy.
    pub(crate) policy: Box<dyn Policy + Send>,
    /// Maximum number of unanswered appends.
    pub(crate) in_flight: usize,
}

/// Returns the policies to compare.
pub(crate) fn choices(instances: usize) -> Vec<Choice> {
    let interval_at_target = Duration::from_secs_f64(instances as f64 / (LOG_RATE * 0.7));
    let fixed = |interval: Duration| -> Box<dyn Policy + Send> { Box::new(Fixed::new(interval)) };
    let control = Control { budget: LOG_RATE, ..Control::default() };
    let adaptive = || Box::new(Adaptive::new(control.clone()));
    let choice = |name: &str, policy, in_flight| Choice { name: name.into(), policy, in_flight };
    vec![
        choice("no interval", fixed(Duration::ZERO), 4),
        choice("no interval, 1 in flight", fixed(Duration::ZERO), 1),
        choice(
            &format!("fixed {} ms", interval_at_target.as_millis()),
            fixed(interval_at_target),
            4,
        ),
        choice("fixed 100 ms", fixed(Duration::from_millis(100)), 4),
        choice("size 16 or 50 ms", Box::new(Size::new(16, Duration::from_millis(50))), 4),
        choice("adaptive", adaptive(), 4),
        choice("adaptive, 2 in flight", adaptive(), 2),
        choice("adaptive, 1 in flight", adaptive(), 1),
    ]
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Settle(usize),
    Stored { instance: usize, number: u64 },
    Poll(usize),
}

struct Simulation {
    now: Instant,
    event_count: u64,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    queues: Vec<Queue<Box<dyn Policy + Send>>>,
    sequences: Vec<Sequence>,
    /// Arrival times of the claims in each append in flight, for each instance.
    in_flight_arrivals: Vec<Vec<(u64, Vec<Instant>)>>,
    log_free_at: Instant,
}

impl Simulation {
    fn schedule(&mut self, time: Instant, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((time, self.event_count, event)));
    }

    /// Queues a record; the content of a claim is its time of arrival.
    fn push(&mut self, instance: usize, data: String) {
        let draft = Draft { id: self.sequences[instance].next_id(), data };
        self.queues[instance].push(draft, self.now);
        self.poll(instance);
    }

    fn poll(&mut self, instance: usize) {
        while let Some(batch) = self.queues[instance].poll(self.now) {
            self.append(instance, &batch);
        }
        if let Some(due) = self.queues[instance].due() {
            self.schedule(due.max(self.now + Duration::from_micros(1)), Event::Poll(instance));
        }
    }

    fn append(&mut self, instance: usize, batch: &Batch) {
        let start = self.log_free_at.max(self.now + NETWORK_DELAY);
        self.log_free_at = start + Duration::from_secs_f64(1.0 / LOG_RATE);
        let arrivals =
            batch.records.iter().filter_map(|record| record.data.parse().ok().map(Instant));
        self.in_flight_arrivals[instance].push((batch.number, arrivals.collect()));
        let stored = Event::Stored { instance, number: batch.number };
        self.schedule(self.log_free_at + NETWORK_DELAY, stored);
    }
}

fn queue(choice: Choice) -> Queue<Box<dyn Policy + Send>> {
    Queue::new(choice.policy, Limits { max_in_flight: choice.in_flight, ..Limits::default() })
}

fn rate_at(run: &Run, now: Instant) -> f64 {
    let started = |phase: &&Phase| Instant(0) + phase.from <= now;
    run.phases.iter().rev().find(started).map_or(1.0, |phase| phase.rate)
}

/// Simulates the load with one policy at every instance.
pub(crate) fn simulate(run: &Run, choice: impl Fn() -> Choice) -> Results {
    let mut rng = StdRng::seed_from_u64(11);
    let count = run.shares.len();
    let mut simulation = Simulation {
        now: Instant(0),
        event_count: 0,
        events: BinaryHeap::new(),
        queues: (0..count).map(|_| queue(choice())).collect(),
        sequences: (0..count)
            .map(|instance| Sequence::new(Incarnation(instance as u128), 0))
            .collect(),
        in_flight_arrivals: vec![Vec::new(); count],
        log_free_at: Instant(0),
    };
    let end = Instant(0) + run.length;
    let count_start = Instant(0) + run.count_from;
    let (mut latencies, mut appends) = (Vec::new(), 0_u32);
    for instance in 0..count {
        simulation.schedule(Instant(1 + instance as u64), Event::Arrive(instance));
    }
    while let Some(Reverse((time, _, event))) = simulation.events.pop() {
        if time > end {
            break;
        }
        simulation.now = time;
        match event {
            Event::Arrive(instance) => {
                simulation.push(instance, time.0.to_string());
                let mean = 1.0 / (rate_at(run, time) * run.shares[instance]).max(1e-6);
                let gap = -mean * (1.0 - rng.random::<f64>()).ln();
                simulation.schedule(
                    time + Duration::from_secs_f64(gap.min(1e6)),
                    Event::Arrive(instance),
                );
            }
            Event::Settle(instance) => simulation.push(instance, "settle".into()),
            Event::Poll(instance) => simulation.poll(instance),
            Event::Stored { instance, number } => {
                let index = simulation.in_flight_arrivals[instance]
                    .iter()
                    .position(|(append, _)| *append == number);
                let (_, arrivals) = simulation.in_flight_arrivals[instance]
                    .remove(index.expect("each append ends once"));
                simulation.queues[instance].acknowledge(number);
                for queue in &mut simulation.queues {
                    queue.observe(time, 1);
                }
                appends += u32::from(time >= count_start);
                for arrival in arrivals {
                    if arrival >= count_start {
                        latencies.push(time.since(arrival));
                    }
                    simulation.schedule(time + SERVICE_TIME, Event::Settle(instance));
                }
                simulation.poll(instance);
            }
        }
    }
    latencies.sort_unstable();
    let seconds = (run.length - run.count_from).as_secs_f64();
    let claims = latencies.len() as f64 / seconds;
    Results { claims, appends: f64::from(appends) / seconds, latencies }
}
