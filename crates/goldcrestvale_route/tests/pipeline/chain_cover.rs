//! Every chain runs each layer once and in order, on engines that hold it.

use std::collections::HashSet;

use goldcrestvale_base::engine::Layers;
use goldcrestvale_route::pipeline::{Engine, Line, detour, find_lines, layout};
use proptest::prelude::*;

use crate::cards::{fleet, is_whole, model};

fn check(line: &Line, engines: &[Engine]) {
    assert!(is_whole(line.parts.iter().map(|part| part.layers)), "{line:?}");
    let mut seen = HashSet::new();
    for part in &line.parts {
        let engine = engines.iter().find(|engine| engine.upstream == part.upstream).unwrap();
        assert!(engine.held.is_some_and(|held| held.covers(part.layers)), "{part:?}");
        assert!(seen.insert(&part.upstream), "{} stands twice", part.upstream);
    }
}

#[test]
fn one_chain_a_domain() {
    let engines = fleet();
    let lines = find_lines(&model(), &engines.iter().collect::<Vec<_>>());
    assert_eq!(lines.len(), 3);
    assert!(lines.iter().all(|line| line.crossings == 0));
    lines.iter().for_each(|line| check(line, &engines));
}

#[test]
fn layout_fits_cards() {
    let model = model();
    let engines = fleet();
    for engine in &engines {
        let card = model.card(&engine.card).unwrap();
        assert!(engine.held.is_some_and(|held| held.len() <= model.most_layers(card)));
    }
}

#[test]
fn lost_stage_crosses_domains() {
    let mut engines = fleet();
    engines.iter_mut().find(|engine| engine.upstream.as_str() == "kirkos-53").unwrap().silent =
        true;
    let present: Vec<&Engine> = engines.iter().filter(|engine| engine.is_present()).collect();
    let lines = find_lines(&model(), &present);
    let line = lines.iter().find(|line| line.domain.as_str() == "kirkos").unwrap();
    assert!(line.crossings > 0);
    assert!(!line.parts.iter().any(|part| part.upstream.as_str() == "kirkos-53"));
    check(line, &engines);
}

#[test]
fn too_little_memory_places_nothing() {
    let engines = crate::cards::domain("bole", [0, 1, 2, 0], 1);
    assert!(layout(&model(), &engines.iter().collect::<Vec<_>>()).is_empty());
}

fn held() -> impl Strategy<Value = Vec<(u32, u32)>> {
    prop::collection::vec((0_u32..80, 1_u32..40), 39)
}

proptest! {
    // Ranges that overlap, nest and leave gaps, as late and unanswered orders leave them.
    #[test]
    fn any_holdings(ranges in held()) {
        let mut engines = fleet();
        for (engine, (from, length)) in engines.iter_mut().zip(ranges) {
            engine.held = Some(Layers { from, to: (from + length).min(80) });
        }
        let borrowed: Vec<&Engine> = engines.iter().collect();
        for line in find_lines(&model(), &borrowed) {
            check(&line, &engines);
            if let Some(other) = detour(&model(), &borrowed, &line, false) {
                check(&other, &engines);
                prop_assert_eq!(other.head(), line.head());
            }
        }
    }
}
