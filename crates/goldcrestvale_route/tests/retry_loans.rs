//! Instances lend each other retries: demand that is uneven over the instances is served, and the
//! sum stays within the common budget whatever happens to messages and instances.

use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::{
    customer_load::ServiceHash,
    id::Instance,
    retry_loan::{Ask, Grant, Return},
    time::Instant,
};
use goldcrestvale_route::retry::{Loans, Share, Window};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;

const SERVICE: ServiceHash = ServiceHash(7);
const SPAN: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const FLOOR: f64 = 324.0;
const STEP: Duration = Duration::from_millis(100);

/// Number of steps in a span.
const SPAN_STEPS: usize = 100;

/// Number of steps after which the instances have noticed one that joined or restarted.
const NOTICE_STEPS: usize = 20;

/// Number of steps after which all instances of a first start have their share.
const SETTLED_STEPS: usize = 130;

fn at(step: usize) -> Instant {
    Instant(0) + STEP * u32::try_from(step).unwrap_or(u32::MAX)
}

fn name(index: usize) -> Instance {
    format!("bole-{index}").parse().expect("a name")
}

struct Member {
    share: Share,
    window: Window,
    loans: Loans,
    up_since: usize,
}

impl Member {
    fn new(share: Share, step: usize) -> Self {
        let first_sequence = (step as u64) << 32;
        Self {
            share,
            window: Window::new(SPAN, RATIO, 0.0),
            loans: Loans::new(SERVICE, SPAN, first_sequence),
            up_since: step,
        }
    }

    fn first_start() -> Self {
        Self::new(Share::first_start(SPAN, Instant(0)), 0)
    }

    fn start(step: usize) -> Self {
        Self::new(Share::new(SPAN, at(step)), step)
    }

    /// Takes a retry as an instance does; returns whether one was left.
    fn try_retry(&mut self, now: Instant) -> bool {
        let allowed = self.window.try_retry(now) || self.loans.try_take(now);
        self.loans.record(now, allowed);
        allowed
    }
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Ask(Ask),
    Grant(Grant),
    Return(Return),
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    from: usize,
    to: usize,
    message: Message,
}

/// How messages are carried.
#[derive(Debug, Clone, Copy)]
struct Network {
    /// Part of the messages that is lost.
    lost: f64,
    /// Part of the messages that arrives twice.
    doubled: f64,
    /// Maximum delay, in steps; messages overtake each other.
    max_delay: usize,
}

const CALM: Network = Network { lost: 0.0, doubled: 0.0, max_delay: 0 };

#[derive(Debug, Clone, Copy)]
enum Change {
    /// Splits the instances into sides that cannot reach each other, for a number of steps.
    Cut {
        sides: usize,
        steps: usize,
    },
    /// Restarts each instance with this number in a cycle.
    Restart(usize),
    Join(usize),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        // An instance that restarts during a longer partition only knows its side of it.
        (2_usize..4, 5_usize..SPAN_STEPS).prop_map(|(sides, steps)| Change::Cut { sides, steps }),
        (1_usize..5).prop_map(Change::Restart),
        (1_usize..3).prop_map(Change::Join),
    ]
}

fn network() -> impl Strategy<Value = Network> {
    (0.0_f64..0.5, 0.0_f64..0.5, 0_usize..15).prop_map(|(lost, doubled, max_delay)| Network {
        lost,
        doubled,
        max_delay,
    })
}

struct Play {
    members: Vec<Member>,
    network: Network,
    rng: ChaCha8Rng,
    in_flight: BTreeMap<usize, Vec<Sent>>,
    sides: usize,
    healed_at: usize,
    noticed_at: usize,
    /// Retries, and first attempts, by step.
    retries: Vec<u32>,
    first_attempts: Vec<u32>,
    messages: usize,
    lent: u32,
    /// Retries of each instance in the last step.
    served: Vec<usize>,
}

