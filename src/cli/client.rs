//! Speaking to the operators' interface of an instance.

use std::{io::Write, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt::TokioExecutor};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use super::{At, Exit};

/// The result of a call to an instance.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two questions while a condition is waited for.
const WAIT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, Snafu)]
pub(super) enum Error {
    #[snafu(display("cannot build the request: {source}"))]
    Build { source: http::Error },
    #[snafu(display("cannot reach the instance at {address}: {source}"))]
    Reach { address: SocketAddr, source: legacy::Error },
    #[snafu(display("the answer of {address} broke off: {source}"))]
    Broken { address: SocketAddr, source: hyper::Error },
    #[snafu(display("{address} did not answer within {} s", CALL_TIMEOUT.as_secs()))]
    Late { address: SocketAddr },
    #[snafu(display("the answer of {address} is not JSON: {source}"))]
    Malformed { address: SocketAddr, source: serde_json::Error },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: std::io::Error },
}

/// The answer of an instance.
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) body: Value,
}

/// Sends one request and waits for its answer.
pub(super) fn call(at: &At, method: Method, path: &str, body: &[u8]) -> Result<Answer> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let address = at.at;
    runtime.block_on(async {
        match tokio::time::timeout(CALL_TIMEOUT, exchange(at, method, path, body)).await {
            Ok(answer) => answer,
            Err(_) => LateSnafu { address }.fail(),
        }
    })
}

/// Asks again until an answer satisfies a condition; returns the last answer, and whether it did.
pub(super) fn wait(at: &At, path: &str, holds: impl Fn(&Value) -> bool) -> Result<(Answer, bool)> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let end = tokio::time::Instant::now() + CALL_TIMEOUT;
        loop {
            let answer =
                match tokio::time::timeout_at(end, exchange(at, Method::GET, path, &[])).await {
                    Ok(answer) => answer?,
                    Err(_) => return LateSnafu { address: at.at }.fail(),
                };
            let held = holds(&answer.body);
            if held || !answer.status.is_success() || tokio::time::Instant::now() >= end {
                return Ok((answer, held));
            }
            tokio::time::sleep(WAIT_PAUSE).await;
        }
    })
}

async fn exchange(at: &At, method: Method, path: &str, body: &[u8]) -> Result<Answer> {
    let address = at.at;
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(token) = &at.token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body))).context(BuildSnafu)?;
    let client = legacy::Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.context(ReachSnafu { address })?;
    let status = response.status();
    let body = response.into_body().collect().await.context(BrokenSnafu { address })?;
    let body = serde_json::from_slice(&body.to_bytes()).context(MalformedSnafu { address })?;
    Ok(Answer { status, body })
}

/// Prints an answer and returns how the command ended.
pub(super) fn finish(answer: Result<Answer>) -> Exit {
    match answer {
        Ok(answer) => {
            print(&answer.body);
            exit_of(answer.status)
        }
        Err(e) => {
            complain(&e.to_string());
            Exit::Failed
        }
    }
}

fn exit_of(status: StatusCode) -> Exit {
    match status {
        StatusCode::ACCEPTED => Exit::Unknown,
        StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => Exit::Rejected,
        status if status.is_success() => Exit::Done,
        status if status.is_client_error() => Exit::Usage,
        _ => Exit::Failed,
    }
}

/// Prints the command's output; a reader that has gone needs none.
pub(super) fn print(value: &Value) {
    let _ = writeln!(std::io::stdout(), "{value:#}");
}

/// Prints an error; a reader that has gone needs none.
pub(super) fn complain(text: &str) {
    let _ = writeln!(std::io::stderr(), "goldcrestvale: {text}");
}
