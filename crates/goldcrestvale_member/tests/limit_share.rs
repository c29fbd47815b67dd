//! Shares of a limit: they never exceed the limit in total, follow demand, and return to the base
//! part when an instance is partitioned.
#![allow(clippy::unwrap_used)]

use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::{
    id::{Customer, Instance},
    time::Instant,
};
use goldcrestvale_member::limit::{FULL_LIMIT, Parts, Sharing, Use};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LOAN_DURATION: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);
const COUNT: usize = 4;
const BASE: u32 = FULL_LIMIT / COUNT as u32;

/// Part that one instance can reach while the others are idle: each keeps an eighth of its base.
const REACHABLE: u32 = BASE + 3 * (BASE - BASE / 8);

/// Excess for one loan duration after a restart: the new incarnation cannot know what the earlier
/// one lent.
const RESTART_SLACK: u32 = BASE - BASE / 8;

fn customer() -> Customer {
    "label-1".parse().unwrap()
}

fn name(index: usize) -> Instance {
    format!("entry-{index}").parse().unwrap()
}

/// A strategy for sharing a limit.
trait Strategy {
    type Message: Clone;
    fn start() -> Self;
    fn demand(&mut self, parts: u32);
    fn share(&self, now: Instant) -> u32;
    fn report(&mut self, now: Instant, to: usize) -> Option<Self::Message>;
    fn receive(&mut self, now: Instant, from: usize, message: &Self::Message);
    fn reset(&mut self, peer: usize);
}

impl Strategy for Sharing {
    type Message = Use;

    fn start() -> Self {
        Self::new(COUNT as u32, LOAN_DURATION)
    }

    fn demand(&mut self, parts: u32) {
        self.set_demand(&customer(), Parts(parts));
    }

    fn share(&self, now: Instant) -> u32 {
        Sharing::share(self, now, &customer()).0
    }

    fn report(&mut self, now: Instant, to: usize) -> Option<Use> {
        Sharing::report(self, now, &name(to))
    }

    fn receive(&mut self, now: Instant, from: usize, message: &Use) {
        Sharing::receive(self, now, &name(from), message);
    }

    fn reset(&mut self, peer: usize) {
        Sharing::reset(self, &name(peer));
    }
}

/// Splits the limit in proportion to the last reported demand. This exceeds the limit, which
/// shows that the simulation detects an excess.
struct Proportional {
    own: u32,
    reported: BTreeMap<usize, (u32, Instant)>,
}

impl Strategy for Proportional {
    type Message = u32;

    fn start() -> Self {
        Self { own: 0, reported: BTreeMap::new() }
    }

    fn demand(&mut self, parts: u32) {
        self.own = parts;
    }

    fn share(&self, now: Instant) -> u32 {
        let fresh = self.reported.values().filter(|(_, at)| now.since(*at) < LOAN_DURATION);
        let (others, count) = fresh.fold((0, 0), |(sum, count), (d, _)| (sum + d, count + 1));
        if count == 0 {
            return BASE;
        }
        let total = u64::from((self.own + others).max(1));
        u32::try_from(u64::from(FULL_LIMIT) * u64::from(self.own) / total).unwrap()
    }

    fn report(&mut self, _: Instant, _: usize) -> Option<u32> {
        Some(self.own)
    }

    fn receive(&mut self, now: Instant, from: usize, message: &u32) {
        self.reported.insert(from, (*message, now));
    }

    fn reset(&mut self, _: usize) {}
}

struct Simulation<S: Strategy> {
    now: Instant,
    nodes: Vec<Option<S>>,
    partitioned: [[bool; COUNT]; COUNT],
    loss: f64,
    /// Maximum delay of a message.
    delay: Duration,
    in_transit: BTreeMap<(Instant, u64), (usize, usize, S::Message)>,
    next_id: u64,
    restarted: Vec<Instant>,
    rng: ChaCha8Rng,
}