impl Play {
    fn new(instances: usize, network: Network, seed: u64) -> Self {
        Self {
            members: (0..instances).map(|_| Member::first_start()).collect(),
            network,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sides: 1,
            healed_at: 0,
            noticed_at: 0,
            retries: Vec::new(),
            first_attempts: Vec::new(),
            messages: 0,
            lent: 0,
            served: Vec::new(),
        }
    }

    fn step(&self) -> usize {
        self.retries.len()
    }

    fn apply(&mut self, change: Change) {
        let step = self.step();
        match change {
            // A partition that follows at once is a longer one.
            Change::Cut { .. } if step < self.noticed_at => {}
            Change::Cut { sides, steps } => {
                (self.sides, self.healed_at) = (sides, step + steps);
                self.noticed_at = self.healed_at + NOTICE_STEPS + 1;
            }
            Change::Restart(cycle) => {
                for index in (0..self.members.len()).step_by(cycle) {
                    self.members[index] = Member::start(step);
                }
            }
            Change::Join(count) => {
                self.members.extend((0..count).map(|_| Member::start(step)));
            }
        }
    }

    fn send(&mut self, sent: Sent) {
        self.messages += 1;
        if sent.from % self.sides != sent.to % self.sides {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.network.doubled));
        for _ in 0..copies {
            if !self.rng.random_bool(self.network.lost) {
                let delay = self.rng.random_range(0..=self.network.max_delay);
                self.in_flight.entry(self.step() + delay).or_default().push(sent);
            }
        }
    }

    /// Delivers the messages that are due, and the answers to them that are not delayed.
    fn deliver(&mut self) {
        let (step, now) = (self.step(), at(self.step()));
        while let Some(due) = self.in_flight.remove(&step) {
            for Sent { from, to, message } in due {
                let peer = name(from);
                let member = &mut self.members[to];
                match message {
                    Message::Ask(_) if member.share.is_withheld(now) => {}
                    Message::Ask(ask) => {
                        let grant = member.loans.answer(now, &mut member.window, &peer, ask);
                        if let Some(grant) = grant {
                            self.send(Sent { from: to, to: from, message: Message::Grant(grant) });
                        }
                    }
                    Message::Return(unused) => {
                        member.loans.take_back(&mut member.window, &peer, unused);
                    }
                    Message::Grant(grant) => self.lent += member.loans.receive(now, &peer, grant),
                }
            }
        }
    }

    fn update_floors(&mut self) {
        let (step, now) = (self.step(), at(self.step()));
        if step >= self.healed_at {
            self.sides = 1;
        }
        let starts: Vec<usize> = self.members.iter().map(|member| member.up_since).collect();
        let sides = self.sides;
        for (index, member) in self.members.iter_mut().enumerate() {
            let is_seen = |(other, up_since): &(usize, &usize)| {
                other % sides == index % sides && step >= **up_since + NOTICE_STEPS
            };
            let seen = starts.iter().enumerate().filter(is_seen).count().max(1) as u32;
            let is_synced = step >= member.up_since + NOTICE_STEPS;
            let floor = member.share.of(FLOOR, now, is_synced.then_some(seen));
            member.window.set_floor(floor);
        }
    }

    /// Plays one step. `traffic` returns the first attempts and the wanted retries of an instance.
    /// Returns the number of retries that were refused.
    fn play(
        &mut self,
        mut traffic: impl FnMut(usize, &mut ChaCha8Rng) -> (u32, u32),
        is_lending: bool,
    ) -> u32 {
        self.update_floors();
        self.deliver();
        let now = at(self.step());
        let peers = self.members.len() as u32 - 1;
        let (mut retries, mut first_attempts, mut refused) = (0, 0, 0);
        self.served.clear();
        for from in 0..self.members.len() {
            let (first, wanted) = traffic(from, &mut self.rng);
            let member = &mut self.members[from];
            (0..first).for_each(|_| member.window.count_first(now));
            first_attempts += first;
            let served = (0..wanted).filter(|_| member.try_retry(now)).count();
            self.served.push(served);
            retries += served as u32;
            refused += wanted - served as u32;
            for (lender, unused) in member.loans.take_returns(now) {
                let to = (0..self.members.len()).find(|to| name(*to) == lender).expect("a member");
                self.send(Sent { from, to, message: Message::Return(unused) });
            }
            let member = &mut self.members[from];
            if !is_lending || wanted == 0 {
                continue;
            }
            let left = member.window.left(now);
            let Some(round) = member.loans.next_round(now, left, peers) else { continue };
            let others = (0..self.members.len()).filter(|other| *other != from);
            for to in others.choose_multiple(&mut self.rng, round.peers as usize) {
                self.send(Sent { from, to, message: Message::Ask(round.ask) });
            }
        }
        self.deliver();
        self.retries.push(retries);
        self.first_attempts.push(first_attempts);
        refused
    }

    /// Returns by how much the retries of a span exceed a floor and a share of the first attempts at
    /// most, where the first attempts of so many spans count.
    fn max_excess(&self, floor: f64, spans: usize) -> f64 {
        let excess = (0..self.step()).map(|end| {
            let sum = |counts: &[u32], steps: usize| -> f64 {
                counts[(end + 1).saturating_sub(steps)..=end].iter().copied().map(f64::from).sum()
            };
            let first_attempts = sum(&self.first_attempts, SPAN_STEPS * spans);
            sum(&self.retries, SPAN_STEPS) - first_attempts * RATIO - floor
        });
        excess.fold(f64::MIN, f64::max)
    }
}

