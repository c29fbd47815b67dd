//! Tests fairness, order, deadlines and rejections of the admission queue in virtual time.

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

/// Runs requests of a fixed service time in the slots of a queue.
struct Simulation {
    now: Instant,
    rng: ChaCha8Rng,
    queue: Queue,
    service_time: Duration,
    ends: BinaryHeap<Reverse<(Instant, Ticket)>>,
    arrivals: HashMap<Ticket, (Customer, Instant)>,
    /// Times from arrival to the end, by customer.
    times: HashMap<Customer, Vec<Duration>>,
    rejections: Vec<(Customer, Instant, Rejection)>,
    missed_deadlines: usize,
}

impl Simulation {
    fn new(slots: usize, service_time: Duration) -> Self {
        Self {
            now: Instant(0),
            rng: ChaCha8Rng::seed_from_u64(7),
            queue: Queue::new(Settings::new(slots)),
            service_time,
            ends: BinaryHeap::new(),
            arrivals: HashMap::new(),
            times: HashMap::new(),
            rejections: Vec::new(),
            missed_deadlines: 0,
        }
    }

    fn offer(&mut self, request: Request) -> Decision {
        let name = request.customer.clone();
        let decision =
            self.queue.offer(self.now, request.service_time(self.service_time), &mut self.rng);
        match decision {
            Decision::Run(ticket) => {
                self.arrivals.insert(ticket, (name, self.now));
                self.ends.push(Reverse((self.now + self.service_time, ticket)));
            }
            Decision::Wait(ticket) => {
                self.arrivals.insert(ticket, (name, self.now));
            }
            Decision::Reject(rejection) => self.rejections.push((name, self.now, rejection)),
        }
        decision
    }

    fn apply(&mut self, released: Vec<Released>) {
        for request in released {
            match request {
                Released::Run(ticket) => {
                    self.ends.push(Reverse((self.now + self.service_time, ticket)));
                }
                Released::Reject(ticket, rejection) => {
                    let (name, _) =
                        self.arrivals.remove(&ticket).expect("the ticket of an accepted request");
                    self.rejections.push((name, self.now, rejection));
                    self.missed_deadlines += 1;
                }
            }
        }
    }

