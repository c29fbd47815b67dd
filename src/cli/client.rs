//! HTTP client for the operators' interface of an instance.

use std::{io::Write, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy, rt::TokioExecutor};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde_json::Value;
use snafu::{ResultExt, Snafu};

use super::{Endpoint, Exit};

/// The result of a call to an instance.
pub(super) type Result<T> = std::result::Result<T, Error>;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between requests while waiting for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Snafu)]
pub(super) enum Error {
    #[snafu(display("cannot build the request: {source}"))]
    Build { source: http::Error },
    #[snafu(display("cannot reach the instance at {address}: {source}"))]
    Reach { address: SocketAddr, source: legacy::Error },
    #[snafu(display("the response from {address} was interrupted: {source}"))]
    Interrupted { address: SocketAddr, source: hyper::Error },
    #[snafu(display("no response from {address} within {} s", CALL_TIMEOUT.as_secs()))]
    Timeout { address: SocketAddr },
    #[snafu(display("the response from {address} is not JSON: {source}"))]
    Malformed { address: SocketAddr, source: serde_json::Error },
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime { source: std::io::Error },
}

/// The status and JSON body of a response.
pub(super) struct Response {
    pub(super) status: StatusCode,
    pub(super) body: Value,
}

/// The bytes of a name that are escaped in a path: all but those that stand for themselves in any.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Returns the path of an entity. Each segment is escaped, so a name is that of no other entity.
pub(super) fn path(segments: &[&str]) -> String {
    let escape = |segment: &&str| format!("/{}", utf8_percent_encode(segment, ESCAPED));
    segments.iter().map(escape).collect()
}

/// Sends one request and waits for its response.
pub(super) fn call(at: &Endpoint, method: Method, path: &str, body: &[u8]) -> Result<Response> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let address = at.at;
    runtime.block_on(async {
        match tokio::time::timeout(CALL_TIMEOUT, exchange(at, method, path, body)).await {
            Ok(response) => response,
            Err(_) => TimeoutSnafu { address }.fail(),
        }
    })
}

/// Polls until a response satisfies a condition; returns the last response, and whether it did.
pub(super) fn poll(
    at: &Endpoint,
    path: &str,
    condition: impl Fn(&Value) -> bool,
) -> Result<(Response, bool)> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let end = tokio::time::Instant::now() + CALL_TIMEOUT;
        loop {
            let response =
                match tokio::time::timeout_at(end, exchange(at, Method::GET, path, &[])).await {
                    Ok(response) => response?,
                    Err(_) => return TimeoutSnafu { address: at.at }.fail(),
                };
            let is_met = condition(&response.body);
            if is_met || !response.status.is_success() || tokio::time::Instant::now() >= end {
                return Ok((response, is_met));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })
}

async fn exchange(at: &Endpoint, method: Method, path: &str, body: &[u8]) -> Result<Response> {
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
    let body = response.into_body().collect().await.context(InterruptedSnafu { address })?;
    let body = serde_json::from_slice(&body.to_bytes()).context(MalformedSnafu { address })?;
    Ok(Response { status, body })
}

/// Prints a response and returns the exit code of the command.
pub(super) fn finish(response: Result<Response>) -> Exit {
    match response {
        Ok(response) => {
            print(&response.body);
            exit_for(response.status)
        }
        Err(e) => {
            print_error(&e.to_string());
            Exit::Failed
        }
    }
}

fn exit_for(status: StatusCode) -> Exit {
    match status {
        StatusCode::ACCEPTED => Exit::Unknown,
        StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY => Exit::Rejected,
        status if status.is_success() => Exit::Done,
        status if status.is_client_error() => Exit::Usage,
        _ => Exit::Failed,
    }
}

/// Prints the command's output; a closed standard output is not an error.
pub(super) fn print(value: &Value) {
    let _ = writeln!(std::io::stdout(), "{value:#}");
}

/// Prints an error; a closed standard error is ignored.
pub(super) fn print_error(text: &str) {
    let _ = writeln!(std::io::stderr(), "goldcrestvale: {text}");
}