/// Plays the changes with traffic that is uneven and changes with time. `first_rate` is the number of
/// first attempts of an instance per step, or `None` if it varies.
fn play_changes(
    instances: usize,
    changes: &[(usize, Change)],
    network: Network,
    first_rate: Option<u32>,
    seed: u64,
) -> Play {
    let mut play = Play::new(instances, network, seed);
    let mut pause = SETTLED_STEPS;
    let phase_steps = play.rng.random_range(10..SPAN_STEPS * 2);
    let burst_part = play.rng.random_range(0.05..1.0);
    for (steps, change) in
        changes.iter().map(|(steps, change)| (*steps, Some(*change))).chain([(SPAN_STEPS, None)])
    {
        for _ in 0..pause {
            let phase = play.step() / phase_steps;
            let traffic = |index: usize, rng: &mut ChaCha8Rng| {
                let is_busy = (index * 7 + phase * 3) % 5 < 2;
                let wanted = match rng.random_bool(if is_busy { burst_part } else { 0.02 }) {
                    true => rng.random_range(0..60),
                    false => 0,
                };
                let varying = |rng: &mut ChaCha8Rng| match (index + phase) % 3 {
                    0 => rng.random_range(0..8),
                    _ => 0,
                };
                (first_rate.unwrap_or_else(|| varying(rng)), wanted)
            };
            play.play(traffic, true);
        }
        if let Some(change) = change {
            play.apply(change);
        }
        pause = steps;
    }
    play
}

fn changes() -> impl Strategy<Value = Vec<(usize, Change)>> {
    prop::collection::vec((1_usize..150, change()), 1..8)
}

/// Returns the floor that a play has to keep. Instances use less than all of it since those that join
/// are noticed late; where none joins, loans must not use the difference.
fn floor(changes: &[(usize, Change)]) -> f64 {
    let has_join = changes.iter().any(|(_, change)| matches!(change, Change::Join(_)));
    if has_join { FLOOR } else { FLOOR * 0.9 }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Guards against a loan that two instances use, or that counts for less time than it is used.
    #[test]
    fn any_changes_keep_the_budget(
        instances in 2_usize..24,
        changes in changes(),
        network in network(),
        first_rate in 0_u32..3,
        seed in any::<u64>(),
    ) {
        let play = play_changes(instances, &changes, network, Some(first_rate), seed);
        let excess = play.max_excess(floor(&changes), 1);
        prop_assert!(excess <= 1e-9, "{excess} beyond the budget, {} lent", play.lent);
    }

    // Guards against loans that first attempts cover which the lender's window has left behind; as in
    // `retry_window`, those of an equally long span before it count.
    #[test]
    fn varying_traffic_keeps_the_budget(
        instances in 2_usize..24,
        changes in changes(),
        network in network(),
        seed in any::<u64>(),
    ) {
        let play = play_changes(instances, &changes, network, None, seed);
        let excess = play.max_excess(floor(&changes), 2);
        prop_assert!(excess <= 1e-9, "{excess} beyond the budget, {} lent", play.lent);
    }
}

