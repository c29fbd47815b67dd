//! Calls with one idempotency key through two entry processes, while the owner of the key is killed
//! or paused.

mod peers;

use std::io;

use goldcrestvale_standin::{
    caller::{Answer, Caller},
    fleet::{Builder, Fleet, Programs, SERVICE},
    process::Signal,
};
use serde_json::{Value, json};

/// Starts two connected entry instances and one instance of the service.
async fn pair() -> io::Result<Fleet> {
    let platform = "[platform]\ntimeout_ms = 500\npoll_ms = 200\nlist_interval_ms = 50\n";
    let builder = Builder::new(Programs::beside(peers::ROUTER)).service("booking-1");
    let builder = ["entry-1", "entry-2"]
        .iter()
        .fold(builder, |builder, name| builder.entry(name, &peers::settings(platform)));
    let mut fleet = builder.start().await?;
    peers::connect(&mut fleet).await?;
    Ok(fleet)
}

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

async fn book(fleet: &Fleet, entry: usize, key: &str) -> io::Result<Answer> {
    let caller = fleet.customer().with("goldcrestvale-deadline-ms", "3000");
    let caller = caller.with("idempotency-key", key);
    let path = format!("/services/{SERVICE}/notices");
    caller.post(fleet.entries[entry].callers, &path, &json!({ "page": 3 })).await
}

fn verdict(answer: &Answer) -> &str {
    answer.header("goldcrestvale-verdict")
}

async fn effects(fleet: &Fleet, key: &str) -> io::Result<u64> {
    let counts = fleet.services[0].counts().await?;
    Ok(counts["by_key"][key].as_u64().unwrap_or(0))
}

