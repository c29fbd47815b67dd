//! The verdict of a call under every fault of a plain service or the platform, checked against the
//! effects that the service counted.

use std::io;

use goldcrestvale_standin::{
    caller::Answer,
    fleet::{Builder, Fleet, Programs, SERVICE},
};
use serde_json::{Value, json};

/// A fault of the service or of the platform, and the expected result of a call under it.
struct Case {
    service: Value,
    platform: Value,
    verdict: &'static str,
    effects: u64,
}

fn service(faults: Value, verdict: &'static str, effects: u64) -> Case {
    Case { service: faults, platform: json!({}), verdict, effects }
}

fn platform(faults: Value, verdict: &'static str, effects: u64) -> Case {
    Case { service: json!({}), platform: faults, verdict, effects }
}

fn table() -> Vec<Case> {
    vec![
        service(json!({}), "ran", 1),
        service(json!({ "refuse": true }), "not-run", 0),
        service(json!({ "close_before": 1 }), "may-have-run", 0),
        service(json!({ "hang": true }), "may-have-run", 0),
        service(json!({ "hang_after": true }), "may-have-run", 1),
        service(json!({ "delay_ms": 1500 }), "may-have-run", 0),
        service(json!({ "close_after": 1 }), "may-have-run", 1),
        service(json!({ "close_half": 1 }), "may-have-run", 1),
        service(json!({ "slow_body_ms": 1500 }), "may-have-run", 1),
        service(json!({ "fail": 1 }), "ran", 0),
        service(json!({ "fail_after": 1 }), "ran", 1),
        platform(json!({ "lose_answers": 1 }), "ran", 1),
        platform(json!({ "lose_appends": 1 }), "ran", 1),
        platform(json!({ "late_ms": 200 }), "ran", 1),
        platform(json!({ "repeat_pages": 2 }), "ran", 1),
        platform(json!({ "down_appends": true }), "not-run", 0),
        platform(json!({ "down": true }), "not-run", 0),
        platform(json!({ "refuse": true }), "not-run", 0),
    ]
}

/// Books a notice under a key, with a deadline of one second.
async fn book(fleet: &Fleet, key: &str) -> io::Result<Answer> {
    let customer = fleet.customer().with("goldcrestvale-deadline-ms", "1000");
    let path = format!("/services/{SERVICE}/notices");
    let caller = customer.with("idempotency-key", key);
    caller.post(fleet.entries[0].callers, &path, &json!({ "page": 3 })).await
}

async fn effects(fleet: &Fleet, key: &str) -> io::Result<u64> {
    let counts = fleet.services[0].counts().await?;
    Ok(counts["by_key"][key].as_u64().unwrap_or(0))
}

