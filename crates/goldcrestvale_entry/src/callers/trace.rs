//! The log line and the metrics of a request.

use std::sync::Arc;

use goldcrestvale_base::{
    id::{Customer, Request as RequestId, Upstream},
    time::Instant,
    verdict::Verdict,
};
use http::{Request, StatusCode};
use log::info;
use opentelemetry::KeyValue;

use crate::{
    node::Node,
    refusal::{Cause, Refusal},
};

/// Facts about a request, logged and counted when it ends.
#[derive(Debug, Clone)]
pub(crate) struct Trace {
    node: Arc<Node>,
    request: RequestId,
    method: String,
    path: String,
    started: Instant,
    customer: Option<Customer>,
    upstream: Option<Upstream>,
    attempt: u32,
    verdict: Verdict,
    cause: Option<Cause>,
    detail: Option<String>,
    status: Option<StatusCode>,
    handed_over: bool,
}

impl Trace {
    pub(super) fn start<B>(node: Arc<Node>, request: RequestId, head: &Request<B>) -> Self {
        node.metrics.in_progress.add(1, &[]);
        Self {
            started: node.clock.now(),
            node,
            request,
            method: head.method().to_string(),
            path: head.uri().path().to_owned(),
            customer: None,
            upstream: None,
            attempt: 1,
            verdict: Verdict::Ran,
            cause: None,
            detail: None,
            status: None,
            handed_over: false,
        }
    }

    /// Returns the time at which the request's head arrived.
    pub(super) fn started(&self) -> Instant {
        self.started
    }

    /// Records the customer.
    pub(super) fn set_customer(&mut self, customer: &Customer) {
        self.customer = Some(customer.clone());
    }

    /// Records the upstream of the last attempt and the number of that attempt, from 1.
    pub(super) fn set_upstream(&mut self, upstream: &Upstream, attempt: u32) {
        self.upstream = Some(upstream.clone());
        self.attempt = attempt;
    }

    /// Records a refusal of the request.
    pub(super) fn record_refusal(&mut self, refusal: &Refusal) {
        self.verdict = refusal.verdict;
        self.cause = Some(refusal.cause);
        self.detail = Some(refusal.detail.clone());
        self.node.metrics.count_refusal(refusal.cause);
    }

    /// Transfers the trace to the task that streams the answer.
    pub(super) fn hand_over(&mut self) -> Self {
        let streamed = self.clone();
        self.handed_over = true;
        streamed
    }

    /// Ends the trace of an answered request.
    pub(super) fn finish(mut self, status: StatusCode) {
        self.status = Some(status);
    }

    fn write(&self) {
        let elapsed = self.node.clock.now().since(self.started);
        let verdict = KeyValue::new("verdict", self.verdict.as_str());
        let kind = if self.path.starts_with("/services/") { "service" } else { "draft" };
        let kind = KeyValue::new("kind", kind);
        self.node.metrics.in_progress.add(-1, &[]);
        self.node.metrics.requests.add(1, &[kind.clone(), verdict]);
        self.node.metrics.duration.record(elapsed.as_secs_f64(), &[kind]);
        info!(
            request:% = self.request,
            customer = self.customer.as_ref().map_or("-", Customer::as_str),
            method = self.method.as_str(),
            path = self.path.as_str(),
            status = self.status.map_or(0, |status| status.as_u16()),
            upstream = self.upstream.as_ref().map_or("-", Upstream::as_str),
            attempt = self.attempt,
            verdict = self.verdict.as_str(),
            cause = self.cause.map_or("-", Cause::as_str),
            detail = self.detail.as_deref().unwrap_or("-"),
            micros = elapsed.as_micros() as u64;
            "request ended"
        );
    }
}

impl Drop for Trace {
    /// Writes the log line, also when the caller disconnected before the answer was complete.
    fn drop(&mut self) {
        if self.handed_over {
            return;
        }
        if self.status.is_none() {
            self.verdict = Verdict::MayHaveRun;
            self.cause = Some(Cause::Cancelled);
        }
        self.write();
    }
}
