//! Failover of running streams when a stage dies under full traffic.

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::pipeline::{Chain, Engine, Failover, find_chains, repair};

use crate::cards::{apply, fleet, model};

const NOW: Instant = Instant(1_000_000);

struct Loss {
    engines: Vec<Engine>,
    chain: Chain,
}

impl Loss {
    fn of(name: &str) -> Self {
        let mut engines = fleet();
        let chains = find_chains(&model(), &engines.iter().collect::<Vec<_>>());
        let chain = chains.into_iter().find(|chain| chain.domain.as_str() == "kirkos").unwrap();
        engines.iter_mut().find(|engine| engine.upstream.as_str() == name).unwrap().silent = true;
        Self { engines, chain }
    }

    fn failover(&self, may_resume: bool) -> Failover {
        let present: Vec<&Engine> = self.engines.iter().filter(|e| e.is_present()).collect();
        let chains = find_chains(&model(), &present);
        let chains: Vec<&Chain> = chains.iter().collect();
        let engines: Vec<&Engine> = self.engines.iter().collect();
        Failover::new(&model(), &engines, &self.chain, &chains, may_resume, NOW)
    }
}

#[test]
fn complete_chain_stays() {
    assert_eq!(Loss::of("bole-3").failover(true), Failover::Stay);
}

#[test]
fn lost_stage_resumes_elsewhere() {
    assert_eq!(Loss::of("kirkos-55").failover(true), Failover::Resume);
}

#[test]
fn repaired_stage_repaths() {
    let mut loss = Loss::of("kirkos-55");
    let in_domain: Vec<&Engine> =
        loss.engines.iter().filter(|engine| engine.domain.as_str() == "kirkos").collect();
    let orders = repair(&model(), &in_domain, |_| None);
    apply(&mut loss.engines, &orders);
    let Failover::Repath(path) = loss.failover(true) else { panic!("not moved") };
    assert_eq!(path.head(), loss.chain.head());
    assert_eq!(path.crossings, 0);
}

#[test]
fn last_attempt_crosses_domains() {
    // A stream that may not run again keeps its first engine, whatever the cost of the path.
    let Failover::Repath(path) = Loss::of("kirkos-55").failover(false) else { panic!("not moved") };
    assert!(path.crossings > 0);
}

#[test]
fn lost_head_resumes() {
    let head = Loss::of("bole-3").chain.head().upstream.to_string();
    assert_eq!(Loss::of(&head).failover(true), Failover::Resume);
    assert_eq!(Loss::of(&head).failover(false), Failover::Wait);
}
