//! Configuration changes over several entry instances, while the log is unavailable, loses
//! responses or is trimmed.

mod peers;

use std::{io, path::Path, time::Duration};

use goldcrestvale_standin::{
    caller::Caller,
    fleet::{Fleet, Standin, TOKEN},
    process::Process,
};
use http::StatusCode;
use peers::{ROUTER, builder, connect, settings};
use serde_json::{Value, json};

/// Maximum time from the acceptance of a change until it is in force at every instance.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time that a test waits for an instance.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of services that needs many chunks, and more records than an instance retains.
const SERVICE_COUNT: u64 = 4_000;

fn operator() -> Caller {
    Caller::default().with("authorization", &format!("Bearer {TOKEN}"))
}

fn service(timeout_ms: u64) -> Value {
    json!({ "pool": "booking", "timeout_ms": timeout_ms })
}

fn change(name: &str, base: Option<u64>, body: &Value) -> Value {
    json!({
        "schema": { "major": 1, "minor": 0 }, "kind": "service", "name": name, "base": base,
        "body": body, "operator": "test",
    })
}

async fn put(fleet: &Fleet, entry: usize, change: &Value) -> io::Result<(StatusCode, Value)> {
    let at = fleet.entries[entry].operators;
    let answer = operator().post(at, "/config/changes", change).await?;
    Ok((answer.status, answer.json()))
}

fn version_of(answer: &Value) -> u64 {
    answer["outcome"]["accepted"]["version"].as_u64().expect("an accepted change")
}

async fn wait_until(
    fleet: &Fleet,
    entry: usize,
    limit: Duration,
    error: &str,
    condition: impl Fn(&Value) -> bool,
) -> io::Result<Value> {
    match tokio::time::timeout(limit, fleet.wait_dump(entry, &condition)).await {
        Ok(dump) => dump,
        Err(_) => {
            Err(io::Error::other(format!("{error}: {:#}", fleet.dump(entry).await?["config"])))
        }
    }
}

fn has_version(dump: &Value, version: u64) -> bool {
    dump["config"]["version"].as_u64().is_some_and(|end| end > version)
}

async fn run(arguments: &str) -> io::Result<(Option<i32>, String)> {
    let arguments: Vec<String> = arguments.split_whitespace().map(str::to_owned).collect();
    let mut process = Process::spawn(Path::new(ROUTER), &arguments)?;
    let code = process.wait().await?;
    Ok((code, process.output().await))
}

async fn trim(platform: &Standin, stream: &str, below: u64) -> io::Result<()> {
    let path = format!("/streams/{stream}/trim?below={below}");
    let answer = Caller::default().post(platform.address, &path, &json!({})).await?;
    assert_eq!(answer.status, StatusCode::OK);
    Ok(())
}

