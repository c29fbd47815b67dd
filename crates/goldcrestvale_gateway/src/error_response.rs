//! Error responses of the gateway itself.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::body::{Body, full};

/// An error response of the gateway.
#[derive(Debug, Clone)]
pub(crate) struct ErrorResponse {
    pub(crate) status: StatusCode,
    /// Short cause, for the log and the metrics.
    pub(crate) cause: &'static str,
    pub(crate) detail: String,
    /// When the caller may retry.
    pub(crate) retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// Creates a response to a request that did not run and never will; the caller may retry.
    pub(crate) fn not_run(
        cause: &'static str,
        detail: impl Into<String>,
        retry_after: Duration,
    ) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, cause, detail: detail.into(), retry_after: Some(retry_after) }
    }

    /// Creates a response to a request that can never be served.
    pub(crate) fn rejected(
        status: StatusCode,
        cause: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self { status, cause, detail: detail.into(), retry_after: None }
    }

    /// Creates a response to a request that may have run.
    pub(crate) fn may_have_run(cause: &'static str, detail: impl Into<String>) -> Self {
        let status = StatusCode::BAD_GATEWAY;
        Self { status, cause, detail: detail.into(), retry_after: None }
    }

    /// Creates a response to a request that timed out and may have run.
    pub(crate) fn timed_out(detail: impl Into<String>) -> Self {
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self { status, cause: "late", detail: detail.into(), retry_after: None }
    }

    /// Creates a response in place of an upstream's answer whose status promises that the request did
    /// not run, which the upstream does not state.
    pub(crate) fn unstated_rejection(status: StatusCode) -> Self {
        let detail =
            format!("answered {status} without the statement that the request did not run");
        Self::may_have_run("unstated rejection", detail)
    }

    pub(crate) fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(full(format!("{}: {}\n", self.cause, self.detail)));
        *response.status_mut() = self.status;
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