impl<S: Strategy> Simulation<S> {
    fn start(seed: u64) -> Self {
        Self {
            now: Instant(1_000_000),
            nodes: (0..COUNT).map(|_| Some(S::start())).collect(),
            partitioned: Default::default(),
            loss: 0.0,
            delay: Duration::from_millis(2),
            in_transit: BTreeMap::new(),
            next_id: 0,
            restarted: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn node(&mut self, index: usize) -> &mut S {
        self.nodes[index].as_mut().unwrap()
    }

    fn share(&self, index: usize) -> u32 {
        self.nodes[index].as_ref().map_or(0, |node| node.share(self.now))
    }

    fn sum(&self) -> u32 {
        (0..COUNT).map(|index| self.share(index)).sum()
    }

    fn slack(&self) -> u32 {
        let recent =
            self.restarted.iter().filter(|&&at| self.now.since(at) <= LOAN_DURATION + self.delay);
        RESTART_SLACK * u32::try_from(recent.count()).unwrap()
    }

    fn restart(&mut self, index: usize) {
        self.nodes[index] = Some(S::start());
        self.restarted.push(self.now);
        for node in self.nodes.iter_mut().flatten() {
            node.reset(index);
        }
        // Messages of a connection are lost with its process.
        self.in_transit.retain(|_, (from, to, _)| *from != index && *to != index);
    }

    /// Advances the time by a tenth of a second; each instance reports once a second.
    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(next) = self.in_transit.first_entry().filter(|next| next.key().0 <= self.now)
        {
            let ((at, _), (from, to, message)) = next.remove_entry();
            if let Some(node) = self.nodes[to].as_mut().filter(|_| !self.partitioned[from][to]) {
                node.receive(at, from, &message);
            }
        }
        let tenth = usize::try_from(self.now.0 / 100_000 % 10).unwrap();
        for from in (0..COUNT).filter(|from| from * 2 == tenth) {
            for to in (0..COUNT).filter(|&to| to != from) {
                let message = self.nodes[from].as_mut().and_then(|node| node.report(self.now, to));
                let lost = self.rng.random_bool(self.loss);
                if let Some(message) = message.filter(|_| !lost) {
                    let delay = self.rng.random_range(Duration::ZERO..=self.delay);
                    self.next_id += 1;
                    self.in_transit.insert((self.now + delay, self.next_id), (from, to, message));
                }
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        for _ in 0..duration.as_millis() / STEP.as_millis() {
            self.step();
            let (sum, slack) = (self.sum(), self.slack());
            assert!(sum <= FULL_LIMIT + slack, "{sum} parts in use, slack {slack}");
        }
    }

    /// Injects a random fault, repair or change of demand.
    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..COUNT);
        let other = (index + self.rng.random_range(1..COUNT)) % COUNT;
        match self.rng.random_range(0..7) {
            0 => self.partitioned[index][other] = true,
            1 => self.partitioned = Default::default(),
            2 => self.loss = self.rng.random_range(0.0..0.6),
            3 => self.delay = Duration::from_millis(self.rng.random_range(0..4_000)),
            4 if self.nodes[index].is_some() => self.nodes[index] = None,
            4 => self.restart(index),
            _ => {
                let parts = self.rng.random_range(0..=FULL_LIMIT);
                if let Some(node) = &mut self.nodes[index] {
                    node.demand(parts);
                }
            }
        }
    }
}

/// Returns the largest excess of the parts in use over the full limit and the allowed slack.
fn max_excess<S: Strategy>(seed: u64, steps: usize) -> u32 {
    let mut simulation = Simulation::<S>::start(seed);
    let mut max_excess = 0;
    for _ in 0..steps {
        if simulation.rng.random_bool(0.2) {
            simulation.inject_fault();
        }
        simulation.step();
        max_excess =
            max_excess.max(simulation.sum().saturating_sub(FULL_LIMIT + simulation.slack()));
    }
    max_excess
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn partitions_crashes_delays_and_demand_changes_never_exceed_the_limit(seed in any::<u64>()) {
        prop_assert_eq!(max_excess::<Sharing>(seed, 600), 0);
    }
}

#[test]
fn simulation_detects_the_excess_of_a_proportional_split() {
    let detected = (0..32).filter(|&seed| max_excess::<Proportional>(seed, 600) > 0).count();
    assert!(detected > 16, "detected {detected} of 32");
}

#[test]
fn busy_instance_gets_what_idle_ones_do_not_use() {
    let mut simulation = Simulation::<Sharing>::start(1);
    simulation.node(0).demand(FULL_LIMIT);
    simulation.run(3 * SECOND);
    assert_eq!(simulation.share(0), REACHABLE);
    simulation.run(60 * SECOND);
    assert_eq!(simulation.share(0), REACHABLE);
}

#[test]
fn loans_follow_demand_within_two_loan_durations() {
    let mut simulation = Simulation::<Sharing>::start(2);
    simulation.node(0).demand(FULL_LIMIT);
    simulation.run(10 * SECOND);
    simulation.node(0).demand(0);
    simulation.node(1).demand(FULL_LIMIT);
    simulation.run(2 * LOAN_DURATION);
    assert_eq!(simulation.share(1), REACHABLE);
}

#[test]
fn lender_recovers_its_part_within_one_loan_duration() {
    let mut simulation = Simulation::<Sharing>::start(3);
    simulation.node(0).demand(FULL_LIMIT);
    simulation.run(10 * SECOND);
    assert_eq!(simulation.share(1), BASE / 8);
    simulation.node(1).demand(FULL_LIMIT);
    simulation.run(LOAN_DURATION);
    assert!(simulation.share(1) >= BASE, "{}", simulation.share(1));
}

#[test]
fn equal_demand_gets_equal_parts() {
    let mut simulation = Simulation::<Sharing>::start(4);
    (0..COUNT).for_each(|index| simulation.node(index).demand(FULL_LIMIT));
    simulation.run(10 * SECOND);
    assert!((0..COUNT).all(|index| simulation.share(index) == BASE));
}

#[test]
fn partitioned_instance_returns_to_its_base() {
    let mut simulation = Simulation::<Sharing>::start(5);
    simulation.node(0).demand(FULL_LIMIT);
    simulation.run(10 * SECOND);
    for other in 1..COUNT {
        simulation.partitioned[0][other] = true;
        simulation.partitioned[other][0] = true;
    }
    simulation.run(LOAN_DURATION + SECOND);
    assert!((0..COUNT).all(|index| simulation.share(index) == BASE));
}

#[test]
fn dead_instance_costs_only_its_own_part() {
    let mut simulation = Simulation::<Sharing>::start(6);
    simulation.node(0).demand(FULL_LIMIT);
    simulation.run(10 * SECOND);
    simulation.nodes[3] = None;
    simulation.run(2 * LOAN_DURATION);
    assert_eq!(simulation.share(0), BASE + 2 * (BASE - BASE / 8));
}
