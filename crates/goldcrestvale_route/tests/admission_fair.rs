//! Fair shares, order, deadlines and refusals of the admission queue, on virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use goldcrestvale_base::{id::Customer, time::Instant};
use goldcrestvale_route::admission::{
    Capacity, Cause, Decision, Queue, Rejection, Released, Request, Settings, Ticket,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn customer(name: &str) -> Customer {
    name.parse().expect("a valid name")
}

/// Serves requests of fixed length on the slots of a queue.
struct World {
    now: Instant,
    rng: ChaCha8Rng,
    queue: Queue,
    length: Duration,
    ends: BinaryHeap<Reverse<(Instant, Ticket)>>,
    asked: HashMap<Ticket, (Customer, Instant)>,
    /// Time from arrival to the end, by customer.
    times: HashMap<Customer, Vec<Duration>>,
    refused: Vec<(Customer, Instant, Rejection)>,
    missed: usize,
}

impl World {
    fn new(slots: usize, length: Duration) -> Self {
        Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(7),
            queue: Queue::new(Settings::new(slots)),
            length,
            ends: BinaryHeap::new(),
            asked: HashMap::new(),
            times: HashMap::new(),
            refused: Vec::new(),
            missed: 0,
        }
    }

    fn offer(&mut self, ask: Request) -> Decision {
        let name = ask.customer.clone();
        let decision = self.queue.offer(self.now, ask.service(self.length), &mut self.rng);
        match decision {
            Decision::Run(ticket) => {
                self.asked.insert(ticket, (name, self.now));
                self.ends.push(Reverse((self.now + self.length, ticket)));
            }
            Decision::Wait(ticket) => {
                self.asked.insert(ticket, (name, self.now));
            }
            Decision::Reject(refused) => self.refused.push((name, self.now, refused)),
        }
        decision
    }

    fn take(&mut self, released: Vec<Released>) {
        for one in released {
            match one {
                Released::Run(ticket) => {
                    self.ends.push(Reverse((self.now + self.length, ticket)));
                }
                Released::Reject(ticket, refused) => {
                    let (name, _) = self.asked.remove(&ticket).expect("an asked ticket");
                    self.refused.push((name, self.now, refused));
                    self.missed += 1;
                }
            }
        }
    }

    /// Lets time pass until an instant.
    fn run_until(&mut self, until: Instant) {
        loop {
            let end = self.ends.peek().map(|Reverse((at, _))| *at);
            let wake = self.queue.wake().map(|at| at + Duration::from_micros(1));
            let Some(next) = end.into_iter().chain(wake).min().filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(next);
            if end.is_some_and(|end| end <= self.now) {
                let Reverse((_, ticket)) = self.ends.pop().expect("a running request");
                let (name, asked) = self.asked.remove(&ticket).expect("an asked ticket");
                self.times.entry(name).or_default().push(self.now.since(asked));
                let released = self.queue.finish(self.now, ticket, &mut self.rng);
                self.take(released);
            } else {
                let released = self.queue.tick(self.now, &mut self.rng);
                self.take(released);
            }
        }
        self.now = until;
    }

    fn p95(&mut self, name: &Customer) -> Duration {
        let times = self.times.get_mut(name).expect("a served customer");
        times.sort_unstable();
        times[times.len() * 95 / 100]
    }
}

const LENGTH: Duration = Duration::from_millis(1_000);

/// A small customer asks four times a second, with or without a large one's backlog.
fn small_beside(backlog: usize) -> World {
    let (small, large) = (customer("small"), customer("large"));
    let mut world = World::new(32, LENGTH);
    let far = Instant(0) + Duration::from_secs(3_600);
    for _ in 0..backlog {
        world.offer(Request::new(large.clone(), far));
    }
    for second in 0..60_u64 {
        for quarter in 0..4 {
            let at = Duration::from_millis(second * 1_000 + quarter * 250 + 13);
            world.run_until(Instant(0) + at);
            let deadline = world.now + Duration::from_secs(10);
            world.offer(Request::new(small.clone(), deadline));
        }
    }
    world.run_until(Instant(0) + Duration::from_secs(90));
    world
}

