//! Measures planning a chain and changing a candidate for different fleet sizes.

#![allow(missing_docs, reason = "criterion macros declare undocumented functions")]

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use goldcrestvale_base::engine::{Accelerator, Layers};
use goldcrestvale_route::chain::{Candidate, Planner};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MODEL_LAYERS: u32 = 80;

/// Layers that an engine holds, by accelerator type.
const RANGE_LAYERS: [u32; 3] = [20, 10, 5];

/// Returns engines whose ranges are aligned or begin at any layer.
fn fleet(engines: usize, domains: usize, aligned: bool) -> Vec<Candidate> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let kinds = [Accelerator::Large, Accelerator::Medium, Accelerator::Small];
    let build = |index: usize| {
        let kind = index % 3;
        let layers = RANGE_LAYERS[kind];
        let alignment = if aligned { layers } else { 1 };
        let from = rng.random_range(0..=(MODEL_LAYERS - layers) / alignment) * alignment;
        let nanos = 200_000 * (kind as u64 + 1) + rng.random_range(0..100_000);
        let step = Duration::from_nanos(nanos);
        let domain = rng.random_range(0..domains);
        Candidate {
            upstream: format!("e{index}").parse().expect("a valid name"),
            domain: format!("d{domain}").parse().expect("a valid name"),
            accelerator: kinds[kind].clone(),
            holds: [Layers { from, to: from + layers }].into_iter().collect(),
            step,
            slowdown: 1,
            cost: step,
            prefill: Duration::from_micros(2),
            // Link costs differ by a factor of about 100, starting at 0.3 ms.
            link: Duration::from_micros(300 + 1_000 * domain as u64),
        }
    };
    (0..engines).map(build).collect()
}

fn benchmark_planning(criterion: &mut Criterion) {
    let sizes = [
        ("40 in 3", 40, 3, true),
        ("1200 in 28", 1_200, 28, true),
        ("12000 in 28", 12_000, 28, true),
        ("12000 in 28, any range", 12_000, 28, false),
    ];
    for (name, engines, domains, aligned) in sizes {
        let candidates = fleet(engines, domains, aligned);
        let mut planner = Planner::new(MODEL_LAYERS, 1);
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

criterion_group!(benches, benchmark_planning);
criterion_main!(benches);
