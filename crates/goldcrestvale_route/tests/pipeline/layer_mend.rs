//! What is loaded after a loss, at the load at which each engine is a large share of its chain.

use goldcrestvale_base::{engine::Layers, time::Instant};
use goldcrestvale_route::pipeline::{Engine, Placement, find_chains, layout, rebalance, repair};
use proptest::prelude::*;

use crate::cards::{domain, engine, fleet, model, place};

fn of<'e>(engines: &'e [Engine], name: &str) -> Vec<&'e Engine> {
    engines.iter().filter(|engine| engine.domain.as_str() == name).collect()
}

fn lose(engines: &mut [Engine], name: &str) -> Layers {
    let engine = engines.iter_mut().find(|engine| engine.upstream.as_str() == name).unwrap();
    engine.silent = true;
    engine.held.unwrap()
}

fn whole(engines: &[Engine], domain: &str) -> usize {
    let present: Vec<&Engine> =
        of(engines, domain).into_iter().filter(|engine| engine.is_present()).collect();
    find_chains(&model(), &present).iter().filter(|chain| chain.crossings == 0).count()
}

#[test]
fn lost_range_is_shared() {
    let mut engines = fleet();
    let lost = lose(&mut engines, "kirkos-53");
    let orders = repair(&model(), &of(&engines, "kirkos"), |_| None);
    let longest = orders.iter().map(|order| {
        let held = engines.iter().find(|e| e.upstream == order.upstream).unwrap().held.unwrap();
        order.layers.len() - held.len()
    });
    // Split in two, the load takes about half the time.
    assert!(longest.max().unwrap() <= lost.len().div_ceil(2) + 1);
    place(&mut engines, &orders);
    assert_eq!(whole(&engines, "kirkos"), 1);
}

#[test]
fn every_single_loss_is_mended() {
    let names: Vec<String> = fleet().iter().map(|engine| engine.upstream.to_string()).collect();
    for name in names {
        let mut engines = fleet();
        lose(&mut engines, &name);
        let place_name = name.split('-').next().unwrap().to_owned();
        let orders = repair(&model(), &of(&engines, &place_name), |_| None);
        place(&mut engines, &orders);
        assert_eq!(whole(&engines, &place_name), 1, "{name}: {orders:?}");
    }
}

#[test]
fn refusal_loses_nothing() {
    // A stage short of memory refuses for a moment. A new layout then stops the whole domain.
    let mut engines = fleet();
    for engine in engines.iter_mut().filter(|engine| engine.domain.as_str() == "yeka") {
        engine.avoided_until = Instant(u64::MAX);
    }
    assert!(repair(&model(), &of(&engines, "yeka"), |_| None).is_empty());
    assert!(rebalance(&model(), &of(&engines, "yeka")).is_empty());
}

#[test]
fn waits_for_orders() {
    let mut engines = fleet();
    lose(&mut engines, "kirkos-53");
    assert!(repair(&model(), &of(&engines, "kirkos"), |engine| engine.held).is_empty());
}

#[test]
fn even_chain_stays() {
    let engines = fleet();
    for name in ["bole", "kirkos", "yeka"] {
        assert!(rebalance(&model(), &of(&engines, name)).is_empty(), "{name}");
    }
}

/// Orders until nothing is left to order; returns the least room of the chain after each step.
///
/// In a domain with hardly more memory than the model takes, boundaries move one after the other,
/// each in two steps, so there are at most four steps an engine.
fn settle(engines: &mut [Engine], name: &str) -> Vec<f64> {
    let mut rooms = Vec::new();
    for _ in 0..of(engines, name).len() * 4 {
        let mut orders = repair(&model(), &of(engines, name), |_| None);
        if orders.is_empty() {
            orders = rebalance(&model(), &of(engines, name));
        }
        check(engines, &orders);
        place(engines, &orders);
        let present: Vec<&Engine> =
            of(engines, name).into_iter().filter(|e| e.is_present()).collect();
        let chains = find_chains(&model(), &present);
        rooms.push(chains.iter().map(|chain| chain.token_capacity).fold(f64::INFINITY, f64::min));
        if orders.is_empty() {
            return rooms;
        }
    }
    panic!("{name} is never settled: {rooms:?}");
}

fn check(engines: &[Engine], orders: &[Placement]) {
    let model = model();
    for order in orders {
        let engine = engines.iter().find(|engine| engine.upstream == order.upstream).unwrap();
        let card = model.card(&engine.card).unwrap();
        assert!(order.layers.len() <= model.max_layers(card), "{order:?} on {}", engine.card);
    }
}

/// The least room of a chain over all present engines, laid out anew.
fn even(engines: &[Engine], name: &str) -> f64 {
    let mut fresh: Vec<Engine> =
        of(engines, name).into_iter().filter(|e| e.is_present()).cloned().collect();
    let orders = layout(&model(), &fresh.iter().collect::<Vec<_>>());
    place(&mut fresh, &orders);
    let chains = find_chains(&model(), &fresh.iter().collect::<Vec<_>>());
    chains.iter().map(|chain| chain.token_capacity).fold(f64::INFINITY, f64::min)
}

#[test]
fn narrow_stages_are_widened() {
    let mut engines = fleet();
    lose(&mut engines, "kirkos-53");
    let rooms = settle(&mut engines, "kirkos");
    // Were the lost range held by its two neighbours, they would have a fifth of that room.
    let even = even(&engines, "kirkos");
    assert!(rooms[0] >= even * 0.5, "{even} {rooms:?}");
    assert!(rooms[rooms.len() - 1] >= even * 0.8, "{even} {rooms:?}");
    assert!(rooms.len() <= 6, "{rooms:?}");
}

