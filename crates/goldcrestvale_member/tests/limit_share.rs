//! Shares of a limit: never above the whole, moved by demand, back to the base when cut off.
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

const HOLD: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);
const COUNT: usize = 4;
const BASE: u32 = FULL_LIMIT / COUNT as u32;

/// Part that one instance can reach when the others are idle: they keep an eighth of their base.
const REACHABLE: u32 = BASE + 3 * (BASE - BASE / 8);

/// Excess for one hold after an instance restarts, which cannot know what its earlier life lent.
const RESTART_SLACK: u32 = BASE - BASE / 8;

fn customer() -> Customer {
    "label-1".parse().unwrap()
}

fn name(place: usize) -> Instance {
    format!("entry-{place}").parse().unwrap()
}

/// A way to share a limit.
trait Share {
    type Told: Clone;
    fn start() -> Self;
    fn demand(&mut self, parts: u32);
    fn share(&self, now: Instant) -> u32;
    fn report(&mut self, now: Instant, to: usize) -> Option<Self::Told>;
    fn receive(&mut self, now: Instant, from: usize, told: &Self::Told);
    fn reset(&mut self, peer: usize);
}

impl Share for Sharing {
    type Told = Use;

    fn start() -> Self {
        Self::new(COUNT as u32, HOLD)
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

    fn receive(&mut self, now: Instant, from: usize, told: &Use) {
        Sharing::receive(self, now, &name(from), told);
    }

    fn reset(&mut self, peer: usize) {
        Sharing::reset(self, &name(peer));
    }
}

/// Splits the limit in proportion to the demand last heard: the way that was weighed against.
struct Proportional {
    own: u32,
    heard: BTreeMap<usize, (u32, Instant)>,
}

impl Share for Proportional {
    type Told = u32;

    fn start() -> Self {
        Self { own: 0, heard: BTreeMap::new() }
    }

    fn demand(&mut self, parts: u32) {
        self.own = parts;
    }

    fn share(&self, now: Instant) -> u32 {
        let fresh = self.heard.values().filter(|(_, at)| now.since(*at) < HOLD);
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

    fn receive(&mut self, now: Instant, from: usize, told: &u32) {
        self.heard.insert(from, (*told, now));
    }

    fn reset(&mut self, _: usize) {}
}

struct Net<S: Share> {
    now: Instant,
    nodes: Vec<Option<S>>,
    cut: [[bool; COUNT]; COUNT],
    loss: f64,
    /// Longest delay of a message.
    delay: Duration,
    wire: BTreeMap<(Instant, u64), (usize, usize, S::Told)>,
    number: u64,
    restarted: Vec<Instant>,
    rng: ChaCha8Rng,
}

impl<S: Share> Net<S> {
    fn start(seed: u64) -> Self {
        Self {
            now: Instant(1_000_000),
            nodes: (0..COUNT).map(|_| Some(S::start())).collect(),
            cut: Default::default(),
            loss: 0.0,
            delay: Duration::from_millis(2),
            wire: BTreeMap::new(),
            number: 0,
            restarted: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn node(&mut self, place: usize) -> &mut S {
        self.nodes[place].as_mut().unwrap()
    }

    fn share(&self, place: usize) -> u32 {
        self.nodes[place].as_ref().map_or(0, |node| node.share(self.now))
    }

    fn sum(&self) -> u32 {
        (0..COUNT).map(|place| self.share(place)).sum()
    }

    fn slack(&self) -> u32 {
        let recent = self.restarted.iter().filter(|&&at| self.now.since(at) <= HOLD + self.delay);
        RESTART_SLACK * u32::try_from(recent.count()).unwrap()
    }

    fn restart(&mut self, place: usize) {
        self.nodes[place] = Some(S::start());
        self.restarted.push(self.now);
        for node in self.nodes.iter_mut().flatten() {
            node.reset(place);
        }
        // A connection does not outlive its process.
        self.wire.retain(|_, (from, to, _)| *from != place && *to != place);
    }

    /// Lets a tenth of a second pass; each instance reports once a second.
    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(next) = self.wire.first_entry().filter(|next| next.key().0 <= self.now) {
            let ((at, _), (from, to, told)) = next.remove_entry();
            if let Some(node) = self.nodes[to].as_mut().filter(|_| !self.cut[from][to]) {
                node.receive(at, from, &told);
            }
        }
        let tenth = usize::try_from(self.now.0 / 100_000 % 10).unwrap();
        for from in (0..COUNT).filter(|from| from * 2 == tenth) {
            for to in (0..COUNT).filter(|&to| to != from) {
                let told = self.nodes[from].as_mut().and_then(|node| node.report(self.now, to));
                let lost = self.rng.random_bool(self.loss);
                if let Some(told) = told.filter(|_| !lost) {
                    let delay = self.rng.random_range(Duration::ZERO..=self.delay);
                    self.number += 1;
                    self.wire.insert((self.now + delay, self.number), (from, to, told));
                }
            }
        }
    }

    fn run(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.step();
            let (sum, slack) = (self.sum(), self.slack());
            assert!(sum <= FULL_LIMIT + slack, "{sum} parts in use, slack {slack}");
        }
    }

