//! Holders of a lease order engines that ignore fencing numbers, under pauses and lost answers.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::time::Duration;

use goldcrestvale_base::{
    id::{Incarnation, Offset, RecordId, Upstream},
    time::{Instant, Wall},
};
use goldcrestvale_ledger::{
    lease::{Action, Event, Lease, Manager, Queue, Request, Settings},
    prefix::Prefix,
    record::{Draft, Page, Sequence, View},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner},
};

const INSTANCES: usize = 3;
const LENGTH: Duration = Duration::from_secs(10);
const ORDER_DELAY: Duration = Duration::from_secs(2);
const START: u64 = 1_700_000_000_000;

/// How holders mind the time; all but the first are wrong and must be found out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Holder {
    Careful,
    /// Looks at the time left on the lease once, when it gets it.
    ChecksOnce,
    /// Believes that orders arrive at once.
    NoDelay,
}

#[derive(Debug, Clone)]
enum Step {
    /// Some of the instances run well for a while; the others are paused.
    Rounds {
        running: [bool; INSTANCES],
        count: usize,
        ms: u64,
        lost: bool,
    },
    Tick {
        at: usize,
    },
    Append {
        at: usize,
        fate: Fate,
    },
    Land,
    Read {
        at: usize,
        most: usize,
    },
    Work {
        at: usize,
        delay_ms: u64,
        lost: bool,
    },
    Want {
        at: usize,
    },
    Release {
        at: usize,
    },
    Crash {
        at: usize,
    },
    Advance {
        ms: u64,
    },
    Trim,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Done,
    AnswerLost,
    NeverArrived,
    Late,
}

fn step() -> impl Strategy<Value = Step> {
    let at = 0..INSTANCES;
    let fate = prop_oneof![
        6 => Just(Fate::Done), 1 => Just(Fate::AnswerLost),
        1 => Just(Fate::NeverArrived), 1 => Just(Fate::Late),
    ];
    let delay = 0..=u64::try_from(ORDER_DELAY.as_millis()).unwrap();
    let advance = prop_oneof![6 => 1..900_u64, 3 => 900..5_000_u64, 1 => 9_000..14_000_u64];
    let running = prop::array::uniform3(prop::bool::weighted(0.6));
    prop_oneof![
        8 => (running, 1..16_usize, 100..4_000_u64, prop::bool::weighted(0.3))
            .prop_map(|(running, count, ms, lost)| Step::Rounds { running, count, ms, lost }),
        6 => at.clone().prop_map(|at| Step::Tick { at }),
        8 => (at.clone(), fate).prop_map(|(at, fate)| Step::Append { at, fate }),
        1 => Just(Step::Land),
        8 => (at.clone(), 1..5_usize).prop_map(|(at, most)| Step::Read { at, most }),
        10 => (at.clone(), delay, prop::bool::weighted(0.3))
            .prop_map(|(at, delay_ms, lost)| Step::Work { at, delay_ms, lost }),
        4 => at.clone().prop_map(|at| Step::Want { at }),
        1 => at.clone().prop_map(|at| Step::Release { at }),
        1 => at.prop_map(|at| Step::Crash { at }),
        10 => advance.prop_map(|ms| Step::Advance { ms }),
        1 => Just(Step::Trim),
    ]
}

struct Stored {
    id: RecordId,
    written: Wall,
    data: String,
}

struct Node {
    manager: Manager,
    draft: Option<Draft>,
    orders: Option<(Offset, Queue<u64>)>,
    wanted: u64,
    released: bool,
}

/// An order on its way; the engine obeys whatever arrives.
struct InFlight {
    arrives: Instant,
    at: usize,
    fence: Offset,
    desired: u64,
    lost: bool,
}

struct World {
    holder: Holder,
    now: Instant,
    log: Vec<Stored>,
    oldest: usize,
    stray: Vec<Draft>,
    nodes: Vec<Node>,
    lives: u128,
    wishes: u64,
    flying: Vec<InFlight>,
    engine: (Offset, u64),
}

type Check = Result<(), TestCaseError>;

fn engine() -> Upstream {
    "gpu-1".parse().unwrap()
}

impl World {
    fn new(holder: Holder) -> Self {
        let mut world = Self {
            holder,
            now: Instant(0),
            log: Vec::new(),
            oldest: 0,
            stray: Vec::new(),
            nodes: Vec::new(),
            lives: 0,
            wishes: 0,
            flying: Vec::new(),
            engine: (Offset(0), 0),
        };
        world.nodes = (0..INSTANCES).map(|at| world.start(at)).collect();
        world
    }

    fn delay(&self) -> Duration {
        if self.holder == Holder::NoDelay { Duration::ZERO } else { ORDER_DELAY }
    }

