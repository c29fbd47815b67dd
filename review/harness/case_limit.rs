//! An order for an engine that is gone reaches the server that has its address now.

use std::{
    sync::atomic::Ordering,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Setup, Traffic, engine_service, net, route, stream_head,
    upstream::{Card, Pace, Server, Settings},
};

const PACE: Pace =
    Pace { events: 20, events_per_write: 1, write_every: Duration::from_millis(40), spoils_one_in: 0 };
/// `draft`: 8 layers of 4,000 MB, on cards of 36,000 MB.
const DRAFT: Card = Card { kind: "a100s", mb: 36_000, layer_mb: 4_000, layers: 8 };
/// `tribute`: 8 layers of 2,800 MB, on cards of 14,400 MB, which hold 5 of them.
const TRIBUTE: Card = Card { kind: "t4", mb: 14_400, layer_mb: 2_800, layers: 8 };

pub fn run(setup: &Setup) -> Outcome {
    let kinds = [("a100s", 36_000), ("t4", 14_400)];
    let start = |id: &str, service: &str, zone: &str, card: &Card, address| {
        let settings = Settings {
            id,
            service,
            zone,
            address,
            card: Some(card.clone()),
            pace: PACE,
            work: Duration::ZERO,
        };
        Server::start(settings, &setup.store, &setup.record).map_err(|e| format!("{id}: {e}"))
    };
    setup.configure(
        &[route("draft", "stream", "draft", 2, 20_000), route("tribute", "stream", "tribute", 2, 20_000)],
        &[engine_service("draft", 8, 4_000, &kinds), engine_service("tribute", 8, 2_800, &kinds)],
    );
    let first = start("draft-bole", "draft", "bole", &DRAFT, None)?;
    let second = start("draft-kirkos", "draft", "kirkos", &DRAFT, None)?;
    let third = start("tribute-kirkos-1", "tribute", "kirkos", &TRIBUTE, None)?;
    let fourth = start("tribute-kirkos-2", "tribute", "kirkos", &TRIBUTE, None)?;
    let gateways = setup.start_machines(&["bole", "kirkos"])?;
    let until = Instant::now() + Duration::from_secs(12);
    while [&first, &second, &third, &fourth].iter().any(|server| server.layers().is_none()) {
        if Instant::now() > until {
            return Err("the engines hold no layers".to_owned());
        }
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(2));
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.machine.front).collect();
    let record = setup.record.clone();
    let traffic = Traffic::start(Duration::from_millis(100), move |number| {
        let id = format!("draft-{number}");
        let head = stream_head("/draft/2f", &id, 20_000);
        let answer = net::call(fronts[number as usize % fronts.len()], &head, b"a notice", Duration::from_secs(2));
        record.line(&format!("consumer gets {} for {id}, complete: {}", answer.status, answer.is_complete));
    });
    sleep(Duration::from_secs(2));
    let mut successor = None;
    if setup.has_trouble {
        // The store is down for 8 s; meanwhile an engine is lost for good, and 2.2 s later its address
        // belongs to a server of the other service.
        setup.store.set_down(true);
        sleep(Duration::from_millis(300));
        first.end("crash");
        sleep(Duration::from_millis(2_200));
        successor = Some(start("tribute-bole", "tribute", "bole", &TRIBUTE, Some(first.address))?);
        sleep(Duration::from_millis(5_500));
        setup.store.set_down(false);
    } else {
        sleep(Duration::from_secs(8));
    }
    sleep(Duration::from_secs(4));
    drop(traffic);
    let servers = [Some(first), Some(second), Some(third), Some(fourth), successor];
    Ok(!servers.iter().flatten().any(|server| server.overfull.load(Ordering::SeqCst)))
}
