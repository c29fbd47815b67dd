//! Graceful stops do not interrupt requests in progress.

mod peers;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Fleet, LAYERS, MODEL, SERVICE},
    process::Signal,
    reference,
};
use http::StatusCode;
use peers::{builder, connect, links, list, settings};
use serde_json::{Value, json};
use tokio::task::JoinSet;

/// Interval at which the balancer polls the readiness of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time until a goodbye appears in the dump of another instance.
const GOODBYE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of callers that send requests in sequence.
const CALLERS: usize = 12;

/// A balancer that sends each request to an instance that was ready at the last poll.
#[derive(Debug, Clone, Default)]
struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    next: Arc<AtomicUsize>,
}

impl Balancer {
    fn pick(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().expect("the balancer's list");
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        (!ready.is_empty()).then(|| ready[next % ready.len()])
    }

    /// Polls one instance until the task is cancelled.
    async fn watch(self, callers: SocketAddr, operators: SocketAddr) {
        let caller = Caller::default();
        loop {
            let answer = caller.get(operators, "/ready").await;
            let is_ready = answer.is_ok_and(|answer| answer.status == StatusCode::OK);
            {
                let mut ready = self.ready.lock().expect("the balancer's list");
                ready.retain(|&address| address != callers);
                if is_ready {
                    ready.push(callers);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// The results that the callers observed.
#[derive(Debug, Default)]
struct Results {
    complete: AtomicUsize,
    failed: Mutex<Vec<String>>,
}

impl Results {
    fn record(&self, request: &str, outcome: io::Result<StatusCode>) {
        match outcome {
            Ok(StatusCode::OK) => {
                self.complete.fetch_add(1, Ordering::Relaxed);
            }
            outcome => {
                self.failed.lock().expect("the failures").push(format!("{request}: {outcome:?}"));
            }
        }
    }
}

async fn draft(caller: &Caller, entry: SocketAddr, number: usize) -> io::Result<StatusCode> {
    let prompt = format!("notice {number}");
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 30, "stream": true });
    let events = caller.stream(entry, "/v1/completions", &body).await?.collect().await?;
    let tokens = events.iter().filter_map(|event| event.data["token"].as_u64());
    let tokens: Vec<u32> = tokens.map(|token| token as u32).collect();
    let prompt: Vec<u32> = prompt.bytes().map(u32::from).collect();
    let is_complete = tokens == reference::answer(&prompt, LAYERS, 30)
        && events.last().is_some_and(|event| event.name == "end");
    if is_complete { Ok(StatusCode::OK) } else { Err(io::Error::other(format!("{events:?}"))) }
}

async fn booking(caller: &Caller, entry: SocketAddr) -> io::Result<StatusCode> {
    let key = uuid::Uuid::now_v7().to_string();
    let caller = caller.with("idempotency-key", &key);
    let path = format!("/services/{SERVICE}/notices");
    let answer = caller.post(entry, &path, &json!({ "page": 3 })).await?;
    Ok(answer.status)
}

/// Sends drafts and bookings in sequence until `end` is set.
async fn load(balancer: Balancer, caller: Caller, results: Arc<Results>, end: Arc<AtomicBool>) {
    let mut number = 0;
    while !end.load(Ordering::Relaxed) {
        let Some(entry) = balancer.pick() else {
            results.record("balancer", Err(io::Error::other("no instance is ready")));
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        number += 1;
        if number % 2 == 0 {
            results.record("draft", draft(&caller, entry, number).await);
        } else {
            results.record("booking", booking(&caller, entry).await);
        }
    }
}

async fn fleet(entries: usize) -> io::Result<Fleet> {
    let mut fleet = builder(entries)
        .engine("large-1", 0, 6, &["--time-scale=0.05"])
        .engine("large-2", 6, 12, &["--time-scale=0.05"])
        .service("booking-1")
        .service("booking-2")
        .start()
        .await?;
    connect(&mut fleet).await?;
    Ok(fleet)
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_under_load() -> io::Result<()> {
    let mut fleet = fleet(4).await?;
    let balancer = Balancer::default();
    let mut watches = JoinSet::new();
    for entry in &fleet.entries {
        watches.spawn(balancer.clone().watch(entry.callers, entry.operators));
    }
    while balancer.ready.lock().expect("the balancer's list").len() < 4 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let (results, end) = (Arc::new(Results::default()), Arc::new(AtomicBool::new(false)));
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let caller = fleet.customer();
        callers.spawn(load(balancer.clone(), caller, results.clone(), end.clone()));
    }
    for number in 1..=4 {
        let mut old = fleet.entries.remove(0);
        let before = results.complete.load(Ordering::Relaxed);
        old.process.signal(Signal::SIGTERM)?;
        assert_eq!(old.process.wait().await?, Some(0), "{}", old.process.output().await);
        fleet.start_entry(&format!("entry-{number}"), &settings("")).await?;
        let mut new = fleet.entries.pop().expect("the new instance");
        list(&fleet, &mut new).await?;
        watches.spawn(balancer.clone().watch(new.callers, new.operators));
        fleet.entries.push(new);
        fleet.wait_ready().await?;
        for entry in 0..4 {
            fleet.wait_dump(entry, |dump| links(dump) == 3).await?;
        }
        assert!(results.complete.load(Ordering::Relaxed) > before, "no request during the restart");
    }
    end.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    let failed = std::mem::take(&mut *results.failed.lock().expect("the failures"));
    assert!(failed.is_empty(), "{} failed: {failed:?}", failed.len());
    for service in &fleet.services {
        let counts = service.counts().await?;
        let keys = counts["by_key"].as_object().expect("keys");
        assert!(keys.values().all(|effects| effects == 1), "{keys:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_finish_after_sigterm() -> io::Result<()> {
    let mut fleet = fleet(2).await?;
    let entry = fleet.entries[0].callers;
    let customer = fleet.customer();
    fleet.services[0].fault(&json!({ "delay_ms": 500 })).await?;
    fleet.services[1].fault(&json!({ "delay_ms": 500 })).await?;
    let mut requests = JoinSet::new();
    for number in 0..20 {
        let customer = customer.clone();
        requests.spawn(async move {
            if number % 2 == 0 {
                draft(&customer, entry, number).await
            } else {
                booking(&customer, entry).await
            }
        });
    }
    fleet
        .wait_dump(0, |dump| dump["instance"]["requests_in_progress"].as_u64() >= Some(10))
        .await?;
    fleet.entries[0].process.signal(Signal::SIGTERM)?;
    while let Some(ended) = requests.join_next().await {
        assert_eq!(ended.map_err(io::Error::other)??, StatusCode::OK);
    }
    assert_eq!(fleet.entries[0].process.wait().await?, Some(0));
    // The goodbye was received: the state does not depend on missed heartbeats.
    let gone =
        |dump: &Value| dump["peers"]["member"]["view"]["peers"]["entry-1"]["state"] == "gone";
    let received = tokio::time::timeout(GOODBYE_TIMEOUT, fleet.wait_dump(1, gone)).await;
    assert!(received.is_ok(), "no goodbye: {:#}", fleet.dump(1).await?["peers"]["member"]["view"]);
    Ok(())
}

/// Starts an entry instance with a call in progress at a service that never responds.
async fn start_stuck_call(
    stop: &str,
) -> io::Result<(Fleet, tokio::task::JoinHandle<io::Result<StatusCode>>)> {
    let mut fleet = builder(1).service("booking-1").start().await?;
    fleet.start_entry("entry-2", &settings(stop)).await?;
    fleet.wait_ready().await?;
    fleet.services[0].fault(&json!({ "hang": true })).await?;
    let (customer, entry) = (fleet.customer(), fleet.entries[1].callers);
    let call = tokio::spawn(async move { booking(&customer, entry).await });
    fleet.wait_dump(1, |dump| dump["instance"]["requests_in_progress"] == json!(1)).await?;
    Ok((fleet, call))
}

#[tokio::test(flavor = "multi_thread")]
async fn stuck_call_ends_at_its_own_timeout() -> io::Result<()> {
    let (mut fleet, call) = start_stuck_call("").await?;
    fleet.entries[1].process.signal(Signal::SIGTERM)?;
    let answer = call.await.map_err(io::Error::other)??;
    assert!(answer.is_server_error(), "{answer}");
    assert_eq!(fleet.entries[1].process.wait().await?, Some(0));
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn stuck_call_ends_at_the_stop_timeout() -> io::Result<()> {
    let (mut fleet, call) = start_stuck_call("[stop]\nnotice_ms = 50\ntimeout_ms = 300\n").await?;
    fleet.entries[1].process.signal(Signal::SIGTERM)?;
    assert_eq!(fleet.entries[1].process.wait().await?, Some(3));
    assert!(call.await.map_err(io::Error::other)?.is_err(), "the connection is cut off");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_stops_immediately() -> io::Result<()> {
    let (mut fleet, call) = start_stuck_call("").await?;
    let process = &mut fleet.entries[1].process;
    process.signal(Signal::SIGTERM)?;
    process.wait_line("event=\"leaving\"").await?;
    process.signal(Signal::SIGTERM)?;
    assert_eq!(process.wait().await?, Some(3));
    assert!(call.await.map_err(io::Error::other)?.is_err(), "the connection is cut off");
    Ok(())
}