    fn start(&mut self, at: usize) -> Node {
        self.lives += 1;
        let settings = Settings {
            name: "orders".into(),
            instance: format!("node-{at}").parse().unwrap(),
            length: LENGTH,
            order_delay: self.delay(),
        };
        let sequence = Sequence::new(Incarnation(self.lives), 0);
        let prefix = Prefix::trimmed(Offset(self.oldest as u64));
        let manager = Manager::new(settings, prefix, sequence);
        Node { manager, draft: None, orders: None, wanted: 0, released: false }
    }

    fn handle(&mut self, at: usize, event: Event<'_>) {
        let draft = self.nodes[at].manager.handle(event, self.now);
        if draft.is_some() {
            self.nodes[at].draft = draft;
        }
    }

    fn store(&mut self, draft: &Draft) {
        let written = Wall(START + self.now.0 / 1_000);
        self.log.push(Stored { id: draft.id, written, data: draft.data.clone() });
    }

    fn run(&mut self, step: &Step) -> Check {
        match *step {
            Step::Rounds { running, count, ms, lost } => {
                for number in 0..count {
                    self.round(running, ms, lost && number % 3 == 0)?;
                }
            }
            Step::Tick { at } => self.handle(at, Event::Tick),
            Step::Append { at, fate } => self.append(at, fate),
            Step::Land => {
                if let Some(draft) = self.stray.pop() {
                    self.store(&draft);
                }
            }
            Step::Read { at, most } => self.read(at, most),
            Step::Work { at, delay_ms, lost } => self.work(at, delay_ms, lost)?,
            Step::Want { at } => {
                self.wishes += 1;
                self.nodes[at].wanted = self.wishes;
            }
            Step::Release { at } => {
                let quiet = |(_, orders): &(Offset, Queue<u64>)| orders.is_idle(self.now);
                if self.nodes[at].orders.as_ref().is_some_and(quiet) {
                    self.nodes[at].released = true;
                    self.handle(at, Event::Release);
                }
            }
            Step::Crash { at } => self.nodes[at] = self.start(at),
            Step::Advance { ms } => self.advance(Duration::from_millis(ms))?,
            Step::Trim => self.oldest = self.log.len().saturating_sub(2).max(self.oldest),
        }
        Ok(())
    }

    fn append(&mut self, at: usize, fate: Fate) {
        let Some(draft) = self.nodes[at].draft.take() else { return };
        if matches!(fate, Fate::Done | Fate::AnswerLost) {
            self.store(&draft);
        }
        if fate == Fate::Late {
            self.stray.push(draft);
        }
        let done = fate == Fate::Done;
        self.handle(at, if done { Event::Appended } else { Event::AppendLost });
    }

    fn read(&mut self, at: usize, most: usize) {
        let log = std::mem::take(&mut self.log);
        let next = self.nodes[at].manager.fold().prefix().read_from();
        let from = usize::try_from(next.0).unwrap().max(self.oldest);
        let upto = log.len().min(from + most);
        let view = |place: usize| {
            let Stored { id, written, data } = &log[place];
            View { offset: Offset(place as u64), id: *id, written: *written, data }
        };
        let views: Vec<_> = (from..upto).map(view).collect();
        let (oldest, end) = (Offset(self.oldest as u64), Offset(log.len() as u64));
        self.handle(at, Event::Read(Page { oldest, end, records: &views }));
        self.log = log;
    }

    /// Reads and orders the engine, if this instance holds the lease.
    fn work(&mut self, at: usize, delay_ms: u64, lost: bool) -> Check {
        self.handle(at, Event::Tick);
        let (now, delay, holder) = (self.now, self.delay(), self.holder);
        let node = &mut self.nodes[at];
        let Some(lease) = node.manager.held() else {
            node.orders = None;
            return Ok(());
        };
        let fence = lease.fence();
        if node.orders.as_ref().is_none_or(|(of, _)| *of != fence) {
            node.orders = Some((fence, Queue::new(delay)));
        }
        let (_, orders) = node.orders.as_mut().unwrap();
        orders.set_desired(engine(), node.wanted);
        let checked = if holder == Holder::ChecksOnce { Instant(0) } else { now };
        for action in orders.poll(lease, checked) {
            match action {
                Action::Read(name) => {
                    orders.observe(&name, &node.wanted, self.engine.1 == node.wanted);
                }
                Action::Send { engine, fence, desired } => {
                    prop_assert!(self.flying.is_empty(), "two orders are on their way");
                    let arrives = now + Duration::from_millis(delay_ms);
                    self.flying.push(InFlight { arrives, at, fence, desired, lost });
                    if lost {
                        orders.order_lost(&engine, now);
                    }
                }
            }
        }
        Ok(())
    }

