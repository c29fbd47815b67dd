//! Lease holders send orders to engines that ignore fencing numbers, with paused instances and lost
//! answers.

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

/// How holders check their lease; all variants but the first are incorrect and must be detected.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Holder {
    Correct,
    /// Checks the remaining time of the lease only once, when the lease is obtained.
    ChecksOnce,
    /// Assumes that orders arrive immediately.
    NoDelay,
}

#[derive(Debug, Clone)]
enum Step {
    /// Some of the instances run without faults for a number of rounds; the others are paused.
    Rounds {
        running: [bool; INSTANCES],
        count: usize,
        ms: u64,
        lost: bool,
    },
    Tick {
        instance: usize,
    },
    Append {
        instance: usize,
        delivery: Delivery,
    },
    StoreDelayed,
    Read {
        instance: usize,
        max_records: usize,
    },
    Order {
        instance: usize,
        delay_ms: u64,
        lost: bool,
    },
    SetDesired {
        instance: usize,
    },
    Release {
        instance: usize,
    },
    Crash {
        instance: usize,
    },
    Advance {
        ms: u64,
    },
    Trim,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Delivery {
    Delivered,
    AnswerLost,
    NotDelivered,
    Delayed,
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    let delivery = prop_oneof![
        6 => Just(Delivery::Delivered), 1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::NotDelivered), 1 => Just(Delivery::Delayed),
    ];
    let delay = 0..=u64::try_from(ORDER_DELAY.as_millis()).unwrap();
    let advance = prop_oneof![6 => 1..900_u64, 3 => 900..5_000_u64, 1 => 9_000..14_000_u64];
    let running = prop::array::uniform3(prop::bool::weighted(0.6));
    prop_oneof![
        8 => (running, 1..16_usize, 100..4_000_u64, prop::bool::weighted(0.3))
            .prop_map(|(running, count, ms, lost)| Step::Rounds { running, count, ms, lost }),
        6 => instance.clone().prop_map(|instance| Step::Tick { instance }),
        8 => (instance.clone(), delivery)
            .prop_map(|(instance, delivery)| Step::Append { instance, delivery }),
        1 => Just(Step::StoreDelayed),
        8 => (instance.clone(), 1..5_usize)
            .prop_map(|(instance, max_records)| Step::Read { instance, max_records }),
        10 => (instance.clone(), delay, prop::bool::weighted(0.3))
            .prop_map(|(instance, delay_ms, lost)| Step::Order { instance, delay_ms, lost }),
        4 => instance.clone().prop_map(|instance| Step::SetDesired { instance }),
        1 => instance.clone().prop_map(|instance| Step::Release { instance }),
        1 => instance.prop_map(|instance| Step::Crash { instance }),
        10 => advance.prop_map(|ms| Step::Advance { ms }),
        1 => Just(Step::Trim),
    ]
}

struct LogRecord {
    id: RecordId,
    written: Wall,
    data: String,
}

struct Node {
    manager: Manager,
    draft: Option<Draft>,
    orders: Option<(Offset, Queue<u64>)>,
    desired: u64,
    released: bool,
}

/// An order in flight; the engine carries out every order that arrives.
struct InFlightOrder {
    arrives_at: Instant,
    instance: usize,
    fence: Offset,
    desired: u64,
    lost: bool,
}

struct Cluster {
    holder: Holder,
    now: Instant,
    log: Vec<LogRecord>,
    oldest: usize,
    delayed: Vec<Draft>,
    nodes: Vec<Node>,
    incarnations: u128,
    last_desired: u64,
    in_flight: Vec<InFlightOrder>,
    engine: (Offset, u64),
}

type Check = Result<(), TestCaseError>;

fn engine() -> Upstream {
    "gpu-1".parse().unwrap()
}

impl Cluster {
    fn new(holder: Holder) -> Self {
        let mut cluster = Self {
            holder,
            now: Instant(0),
            log: Vec::new(),
            oldest: 0,
            delayed: Vec::new(),
            nodes: Vec::new(),
            incarnations: 0,
            last_desired: 0,
            in_flight: Vec::new(),
            engine: (Offset(0), 0),
        };
        cluster.nodes = (0..INSTANCES).map(|instance| cluster.start(instance)).collect();
        cluster
    }

    fn delay(&self) -> Duration {
        if self.holder == Holder::NoDelay { Duration::ZERO } else { ORDER_DELAY }
    }

