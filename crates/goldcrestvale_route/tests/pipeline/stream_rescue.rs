//! What becomes of running streams when a stage dies under full traffic.

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::pipeline::{Engine, Line, Rescue, find_lines, mend};

use crate::cards::{fleet, model, place};

const NOW: Instant = Instant(1_000_000);

struct Loss {
    engines: Vec<Engine>,
    line: Line,
}

impl Loss {
    fn of(name: &str) -> Self {
        let mut engines = fleet();
        let lines = find_lines(&model(), &engines.iter().collect::<Vec<_>>());
        let line = lines.into_iter().find(|line| line.domain.as_str() == "kirkos").unwrap();
        engines.iter_mut().find(|engine| engine.upstream.as_str() == name).unwrap().silent = true;
        Self { engines, line }
    }

    fn rescue(&self, may_resume: bool) -> Rescue {
        let present: Vec<&Engine> = self.engines.iter().filter(|e| e.is_present()).collect();
        let lines = find_lines(&model(), &present);
        let lines: Vec<&Line> = lines.iter().collect();
        let engines: Vec<&Engine> = self.engines.iter().collect();
        Rescue::new(&model(), &engines, &self.line, &lines, may_resume, NOW)
    }
}

#[test]
fn whole_chain_stays() {
    assert_eq!(Loss::of("bole-3").rescue(true), Rescue::Stay);
}

#[test]
fn lost_stage_resumes_elsewhere() {
    assert_eq!(Loss::of("kirkos-55").rescue(true), Rescue::Resume);
}

#[test]
fn mended_stage_repaths() {
    let mut loss = Loss::of("kirkos-55");
    let inside: Vec<&Engine> =
        loss.engines.iter().filter(|engine| engine.domain.as_str() == "kirkos").collect();
    let orders = mend(&model(), &inside, |_| None);
    place(&mut loss.engines, &orders);
    let Rescue::Repath(path) = loss.rescue(true) else { panic!("not moved") };
    assert_eq!(path.head(), loss.line.head());
    assert_eq!(path.crossings, 0);
}

#[test]
fn last_attempt_crosses_domains() {
    // A stream that may not run again keeps its first engine, whatever the path costs.
    let Rescue::Repath(path) = Loss::of("kirkos-55").rescue(false) else { panic!("not moved") };
    assert!(path.crossings > 0);
}

#[test]
fn lost_head_resumes() {
    let head = Loss::of("bole-3").line.head().upstream.to_string();
    assert_eq!(Loss::of(&head).rescue(true), Rescue::Resume);
    assert_eq!(Loss::of(&head).rescue(false), Rescue::Wait);
}
