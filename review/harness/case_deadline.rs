//! Streams whose chain is lost shortly before the timeout of their route are held past it.

use std::{
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Setup, engine_service, net, route, stream_head,
    upstream::{Card, Pace, Server, Settings},
};

const STREAMS: u64 = 12;
const TIMEOUT: Duration = Duration::from_millis(10_000);
const CARD: Card = Card { kind: "l4", mb: 21_600, layer_mb: 4_000, layers: 8 };

pub fn run(setup: &Setup) -> Outcome {
    setup.configure(
        &[route("draft", "stream", "draft", 2, TIMEOUT.as_millis() as u32)],
        &[engine_service("draft", 8, 4_000, &[("l4", 21_600)])],
    );
    // Two engines form the only chain; each has memory for 5 of the 8 layers.
    let mut servers = Vec::new();
    for id in ["draft-1", "draft-2"] {
        let pace = Pace {
            events: 88,
            events_per_write: 1,
            write_every: Duration::from_millis(150),
            spoils_one_in: 0,
        };
        let settings = Settings {
            id,
            service: "draft",
            zone: "bole",
            address: None,
            card: Some(CARD),
            pace,
            work: Duration::ZERO,
        };
        let server = Server::start(settings, &setup.store, &setup.record);
        servers.push(server.map_err(|e| format!("{id}: {e}"))?);
    }
    *servers[0].chain.lock().unwrap() = vec![servers[1].clone()];
    *servers[1].chain.lock().unwrap() = vec![servers[0].clone()];
    let gateways = setup.start_machines(&["bole"])?;
    let until = Instant::now() + Duration::from_secs(12);
    while servers.iter().any(|server| server.layers().is_none()) {
        if Instant::now() > until {
            return Err("the engines hold no layers".to_owned());
        }
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(2));
    let ended = Arc::new(Mutex::new(Vec::new()));
    let front = gateways[0].machine.front;
    let sent = Instant::now();
    let threads: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, ended) = (setup.record.clone(), ended.clone());
            std::thread::spawn(move || {
                let id = format!("draft-{number}");
                // The consumer waits for 20 s, and leaves after a gap of 2 s.
                let head = stream_head("/draft/2f", &id, 20_000);
                let started = Instant::now();
                let answer = net::call(front, &head, b"a notice", Duration::from_secs(2));
                let elapsed = started.elapsed();
                record.line(&format!(
                    "{id} ends for its consumer after {} ms: {}, {} bytes, complete: {}",
                    elapsed.as_millis(), answer.status, answer.body.len(), answer.is_complete
                ));
                ended.lock().unwrap().push((answer.status, elapsed));
            })
        })
        .collect();
    sleep(Duration::from_millis(9_200).saturating_sub(sent.elapsed()));
    if setup.has_trouble {
        // The first engine of the chain, which receives the requests.
        let first = servers.iter().find(|server| server.layers().is_some_and(|(from, _)| from == 0));
        first.ok_or("the engines do not form a chain")?.end("crash");
    }
    for thread in threads {
        let _ = thread.join();
    }
    let ended = ended.lock().unwrap();
    let begun = ended.iter().filter(|(status, _)| *status == 200).count();
    let longer = ended.iter().filter(|(status, at)| *status == 200 && *at > TIMEOUT - Duration::from_millis(50)).count();
    let held = ended.iter().filter(|(status, at)| *status == 200 && *at > TIMEOUT + Duration::from_millis(500)).count();
    setup.record.say(&format!(
        "{begun} of {STREAMS} streams began, {longer} lasted as long as the timeout of their route, {held} had no final answer 0.5 s after it"
    ));
    if (begun as u64) < STREAMS {
        return Err("not all streams began".to_owned());
    }
    Ok(!(held >= 8 && held * 4 > longer))
}