    /// Advances the virtual time to an instant.
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
                let (name, arrival) =
                    self.arrivals.remove(&ticket).expect("the ticket of an accepted request");
                self.times.entry(name).or_default().push(self.now.since(arrival));
                let released = self.queue.finish(self.now, ticket, &mut self.rng);
                self.apply(released);
            } else {
                let released = self.queue.tick(self.now, &mut self.rng);
                self.apply(released);
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

const SERVICE_TIME: Duration = Duration::from_millis(1_000);

/// Runs four requests per second of a small customer while `backlog` requests of a large one wait.
fn run_small_customer(backlog: usize) -> Simulation {
    let (small, large) = (customer("small"), customer("large"));
    let mut simulation = Simulation::new(32, SERVICE_TIME);
    let far_deadline = Instant(0) + Duration::from_secs(3_600);
    for _ in 0..backlog {
        simulation.offer(Request::new(large.clone(), far_deadline));
    }
    for second in 0..60_u64 {
        for quarter in 0..4 {
            let at = Duration::from_millis(second * 1_000 + quarter * 250 + 13);
            simulation.run_until(Instant(0) + at);
            let deadline = simulation.now + Duration::from_secs(10);
            simulation.offer(Request::new(small.clone(), deadline));
        }
    }
    simulation.run_until(Instant(0) + Duration::from_secs(90));
    simulation
}

#[test]
fn small_customer_is_not_delayed_by_backlog() {
    let small = customer("small");
    let without_backlog = run_small_customer(0).p95(&small);
    let mut simulation = run_small_customer(8_000);
    assert!(simulation.rejections.is_empty(), "{:?}", simulation.rejections.first());
    let with_backlog = simulation.p95(&small);
    assert!(
        with_backlog <= without_backlog.mul_f64(1.1),
        "p95 {with_backlog:?} with a backlog, {without_backlog:?} without"
    );
}

#[test]
fn slots_are_shared_by_weight() {
    let mut simulation = Simulation::new(10, SERVICE_TIME);
    let far_deadline = Instant(0) + Duration::from_secs(600);
    for _ in 0..1_000 {
        for (name, weight) in [("a", 1), ("b", 2), ("c", 5)] {
            simulation.offer(Request::new(customer(name), far_deadline).weight(weight));
        }
    }
    simulation.run_until(Instant(0) + Duration::from_secs(80));
    let served = |name: &str| simulation.times[&customer(name)].len();
    let all = served("a") + served("b") + served("c");
    // 10 slots for 80 s, and an extra slot for a customer below its share.
    assert!((800..=880).contains(&all), "{all} served");
    for (name, weight) in [("a", 1), ("b", 2), ("c", 5)] {
        let fair = weight * 100;
        assert!(served(name).abs_diff(fair) <= 12, "{name} served {}", served(name));
    }
}

#[test]
fn running_requests_per_customer_are_limited() {
    let mut simulation = Simulation::new(10, SERVICE_TIME);
    let far_deadline = Instant(0) + Duration::from_secs(600);
    for _ in 0..100 {
        simulation.offer(Request::new(customer("capped"), far_deadline).max_running(2));
    }
    assert_eq!((simulation.queue.running(), simulation.queue.waiting()), (2, 98));
    simulation.run_until(Instant(0) + Duration::from_secs(5));
    assert_eq!(simulation.times[&customer("capped")].len(), 10);
}

#[test]
fn orders_by_priority_and_deadline() {
    let mut simulation = Simulation::new(1, SERVICE_TIME);
    let at = |seconds| Instant(0) + Duration::from_secs(seconds);
    simulation.offer(Request::new(customer("a"), at(900)));
    let requests = [(0, 800), (0, 700), (9, 850), (9, 840)];
    let tickets: Vec<Ticket> = requests
        .iter()
        .map(|&(priority, deadline)| {
            let request = Request::new(customer("a"), at(deadline)).priority(priority);
            let Decision::Wait(ticket) = simulation.offer(request) else {
                panic!("no slot is free")
            };
            ticket
        })
        .collect();
    let mut order = Vec::new();
    for second in 1..=4 {
        simulation.run_until(at(second));
        order.extend(simulation.ends.iter().map(|Reverse((_, ticket))| *ticket));
    }
    assert_eq!(order, [tickets[3], tickets[2], tickets[1], tickets[0]]);
}

#[test]
fn infeasible_deadline_is_rejected() {
    let mut simulation = Simulation::new(10, SERVICE_TIME);
    let infeasible = Request::new(customer("a"), Instant(0) + SERVICE_TIME / 2);
    let Decision::Reject(rejection) = simulation.offer(infeasible) else {
        panic!("it cannot end in time")
    };
    assert_eq!(rejection.cause, Cause::Deadline);
    let far_deadline = Instant(0) + Duration::from_secs(600);
    for _ in 0..200 {
        simulation.offer(Request::new(customer("a"), far_deadline));
    }
    simulation.run_until(Instant(0) + Duration::from_secs(5));
    // 150 requests are left and 10 finish per second.
    let request = Request::new(customer("a"), simulation.now + Duration::from_secs(4));
    assert!(matches!(simulation.offer(request), Decision::Reject(_)));
    let request = Request::new(customer("a"), simulation.now + Duration::from_secs(30));
    assert!(matches!(simulation.offer(request), Decision::Wait(_)));
    let (_, at, rejection) = simulation.rejections.last().expect("a rejection");
    assert_eq!(*at, simulation.now);
    assert!(rejection.retry_after >= Duration::from_secs(10), "{rejection:?}");
}

#[test]
fn full_queue_rejects() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut queue = Queue::new(Settings::new(1).max_waiting(2));
    let far_deadline = Instant(0) + Duration::from_secs(600);
    let decisions: Vec<Decision> = (0..4)
        .map(|_| queue.offer(Instant(0), Request::new(customer("a"), far_deadline), &mut rng))
        .collect();
    assert!(matches!(decisions[2], Decision::Wait(_)));
    let Decision::Reject(rejection) = decisions[3] else { panic!("the queue is full") };
    assert_eq!(rejection.cause, Cause::Full);
}

