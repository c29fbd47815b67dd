//! Answers of plain services whose status promises that the call did not run, at the own front end: a
//! service has no words to state it.

#[path = "peers/owner.rs"]
mod owner;
mod peers;
mod raw;

use std::io;

use goldcrestvale_base::id::Key;

use goldcrestvale_standin::{
    caller::{Answer, Caller},
    fleet::{Builder, Fleet, Programs, SERVICE},
};
use http::{Method, StatusCode};
use serde_json::json;

use owner::Owner;
use raw::{Raw, answer};

/// Statuses that promise that the call did not run.
const PROMISES: [&str; 4] = ["408", "421", "429", "503"];

const BODY: &str = "all of it";

async fn start() -> io::Result<(Fleet, Raw)> {
    let fleet = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .entry("entry-1", "")
        .start()
        .await?;
    let keyless = json!({ "pool": SERVICE, "timeout_ms": 5000, "run_without_log": true });
    fleet.put(0, "service", "keyless", &keyless).await?;
    let binding = json!({ "customer": "tester", "target": { "service": "keyless" } });
    fleet.put(0, "binding", "tester-keyless", &binding).await?;
    let raw = Raw::start(&fleet).await?;
    Ok((fleet, raw))
}

/// Checks that an answer is a failure of the instance's own that promises nothing.
fn check_no_promise(answer: &Answer, case: &str) {
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{case}: {answer:?}");
    assert_eq!(answer.header("goldcrestvale-verdict"), "may-have-run", "{case}");
    assert_eq!(answer.json()["cause"], "upstream", "{case}: {answer:?}");
    // The service's own field.
    assert_eq!(answer.header("fine"), "", "{case}");
    let detail = answer.json()["detail"].as_str().unwrap_or_default().to_owned();
    assert!(detail.contains(case), "{case}: {detail}");
}

/// Guards against calls that run twice: a service answers 503 after one ran, and the caller takes that
/// for the promise that it did not run.
#[tokio::test(flavor = "multi_thread")]
async fn call_without_a_key_gets_no_promise() -> io::Result<()> {
    let (fleet, raw) = start().await?;
    for status in PROMISES {
        raw.answer_with(answer(status, "fine: x\r\n", BODY));
        let before = raw.arrivals();
        for caller in [fleet.customer(), fleet.customer().over_http2()] {
            let path = format!("/services/keyless/{status}");
            let answer = caller.post(fleet.entries[0].callers, &path, &json!({})).await?;
            check_no_promise(&answer, status);
        }
        assert_eq!(raw.arrivals(), before + 2, "{status}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn call_with_a_key_gets_no_promise() -> io::Result<()> {
    let (fleet, raw) = start().await?;
    for status in PROMISES {
        raw.answer_with(answer(status, "fine: x\r\n", BODY));
        let before = raw.arrivals();
        let key = uuid::Uuid::now_v7().to_string();
        let caller = fleet.customer().with("idempotency-key", &key);
        let path = format!("/services/{SERVICE}/{status}");
        let send =
            async |caller: Caller| caller.post(fleet.entries[0].callers, &path, &json!({})).await;
        check_no_promise(&send(caller.clone()).await?, status);
        raw.answer_with(answer("200", "", BODY));
        for again in [send(caller.clone()).await?, send(caller.over_http2()).await?] {
            assert_eq!(again.header("goldcrestvale-verdict"), "may-have-run", "{status}");
            assert!(!PROMISES.contains(&again.status.as_str()), "{status}: {again:?}");
        }
        assert_eq!(raw.arrivals(), before + 1, "{status}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_call_gets_the_answer() -> io::Result<()> {
    let (fleet, raw) = start().await?;
    for status in PROMISES {
        raw.answer_with(answer(status, "fine: x\r\n", BODY));
        for caller in [fleet.customer(), fleet.customer().over_http2()] {
            let path = format!("/services/{SERVICE}/{status}");
            let answer = caller.send(fleet.entries[0].callers, Method::GET, &path, "").await?;
            assert_eq!((answer.status.as_str(), &answer.body[..]), (status, BODY.as_bytes()));
            assert_eq!(answer.header("fine"), "x", "{status}");
            let verdict = if status == "503" { "may-have-run" } else { "ran" };
            assert_eq!(answer.header("goldcrestvale-verdict"), verdict, "{status}");
        }
    }
    Ok(())
}

/// Sends a call whose key another instance owns, which has stored an answer with a status.
async fn call_of_an_owner(status: u16) -> io::Result<Answer> {
    let builder = Builder::new(Programs::beside(peers::ROUTER));
    let mut fleet = builder.entry("entry-1", &peers::settings("")).start().await?;
    let _raw = Raw::start(&fleet).await?;
    let seed = peers::address(&mut fleet.entries[0]).await?;
    let owner = Owner::start(&seed, status).await?;
    fleet.wait_dump(0, |dump| peers::links(dump) == 1).await?;
    let key: Key = uuid::Uuid::now_v7().to_string().parse().map_err(io::Error::other)?;
    owner.claim(&fleet, key, SERVICE, "POST /notices\n{}").await?;
    let caller = fleet.customer().with("idempotency-key", &key.to_string());
    let path = format!("/services/{SERVICE}/notices");
    caller.post(fleet.entries[0].callers, &path, &json!({})).await
}

/// Guards against an owner of an older build, which has stored the answer of a call as that of one
/// which ran, whatever its status.
#[tokio::test(flavor = "multi_thread")]
async fn answer_of_an_older_owner_is_no_promise() -> io::Result<()> {
    let fine = call_of_an_owner(201).await?;
    assert_eq!((fine.status.as_u16(), &fine.body[..]), (201, &b"all of it"[..]));
    assert_eq!(fine.header("goldcrestvale-verdict"), "ran");
    for status in PROMISES {
        check_no_promise(&call_of_an_owner(status.parse().expect("a status")).await?, status);
    }
    Ok(())
}

/// Guards against a stored status that is none, or that ends no request: it became 200, or reached the
/// caller as it is.
#[tokio::test(flavor = "multi_thread")]
async fn odd_status_of_an_owner_is_a_failure() -> io::Result<()> {
    for status in [0, 99, 101, 199, 600, 999, 1_000] {
        let answer = call_of_an_owner(status).await?;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status}: {answer:?}");
        assert_eq!(answer.header("goldcrestvale-verdict"), "ran", "{status}");
        assert_ne!(&answer.body[..], BODY.as_bytes(), "{status}");
    }
    Ok(())
}