/// Plays steps in which one of thirty instances wants retries, with so many in each; returns the
/// play and the number that was refused.
fn play_skewed(wanted: u32, network: Network, is_lending: bool) -> (Play, u32) {
    let mut play = Play::new(30, network, 5);
    for _ in 0..SETTLED_STEPS {
        play.play(|_, _| (0, 0), is_lending);
    }
    let skewed = |index: usize, _: &mut ChaCha8Rng| (0, if index == 3 { wanted } else { 0 });
    let refused = (0..SPAN_STEPS * 3).map(|_| play.play(skewed, is_lending)).sum();
    (play, refused)
}

/// Number of steps for which a stream looks for a retry.
const PATIENCE_STEPS: usize = 40;

/// Plays bursts of four streams that each look for a retry, at random instances; returns the play, and
/// the number of streams and of those that found none.
fn play_bursts(
    instances: usize,
    bursts_per_step: f64,
    network: Network,
    is_lending: bool,
) -> (Play, usize, usize) {
    let mut play = Play::new(instances, network, 11);
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    for _ in 0..SETTLED_STEPS {
        play.play(|_, _| (0, 0), is_lending);
    }
    let mut waiting: Vec<Vec<usize>> = vec![Vec::new(); instances];
    let (mut streams, mut lost) = (0, 0);
    for step in 0..SPAN_STEPS * 3 {
        if rng.random_bool(bursts_per_step) {
            waiting[rng.random_range(0..instances)].extend([step; 4]);
            streams += 4;
        }
        for begun in &mut waiting {
            let before = begun.len();
            begun.retain(|begun| step - begun < PATIENCE_STEPS);
            lost += before - begun.len();
        }
        play.play(|index, _| (0, waiting[index].len() as u32), is_lending);
        for (begun, served) in waiting.iter_mut().zip(&play.served) {
            begun.drain(..*served);
        }
    }
    (play, streams, lost)
}

/// Guards against streams that end at single instances for want of a retry, while all instances
/// together use about half of the budget.
#[test]
fn bursts_are_served() {
    for instances in [30, 118, 340] {
        let (_, streams, lost) = play_bursts(instances, 0.35, CALM, false);
        assert!(lost > streams / 20, "{instances} instances: {lost} of {streams} without loans");
        let (play, streams, lost) = play_bursts(instances, 0.35, CALM, true);
        assert!(lost <= streams / 100, "{instances} instances: {lost} of {streams}");
        assert!(play.max_excess(FLOOR * 0.9, 1) <= 0.0);
        let used: u32 = play.retries.iter().sum();
        assert!(f64::from(used) < FLOOR * 0.6 * 3.0, "{used} used");
        assert!(play.messages < streams * 20, "{} messages", play.messages);
    }
}

/// Guards against loans that work only while messages arrive at once.
#[test]
fn bursts_are_served_over_a_slow_network() {
    let network = Network { lost: 0.1, doubled: 0.1, max_delay: 2 };
    let (_, streams, lost) = play_bursts(118, 0.35, network, true);
    assert!(lost <= streams / 10, "{lost} of {streams}");
}