    /// One random fault, repair or shift of demand.
    fn disturb(&mut self) {
        let place = self.rng.random_range(0..COUNT);
        let other = (place + self.rng.random_range(1..COUNT)) % COUNT;
        match self.rng.random_range(0..7) {
            0 => self.cut[place][other] = true,
            1 => self.cut = Default::default(),
            2 => self.loss = self.rng.random_range(0.0..0.6),
            3 => self.delay = Duration::from_millis(self.rng.random_range(0..4_000)),
            4 if self.nodes[place].is_some() => self.nodes[place] = None,
            4 => self.restart(place),
            _ => {
                let parts = self.rng.random_range(0..=FULL_LIMIT);
                if let Some(node) = &mut self.nodes[place] {
                    node.demand(parts);
                }
            }
        }
    }
}

/// Returns the largest sum of the parts in use beyond the whole and the stated slack.
fn worst_excess<S: Share>(seed: u64, steps: usize) -> u32 {
    let mut net = Net::<S>::start(seed);
    let mut worst = 0;
    for _ in 0..steps {
        if net.rng.random_bool(0.2) {
            net.disturb();
        }
        net.step();
        worst = worst.max(net.sum().saturating_sub(FULL_LIMIT + net.slack()));
    }
    worst
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn cuts_deaths_delays_and_shifts_never_exceed_the_limit(seed in any::<u64>()) {
        prop_assert_eq!(worst_excess::<Sharing>(seed, 600), 0);
    }
}

#[test]
fn the_same_test_catches_a_split_by_reported_demand() {
    let caught = (0..32).filter(|&seed| worst_excess::<Proportional>(seed, 600) > 0).count();
    assert!(caught > 16, "caught {caught} of 32");
}

#[test]
fn one_busy_instance_gets_what_the_idle_ones_do_not_use() {
    let mut net = Net::<Sharing>::start(1);
    net.node(0).demand(FULL_LIMIT);
    net.run(3 * SECOND);
    assert_eq!(net.share(0), REACHABLE);
    net.run(60 * SECOND);
    assert_eq!(net.share(0), REACHABLE);
}

#[test]
fn loans_follow_a_shift_of_demand_within_two_holds() {
    let mut net = Net::<Sharing>::start(2);
    net.node(0).demand(FULL_LIMIT);
    net.run(10 * SECOND);
    net.node(0).demand(0);
    net.node(1).demand(FULL_LIMIT);
    net.run(2 * HOLD);
    assert_eq!(net.share(1), REACHABLE);
}

#[test]
fn a_lender_has_its_part_back_within_one_hold() {
    let mut net = Net::<Sharing>::start(3);
    net.node(0).demand(FULL_LIMIT);
    net.run(10 * SECOND);
    assert_eq!(net.share(1), BASE / 8);
    net.node(1).demand(FULL_LIMIT);
    net.run(HOLD);
    assert!(net.share(1) >= BASE, "{}", net.share(1));
}

#[test]
fn equal_demand_gets_equal_parts() {
    let mut net = Net::<Sharing>::start(4);
    (0..COUNT).for_each(|place| net.node(place).demand(FULL_LIMIT));
    net.run(10 * SECOND);
    assert!((0..COUNT).all(|place| net.share(place) == BASE));
}

#[test]
fn one_that_hears_from_nobody_falls_back_to_its_base() {
    let mut net = Net::<Sharing>::start(5);
    net.node(0).demand(FULL_LIMIT);
    net.run(10 * SECOND);
    for other in 1..COUNT {
        net.cut[0][other] = true;
        net.cut[other][0] = true;
    }
    net.run(HOLD + SECOND);
    assert!((0..COUNT).all(|place| net.share(place) == BASE));
}

#[test]
fn a_dead_instance_costs_only_its_own_part() {
    let mut net = Net::<Sharing>::start(6);
    net.node(0).demand(FULL_LIMIT);
    net.run(10 * SECOND);
    net.nodes[3] = None;
    net.run(2 * HOLD);
    assert_eq!(net.share(0), BASE + 2 * (BASE - BASE / 8));
}
