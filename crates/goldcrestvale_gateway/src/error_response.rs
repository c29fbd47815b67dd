//! Answers of the gateway itself.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::body::{Body, full};

/// Why the gateway answers itself.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    /// Short cause, for the log and the metrics.
    pub(crate) cause: &'static str,
    pub(crate) detail: String,
    /// When the caller may come back.
    pub(crate) back: Option<Duration>,
}

impl Refusal {
    /// The request did not run and never will; the caller may come back.
    pub(crate) fn not_run(cause: &'static str, detail: impl Into<String>, back: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, cause, detail: detail.into(), back: Some(back) }
    }

    /// The request can never be served.
    pub(crate) fn rejected(
        status: StatusCode,
        cause: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self { status, cause, detail: detail.into(), back: None }
    }

    /// The request may have run.
    pub(crate) fn may_have_run(cause: &'static str, detail: impl Into<String>) -> Self {
        let status = StatusCode::BAD_GATEWAY;
        Self { status, cause, detail: detail.into(), back: None }
    }

    /// The time is up, and the request may have run.
    pub(crate) fn late(detail: impl Into<String>) -> Self {
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self { status, cause: "late", detail: detail.into(), back: None }
    }

    pub(crate) fn respond(&self) -> Response<Body> {
        let mut response = Response::new(full(format!("{}: {}\n", self.cause, self.detail)));
        *response.status_mut() = self.status;
        if let Some(back) = self.back {
            let seconds = format!("{:.3}", back.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
