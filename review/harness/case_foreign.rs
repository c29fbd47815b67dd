//! An entry of another writer with the address of a server takes the server away.

use std::{
    sync::{Arc, Mutex},
    thread::sleep,
    time::Duration,
};

use crate::{
    Outcome, Setup, Traffic, head, net, plain_service, route,
    store::SERVERS,
    upstream::{PLAIN, Server, Settings},
};

/// `configMs` and `stableWindowMs`, and as much again.
const SETTLED: Duration = Duration::from_millis(10_000);
const MEASURED: Duration = Duration::from_millis(8_000);

#[derive(Default, Clone, Copy)]
struct Count {
    sent: u32,
    served: u32,
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

pub fn run(setup: &Setup) -> Outcome {
    let first = route("book", "unsafe", "ledger", 2, 1_500);
    let added = route("archive", "safe", "archive", 2, 1_500);
    setup.configure_version(3, &[first.clone()], &[plain_service("ledger"), plain_service("archive")]);
    let mut servers = Vec::new();
    for service in ["ledger", "archive"] {
        for zone in ["bole", "kirkos"] {
            let id = format!("i-{service}-{zone}");
            let settings = Settings {
                id: &id,
                service,
                zone,
                address: None,
                card: None,
                pace: PLAIN,
                work: Duration::from_millis(15),
            };
            let server = Server::start(settings, &setup.store, &setup.record);
            servers.push(server.map_err(|e| format!("{id}: {e}"))?);
        }
    }
    // One of the machines of a zone reads the list and sends the others what it read.
    let gateways = setup.start_machines(&["bole"; 6])?;
    sleep(Duration::from_secs(2));
    setup.record.line("version 4 adds the route archive");
    setup.configure_version(4, &[first, added], &[plain_service("ledger"), plain_service("archive")]);
    if setup.has_trouble {
        // Another writer's entries: a service that no configuration names, under keys of their own.
        for server in servers.iter().filter(|server| server.service == "archive") {
            let (zone, address) = (&server.zone, server.address);
            let key = format!("probe-{zone}");
            let entry = format!(
                r#"{{"id":"{key}","service":"probe","address":"{address}","zone":"{zone}","version":"v1","slots":1,"state":"ready","coldLeftMs":0,"seq":1,"born":1764892800000}}"#
            );
            setup.store.put(SERVERS, &key, &entry);
            setup.record.line(&format!("another writer: {key} = {entry}"));
        }
    }
    sleep(SETTLED);
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.machine.front).collect();
    let counts = Arc::new(Mutex::new([Count::default(); 2]));
    let (record, counted) = (setup.record.clone(), counts.clone());
    let traffic = Traffic::start(Duration::from_millis(40), move |number| {
        let index = number as usize % 2;
        let (method, path) = [("POST", "/book/2f"), ("GET", "/archive/2f")][index];
        let id = format!("request-{number}");
        let front = fronts[(number as usize / 2) % fronts.len()];
        let answer = net::call(front, &head(method, path, &id, 1_500), b"", Duration::from_secs(2));
        let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
        record.line(&format!("consumer gets {} for {id} ({path}): {text}", answer.status));
        let mut counts = counted.lock().unwrap();
        counts[index].sent += 1;
        counts[index].served += u32::from(answer.status == 200 && answer.is_complete);
    });
    sleep(MEASURED);
    drop(traffic);
    sleep(Duration::from_secs(2));
    let [first, added] = *counts.lock().unwrap();
    setup.record.say(&format!(
        "first route: {} of {} requests served; added route: {} of {}",
        first.served, first.sent, added.served, added.sent
    ));
    if first.share() < 0.5 || added.sent < 20 {
        return Err("too little traffic was served".to_owned());
    }
    Ok(added.share() >= first.share() / 4.0)
}