    fn start(&mut self, instance: usize) -> Node {
        self.incarnations += 1;
        let settings = Settings {
            name: "orders".into(),
            instance: format!("node-{instance}").parse().unwrap(),
            length: LENGTH,
            order_delay: self.delay(),
        };
        let sequence = Sequence::new(Incarnation(self.incarnations), 0);
        let prefix = Prefix::trimmed(Offset(self.oldest as u64));
        let manager = Manager::new(settings, prefix, sequence);
        Node { manager, draft: None, orders: None, desired: 0, released: false }
    }

    fn handle(&mut self, instance: usize, event: Event<'_>) {
        let draft = self.nodes[instance].manager.handle(event, self.now);
        if draft.is_some() {
            self.nodes[instance].draft = draft;
        }
    }

    fn store(&mut self, draft: &Draft) {
        let written = Wall(START + self.now.0 / 1_000);
        self.log.push(LogRecord { id: draft.id, written, data: draft.data.clone() });
    }

    fn run(&mut self, step: &Step) -> Check {
        match *step {
            Step::Rounds { running, count, ms, lost } => {
                for number in 0..count {
                    self.round(running, ms, lost && number % 3 == 0)?;
                }
            }
            Step::Tick { instance } => self.handle(instance, Event::Tick),
            Step::Append { instance, delivery } => self.append(instance, delivery),
            Step::StoreDelayed => {
                if let Some(draft) = self.delayed.pop() {
                    self.store(&draft);
                }
            }
            Step::Read { instance, max_records } => self.read(instance, max_records),
            Step::Order { instance, delay_ms, lost } => self.order(instance, delay_ms, lost)?,
            Step::SetDesired { instance } => {
                self.last_desired += 1;
                self.nodes[instance].desired = self.last_desired;
            }
            Step::Release { instance } => {
                let idle = |(_, orders): &(Offset, Queue<u64>)| orders.is_idle(self.now);
                if self.nodes[instance].orders.as_ref().is_some_and(idle) {
                    self.nodes[instance].released = true;
                    self.handle(instance, Event::Release);
                }
            }
            Step::Crash { instance } => self.nodes[instance] = self.start(instance),
            Step::Advance { ms } => self.advance(Duration::from_millis(ms))?,
            Step::Trim => self.oldest = self.log.len().saturating_sub(2).max(self.oldest),
        }
        Ok(())
    }

    fn append(&mut self, instance: usize, delivery: Delivery) {
        let Some(draft) = self.nodes[instance].draft.take() else { return };
        if matches!(delivery, Delivery::Delivered | Delivery::AnswerLost) {
            self.store(&draft);
        }
        if delivery == Delivery::Delayed {
            self.delayed.push(draft);
        }
        let delivered = delivery == Delivery::Delivered;
        self.handle(instance, if delivered { Event::Appended } else { Event::AppendLost });
    }

    fn read(&mut self, instance: usize, max_records: usize) {
        let log = std::mem::take(&mut self.log);
        let next = self.nodes[instance].manager.fold().prefix().read_from();
        let from = usize::try_from(next.0).unwrap().max(self.oldest);
        let to = log.len().min(from + max_records);
        let view = |index: usize| {
            let LogRecord { id, written, data } = &log[index];
            View { offset: Offset(index as u64), id: *id, written: *written, data }
        };
        let views: Vec<_> = (from..to).map(view).collect();
        let (oldest, end) = (Offset(self.oldest as u64), Offset(log.len() as u64));
        self.handle(instance, Event::Read(Page { oldest, end, records: &views }));
        self.log = log;
    }

