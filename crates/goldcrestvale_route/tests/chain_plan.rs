//! Tests chain planning on fixed layouts and against an exhaustive search.

use std::time::Duration;

use goldcrestvale_base::{
    engine::{Accelerator, Layers},
    id::Upstream,
};
use goldcrestvale_route::chain::{BalancedPlanner, Candidate, Error, Plan, Planner, Stage};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn layers(from: u32, to: u32) -> Layers {
    Layers { from, to }
}

fn candidate(name: &str, held: &[(u32, u32)], step_micros: u64, link_nanos: u64) -> Candidate {
    Candidate {
        upstream: name.parse().expect("a valid name"),
        domain: "yeka".parse().expect("a valid name"),
        accelerator: Accelerator::Large,
        holds: held.iter().map(|&(from, to)| layers(from, to)).collect(),
        step: Duration::from_micros(step_micros),
        slowdown: 1,
        cost: Duration::from_micros(step_micros),
        prefill: Duration::from_micros(1),
        link: Duration::from_nanos(link_nanos),
    }
}

fn planner(total: u32, weight: u32, candidates: &[Candidate]) -> Planner {
    let mut planner = Planner::new(total, weight);
    candidates.iter().cloned().for_each(|candidate| planner.insert(candidate));
    planner
}

fn summary(stages: &[Stage]) -> Vec<(&str, u32, u32)> {
    stages.iter().map(|s| (s.upstream.as_str(), s.layers.from, s.layers.to)).collect()
}

#[test]
fn plans_expected_chain() {
    type Row<'a> = (&'a str, u32, Vec<Candidate>, Vec<&'a str>, Vec<(&'a str, u32, u32)>);
    let halves = || {
        vec![
            candidate("a", &[(0, 4)], 10, 8),
            candidate("b", &[(4, 8)], 10, 8),
            candidate("c", &[(4, 8)], 20, 8),
        ]
    };
    let rows: Vec<Row<'_>> = vec![
        ("the faster of two", 0, halves(), vec![], vec![("a", 0, 4), ("b", 4, 8)]),
        (
            "the slower where the faster is excluded",
            0,
            halves(),
            vec!["b"],
            vec![("a", 0, 4), ("c", 4, 8)],
        ),
        (
            "one stage where a second link costs more than it saves",
            0,
            vec![candidate("a", &[(0, 8)], 10, 8), candidate("b", &[(4, 8)], 9, 1 << 20)],
            vec![],
            vec![("a", 0, 8)],
        ),
        (
            "two stages where the bottleneck counts",
            4,
            vec![candidate("a", &[(0, 8)], 10, 8), candidate("b", &[(4, 8)], 10, 1 << 14)],
            vec![],
            vec![("a", 0, 4), ("b", 4, 8)],
        ),
        (
            "a part of an overlapping range",
            0,
            vec![candidate("a", &[(0, 6)], 10, 8), candidate("b", &[(3, 8)], 5, 8)],
            vec![],
            vec![("a", 0, 3), ("b", 3, 8)],
        ),
        (
            "adjacent ranges of one engine as one stage",
            9,
            vec![candidate("a", &[(4, 8), (0, 4)], 10, 8)],
            vec![],
            vec![("a", 0, 8)],
        ),
    ];
    for (name, weight, candidates, excluded, expected) in rows {
        let excluded: Vec<_> = excluded.iter().map(|name| name.parse().unwrap()).collect();
        let planner = planner(8, weight, &candidates);
        let chain = planner.plan(planner.span(), &excluded).unwrap();
        assert_eq!(summary(chain.stages()), expected, "{name}");
    }
}

#[test]
fn reports_uncovered_layers() {
    type Row<'a> = (&'a str, Vec<(u32, u32)>, Vec<Layers>);
    let rows: [Row<'_>; 4] = [
        ("no engine", vec![], vec![layers(0, 8)]),
        ("a gap in the middle", vec![(0, 3), (5, 8)], vec![layers(3, 5)]),
        ("gaps at both ends", vec![(1, 4), (3, 6)], vec![layers(0, 1), layers(6, 8)]),
        ("an empty range", vec![(0, 4), (5, 5)], vec![layers(4, 8)]),
    ];
    for (name, held, expected) in rows {
        let candidates: Vec<_> = held
            .iter()
            .enumerate()
            .map(|(index, range)| candidate(&format!("e{index}"), &[*range], 1, 1))
            .collect();
        let planner = planner(8, 1, &candidates);
        let error = planner.plan(planner.span(), &[]).unwrap_err();
        assert_eq!(error, Error::Uncovered { layers: expected.into() }, "{name}");
    }
    let planner = planner(8, 1, &[]);
    for span in [layers(3, 3), layers(4, 9)] {
        assert_eq!(planner.plan(span, &[]), Err(Error::Span { span, total: 8 }));
    }
}

