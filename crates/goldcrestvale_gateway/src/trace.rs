//! The log line and the metrics of a request.

use std::{fmt::Display, net::SocketAddr, sync::Arc, time::Duration};

use goldcrestvale_base::{content::Content, id::Upstream, prompt::Parts, time::Instant};
use goldcrestvale_entry::{crash_watch::Attempt, intake::Charge};
use goldcrestvale_route::cost::Estimate;
use http::{HeaderValue, Response, StatusCode};
use log::info;

use crate::{
    body::Body, contention::Wait, customer_load::Comparison, error_response::ErrorResponse,
    gateway::Gateway,
};

/// Data on a request that is logged when the request ends.
#[derive(Debug)]
pub(crate) struct Trace<P> {
    gateway: Arc<Gateway<P>>,
    pub(crate) id: String,
    pub(crate) started: Instant,
    pub(crate) route: String,
    pub(crate) customer: String,
    pub(crate) version: u64,
    /// Upstreams that it was sent to, in order.
    pub(crate) tried: Vec<Upstream>,
    /// Identifier of its content, once its body was read.
    pub(crate) content: Option<Content>,
    pub(crate) attempt: Attempt,
    /// How it waited for a place, or why it got none.
    pub(crate) wait: Option<Wait>,
    /// Status of the last complete answer or begun stream of an upstream, which the caller may not
    /// have received.
    pub(crate) upstream_status: Option<StatusCode>,
    /// Peer that it was passed on to.
    pub(crate) relay: Option<SocketAddr>,
    /// Parts of its prompt that other requests may share.
    pub(crate) parts: Parts,
    /// Upstreams that broke off, each with the number of events that it had sent.
    broken_off: Vec<(Upstream, Option<u64>)>,
    /// Number of chains that it passed through beyond the first.
    pub(crate) moves: u32,
    pub(crate) events: u64,
    /// Streams and share of its customer, if it was refused for being above its share.
    pub(crate) share: Option<Comparison>,
    pub(crate) first_event: Option<Instant>,
    /// Maximum gap between two events.
    pub(crate) max_event_gap: Duration,
    /// Expected size, if streams of the service count by it.
    pub(crate) estimate: Option<Estimate>,
    /// Tokens of the complete answer.
    pub(crate) answer_tokens: Option<f64>,
    /// Memory of the request itself.
    pub(crate) charge: Option<Charge>,
    outcome: &'static str,
    detail: String,
    status: u16,
}

impl<P> Trace<P> {
    pub(crate) fn start(gateway: Arc<Gateway<P>>, id: Option<&HeaderValue>) -> Self {
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned();
        Self {
            started: gateway.now(),
            version: gateway.table.load().version(),
            gateway,
            id,
            route: String::new(),
            customer: String::new(),
            tried: Vec::new(),
            content: None,
            attempt: Attempt::default(),
            wait: None,
            upstream_status: None,
            relay: None,
            parts: Parts::new(),
            broken_off: Vec::new(),
            moves: 0,
            events: 0,
            share: None,
            first_event: None,
            max_event_gap: Duration::ZERO,
            estimate: None,
            answer_tokens: None,
            charge: None,
            outcome: "caller left",
            detail: String::new(),
            status: 0,
        }
    }

    /// Records how the request ends.
    pub(crate) fn end(
        &mut self,
        outcome: &'static str,
        status: StatusCode,
        detail: impl Into<String>,
    ) {
        self.outcome = outcome;
        self.status = status.as_u16();
        self.detail = detail.into();
    }

    /// Ends the request with an error response of the gateway.
    pub(crate) fn respond(&mut self, error: &ErrorResponse) -> Response<Body> {
        self.end(error.cause, error.status, error.detail.as_str());
        error.to_response()
    }

    /// Records that an answer has begun; until it is complete, the request counts as cancelled by
    /// the caller.
    pub(crate) fn begin_answer(&mut self, status: StatusCode) {
        self.outcome = "caller left midway";
        self.status = status.as_u16();
    }

    /// Records that an upstream broke off after a number of events; `None` before its answer.
    pub(crate) fn record_break(&mut self, upstream: &Upstream, events: Option<u64>) {
        self.broken_off.push((upstream.clone(), events));
    }

    /// Reports the request to the peers if it is under suspicion; its caller may send it again to any
    /// of them.
    fn report_unanswered(&mut self, now: Instant) {
        // An end that is recorded from here on is reported at once.
        self.attempt = Attempt::default();
        let report = |request| self.gateway.crash_watch.report_unanswered(now, request);
        if let Some(report) = self.content.and_then(report) {
            self.gateway.peers.send_evidence(report);
        }
    }

    /// Records that the answer is complete.
    pub(crate) fn complete(&mut self) {
        self.outcome = "answered";
    }
}

impl<P> Drop for Trace<P> {
    fn drop(&mut self) {
        let now = self.gateway.now();
        self.report_unanswered(now);
        let elapsed = now.since(self.started);
        self.gateway.metrics.count_request(self.outcome, elapsed);
        let first_event = self.first_event.map(|at| at.since(self.started));
        if let Some(delay) = first_event {
            self.gateway.metrics.record_first_event(delay);
        }
        let tried = join(&self.tried);
        let broken_off = self.broken_off.iter().map(|(upstream, events)| match events {
            Some(events) => format!("{upstream}:{events}"),
            None => format!("{upstream}:-"),
        });
        let broken_off = join(broken_off);
        info!(
            request = self.id.as_str(),
            route = self.route.as_str(),
            customer = self.customer.as_str(),
            configuration = self.version,
            view_age_ms = now.since(self.gateway.view.load().built).as_millis() as u64,
            content = join(self.content),
            parts = join(&self.parts),
            tried,
            broken_off,
            relay = join(self.relay),
            moves = self.moves,
            events = self.events,
            first_ms = first_event.map_or(0, |delay| delay.as_millis() as u64),
            estimate_tokens = self.estimate.map_or(0, |estimate| estimate.answer as u64),
            answer_tokens = self.answer_tokens.map_or(0, |tokens| tokens as u64),
            pause_ms = self.max_event_gap.as_millis() as u64,
            priority = self.wait.as_ref().map(|wait| wait.priority),
            queue_position = self.wait.as_ref().map(|wait| wait.position),
            wait_ms = self.wait.as_ref().map(|wait| wait.elapsed.as_millis() as u64),
            estimate_ms = self.wait.as_ref().and_then(Wait::estimate_ms),
            cause = self.wait.as_ref().map(|wait| wait.cause),
            customer_streams = self.share.map_or(0, |share| share.streams),
            customer_share = self.share.map_or(0.0, |share| share.share),
            upstream_status = self.upstream_status.map(|status| status.as_u16()),
            status = self.status,
            outcome = self.outcome,
            detail = self.detail.as_str(),
            millis = elapsed.as_millis() as u64;
            "request ended"
        );
    }
}

fn join(items: impl IntoIterator<Item = impl Display>) -> String {
    let mut text = String::new();
    for item in items {
        let comma = if text.is_empty() { "" } else { "," };
        text.push_str(&format!("{comma}{item}"));
    }
    text
}