#[test]
fn small_beside_large() {
    let small = customer("small");
    let alone = small_beside(0).p95(&small);
    let mut crowded = small_beside(8_000);
    assert!(crowded.refused.is_empty(), "{:?}", crowded.refused.first());
    let beside = crowded.p95(&small);
    assert!(beside <= alone.mul_f64(1.1), "p95 {beside:?} beside a backlog, {alone:?} alone");
}

#[test]
fn shares_by_weight() {
    let mut world = World::new(10, LENGTH);
    let far = Instant(0) + Duration::from_secs(600);
    for _ in 0..1_000 {
        for (name, weight) in [("a", 1), ("b", 2), ("c", 5)] {
            world.offer(Request::new(customer(name), far).weight(weight));
        }
    }
    world.run_until(Instant(0) + Duration::from_secs(80));
    let served = |name: &str| world.times[&customer(name)].len();
    let all = served("a") + served("b") + served("c");
    // 10 slots for 80 s; an eleventh stands open to a customer below its share.
    assert!((800..=880).contains(&all), "{all} served");
    for (name, weight) in [("a", 1), ("b", 2), ("c", 5)] {
        let fair = weight * 100;
        assert!(served(name).abs_diff(fair) <= 12, "{name} served {}", served(name));
    }
}

#[test]
fn cap_per_customer() {
    let mut world = World::new(10, LENGTH);
    let far = Instant(0) + Duration::from_secs(600);
    for _ in 0..100 {
        world.offer(Request::new(customer("capped"), far).max_running(2));
    }
    assert_eq!((world.queue.running(), world.queue.waiting()), (2, 98));
    world.run_until(Instant(0) + Duration::from_secs(5));
    assert_eq!(world.times[&customer("capped")].len(), 10);
}

#[test]
fn order_within_customer() {
    let mut world = World::new(1, LENGTH);
    let at = |seconds| Instant(0) + Duration::from_secs(seconds);
    world.offer(Request::new(customer("a"), at(900)));
    let asks = [(0, 800), (0, 700), (9, 850), (9, 840)];
    let tickets: Vec<Ticket> = asks
        .iter()
        .map(|&(priority, deadline)| {
            let ask = Request::new(customer("a"), at(deadline)).priority(priority);
            let Decision::Wait(ticket) = world.offer(ask) else { panic!("no slot is free") };
            ticket
        })
        .collect();
    let mut order = Vec::new();
    for second in 1..=4 {
        world.run_until(at(second));
        order.extend(world.ends.iter().map(|Reverse((_, ticket))| *ticket));
    }
    assert_eq!(order, [tickets[3], tickets[2], tickets[1], tickets[0]]);
}

#[test]
fn refused_at_once() {
    let mut world = World::new(10, LENGTH);
    let hopeless = Request::new(customer("a"), Instant(0) + LENGTH / 2);
    let Decision::Reject(refused) = world.offer(hopeless) else { panic!("it cannot end in time") };
    assert_eq!(refused.cause, Cause::Deadline);
    let far = Instant(0) + Duration::from_secs(600);
    for _ in 0..200 {
        world.offer(Request::new(customer("a"), far));
    }
    world.run_until(Instant(0) + Duration::from_secs(5));
    // 150 are left at 10 a second.
    let ask = Request::new(customer("a"), world.now + Duration::from_secs(4));
    assert!(matches!(world.offer(ask), Decision::Reject(_)));
    let ask = Request::new(customer("a"), world.now + Duration::from_secs(30));
    assert!(matches!(world.offer(ask), Decision::Wait(_)));
    let (_, at, refused) = world.refused.last().expect("a refusal");
    assert_eq!(*at, world.now);
    assert!(refused.retry_after >= Duration::from_secs(10), "{refused:?}");
}

