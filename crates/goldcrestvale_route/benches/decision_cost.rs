//! Measures an admission by the number of customers and a choice by the number of upstreams.

#![allow(missing_docs, reason = "criterion macros declare undocumented functions")]

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use goldcrestvale_base::{id::Customer, time::Instant};
use goldcrestvale_route::{
    admission::{Decision, Queue, Released, Request, Settings, Ticket},
    balance::{Choice, Load},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests that wait during each decision.
const WAITING: usize = 2_000;

/// Measures one offered and one finished request with a constant backlog of all customers.
fn benchmark_admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("admission");
    for customers in [10, 100, 1_900] {
        let names: Vec<Customer> =
            (0..customers).map(|n| format!("c{n}").parse().expect("a valid name")).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut queue = Queue::new(Settings::new(64));
        let mut running: Vec<Ticket> = Vec::new();
        let mut now = Instant(0);
        let time_limit = Duration::from_secs(3_600);
        for n in 0..64 + WAITING {
            let request = Request::new(names[n % customers].clone(), now + time_limit);
            if let Decision::Run(ticket) = queue.offer(now, request, &mut rng) {
                running.push(ticket);
            }
        }
        group.bench_function(BenchmarkId::from_parameter(customers), |b| {
            b.iter(|| {
                now = now + Duration::from_micros(100);
                let name = names[rng.random_range(0..customers)].clone();
                let decision = queue.offer(now, Request::new(name, now + time_limit), &mut rng);
                if let Decision::Run(ticket) = black_box(decision) {
                    running.push(ticket);
                }
                let finished = running.swap_remove(rng.random_range(0..running.len()));
                for released in queue.finish(now, finished, &mut rng) {
                    if let Released::Run(ticket) = released {
                        running.push(ticket);
                    }
                }
            });
        });
    }
    group.finish();
}

fn benchmark_choice(c: &mut Criterion) {
    let mut group = c.benchmark_group("choice");
    for upstreams in [40, 430, 12_000] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let loads: Vec<Load> = (0..upstreams)
            .map(|_| Load {
                reported: rng.random_range(0..50),
                own_then: 3,
                own_now: 4,
                others_since: 1,
            })
            .collect();
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            let score = |index: usize| Some(loads[index].expected_time(Duration::from_millis(5)));
            b.iter(|| black_box(Choice::default().choose(upstreams, score, &mut rng)));
        });
    }
    group.finish();
}

criterion_group!(benches, benchmark_admission, benchmark_choice);
criterion_main!(benches);