/// Waits until the service runs a request.
async fn wait_running(fleet: &Fleet) -> io::Result<()> {
    loop {
        let load = Caller::default().get(fleet.services[0].address, "/load").await?.json();
        if load["running"].as_u64() > Some(0) {
            return Ok(());
        }
        tokio::task::yield_now().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_through_both() -> io::Result<()> {
    let fleet = pair().await?;
    for round in 0..20 {
        let key = new_key();
        let (first, second) = tokio::join!(book(&fleet, 0, &key), book(&fleet, 1, &key));
        let (first, second) = (first?, second?);
        assert_eq!(effects(&fleet, &key).await?, 1, "round {round}");
        let both = (verdict(&first), verdict(&second));
        assert_eq!(both, ("ran", "ran"), "{} {}", first.json(), second.json());
        assert_eq!(first.json(), second.json(), "the same answer through both");
        let again = book(&fleet, round % 2, &key).await?;
        assert_eq!((verdict(&again), again.json()), ("ran", first.json()));
        assert_eq!(effects(&fleet, &key).await?, 1, "round {round}, again");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_of_a_keyed_call() -> io::Result<()> {
    let fleet = pair().await?;
    assert_eq!(verdict(&book(&fleet, 0, &new_key()).await?), "ran");
    let token = format!("Bearer {}", goldcrestvale_standin::fleet::TOKEN);
    let operator = Caller::new(&[("authorization", &token)]);
    let scraped = operator.get(fleet.entries[0].operators, "/metrics").await?;
    let text = String::from_utf8_lossy(&scraped.body);
    for sample in [
        "goldcrestvale_claims_per_append_sum",
        "goldcrestvale_wait_seconds_count",
        "goldcrestvale_requests_total{kind=\"service\"",
        "goldcrestvale_request_seconds_count{kind=\"service\"",
    ] {
        let line = text.lines().find(|line| line.starts_with(sample));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        assert!(value > Some(0.0), "{sample}: {line:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_killed() -> io::Result<()> {
    let mut fleet = pair().await?;
    fleet.services[0].fault(&json!({ "hang_after": true })).await?;
    let key = new_key();
    {
        let owner = book(&fleet, 0, &key);
        let killed = async {
            wait_running(&fleet).await?;
            fleet.entries[0].process.signal(Signal::SIGKILL)
        };
        let (answer, killed) = tokio::join!(owner, killed);
        killed?;
        assert!(answer.is_err(), "a killed process does not answer");
    }
    fleet.entries[0].process.wait().await?;
    fleet.services[0].fault(&json!({})).await?;
    let again = book(&fleet, 1, &key).await?;
    assert_eq!(verdict(&again), "may-have-run", "{}", again.json());
    assert!(!again.header("retry-after").is_empty());
    assert_eq!(effects(&fleet, &key).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_paused() -> io::Result<()> {
    let fleet = pair().await?;
    fleet.services[0].fault(&json!({ "delay_ms": 300 })).await?;
    let key = new_key();
    let owner = book(&fleet, 0, &key);
    let other_calls = async {
        wait_running(&fleet).await?;
        fleet.entries[0].process.signal(Signal::SIGSTOP)?;
        let other = book(&fleet, 1, &key).await?;
        assert_eq!(verdict(&other), "may-have-run", "{}", other.json());
        fleet.entries[0].process.signal(Signal::SIGCONT)?;
        io::Result::Ok(())
    };
    let (answer, other_calls) = tokio::join!(owner, other_calls);
    other_calls?;
    assert!(["ran", "may-have-run"].contains(&verdict(&answer?)));
    assert_eq!(effects(&fleet, &key).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_paused() -> io::Result<()> {
    let fleet = pair().await?;
    // The owner is paused as soon as its claim is in the log, whether or not it was read back.
    fleet.platform.fault(&json!({ "late_ms": 200 })).await?;
    fleet.services[0].fault(&json!({ "delay_ms": 1000 })).await?;
    let key = new_key();
    let before = fleet.platform.counts().await?["appends"].as_u64();
    let owner = book(&fleet, 0, &key);
    let other_calls = async {
        while fleet.platform.counts().await?["appends"].as_u64() <= before {
            tokio::task::yield_now().await;
        }
        fleet.entries[0].process.signal(Signal::SIGSTOP)?;
        fleet.platform.fault(&json!({})).await?;
        let other = book(&fleet, 1, &key).await?;
        assert_eq!(verdict(&other), "may-have-run", "{}", other.json());
        assert!(effects(&fleet, &key).await? <= 1);
        fleet.entries[0].process.signal(Signal::SIGCONT)?;
        io::Result::Ok(())
    };
    let (answer, other_calls) = tokio::join!(owner, other_calls);
    other_calls?;
    let answer = answer?;
    let ran = effects(&fleet, &key).await?;
    match verdict(&answer) {
        "not-run" => assert_eq!(ran, 0, "{}", answer.json()),
        _ => assert_eq!(ran, 1, "{}", answer.json()),
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop() -> io::Result<()> {
    let mut fleet = pair().await?;
    fleet.services[0].fault(&json!({ "delay_ms": 500 })).await?;
    let key = new_key();
    {
        let owner = book(&fleet, 0, &key);
        let stopped = async {
            wait_running(&fleet).await?;
            fleet.entries[0].process.signal(Signal::SIGTERM)
        };
        let (answer, stopped) = tokio::join!(owner, stopped);
        stopped?;
        assert_eq!(verdict(&answer?), "ran");
    }
    assert_eq!(fleet.entries[0].process.wait().await?, Some(0));
    let settled = |dump: &Value| dump["claims"]["streams"]["claims-0"]["next"] == 2;
    fleet.wait_dump(1, settled).await?;
    let again = book(&fleet, 1, &key).await?;
    assert_eq!(verdict(&again), "ran", "the log records that the call ran: {}", again.json());
    assert_eq!(effects(&fleet, &key).await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn start_with_a_trimmed_stream() -> io::Result<()> {
    let mut fleet = pair().await?;
    let key = new_key();
    assert_eq!(verdict(&book(&fleet, 0, &key).await?), "ran");
    let trim = "/streams/claims-0/trim";
    Caller::default().post(fleet.platform.address, trim, &json!({})).await?;
    for entry in &fleet.entries {
        entry.process.signal(Signal::SIGKILL)?;
    }
    fleet.entries.clear();
    fleet.start_entry("entry-3", &peers::settings("")).await?;
    fleet.wait_ready().await?;
    let again = book(&fleet, 0, &key).await?;
    assert_eq!(verdict(&again), "not-run", "{}", again.json());
    assert_eq!(again.json()["cause"], "starting");
    assert!(!again.header("retry-after").is_empty());
    assert_eq!(effects(&fleet, &key).await?, 1);
    Ok(())
}

/// The progress of the owner of a key when it is killed or paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// The claim is in the log and has not been read back.
    Claimed,
    /// The call has been sent, and the service has not started it.
    Sent,
    /// The service has run the call and has not responded.
    Ran,
    /// The service has responded, and the outcome is not yet in the log.
    Answered,
}

const STEPS: [Step; 4] = [Step::Claimed, Step::Sent, Step::Ran, Step::Answered];

/// Injects faults that keep the owner at a step until they are cleared.
async fn block_at(fleet: &Fleet, step: Step) -> io::Result<()> {
    match step {
        Step::Claimed => fleet.platform.fault(&json!({ "late_ms": 400 })).await,
        Step::Sent => fleet.services[0].fault(&json!({ "delay_ms": 800 })).await,
        Step::Ran => fleet.services[0].fault(&json!({ "hang_after": true })).await,
        Step::Answered => fleet.services[0].fault(&json!({ "delay_ms": 300 })).await,
    }
}

/// Waits until the owner has reached a step.
async fn wait_step(fleet: &Fleet, step: Step, key: &str, appends: Option<u64>) -> io::Result<()> {
    match step {
        Step::Claimed => {
            while fleet.platform.counts().await?["appends"].as_u64() <= appends {
                tokio::task::yield_now().await;
            }
        }
        Step::Sent => wait_running(fleet).await?,
        Step::Ran | Step::Answered => {
            if step == Step::Answered {
                wait_running(fleet).await?;
                fleet.platform.fault(&json!({ "down_appends": true })).await?;
            }
            while effects(fleet, key).await? == 0 {
                tokio::task::yield_now().await;
            }
        }
    }
    Ok(())
}

async fn interrupt_owner(step: Step, signal: Signal) -> io::Result<()> {
    let fleet = pair().await?;
    block_at(&fleet, step).await?;
    let key = new_key();
    let appends = fleet.platform.counts().await?["appends"].as_u64();
    let owner = book(&fleet, 0, &key);
    let other_calls = async {
        wait_step(&fleet, step, &key, appends).await?;
        fleet.entries[0].process.signal(signal)?;
        fleet.platform.fault(&json!({})).await?;
        fleet.services[0].fault(&json!({})).await?;
        let other = book(&fleet, 1, &key).await?;
        if signal == Signal::SIGSTOP {
            fleet.entries[0].process.signal(Signal::SIGCONT)?;
        }
        io::Result::Ok(other)
    };
    let (owner_result, other) = tokio::join!(owner, other_calls);
    let other = other?;
    let again = book(&fleet, 1, &key).await?;
    let ran = effects(&fleet, &key).await?;
    let mut verdicts = vec![verdict(&other).to_owned(), verdict(&again).to_owned()];
    verdicts.extend(owner_result.iter().map(|answer| verdict(answer).to_owned()));
    let case = format!("{step:?}, {signal}: {verdicts:?}, {ran} effects");
    assert!(ran <= 1, "{case}");
    if verdicts.iter().any(|verdict| verdict == "ran") {
        assert_eq!(ran, 1, "{case}");
    }
    if step != Step::Claimed {
        assert!(verdicts.iter().all(|verdict| verdict != "not-run"), "{case}");
    }
    match &owner_result {
        // The owner may have responded before it received the signal.
        Ok(answer) if signal == Signal::SIGKILL => {
            assert_eq!(verdict(answer), "ran", "{case}");
        }
        result => assert_eq!(result.is_err(), signal == Signal::SIGKILL, "{case}"),
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_at_each_step() -> io::Result<()> {
    for step in STEPS {
        interrupt_owner(step, Signal::SIGKILL).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_at_each_step() -> io::Result<()> {
    for step in STEPS {
        interrupt_owner(step, Signal::SIGSTOP).await?;
    }
    Ok(())
}