async fn recover(fleet: &Fleet) -> io::Result<()> {
    fleet.services[0].fault(&json!({})).await?;
    fleet.platform.fault(&json!({})).await?;
    let up = |dump: &Value| dump["claims"]["streams"]["claims-0"]["log_out"] == false;
    fleet.wait_dump(0, up).await.map(drop)
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls() -> io::Result<()> {
    let fleet = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .service("booking-1")
        .entry("entry-1", "[platform]\ntimeout_ms = 300\npoll_ms = 200\n")
        .start()
        .await?;
    for Case { service, platform, verdict, effects: expected } in table() {
        let name = format!("service {service}, platform {platform}");
        recover(&fleet).await?;
        fleet.services[0].fault(&service).await?;
        fleet.platform.fault(&platform).await?;
        let key = uuid::Uuid::now_v7().to_string();
        let answer = book(&fleet, &key).await?;
        let (actual, text) = (answer.header("goldcrestvale-verdict").to_owned(), answer.json());
        assert_eq!(actual, verdict, "{name}: {text}");
        assert_eq!(effects(&fleet, &key).await?, expected, "{name}: {text}");
        if actual == "not-run" {
            assert!(!answer.header("retry-after").is_empty(), "{name}: no retry-after");
        }

        recover(&fleet).await?;
        let again = book(&fleet, &key).await?;
        let verdict_again = again.header("goldcrestvale-verdict");
        let after = effects(&fleet, &key).await?;
        assert!(after <= 1, "{name}: {after} effects");
        match verdict {
            "not-run" => assert_eq!((verdict_again, after), ("ran", 1), "{name}: {}", again.json()),
            "ran" => {
                assert_eq!((verdict_again, after), ("ran", expected), "{name}: {}", again.json());
                assert_eq!(again.json(), text, "{name}: a different answer");
            }
            _ => assert_eq!(verdict_again, "may-have-run", "{name}: {}", again.json()),
        }
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_checked() -> io::Result<()> {
    let fleet = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .service("booking-1")
        .entry("entry-1", "[claims]\nwindow_ms = 60000\n")
        .start()
        .await?;
    let used = uuid::Uuid::now_v7();
    assert_eq!(book(&fleet, &used.to_string()).await?.header("goldcrestvale-verdict"), "ran");
    let issued = |ms: i128| {
        let bits = i128::from_be_bytes(used.into_bytes()) + (ms << 80);
        uuid::Uuid::from_u128(bits as u128).to_string()
    };
    for (key, status, cause) in [
        ("x".to_owned(), 400, "key-invalid"),
        (uuid::Uuid::from_u128(4 << 76 | 2 << 62).to_string(), 400, "key-invalid"),
        (issued(-70_000), 400, "key-invalid"),
        (issued(30_000), 400, "key-invalid"),
    ] {
        let answer = book(&fleet, &key).await?;
        let actual = (answer.status.as_u16(), answer.header("goldcrestvale-verdict"));
        assert_eq!(actual, (status, "not-run"), "{key}: {}", answer.json());
        assert_eq!(answer.json()["cause"], cause, "{key}");
    }
    let other = fleet.customer().with("idempotency-key", &used.to_string());
    let path = format!("/services/{SERVICE}/notices");
    let answer = other.post(fleet.entries[0].callers, &path, &json!({ "page": 4 })).await?;
    assert_eq!((answer.status.as_u16(), answer.header("goldcrestvale-verdict")), (422, "not-run"));
    assert_eq!(effects(&fleet, &used.to_string()).await?, 1);
    Ok(())
}

/// Calls without a key, as the service's settings allow, are sent at most once, with or without
/// the log.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_a_key() -> io::Result<()> {
    let fleet = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .service("booking-1")
        .entry("entry-1", "")
        .start()
        .await?;
    let keyless = json!({ "pool": SERVICE, "timeout_ms": 1000, "run_without_log": true });
    fleet.put(0, "service", "keyless", &keyless).await?;
    let binding = json!({ "customer": "tester", "target": { "service": "keyless" } });
    fleet.put(0, "binding", "tester-keyless", &binding).await?;
    let table = [
        service(json!({}), "ran", 1),
        platform(json!({ "down": true }), "ran", 1),
        service(json!({ "refuse": true }), "not-run", 0),
        service(json!({ "close_before": 1 }), "may-have-run", 0),
        service(json!({ "close_after": 1 }), "may-have-run", 1),
    ];
    for case in table {
        let before = fleet.services[0].counts().await?["effects"].as_u64().unwrap_or(0);
        fleet.services[0].fault(&case.service).await?;
        fleet.platform.fault(&case.platform).await?;
        let customer = fleet.customer();
        let entry = fleet.entries[0].callers;
        let answer = customer.post(entry, "/services/keyless/notices", &json!({})).await?;
        let name = format!("{} {}", case.service, case.platform);
        assert_eq!(answer.header("goldcrestvale-verdict"), case.verdict, "{name}");
        recover(&fleet).await?;
        let after = fleet.services[0].counts().await?["effects"].as_u64().unwrap_or(0);
        assert_eq!(after - before, case.effects, "{name}");
    }
    Ok(())
}