#[test]
fn full_queue() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut queue = Queue::new(Settings::new(1).max_waiting(2));
    let far = Instant(0) + Duration::from_secs(600);
    let decisions: Vec<Decision> = (0..4)
        .map(|_| queue.offer(Instant(0), Request::new(customer("a"), far), &mut rng))
        .collect();
    assert!(matches!(decisions[2], Decision::Wait(_)));
    let Decision::Reject(refused) = decisions[3] else { panic!("the queue is full") };
    assert_eq!(refused.cause, Cause::Full);
}

#[test]
fn spread_return() {
    let mut world = World::new(4, LENGTH);
    for _ in 0..400 {
        world.offer(Request::new(customer("a"), Instant(0) + Duration::from_secs(20)));
        world.run_until(world.now + Duration::from_millis(25));
    }
    let mut times: Vec<Duration> =
        world.refused.iter().map(|(_, _, refused)| refused.retry_after).collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 50, "{} different times to come back", times.len());
    let (first, last) = (times[0], times[times.len() - 1]);
    assert!(last >= first.mul_f64(1.3), "{first:?} to {last:?}");
}

/// After a doubled load for 10 s, the served rate is back within 5 s.
#[test]
fn overload_recovers() {
    let mut world = World::new(20, LENGTH);
    let mut arrivals = ChaCha8Rng::seed_from_u64(11);
    let mut served_before = 0;
    for tick in 0..400_u64 {
        let load = if (100..200).contains(&tick) { 2.0 } else { 0.9 };
        let asks = (0..4).filter(|_| arrivals.random::<f64>() < load / 2.0).count();
        for _ in 0..asks {
            let deadline = world.now + Duration::from_secs(3);
            world.offer(Request::new(customer("a"), deadline));
        }
        world.run_until(world.now + Duration::from_millis(100));
        if tick == 250 {
            served_before = world.times[&customer("a")].len();
        }
    }
    let served = world.times[&customer("a")].len() - served_before;
    assert!(served >= 255, "{served} served in 15 s of 270 offered");
    assert_eq!(world.missed, 0, "admitted requests that then missed their deadline");
}

#[test]
fn capacity_follows() {
    let target = Duration::from_millis(40);
    let mut capacity = Capacity::new(8, 2..=64, target);
    // A model in which every slot adds 2 ms, so that 20 slots meet the target.
    let mut slots = 8;
    for second in 1..200 {
        for _ in 0..20 {
            capacity.observe(Duration::from_millis(2) * slots as u32, true);
        }
        slots = capacity.slots(Instant(0) + Duration::from_secs(second));
    }
    assert!((18..=21).contains(&slots), "{slots} slots");
}

/// Whatever comes and goes, no slot is free while a request waits.
#[test]
fn work_conserving() {
    for customers in [1, 3, 100, 500] {
        let mut rng = ChaCha8Rng::seed_from_u64(customers);
        let mut queue = Queue::new(Settings::new(16));
        let mut running = Vec::new();
        let mut now = Instant(0);
        for step in 0..20_000 {
            now = now + Duration::from_micros(100);
            if step < 500 || rng.random() {
                let name = customer(&format!("c{}", rng.random_range(0..customers)));
                let ask = Request::new(name, now + Duration::from_secs(600));
                match queue.offer(now, ask, &mut rng) {
                    Decision::Run(ticket) => running.push(ticket),
                    Decision::Wait(_) => {}
                    Decision::Reject(refused) => panic!("step {step}: {refused:?}"),
                }
            } else if !running.is_empty() {
                let ended = running.swap_remove(rng.random_range(0..running.len()));
                for released in queue.finish(now, ended, &mut rng) {
                    let Released::Run(ticket) = released else { panic!("{released:?}") };
                    running.push(ticket);
                }
            }
            assert_eq!(queue.running(), running.len());
            assert!(queue.waiting() == 0 || running.len() >= 16, "{customers}, step {step}");
        }
    }
}
