//! Refusals: final answers to requests that fail or are rejected.

use std::time::Duration;

use goldcrestvale_base::{
    exchange::{Exchange, Unsent},
    id::Request,
    verdict::Verdict,
};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use crate::{body, header as names};

/// The result of serving one request.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The reason for a refusal; its text form is the `cause` in logs, metrics and bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The request is malformed.
    Malformed,
    /// The body is larger than the limit.
    Oversized,
    /// The body did not arrive in time.
    SlowBody,
    /// The customer is unknown or the credential is wrong.
    Credential,
    /// The customer may not use the model or service.
    NotBound,
    /// No such path, model or service.
    Unknown,
    /// The path does not take this method.
    Method,
    /// Too many requests are in progress.
    Busy,
    /// The memory for requests is used up, or the request gave way to others.
    Memory,
    /// The customer is over its limit.
    Limit,
    /// The request cannot meet its deadline.
    Deadline,
    /// No available upstream can serve the request.
    NoUpstream,
    /// Prompts like this one crash engines.
    Quarantined,
    /// The call needs an idempotency key.
    KeyMissing,
    /// The idempotency key is malformed, too old or issued in the future.
    KeyInvalid,
    /// The idempotency key was used for another request.
    KeyReused,
    /// Another call with the same key is in progress, or its outcome is unknown.
    KeyClaimed,
    /// The platform log cannot be reached.
    LogOut,
    /// The upstream failed.
    Upstream,
    /// The instance is starting and has not read its configuration or the upstreams yet.
    Starting,
    /// The instance is stopping.
    Stopping,
    /// The caller cancelled the request.
    Cancelled,
    /// An internal error.
    Internal,
}

impl Cause {
    /// Returns the text form.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Oversized => "oversized",
            Self::SlowBody => "slow-body",
            Self::Credential => "credential",
            Self::NotBound => "not-bound",
            Self::Unknown => "unknown",
            Self::Method => "method",
            Self::Busy => "busy",
            Self::Memory => "memory",
            Self::Limit => "limit",
            Self::Deadline => "deadline",
            Self::NoUpstream => "no-upstream",
            Self::Quarantined => "quarantined",
            Self::KeyMissing => "key-missing",
            Self::KeyInvalid => "key-invalid",
            Self::KeyReused => "key-reused",
            Self::KeyClaimed => "key-claimed",
            Self::LogOut => "log-out",
            Self::Upstream => "upstream",
            Self::Starting => "starting",
            Self::Stopping => "stopping",
            Self::Cancelled => "cancelled",
            Self::Internal => "internal",
        }
    }

    /// Returns the HTTP status of a refusal with this cause.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::KeyMissing | Self::KeyInvalid => StatusCode::BAD_REQUEST,
            Self::Oversized => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::Credential => StatusCode::UNAUTHORIZED,
            Self::NotBound => StatusCode::FORBIDDEN,
            Self::Unknown => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::Limit => StatusCode::TOO_MANY_REQUESTS,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeyClaimed => StatusCode::CONFLICT,
            Self::Upstream => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Internal => StatusCode::INTERNAL_SERVER_ERROR,
            Self::Busy
            | Self::Memory
            | Self::NoUpstream
            | Self::Quarantined
            | Self::LogOut
            | Self::Starting
            | Self::Stopping
            | Self::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The failure of a request: its cause, whether the request may have run, and when to retry.
#[derive(Debug, Clone)]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: Cause,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable description.
    pub detail: String,
    /// Time after which a retry may succeed, if it may at all.
    pub retry_after: Option<Duration>,
}

/// The body of a refusal, a problem detail of RFC 9457.
#[derive(Debug, Serialize)]
pub struct Problem<'a> {
    r#type: &'static str,
    title: &'static str,
    status: u16,
    detail: &'a str,
    cause: Cause,
    verdict: Verdict,
    request: Request,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

impl Refusal {
    /// Creates a refusal of a request of which nothing was sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::exchange::Exchange;
    /// use goldcrestvale_entry::refusal::{Cause, Refusal};
    ///
    /// let refusal = Refusal::not_run(Exchange::new(), Cause::Busy, "4000 requests in progress");
    /// assert!(refusal.verdict.is_not_run());
    /// ```
    pub fn not_run(exchange: Exchange<Unsent>, cause: Cause, detail: impl Into<String>) -> Self {
        Self::new(exchange.refuse(), cause, detail)
    }

    /// Creates a refusal of a request for which no exchange was started.
    pub fn unsent(cause: Cause, detail: impl Into<String>) -> Self {
        Self::not_run(Exchange::new(), cause, detail)
    }

    /// Creates a refusal with a verdict.
    pub fn new(verdict: Verdict, cause: Cause, detail: impl Into<String>) -> Self {
        Self { cause, verdict, detail: detail.into(), retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the problem body.
    pub fn problem(&self, request: Request) -> Problem<'_> {
        let status = self.cause.status();
        Problem {
            r#type: "about:blank",
            title: status.canonical_reason().unwrap_or("Refused"),
            status: status.as_u16(),
            detail: &self.detail,
            cause: self.cause,
            verdict: self.verdict,
            request,
            retry_after_ms: self.retry_after.map(|after| after.as_millis()),
        }
    }

    /// Builds the complete response.
    pub fn respond(&self, request: Request) -> Response<body::Body> {
        let text = serde_json::to_vec(&self.problem(request)).unwrap_or_default();
        let mut response = Response::new(body::full(text));
        *response.status_mut() = self.cause.status();
        let headers = response.headers_mut();
        let problem = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, problem);
        headers.insert(names::VERDICT, HeaderValue::from_static(self.verdict.as_str()));
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