async fn digest(fleet: &Fleet, entry: usize) -> io::Result<Value> {
    Ok(fleet.dump(entry).await?["config"]["digest"].clone())
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_reach_all_instances_in_time() -> io::Result<()> {
    let mut fleet = builder(4).start().await?;
    connect(&mut fleet).await?;
    for round in 0..5_usize {
        let name = format!("s{round}");
        let (status, answer) = put(&fleet, round % 4, &change(&name, None, &service(9))).await?;
        assert_eq!(status, StatusCode::OK, "{answer}");
        let version = version_of(&answer);
        let all = async {
            for entry in 0..4 {
                fleet.wait_dump(entry, |dump| has_version(dump, version)).await?;
            }
            Ok::<_, io::Error>(())
        };
        tokio::time::timeout(IN_FORCE_TIMEOUT, all).await.expect("in force in time")?;
    }
    let at = fleet.entries[2].operators;
    let options = format!("--at {at} --token {TOKEN}");
    let (code, output) = run(&format!("config {options} put service s0 --wait")).await?;
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("\"in_force\": true"), "{output}");
    for entry in 0..4 {
        let response = operator().get(fleet.entries[entry].operators, "/config/service/s0").await?;
        assert_eq!(response.status, StatusCode::NOT_FOUND);
        assert_eq!(digest(&fleet, entry).await?, digest(&fleet, 0).await?);
    }
    let (code, output) = run(&format!("config {options} get service s1 --wait 0")).await?;
    assert_eq!(code, Some(0), "{output}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators_and_lost_responses() -> io::Result<()> {
    let fleet = builder(2).start().await?;
    for round in 0..6 {
        let name = format!("s{round}");
        let faults = [json!({}), json!({ "lose_answers": 2 }), json!({ "lose_appends": 1 })];
        fleet.platform.fault(&faults[round % 3]).await?;
        let changes = [1, 2].map(|timeout| change(&name, None, &service(timeout)));
        let (first, second) =
            tokio::join!(put(&fleet, 0, &changes[0]), put(&fleet, 1, &changes[1]));
        let mut answers = [first?, second?];
        answers.sort_by_key(|(status, _)| *status);
        let statuses = answers.clone().map(|(status, _)| status);
        assert_eq!(statuses, [StatusCode::OK, StatusCode::CONFLICT], "{name}: {answers:?}");
        let now = &answers[1].1["outcome"]["conflict"]["now"];
        assert_eq!(now.as_u64(), Some(version_of(&answers[0].1)), "{name}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn start_and_retry_during_a_log_outage() -> io::Result<()> {
    let mut fleet = builder(2).start().await?;
    connect(&mut fleet).await?;
    let seed = seed(&fleet).await?;
    fleet.platform.fault(&json!({ "down": true })).await?;
    let later = change("later", None, &service(3));
    let (status, answer) = put(&fleet, 0, &later).await?;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{answer}");
    assert_eq!(answer["verdict"], "not-run");
    // A rejected change can be retried by its id, and a new instance gets the state from a peer.
    fleet.start_entry("entry-3", &settings(&format!("seeds = {seed}\n"))).await?;
    let newest = digest(&fleet, 0).await?;
    wait_until(&fleet, 2, WAIT_TIMEOUT, "no state from a peer", |dump| {
        dump["config"]["digest"] == newest && dump["config"]["log_up"] == false
    })
    .await?;
    let response = operator().get(fleet.entries[2].operators, "/config/customer/tester").await?;
    assert_eq!(response.status, StatusCode::OK, "{}", response.json());

    fleet.platform.fault(&json!({})).await?;
    let id = answer["id"].as_str().expect("an id");
    let issued = answer["issued"].as_u64().expect("a time");
    let path = format!("/config/changes/{id}?issued={issued}");
    let retried = operator().post(fleet.entries[1].operators, &path, &later).await?;
    assert_eq!(retried.status, StatusCode::OK, "{}", retried.json());
    let version = version_of(&retried.json());
    for entry in 0..3 {
        wait_until(&fleet, entry, WAIT_TIMEOUT, "not in force", |dump| has_version(dump, version))
            .await?;
        assert_eq!(digest(&fleet, entry).await?, digest(&fleet, 0).await?);
    }
    let old = format!("/config/changes/{id}?issued=1");
    let expired = operator().post(fleet.entries[1].operators, &old, &later).await?;
    assert_eq!(expired.json()["outcome"], retried.json()["outcome"]);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn start_from_a_checkpoint_after_a_trim() -> io::Result<()> {
    let short = "[config]\ncheckpoint_interval_ms = 1000\n";
    let alone = goldcrestvale_standin::fleet::Builder::new(
        goldcrestvale_standin::fleet::Programs::beside(ROUTER),
    );
    let mut fleet = alone.entry("entry-1", short).entry("entry-2", short).start().await?;
    let version = fleet.dump(0).await?["config"]["version"].as_u64().expect("a version");
    wait_until(&fleet, 0, WAIT_TIMEOUT, "no checkpoint", |dump| {
        dump["config"]["checkpoint"].as_u64() == Some(version)
    })
    .await?;
    trim(&fleet.platform, "config", version).await?;
    let (status, answer) = put(&fleet, 0, &change("after", None, &service(4))).await?;
    assert_eq!(status, StatusCode::OK, "{answer}");
    // A new instance without peers starts from the checkpoint.
    fleet.start_entry("entry-3", "").await?;
    let after = version_of(&answer);
    wait_until(&fleet, 2, WAIT_TIMEOUT, "no start", |dump| has_version(dump, after)).await?;
    assert_eq!(digest(&fleet, 2).await?, digest(&fleet, 0).await?);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn not_ready_without_a_checkpoint() -> io::Result<()> {
    let mut fleet = builder(2).start().await?;
    connect(&mut fleet).await?;
    let seed = seed(&fleet).await?;
    trim(&fleet.platform, "config", u64::MAX).await?;
    fleet.start_entry("entry-3", "").await?;
    let dump = wait_until(&fleet, 2, WAIT_TIMEOUT, "no report of an unproven state", |dump| {
        dump["config"]["unproven"].is_string()
    })
    .await?;
    assert_eq!(dump["instance"]["phase"], "starting");
    assert_eq!(dump["config"]["version"], 0);
    // With a peer, the state is available.
    fleet.start_entry("entry-4", &settings(&format!("seeds = {seed}\n"))).await?;
    wait_until(&fleet, 3, WAIT_TIMEOUT, "no state from a peer", |dump| {
        dump["instance"]["phase"] == "serving"
    })
    .await?;
    assert_eq!(digest(&fleet, 3).await?, digest(&fleet, 0).await?);
    let (status, answer) = put(&fleet, 3, &change("new", None, &service(5))).await?;
    assert_eq!(status, StatusCode::OK, "{answer}");
    Ok(())
}

/// Returns the peer address of the first instance.
async fn seed(fleet: &Fleet) -> io::Result<String> {
    let dump = fleet.dump(0).await?;
    let address = &dump["peers"]["member"]["view"]["own"]["address"];
    Ok(address.as_str().expect("an address for peers").to_owned())
}

/// Appends records of many services to the log, as a long-running deployment does.
async fn fill(platform: &Standin, count: u64) -> io::Result<()> {
    let numbers: Vec<u64> = (0..count).collect();
    for batch in numbers.chunks(500) {
        let record = |n: &u64| {
            let data = change(&format!("s{n}"), None, &service(9));
            json!({ "id": format!("{:032x}-{n}", 7), "data": data })
        };
        let records: Vec<Value> = batch.iter().map(record).collect();
        let body = json!({ "records": records });
        let path = "/streams/config/records";
        let answer = Caller::default().post(platform.address, path, &body).await?;
        assert_eq!(answer.status, StatusCode::OK);
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn large_state_from_a_peer_in_chunks() -> io::Result<()> {
    let mut fleet = builder(2).start().await?;
    connect(&mut fleet).await?;
    let version = fleet.dump(0).await?["config"]["version"].as_u64().expect("a version");
    fill(&fleet.platform, SERVICE_COUNT).await?;
    for entry in 0..2 {
        let all = version + SERVICE_COUNT;
        wait_until(&fleet, entry, WAIT_TIMEOUT, "not read", |dump| has_version(dump, all - 1))
            .await?;
    }
    let seed = seed(&fleet).await?;
    fleet.platform.fault(&json!({ "down": true })).await?;
    fleet.start_entry("entry-3", &settings(&format!("seeds = {seed}\n"))).await?;
    let newest = digest(&fleet, 0).await?;
    wait_until(&fleet, 2, WAIT_TIMEOUT, "no state from a peer", |dump| {
        dump["config"]["digest"] == newest
    })
    .await?;
    let names = operator().get(fleet.entries[2].operators, "/config/service").await?;
    let count = names.json()["names"].as_array().map_or(0, Vec::len) as u64;
    assert_eq!(count, SERVICE_COUNT + 1);
    Ok(())
}