    fn advance(&mut self, span: Duration) -> Check {
        let until = self.now + span;
        self.flying.sort_by_key(|order| order.arrives);
        let due = self.flying.partition_point(|order| order.arrives <= until);
        for order in self.flying.drain(..due).collect::<Vec<_>>() {
            let newest = self.engine.0;
            prop_assert!(order.fence >= newest, "order of {} after {newest}", order.fence);
            self.engine = (order.fence, order.desired);
            let orders = self.nodes[order.at].orders.as_mut();
            if let Some((_, orders)) = orders.filter(|(fence, _)| *fence == order.fence)
                && !order.lost
            {
                orders.answered(&engine());
            }
        }
        self.now = until;
        Ok(())
    }

    fn round(&mut self, running: [bool; INSTANCES], ms: u64, lost: bool) -> Check {
        self.advance(Duration::from_millis(ms))?;
        for at in (0..INSTANCES).filter(|at| running[*at]) {
            self.read(at, usize::MAX / 2);
            self.append(at, Fate::Done);
            let delay_ms = if lost { 1_900 } else { ms.min(1_500) };
            self.work(at, delay_ms, lost)?;
        }
        Ok(())
    }

    /// Lets everything run well; somebody must hold the lease and get its way.
    fn finish(&mut self) -> Check {
        for at in 0..INSTANCES {
            if self.nodes[at].released {
                self.nodes[at] = self.start(at);
            }
        }
        for _ in 0..220 {
            self.round([true; INSTANCES], 2_000, false)?;
        }
        let holds = |node: &&Node| node.manager.held().is_some();
        let holders: Vec<_> = self.nodes.iter().filter(holds).collect();
        prop_assert_eq!(holders.len(), 1, "instances that hold the lease");
        prop_assert_eq!(self.engine.1, holders[0].wanted, "the engine is not as desired");
        Ok(())
    }
}

fn order(holder: Holder, cases: u32) -> Result<(), TestError<Vec<Step>>> {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let steps = prop::collection::vec(step(), 50..250);
    TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut world = World::new(holder);
        for step in &steps {
            world.run(step)?;
        }
        if holder == Holder::Careful { world.finish() } else { Ok(()) }
    })
}

#[test]
fn no_order_of_an_old_holder_arrives_after_one_of_a_new_holder() {
    order(Holder::Careful, 400).unwrap();
}

#[test]
fn a_holder_that_checks_its_lease_once_is_found_out() {
    let found = order(Holder::ChecksOnce, 4_000).unwrap_err().to_string();
    assert!(found.contains("order of") || found.contains("on their way"), "{found}");
}

#[test]
fn a_holder_that_ignores_the_delay_of_orders_is_found_out() {
    let found = order(Holder::NoDelay, 4_000).unwrap_err().to_string();
    assert!(found.contains("order of") || found.contains("on their way"), "{found}");
}

#[test]
fn a_new_holder_waits_out_the_old_lease_and_its_last_order() {
    let at = |seconds: u64| Instant(seconds * 1_000_000);
    for (name, before, ready) in [
        ("held by another", Some(Duration::from_secs(30)), at(132)),
        ("never held", None, at(112)),
        ("released", Some(Duration::ZERO), at(102)),
    ] {
        let request = Request {
            name: "orders".into(),
            instance: "node-1".parse().unwrap(),
            length: LENGTH,
            after: None,
            unchanged_since: at(100),
        };
        let id = RecordId { incarnation: Incarnation(1), sequence: 0 };
        let (asked, _) = Lease::request(&request, id, at(101));
        let waiting = asked.granted(Offset(0), before, ORDER_DELAY);
        assert_eq!(waiting.ready(), ready, "{name}");
        let early = Instant(ready.0 - 1);
        let waiting = waiting.try_hold(early).expect_err("too early");
        assert!(waiting.try_hold(ready).is_ok(), "{name}");
    }
}

/// Lets one manager's record be stored and read by another one.
fn pass_on(world: &mut World, from: usize, to: usize) {
    world.append(from, Fate::Done);
    world.read(from, 9);
    world.read(to, 9);
}

#[test]
fn a_take_over_starts_only_when_the_paused_holder_cannot_order_any_more() {
    let mut world = World::new(Holder::Careful);
    world.nodes.iter_mut().for_each(|node| node.wanted = 1);
    world.handle(0, Event::Tick);
    world.handle(1, Event::Tick);
    while world.nodes[0].manager.held().is_none() {
        world.advance(Duration::from_millis(500)).unwrap();
        world.handle(0, Event::Tick);
        pass_on(&mut world, 0, 1);
    }
    let deadline = world.nodes[0].manager.held().unwrap().deadline();
    while world.nodes[1].manager.held().is_none() {
        world.advance(Duration::from_millis(500)).unwrap();
        world.handle(1, Event::Tick);
        world.append(1, Fate::Done);
        world.read(1, 9);
    }
    assert!(world.now >= deadline, "held at {:?}, old deadline {deadline:?}", world.now);
    assert!(world.now <= deadline + LENGTH, "held at {:?}, too late", world.now);
}