#[test]
fn retry_times_are_spread() {
    let mut simulation = Simulation::new(4, SERVICE_TIME);
    for _ in 0..400 {
        simulation.offer(Request::new(customer("a"), Instant(0) + Duration::from_secs(20)));
        simulation.run_until(simulation.now + Duration::from_millis(25));
    }
    let mut times: Vec<Duration> =
        simulation.rejections.iter().map(|(_, _, rejection)| rejection.retry_after).collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 50, "{} distinct retry times", times.len());
    let (first, last) = (times[0], times[times.len() - 1]);
    assert!(last >= first.mul_f64(1.3), "{first:?} to {last:?}");
}

/// After 10 s at twice the capacity, the rate of finished requests recovers within 5 s.
#[test]
fn recovers_from_overload() {
    let mut simulation = Simulation::new(20, SERVICE_TIME);
    let mut arrivals = ChaCha8Rng::seed_from_u64(11);
    let mut served_before = 0;
    for tick in 0..400_u64 {
        let load = if (100..200).contains(&tick) { 2.0 } else { 0.9 };
        let request_count = (0..4).filter(|_| arrivals.random::<f64>() < load / 2.0).count();
        for _ in 0..request_count {
            let deadline = simulation.now + Duration::from_secs(3);
            simulation.offer(Request::new(customer("a"), deadline));
        }
        simulation.run_until(simulation.now + Duration::from_millis(100));
        if tick == 250 {
            served_before = simulation.times[&customer("a")].len();
        }
    }
    let served = simulation.times[&customer("a")].len() - served_before;
    assert!(served >= 255, "{served} served in 15 s of 270 offered");
    assert_eq!(simulation.missed_deadlines, 0, "admitted requests missed their deadline");
}

#[test]
fn capacity_meets_target() {
    let target = Duration::from_millis(40);
    let mut capacity = Capacity::new(8, 2..=64, target);
    // Each slot adds 2 ms, so that 20 slots meet the target.
    let mut slots = 8;
    for second in 1..200 {
        for _ in 0..20 {
            capacity.observe(Duration::from_millis(2) * slots as u32, true);
        }
        slots = capacity.slots(Instant(0) + Duration::from_secs(second));
    }
    assert!((18..=21).contains(&slots), "{slots} slots");
}

/// No slot is free while a request waits.
#[test]
fn queue_is_work_conserving() {
    for customers in [1, 3, 100, 500] {
        let mut rng = ChaCha8Rng::seed_from_u64(customers);
        let mut queue = Queue::new(Settings::new(16));
        let mut running = Vec::new();
        let mut now = Instant(0);
        for step in 0..20_000 {
            now = now + Duration::from_micros(100);
            if step < 500 || rng.random() {
                let name = customer(&format!("c{}", rng.random_range(0..customers)));
                let request = Request::new(name, now + Duration::from_secs(600));
                match queue.offer(now, request, &mut rng) {
                    Decision::Run(ticket) => running.push(ticket),
                    Decision::Wait(_) => {}
                    Decision::Reject(rejection) => panic!("step {step}: {rejection:?}"),
                }
            } else if !running.is_empty() {
                let finished = running.swap_remove(rng.random_range(0..running.len()));
                for released in queue.finish(now, finished, &mut rng) {
                    let Released::Run(ticket) = released else { panic!("{released:?}") };
                    running.push(ticket);
                }
            }
            assert_eq!(queue.running(), running.len());
            assert!(queue.waiting() == 0 || running.len() >= 16, "{customers}, step {step}");
        }
    }
}
