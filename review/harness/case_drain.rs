//! A server whose entry is gone gets requests again once the store has been down.

use std::{
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Setup, Traffic, head, net, plain_service, route,
    upstream::{PLAIN, Server, Settings},
};

const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const OUTAGE: Duration = Duration::from_millis(2_000);
/// How long the leaving server goes on after its entry is gone.
const LINGER: Duration = Duration::from_millis(11_000);

pub fn run(setup: &Setup) -> Outcome {
    setup.configure(&[route("book", "unsafe", "ledger", 2, 1_500)], &[plain_service("ledger")]);
    let mut servers = Vec::new();
    // All are in one zone, so each machine sends to the same one for as long as it is listed.
    for id in ["ledger-1", "ledger-2"] {
        let settings = Settings {
            id,
            service: "ledger",
            zone: "bole",
            address: None,
            card: None,
            pace: PLAIN,
            work: Duration::from_millis(15),
        };
        let server = Server::start(settings, &setup.store, &setup.record);
        servers.push(server.map_err(|e| format!("{id}: {e}"))?);
    }
    let gateways = setup.start_machines(&["bole", "kirkos", "yeka"])?;
    sleep(Duration::from_secs(3));
    let leaving = servers[0].clone();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let log = arrivals.clone();
    *leaving.on_arrival.lock().unwrap() =
        Some(Box::new(move |id: &str| log.lock().unwrap().push((Instant::now(), id.to_owned()))));
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.machine.front).collect();
    let record = setup.record.clone();
    let lost = Arc::new(Mutex::new(0_u32));
    let losses = lost.clone();
    let traffic = Traffic::start(Duration::from_millis(20), move |number| {
        let index = number as usize % fronts.len();
        let id = format!("booking-{number}-{}", ["bole", "kirkos", "yeka"][index]);
        let answer = net::call(fronts[index], &head("POST", "/book/2f", &id, 1_500), b"notice", Duration::from_secs(2));
        record.line(&format!("consumer gets {} for {id}", answer.status));
        if answer.status != 200 && answer.status != 503 {
            *losses.lock().unwrap() += 1;
        }
    });
    sleep(Duration::from_secs(2));
    // Planned work: the server leaves without the state `draining`; its entry is removed.
    leaving.unlist();
    sleep(Duration::from_millis(20));
    let gone_at = Instant::now();
    setup.record.line("the entry of ledger-1 is removed (ack)");
    setup.store.drop_watched(&leaving.id, setup.has_trouble);
    let mut stable_at = gone_at;
    if setup.has_trouble {
        let until = gone_at + Duration::from_secs(2);
        while !setup.store.is_down() {
            if Instant::now() > until {
                return Err("nobody read that the entry is gone".to_owned());
            }
            sleep(Duration::from_millis(1));
        }
        sleep(OUTAGE);
        setup.store.set_down(false);
        stable_at = Instant::now() + STABLE_WINDOW;
    }
    sleep((gone_at + LINGER).saturating_duration_since(Instant::now()));
    leaving.end("its planned stop is over");
    sleep(Duration::from_secs(1));
    drop(traffic);
    sleep(Duration::from_secs(2));
    let readers = setup.store.readers();
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<_> = arrivals.iter().filter(|(at, _)| *at > gone_at + DRAIN).collect();
    let late_stable = late.iter().filter(|(at, _)| *at > stable_at).count();
    setup.record.say(&format!(
        "read first by {readers:?}; {} requests reached ledger-1 later than {} ms after the ack, {late_stable} of them while the store had been stable for {} ms; {} requests ended without an answer or with 502 or 504",
        late.len(), DRAIN.as_millis(), STABLE_WINDOW.as_millis(), lost.lock().unwrap()
    ));
    if arrivals.is_empty() {
        return Err("ledger-1 was never used".to_owned());
    }
    Ok(late_stable == 0)
}
