//! A stream with wrong bytes in one event loses a sound event before it.

use std::{
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Setup, Traffic, engine_service, net, route, stream_head,
    upstream::{Card, Pace, Server, Settings},
};

const EVENTS: u64 = 36;
const STREAMS: u64 = 80;
const CARD: Card = Card { kind: "a100s", mb: 36_000, layer_mb: 3_000, layers: 8 };

pub fn run(setup: &Setup) -> Outcome {
    setup.configure(
        &[route("draft", "stream", "draft", 2, 20_000)],
        &[engine_service("draft", 8, 3_000, &[("a100s", 36_000)])],
    );
    // One in 20 answers of one of the two servers has wrong bytes.
    let mut servers = Vec::new();
    for (id, zone, spoils_one_in) in [("draft-bole", "bole", 20), ("draft-kirkos", "kirkos", 0)] {
        let spoils_one_in = if setup.has_trouble { spoils_one_in } else { 0 };
        let write_every = Duration::from_millis(60);
        let pace = Pace { events: EVENTS, events_per_write: 3, write_every, spoils_one_in };
        let settings = Settings {
            id,
            service: "draft",
            zone,
            address: None,
            card: Some(CARD),
            pace,
            work: Duration::ZERO,
        };
        let server = Server::start(settings, &setup.store, &setup.record);
        servers.push(server.map_err(|e| format!("{id}: {e}"))?);
    }
    let gateways = setup.start_machines(&["bole", "kirkos"])?;
    let until = Instant::now() + Duration::from_secs(12);
    while servers.iter().any(|server| server.layers().is_none()) {
        if Instant::now() > until {
            return Err("the engines hold no layers".to_owned());
        }
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(2));
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.machine.front).collect();
    let (record, ended) = (setup.record.clone(), Arc::new(Mutex::new(Vec::new())));
    let answers = ended.clone();
    let traffic = Traffic::start(Duration::from_millis(100), move |number| {
        if number >= STREAMS {
            return;
        }
        let id = format!("draft-{number}");
        let head = stream_head("/draft/2f", &id, 20_000);
        let front = fronts[number as usize % fronts.len()];
        let answer = net::call(front, &head, b"a notice", Duration::from_secs(5));
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let ids: Vec<u64> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
        let is_whole = ids == (1..=EVENTS).collect::<Vec<_>>();
        let is_sealed = answer.header("x-goldcrestvale-response-seal").is_some();
        record.line(&format!(
            "consumer gets {} for {id}, sealed: {is_sealed}, complete: {}, {} events",
            answer.status, answer.is_complete, ids.len()
        ));
        let is_broken = answer.status == 200 && answer.is_complete && !is_whole;
        if is_broken {
            let missing: Vec<u64> = (1..=EVENTS).filter(|event| !ids.contains(event)).collect();
            record.say(&format!("BROKEN: stream {id} ends as complete without the events {missing:?}"));
        }
        answers.lock().unwrap().push((answer.is_complete, is_broken));
    });
    sleep(Duration::from_secs(18));
    drop(traffic);
    let ended = ended.lock().unwrap();
    let complete = ended.iter().filter(|(is_complete, _)| *is_complete).count();
    setup.record.say(&format!("{} streams ended, {complete} of them as complete", ended.len()));
    if (complete as u64) < STREAMS / 2 {
        return Err("too few streams were served".to_owned());
    }
    Ok(!ended.iter().any(|(_, is_broken)| *is_broken))
}