#[test]
fn follows_removed_and_changed_candidates() {
    let a = candidate("a", &[(0, 2), (4, 8)], 10, 8);
    let b = candidate("b", &[(0, 8)], 20, 8);
    let mut planner = planner(8, 0, &[a.clone(), b.clone()]);
    let plan = |planner: &Planner| {
        let chain = planner.plan(planner.span(), &[]).unwrap();
        chain.stages().iter().map(|s| s.upstream.to_string()).collect::<Vec<_>>().join("")
    };
    assert_eq!(plan(&planner), "aba");
    planner.set_cost(&a.upstream, Duration::from_micros(30));
    assert_eq!(plan(&planner), "b");
    assert_eq!(planner.remove(&b.upstream), Some(b));
    let layers = [layers(2, 4)].into_iter().collect();
    assert_eq!(planner.plan(planner.span(), &[]), Err(Error::Uncovered { layers }));
    assert_eq!(planner.cover(Layers { from: 5, to: 8 }, &[]).unwrap().upstream, a.upstream);
    assert_eq!(planner.cover(Layers { from: 1, to: 8 }, &[]), None);
    assert_eq!(planner.len(), 1);
}

const MODEL_LAYERS: u32 = 6;

/// Returns the lowest cost of all chains that are split at the ends of held ranges.
fn lowest_cost(candidates: &[Candidate], weight: u32) -> Option<Duration> {
    let mut bounds: Vec<u32> = candidates
        .iter()
        .flat_map(|c| c.ranges().into_iter().flat_map(|r| [r.from, r.to]))
        .chain([0, MODEL_LAYERS])
        .collect();
    bounds.sort_unstable();
    bounds.dedup();
    let mut best = None;
    let mut pending = vec![(0, Duration::ZERO, Duration::ZERO, usize::MAX)];
    while let Some((from, sum, slowest, last)) = pending.pop() {
        if from == MODEL_LAYERS {
            let cost = sum + slowest * weight;
            best = Some(best.map_or(cost, |lowest: Duration| lowest.min(cost)));
            continue;
        }
        for (index, candidate) in candidates.iter().enumerate().filter(|(i, _)| *i != last) {
            for &to in bounds.iter().filter(|&&to| to > from) {
                if candidate.ranges().iter().any(|range| range.covers(layers(from, to))) {
                    let time = candidate.link + candidate.step * (to - from);
                    pending.push((to, sum + time, slowest.max(time), index));
                }
            }
        }
    }
    best
}

fn any_candidate() -> impl Strategy<Value = (Vec<(u32, u32)>, u64, u32)> {
    let range = (0..MODEL_LAYERS).prop_flat_map(|from| (Just(from), from + 1..=MODEL_LAYERS));
    (proptest::collection::vec(range, 1..3), 1_u64..12, 0_u32..15)
}

proptest! {
    #![proptest_config(Config {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn plan_matches_exhaustive_search(
        engines in proptest::collection::vec(any_candidate(), 1..6),
        weight in 0_u32..4,
    ) {
        let candidates: Vec<_> = engines
            .iter()
            .enumerate()
            .map(|(i, (held, step, link))| candidate(&format!("e{i}"), held, *step, 1 << link))
            .collect();
        let planner = planner(MODEL_LAYERS, weight, &candidates);
        match (planner.plan(planner.span(), &[]), lowest_cost(&candidates, weight)) {
            (Ok(chain), Some(lowest_cost)) => {
                prop_assert_eq!(chain.latency() + chain.bottleneck() * weight, lowest_cost);
                let neighbours = chain.stages().windows(2);
                prop_assert!(neighbours.clone().all(|w| w[0].layers.to == w[1].layers.from));
                prop_assert!(neighbours.clone().all(|w| w[0].upstream != w[1].upstream));
            }
            (Err(Error::Uncovered { layers }), None) => {
                for layer in 0..MODEL_LAYERS {
                    let one = Layers { from: layer, to: layer + 1 };
                    let held = candidates.iter().any(|c| c.ranges().iter().any(|r| r.covers(one)));
                    prop_assert_eq!(layers.iter().any(|gap| gap.covers(one)), !held);
                }
            }
            (planned, searched) => prop_assert!(false, "planned {planned:?}, found {searched:?}"),
        }
    }

    #[test]
    fn link_rounding_adds_at_most_a_quarter(nanos in 1_u64..10_000_000_000) {
        let planner = planner(1, 0, &[candidate("a", &[(0, 1)], 0, nanos)]);
        let link = planner.plan(planner.span(), &[]).unwrap().latency().as_nanos() as u64;
        prop_assert!(nanos <= link && link <= nanos + nanos / 4 + 1, "{nanos} became {link}");
    }
}

#[test]
fn stages_are_balanced_over_peers_by_load() {
    let names: Vec<_> = (0..8).map(|i| format!("a{i}")).collect();
    let mut candidates: Vec<_> = names.iter().map(|n| candidate(n, &[(0, 4)], 10, 8)).collect();
    candidates.extend([candidate("b", &[(4, 8)], 10, 8), candidate("far", &[(0, 4)], 10, 1 << 20)]);
    let planner = planner(8, 1, &candidates);
    let excluded = ["a3".parse().unwrap()];
    let mut load = std::collections::BTreeMap::<Upstream, u32>::new();
    for request in 0..700_u64 {
        let seed = request.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let balanced =
            BalancedPlanner::new(&planner, seed, |u: &Upstream| load.get(u).copied().unwrap_or(0));
        let chain = balanced.plan(balanced.span(), &excluded).unwrap();
        assert_eq!(chain.stages()[1].upstream.as_str(), "b");
        *load.entry(chain.stages()[0].upstream.clone()).or_default() += 1;
    }
    assert_eq!(load.len(), 7, "all engines but the excluded and the distant one: {load:?}");
    let (min, max) = (load.values().min().unwrap(), load.values().max().unwrap());
    assert!(max - min <= 10, "{load:?}");
}