/// Guards against an instance that refuses retries while the others do not use theirs.
#[test]
fn skewed_demand_is_served() {
    let (play, refused) = play_skewed(1, CALM, true);
    assert_eq!(refused, 0, "{} lent", play.lent);
    assert!(play.max_excess(FLOOR * 0.9, 1) <= 0.0);
    let (_, refused) = play_skewed(1, CALM, false);
    assert!(refused > 200, "{refused} refused without loans");
}

/// Guards against loans that work only while messages arrive at once.
#[test]
fn skewed_demand_is_served_over_a_slow_network() {
    let network = Network { lost: 0.1, doubled: 0.1, max_delay: 2 };
    let (play, refused) = play_skewed(1, network, true);
    assert!(refused < 15, "{refused} refused, {} lent", play.lent);
}

/// Guards against requests that go on at the full rate while no peer has anything to lend.
#[test]
fn drained_peers_are_asked_less() {
    let (play, refused) = play_skewed(12, CALM, true);
    assert!(refused > 2_000);
    let used: u32 = play.retries[SETTLED_STEPS..].iter().sum();
    assert!(f64::from(used) >= FLOOR * 0.7 * 2.0, "{used} used");
    assert!(play.messages < 2_000, "{} messages", play.messages);
}

/// Guards against a lender that uses retries again while a borrower's late use of them still counts.
#[test]
fn late_use_counts_for_a_span() {
    let mut play = Play::new(2, CALM, 5);
    let total = (FLOOR * 0.9) as u32;
    // The first instance spends its share, and uses what it borrows as late as it may. Then both use
    // all they have, as soon as they may.
    for (idle_steps, index) in [(SETTLED_STEPS, 0), (8, 0), (1, 1)] {
        for _ in 0..idle_steps {
            play.play(|_, _| (0, 0), true);
        }
        play.play(|from, _| (0, if from == index { total } else { 0 }), index == 0);
    }
    assert!(play.retries[SETTLED_STEPS + 9] > 0, "nothing was borrowed");
    for _ in 0..SPAN_STEPS * 2 {
        play.play(|_, _| (0, total), false);
    }
    let excess = play.max_excess(FLOOR * 0.9, 1);
    assert!(excess <= 0.0, "{excess}");
}

/// Guards against loans from a floor that is used up once the first attempts that covered the own
/// retries have left the window.
#[test]
fn old_first_attempts_cover_no_loan() {
    let mut window = Window::new(SPAN, RATIO, 6.0);
    (0..100).for_each(|_| window.count_first(at(0)));
    (0..20).for_each(|_| assert!(window.try_retry(at(90))));
    assert_eq!(window.clone().lend(at(90), 8_000, SPAN / 10), 3_000);
    assert_eq!(window.left(at(95)), 6);
    assert_eq!(window.lend(at(95), 8_000, SPAN / 10), 0);
}

// Traffic that moved from one instance to another covered loans of both within one span.
#[test]
fn first_attempts_cover_no_loan() {
    let hold = SPAN / 10;
    let mut window = Window::new(SPAN, RATIO, 6.0);
    (0..1_000).for_each(|_| window.count_first(at(0)));
    let lent: u32 = (0..20).map(|_| window.lend(at(0), 8_000, hold)).sum();
    assert!(lent <= 6_000, "{lent}");
    assert_eq!(Window::new(SPAN, RATIO, 0.0).lend(at(0), 8_000, hold), 0);
}

/// Guards against an instance that is drained by one peer and refuses its own next retry.
#[test]
fn lender_keeps_a_part() {
    let mut window = Window::new(SPAN, 0.0, 20.0);
    let mut loans = Loans::new(SERVICE, SPAN, 1);
    let now = at(0);
    let lent: u32 = (0..100)
        .filter_map(|sequence| {
            let ask = Ask { service: SERVICE, sequence, milli_retries: u32::MAX };
            loans.answer(now, &mut window, &name(1), ask)
        })
        .map(|grant| grant.milli_retries)
        .sum();
    assert!((10_000..20_000).contains(&lent), "{lent}");
    assert!(window.try_retry(now));
}

