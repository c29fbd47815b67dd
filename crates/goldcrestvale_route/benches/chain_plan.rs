//! Time of planning a chain, and of changing a candidate, by the size of the fleet.

#![allow(missing_docs, reason = "the macros of the harness declare functions without any")]

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use goldcrestvale_base::engine::{Accelerator, Layers};
use goldcrestvale_route::chain::{Candidate, Planner};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DEPTH: u32 = 80;

/// Widths of the ranges that engines hold, in layers: each kind of accelerator holds its own.
const WIDTHS: [u32; 3] = [20, 10, 5];

/// Returns engines with aligned ranges, or with ranges that begin anywhere.
fn fleet(engines: usize, domains: usize, aligned: bool) -> Vec<Candidate> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let kinds = [Accelerator::Large, Accelerator::Medium, Accelerator::Small];
    let build = |index: usize| {
        let kind = index % 3;
        let width = WIDTHS[kind];
        let grid = if aligned { width } else { 1 };
        let from = rng.random_range(0..=(DEPTH - width) / grid) * grid;
        let nanos = 200_000 * (kind as u64 + 1) + rng.random_range(0..100_000);
        let step = Duration::from_nanos(nanos);
        let domain = rng.random_range(0..domains);
        Candidate {
            upstream: format!("e{index}").parse().expect("a valid name"),
            domain: format!("d{domain}").parse().expect("a valid name"),
            accelerator: kinds[kind].clone(),
            holds: [Layers { from, to: from + width }].into_iter().collect(),
            step,
            slowdown: 1,
            cost: step,
            prefill: Duration::from_micros(2),
            // Links differ a hundredfold, from a fraction of a millisecond.
            link: Duration::from_micros(300 + 1_000 * domain as u64),
        }
    };
    (0..engines).map(build).collect()
}

fn planning(criterion: &mut Criterion) {
    let sizes = [
        ("40 in 3", 40, 3, true),
        ("1200 in 28", 1_200, 28, true),
        ("12000 in 28", 12_000, 28, true),
        ("12000 in 28, any range", 12_000, 28, false),
    ];
    for (name, engines, domains, aligned) in sizes {
        let candidates = fleet(engines, domains, aligned);
        let mut planner = Planner::new(DEPTH, 1);
        candidates.iter().cloned().for_each(|candidate| planner.insert(candidate));
        let Ok(chain) = planner.plan(planner.span(), &[]) else { panic!("{name}: no chain") };
        let lost = &chain.stages()[0];
        let excluded = [lost.upstream.clone()];
        criterion.bench_function(&format!("chain, {name}"), |bencher| {
            bencher.iter(|| planner.plan(black_box(planner.span()), &[]));
        });
        criterion.bench_function(&format!("replacement of a stage, {name}"), |bencher| {
            bencher.iter(|| planner.plan(black_box(lost.layers), &excluded));
        });
        let mut step = 0;
        criterion.bench_function(&format!("change of a load, {name}"), |bencher| {
            bencher.iter(|| {
                step += 1;
                let candidate = &candidates[step as usize * 7 % engines];
                planner.set_cost(&candidate.upstream, Duration::from_micros(200 + step % 64));
            });
        });
    }
}

criterion_group!(benches, planning);
criterion_main!(benches);