    /// Reads the engine and sends orders to it, if this instance holds the lease.
    fn order(&mut self, instance: usize, delay_ms: u64, lost: bool) -> Check {
        self.handle(instance, Event::Tick);
        let (now, delay, holder) = (self.now, self.delay(), self.holder);
        let node = &mut self.nodes[instance];
        let Some(lease) = node.manager.held() else {
            node.orders = None;
            return Ok(());
        };
        let fence = lease.fence();
        if node.orders.as_ref().is_none_or(|(queue_fence, _)| *queue_fence != fence) {
            node.orders = Some((fence, Queue::new(delay)));
        }
        let (_, orders) = node.orders.as_mut().unwrap();
        orders.set_desired(engine(), node.desired);
        let checked = if holder == Holder::ChecksOnce { Instant(0) } else { now };
        for action in orders.poll(lease, checked) {
            match action {
                Action::Read(name) => {
                    orders.observe(&name, &node.desired, self.engine.1 == node.desired);
                }
                Action::Send { engine, fence, desired } => {
                    prop_assert!(self.in_flight.is_empty(), "two orders are in flight");
                    let arrives_at = now + Duration::from_millis(delay_ms);
                    self.in_flight.push(InFlightOrder {
                        arrives_at,
                        instance,
                        fence,
                        desired,
                        lost,
                    });
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
        self.in_flight.sort_by_key(|order| order.arrives_at);
        let due = self.in_flight.partition_point(|order| order.arrives_at <= until);
        for order in self.in_flight.drain(..due).collect::<Vec<_>>() {
            let newest = self.engine.0;
            prop_assert!(order.fence >= newest, "order of {} after {newest}", order.fence);
            self.engine = (order.fence, order.desired);
            let orders = self.nodes[order.instance].orders.as_mut();
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
        for instance in (0..INSTANCES).filter(|instance| running[*instance]) {
            self.read(instance, usize::MAX / 2);
            self.append(instance, Delivery::Delivered);
            let delay_ms = if lost { 1_900 } else { ms.min(1_500) };
            self.order(instance, delay_ms, lost)?;
        }
        Ok(())
    }

    /// Runs without faults; one instance must then hold the lease, and the engine must be in the
    /// state that this instance desires.
    fn finish(&mut self) -> Check {
        for instance in 0..INSTANCES {
            if self.nodes[instance].released {
                self.nodes[instance] = self.start(instance);
            }
        }
        for _ in 0..220 {
            self.round([true; INSTANCES], 2_000, false)?;
        }
        let holds = |node: &&Node| node.manager.held().is_some();
        let holders: Vec<_> = self.nodes.iter().filter(holds).collect();
        prop_assert_eq!(holders.len(), 1, "instances that hold the lease");
        prop_assert_eq!(self.engine.1, holders[0].desired, "the engine is not as desired");
        Ok(())
    }
}

fn run_cases(holder: Holder, cases: u32) -> Result<(), TestError<Vec<Step>>> {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let steps = prop::collection::vec(step(), 50..250);
    TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut cluster = Cluster::new(holder);
        for step in &steps {
            cluster.run(step)?;
        }
        if holder == Holder::Correct { cluster.finish() } else { Ok(()) }
    })
}

#[test]
fn no_order_of_an_old_holder_arrives_after_one_of_a_new_holder() {
    run_cases(Holder::Correct, 400).unwrap();
}

#[test]
fn a_holder_that_checks_its_lease_once_is_detected() {
    let error = run_cases(Holder::ChecksOnce, 4_000).unwrap_err().to_string();
    assert!(error.contains("order of") || error.contains("in flight"), "{error}");
}

#[test]
fn a_holder_that_ignores_the_delay_of_orders_is_detected() {
    let error = run_cases(Holder::NoDelay, 4_000).unwrap_err().to_string();
    assert!(error.contains("order of") || error.contains("in flight"), "{error}");
}

#[test]
fn a_new_holder_waits_for_the_old_lease_and_its_last_order_to_end() {
    let at = |seconds: u64| Instant(seconds * 1_000_000);
    for (name, previous_length, ready_at) in [
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
        let (requested, _) = Lease::request(&request, id, at(101));
        let waiting = requested.granted(Offset(0), previous_length, ORDER_DELAY);
        assert_eq!(waiting.ready(), ready_at, "{name}");
        let early = Instant(ready_at.0 - 1);
        let waiting = waiting.try_hold(early).expect_err("too early");
        assert!(waiting.try_hold(ready_at).is_ok(), "{name}");
    }
}

/// Stores the record of one manager and reads it on both.
fn replicate_record(cluster: &mut Cluster, from: usize, to: usize) {
    cluster.append(from, Delivery::Delivered);
    cluster.read(from, 9);
    cluster.read(to, 9);
}

#[test]
fn a_takeover_starts_only_when_the_paused_holder_can_no_longer_send_orders() {
    let mut cluster = Cluster::new(Holder::Correct);
    cluster.nodes.iter_mut().for_each(|node| node.desired = 1);
    cluster.handle(0, Event::Tick);
    cluster.handle(1, Event::Tick);
    while cluster.nodes[0].manager.held().is_none() {
        cluster.advance(Duration::from_millis(500)).unwrap();
        cluster.handle(0, Event::Tick);
        replicate_record(&mut cluster, 0, 1);
    }
    let deadline = cluster.nodes[0].manager.held().unwrap().deadline();
    while cluster.nodes[1].manager.held().is_none() {
        cluster.advance(Duration::from_millis(500)).unwrap();
        cluster.handle(1, Event::Tick);
        cluster.append(1, Delivery::Delivered);
        cluster.read(1, 9);
    }
    assert!(cluster.now >= deadline, "held at {:?}, old deadline {deadline:?}", cluster.now);
    assert!(cluster.now <= deadline + LENGTH, "held at {:?}, too late", cluster.now);
}
