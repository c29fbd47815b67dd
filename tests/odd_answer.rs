//! Answers of plain services whose status, fields or trailers are of no form that the protocol
//! allows, at the own front end.

mod raw;

use std::io;

use goldcrestvale_standin::{
    caller::{Answer, Caller},
    fleet::{Builder, Fleet, Programs, SERVICE},
};
use http::{Method, StatusCode};

use raw::{Raw, answer};

fn chunked(trailers: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
         9\r\nall of it\r\n0\r\n{trailers}\r\n"
    )
}

const BODY: &str = "all of it";

/// Lines that are no field.
const LINES: [&str; 11] = [
    "Odd Name: x",
    "Odd : x",
    "Odd\u{1}Name: x",
    "Odd\0Name: x",
    "Odd\u{7f}Name: x",
    ": x",
    "no colon",
    "Content-Length : 3",
    "Transfer Encoding: chunked",
    "Odd: a\u{1}b",
    "Odd: a\0b",
];

fn odd_answers() -> Vec<String> {
    let statuses = ["000", "099", "20", "1000", "101", "199", "600", "700", "999"]
        .map(|status| answer(status, "", BODY));
    let lines = LINES.iter().flat_map(|line| {
        let line = format!("{line}\r\n");
        let early = format!("HTTP/1.1 103 Early Hints\r\n{line}\r\n{}", answer("200", "", BODY));
        [answer("200", &line, BODY), early, chunked(&line)]
    });
    statuses.into_iter().chain(lines).collect()
}

/// Sends a call over HTTP/1.1 and one over HTTP/2; no other call has its content.
async fn calls(fleet: &Fleet, number: usize) -> io::Result<[Answer; 2]> {
    let path = |kind: &str| format!("/services/{SERVICE}/{kind}/{number}");
    let at = fleet.entries[0].callers;
    let send =
        async |caller: Caller, kind: &str| caller.send(at, Method::GET, &path(kind), "").await;
    Ok([
        send(fleet.customer(), "plain").await?,
        send(fleet.customer().over_http2(), "multiplexed").await?,
    ])
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_answer_is_a_failure() -> io::Result<()> {
    let fleet = Builder::new(Programs::beside(env!("CARGO_BIN_EXE_goldcrestvale")))
        .entry("entry-1", "")
        .start()
        .await?;
    let raw = Raw::start(&fleet).await?;
    for (number, sound) in
        [answer("200", "Fine: x\r\n", BODY), chunked("Fine: x\r\n")].iter().enumerate()
    {
        raw.answer_with(sound.clone());
        for answer in calls(&fleet, number).await? {
            assert_eq!((answer.status, &answer.body[..]), (StatusCode::OK, BODY.as_bytes()));
        }
    }
    for (number, odd) in odd_answers().into_iter().enumerate() {
        raw.answer_with(odd.clone());
        for answer in calls(&fleet, 100 + number).await? {
            assert!(answer.status.is_server_error(), "{odd:?}: {answer:?}");
            assert_eq!(answer.header("goldcrestvale-verdict"), "may-have-run", "{odd:?}");
            let is_odd = answer.headers.keys().any(|name| name.as_str().contains("odd"));
            assert!(!is_odd && answer.body != BODY.as_bytes(), "{odd:?}: {answer:?}");
        }
    }
    Ok(())
}
