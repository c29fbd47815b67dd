//! Placement of layers in a domain while its engines stop responding.

use goldcrestvale_route::pipeline::{Engine, is_reachable, repair};

use crate::cards::{domain, fleet, model};

fn silence(engines: &mut [Engine], count: usize) {
    engines.iter_mut().rev().take(count).for_each(|engine| engine.silent = true);
}

fn refs(engines: &[Engine]) -> Vec<&Engine> {
    engines.iter().collect()
}

#[test]
fn few_losses_are_repaired() {
    for count in [1, 2, 3] {
        let mut engines: Vec<Engine> =
            fleet().into_iter().filter(|e| e.domain.as_str() == "kirkos").collect();
        silence(&mut engines, count);
        assert!(is_reachable(&refs(&engines)), "{count}");
    }
    let mut few = domain("bole", [1, 1, 0, 0], 1);
    silence(&mut few, 2);
    assert!(is_reachable(&refs(&few)));
}

#[test]
fn partitioned_domain_keeps_its_layout() {
    // The instance that places layers is outside the domain, and none of the engines that it could
    // query answered. A layout for the others would move every layer.
    let mut engines: Vec<Engine> =
        fleet().into_iter().filter(|e| e.domain.as_str() == "bole").collect();
    silence(&mut engines, 5);
    assert!(!repair(&model(), &refs(&engines), |_| None).is_empty());
    assert!(!is_reachable(&refs(&engines)));
}

#[test]
fn leaving_engines_are_not_a_partition() {
    // Half of a domain is replaced: the old engines leave, and end before their records expire.
    let mut engines: Vec<Engine> =
        fleet().into_iter().filter(|e| e.domain.as_str() == "bole").collect();
    silence(&mut engines, 7);
    engines.iter_mut().filter(|engine| engine.silent).for_each(|engine| engine.ready = false);
    assert!(is_reachable(&refs(&engines)));
}
