//! Which chain a new stream takes, when the load is beyond the room of some or all.

use std::time::Duration;

use goldcrestvale_base::{id::Domain, time::Instant};
use goldcrestvale_route::pipeline::{Chain, Choice, Limit, Load, PeerLoad, Report, find_chains};

use crate::cards::{fleet, model};

const NOW: Instant = Instant(5_000_000);

fn chains() -> Vec<Chain> {
    find_chains(&model(), &fleet().iter().collect::<Vec<_>>())
}

fn own(streams: u32) -> Load {
    Load { own: streams, others: 0, reported: None, limit: None, unreported: 0.0 }
}

fn choose(chains: &[Chain], loads: [Load; 3], domain: &str) -> Choice {
    let candidates: Vec<(&Chain, Load)> = chains.iter().zip(loads).collect();
    let domain: Domain = domain.parse().unwrap();
    Choice::new(&model(), &candidates, &domain, NOW, 0.5)
}

fn domain_of(chains: &[Chain], choice: Choice) -> &str {
    let Choice::Take(place) = choice else { panic!("{choice:?}") };
    chains[place].domain.as_str()
}

#[test]
fn own_domain_first() {
    let chains = chains();
    for name in ["bole", "kirkos", "yeka"] {
        let choice = choose(&chains, [own(10), own(10), own(10)], name);
        assert_eq!(domain_of(&chains, choice), name);
    }
}

#[test]
fn loaded_domain_spills() {
    let chains = chains();
    let loads =
        chains.iter().map(|chain| own(if chain.domain.as_str() == "yeka" { 150 } else { 20 }));
    let loads: Vec<Load> = loads.collect();
    let choice = choose(&chains, [loads[0], loads[1], loads[2]], "yeka");
    assert_ne!(domain_of(&chains, choice), "yeka");
}

#[test]
fn full_chains_turn_away() {
    let chains = chains();
    let Choice::Full(back) = choose(&chains, [own(400), own(400), own(400)], "bole") else {
        panic!("not turned away")
    };
    assert!(back >= Duration::from_millis(500));
}

#[test]
fn no_chain_is_no_overload() {
    let domain: Domain = "bole".parse().unwrap();
    assert!(matches!(Choice::new(&model(), &[], &domain, NOW, 0.5), Choice::Broken(_)));
}

#[test]
fn reports_count_other_instances() {
    // Several instances send to one chain; each sees its own streams at once, the others' by report.
    let reported = Some(Report { streams: 100, own: 20, at: NOW });
    let load = Load { own: 30, others: 0, reported, limit: None, unreported: 0.0 };
    assert_eq!(load.streams(NOW), 110);
    assert_eq!(load.streams(NOW + Duration::from_secs(10)), 30);
    let told = Load { others: 90, ..load };
    assert_eq!(told.streams(NOW), 120);
}

#[test]
fn callers_come_back_apart() {
    let chains = chains();
    let candidates: Vec<(&Chain, Load)> = chains.iter().map(|chain| (chain, own(400))).collect();
    let domain: Domain = "bole".parse().unwrap();
    let back = |draw| match Choice::new(&model(), &candidates, &domain, NOW, draw) {
        Choice::Full(back) => back,
        choice => panic!("{choice:?}"),
    };
    assert!(back(1.0) > back(0.0) + Duration::from_secs(2));
}

/// Plays instances that move the streams of a lost chain to three others before any of them hears of
/// the rest; returns the streams on each chain and those that found none.
fn moved(instances: u32, each: u32, expect: bool) -> ([u32; 3], u32) {
    let chains = chains();
    let mut streams = [40, 50, 60];
    let before = streams.map(|streams| streams - streams / instances);
    let mut without = 0;
    for _ in 0..instances {
        let mut loads = before.map(|others| Load { others, ..own(0) });
        for (load, streams) in loads.iter_mut().zip([40, 50, 60]) {
            load.own = streams / instances;
        }
        let mut peer_loads = [PeerLoad::default(); 3];
        for _ in 0..each {
            for (load, peer_load) in loads.iter_mut().zip(&peer_loads) {
                load.unreported =
                    if expect { peer_load.unreported(load.own, instances, NOW) } else { 0.0 };
            }
            match choose(&chains, loads, "bole") {
                Choice::Take(place) => {
                    loads[place].own += 1;
                    streams[place] += 1;
                    peer_loads[place].record(NOW);
                }
                _ => without += 1,
            }
        }
    }
    (streams, without)
}

#[test]
fn moved_streams_spread() {
    // A lost chain of 180 streams, the room of one chain of the fleet.
    for (instances, each) in [(4, 45), (30, 6)] {
        let chains = chains();
        let room = |streams: [u32; 3]| {
            let over = chains.iter().zip(streams).map(|(chain, streams)| {
                f64::from(streams) * model().stream_tokens() / chain.token_capacity
            });
            over.fold(0.0, f64::max)
        };
        let (spread, without) = moved(instances, each, true);
        assert!(room(spread) <= 1.0, "{instances} {spread:?} {}", room(spread));
        assert!(without <= 180 / 4, "{instances} {without}");
        let (heaped, _) = moved(instances, each, false);
        assert!(room(heaped) > room(spread) + 0.1, "{instances} {heaped:?} {spread:?}");
    }
}

/// Plays callers that all come at once to chains that hold 40 streams each, and asks how many are
/// served within two seconds. Streams end at an even rate.
fn served(learn: impl Fn(u32, Instant) -> Option<Limit>, leave_alone: Duration) -> u32 {
    const HELD: u32 = 40;
    const CALLERS: u32 = 400;
    let chains = chains();
    let domain: Domain = "bole".parse().unwrap();
    let mut loads = [own(0); 3];
    let mut alone_until = [Instant(0); 3];
    let mut served = 0;
    let mut refused = 0;
    for step in 0..CALLERS {
        let now = NOW + Duration::from_millis(5) * step;
        // About ten streams a second end on each chain.
        if step % 20 == 0 {
            loads.iter_mut().for_each(|load| load.own = load.own.saturating_sub(1));
        }
        let open: Vec<usize> = (0..3).filter(|&place| alone_until[place] <= now).collect();
        let candidates: Vec<(&Chain, Load)> =
            open.iter().map(|&place| (&chains[place], loads[place])).collect();
        match Choice::new(&model(), &candidates, &domain, now, 0.5) {
            Choice::Take(choice) if loads[open[choice]].own < HELD => {
                loads[open[choice]].own += 1;
                served += 1;
            }
            Choice::Take(choice) => {
                let place = open[choice];
                refused += 1;
                loads[place].limit = learn(loads[place].own, now);
                alone_until[place] = now + leave_alone;
            }
            Choice::Full(_) | Choice::Broken(_) => {}
        }
    }
    assert!(refused < CALLERS / 2, "{refused} sends were refused");
    served
}

#[test]
fn full_chains_serve_on() {
    let learned = served(|streams, at| Some(Limit { streams, at }), Duration::ZERO);
    let left_alone = served(|_, _| None, Duration::from_millis(300));
    // 120 streams fit at once, and 60 end meanwhile.
    assert!(learned >= 170, "{learned}");
    assert!(learned > left_alone, "{learned} {left_alone}");
}