/// Returns loans with one open request of a step, and a grant for it.
fn open_request(step: usize) -> (Loans, Grant) {
    let mut loans = Loans::new(SERVICE, SPAN, 40);
    loans.record(at(step), false);
    let ask = loans.next_round(at(step), 0, 1).expect("a request").ask;
    let grant =
        Grant { service: SERVICE, sequence: ask.sequence, milli_retries: 1_000, hold_ms: 1_000 };
    (loans, grant)
}

/// Guards against a loan that is used twice, late, or by an incarnation that did not request it.
#[test]
fn foreign_loans_are_ignored() {
    let (mut loans, grant) = open_request(0);
    assert_eq!(loans.receive(at(1), &name(1), Grant { sequence: 39, ..grant }), 0);
    assert_eq!(loans.receive(at(1), &name(1), grant), 1_000);
    assert_eq!(loans.receive(at(1), &name(1), grant), 0);
    assert_eq!(loans.receive(at(10), &name(2), grant), 0);
    assert!(!loans.try_take(at(10)));
    let (mut loans, grant) = open_request(0);
    assert_eq!(loans.receive(at(1), &name(1), Grant { hold_ms: u32::MAX, ..grant }), 1_000);
    assert!(!loans.try_take(at(10)));
}

/// Guards against retries that count as used although the borrower did not need them, and against a
/// repeated or foreign return that frees more than was lent.
#[test]
fn unused_retries_return_once() {
    let (lender, other) = (name(1), name(2));
    let mut window = Window::new(SPAN, 0.0, 8.0);
    let mut lending = Loans::new(SERVICE, SPAN, 1);
    let (mut borrowing, _) = open_request(0);
    borrowing.record(at(8), false);
    let ask = borrowing.next_round(at(8), 0, 1).expect("a request").ask;
    let grant = lending.answer(at(8), &mut window, &name(0), ask).expect("a loan");
    lending.answer(at(8), &mut window, &other, ask).expect("a loan of another one");
    let lent = grant.milli_retries;
    assert!(lent >= 2_000, "{lent}");
    let left = window.left(at(8));
    assert_eq!(borrowing.receive(at(9), &lender, grant), lent);
    assert!(borrowing.try_take(at(9)));
    assert!(borrowing.take_returns(at(16)).is_empty(), "it may still be used");
    let returns = borrowing.take_returns(at(18));
    assert!(!borrowing.try_take(at(9)), "returned retries were used");
    let [(to, unused)] = &returns[..] else { panic!("{returns:?}") };
    assert_eq!((to, unused.milli_retries), (&lender, lent - 1_000));
    lending.take_back(&mut window, &name(3), *unused);
    assert_eq!(window.left(at(18)), left);
    for _ in 0..3 {
        lending.take_back(&mut window, &name(0), *unused);
        assert_eq!(window.left(at(18)), left + unused.milli_retries / 1_000);
    }
}

/// Guards against borrowed retries that are lent on, which no window would count.
#[test]
fn borrowed_retries_are_not_lent() {
    let (mut loans, grant) = open_request(0);
    assert_eq!(loans.receive(at(1), &name(1), grant), 1_000);
    let mut window = Window::new(SPAN, 0.0, 0.0);
    let ask = Ask { service: SERVICE, sequence: 1, milli_retries: 1_000 };
    assert_eq!(loans.answer(at(1), &mut window, &name(2), ask), None);
}

/// Guards against loans that are forgotten with the counts when the span changes.
#[test]
fn loans_outlive_a_change_of_the_span() {
    let mut window = Window::new(SPAN, 0.0, 8.0);
    assert_eq!(window.lend(at(0), 8_000, SPAN / 10), 4_000);
    let new_span = SPAN / 5;
    window.set_span(new_span);
    assert_eq!(window.left(at(1)), 4);
    assert_eq!(window.left(at(0) + SPAN / 10 + new_span), 4);
    assert_eq!(window.left(at(0) + SPAN / 10 + new_span * 2), 8);
}