#[test]
fn returned_engine_is_used() {
    let mut engines = fleet();
    lose(&mut engines, "yeka-101");
    settle(&mut engines, "yeka");
    engines.push(engine("yeka-200", "yeka", "medium", 200));
    let even = even(&engines, "yeka");
    let rooms = settle(&mut engines, "yeka");
    assert!(rooms[rooms.len() - 1] >= even * 0.8, "{even} {rooms:?}");
}

#[test]
fn empty_domain_is_laid_out() {
    let mut engines = domain("bole", [1, 1, 5, 7], 1);
    let orders = repair(&model(), &of(&engines, "bole"), |_| None);
    place(&mut engines, &orders);
    assert_eq!(whole(&engines, "bole"), 1);
}

proptest! {
    // Losses, returns and additions in any order end in a whole chain wherever the memory is there,
    // and no order goes beyond a card's memory.
    #[test]
    fn any_losses_settle(steps in prop::collection::vec((0_usize..12, prop::bool::ANY), 1..10)) {
        let mut engines: Vec<Engine> =
            fleet().into_iter().filter(|engine| engine.domain.as_str() == "kirkos").collect();
        for (place_at, returns) in steps {
            let engine = &mut engines[place_at];
            if returns {
                *engine = Engine { silent: false, held: None, ..engine.clone() };
            } else {
                engine.silent = true;
            }
            let model = model();
            let memory: u32 = engines
                .iter()
                .filter(|engine| engine.is_present())
                .map(|engine| model.max_layers(model.card(&engine.card).unwrap()))
                .sum();
            settle(&mut engines, "kirkos");
            prop_assert_eq!(whole(&engines, "kirkos") == 1, memory >= model.layers);
        }
    }
}

/// A domain with the memory for two chains.
fn two_chains() -> Vec<Engine> {
    let mut engines = domain("kirkos", [0, 2, 20, 9], 1);
    let placed = layout(&model(), &engines.iter().collect::<Vec<_>>());
    place(&mut engines, &placed);
    assert_eq!(whole(&engines, "kirkos"), 2);
    engines
}

/// The engine that runs a layer in the chain at a place.
fn runs(engines: &[Engine], chain: usize, layer: u32) -> String {
    let chains = find_chains(&model(), &engines.iter().collect::<Vec<_>>());
    let mut stages = chains[chain].stages.iter();
    let stage = stages.find(|stage| (stage.layers.from..stage.layers.to).contains(&layer));
    stage.unwrap().upstream.to_string()
}

#[test]
fn chains_are_mended_apart() {
    // Engines are lost together, one of each chain. What is left can be woven into one chain.
    for (first, second) in [(0, 40), (20, 25), (30, 30), (79, 1)] {
        let mut engines = two_chains();
        let lost = [runs(&engines, 0, first), runs(&engines, 1, second)];
        lost.iter().for_each(|name| {
            lose(&mut engines, name);
        });
        let orders = repair(&model(), &of(&engines, "kirkos"), |_| None);
        check(&engines, &orders);
        place(&mut engines, &orders);
        assert_eq!(whole(&engines, "kirkos"), 2, "{lost:?}");
        settle(&mut engines, "kirkos");
        assert_eq!(whole(&engines, "kirkos"), 2, "{lost:?}");
    }
}

#[test]
fn busy_chain_holds_up_no_other() {
    // One of the two is being mended already.
    let mut engines = two_chains();
    let lost = [runs(&engines, 0, 20), runs(&engines, 1, 50)];
    let busy = runs(&engines, 0, 30);
    lost.iter().for_each(|name| {
        lose(&mut engines, name);
    });
    let orders = repair(&model(), &of(&engines, "kirkos"), |engine| {
        engine.held.filter(|_| engine.upstream.as_str() == busy)
    });
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| order.upstream.as_str() != busy));
    place(&mut engines, &orders);
    assert!(whole(&engines, "kirkos") >= 1);
}

#[test]
fn first_layout_is_waited_for() {
    // Engines take the layers of a new layout one after the other. Those that have not yet are no loss.
    let mut engines = domain("kirkos", [0, 2, 20, 9], 1);
    let placed = layout(&model(), &engines.iter().collect::<Vec<_>>());
    for done in 0..placed.len() {
        place(&mut engines, &placed[..done]);
        let pending = |engine: &Engine| {
            let order = placed[done..].iter().find(|order| order.upstream == engine.upstream);
            order.map(|order| order.layers)
        };
        assert!(repair(&model(), &of(&engines, "kirkos"), pending).is_empty(), "{done}");
    }
}

#[test]
fn leaving_engine_releases_nothing() {
    // Its chain still runs. An engine that gives layers up waits for the streams passing through
    // them, so only loads are ordered.
    for name in ["kirkos-55", "yeka-108", "bole-6"] {
        let mut engines = fleet();
        engines.iter_mut().find(|engine| engine.upstream.as_str() == name).unwrap().ready = false;
        let domain = name.split('-').next().unwrap();
        let orders = repair(&model(), &of(&engines, domain), |_| None);
        assert!(!orders.is_empty(), "{name}");
        for order in &orders {
            let engine = engines.iter().find(|e| e.upstream == order.upstream).unwrap();
            assert!(engine.held.is_none_or(|held| order.layers.covers(held)), "{name}: {order:?}");
        }
        place(&mut engines, &orders);
        assert_eq!(whole(&engines, domain), 1, "{name}");
    }
}
