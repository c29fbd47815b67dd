//! Calls of plain services.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{
    exchange::Exchange,
    id::{Key, Request as RequestId, Service, Upstream},
    time::Instant,
    verdict::Verdict,
};
use goldcrestvale_config::record;
use goldcrestvale_route::{balance::Choice, retry::Attempts};
use goldcrestvale_upstream::service::{Answer, Call};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use smallvec::SmallVec;

use super::{
    admit::{self, Need},
    auth::Caller,
    keyed::{self, Keyed},
    trace::Trace,
};
use crate::{
    body::{self, Body},
    gate::RequestGuard,
    header as names,
    node::Node,
    receive,
    refusal::{Cause, Refusal, Result},
    table::Row,
};

/// The service and path that a caller named.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) service: Service,
    pub(super) rest: String,
}

pub(super) async fn serve(
    node: Arc<Node>,
    id: RequestId,
    caller: Caller,
    target: Target,
    request: Request<Incoming>,
    trace: &mut Trace,
    mut pass: RequestGuard,
) -> Result<Response<Body>> {
    let config = node.config.load_full();
    let service = config
        .services
        .get(&target.service)
        .ok_or_else(|| Refusal::unsent(Cause::Unknown, format!("no service {}", target.service)))?;
    let bound = record::Target::Service(target.service.clone());
    let binding = config.binding(&caller.customer, &bound).ok_or_else(|| {
        let detail = format!("{} may not use service {}", caller.customer, target.service);
        Refusal::unsent(Cause::NotBound, detail)
    })?;
    let key = read_key(&service.body, &target, &request)?;
    let (head, incoming) = request.into_parts();
    let limits = &node.settings.callers;
    let body = receive::read_body(incoming, limits.body_bytes, limits.body_timeout).await?;
    let until = trace.started() + deadline(&caller, &service.body);
    let need = Need { priority: binding.body.priority, until, cost: 1 };
    pass.attach_slot(admit::enter(&node, &node.calls, &caller, need).await?);
    let ready = Ready {
        pool: service.body.pool.clone(),
        call: Call {
            method: head.method,
            path: target.rest,
            headers: forward_headers(&head.headers, id),
            body,
        },
        until,
    };
    match key {
        Some(key) => {
            let keyed = Keyed { key, customer: caller.customer, service: target.service };
            keyed::serve(node, keyed, ready, trace, pass).await
        }
        None => send(node, ready, trace).await,
    }
}

/// A call that is ready to be sent to an instance of its service.
#[derive(Debug, Clone)]
pub(super) struct Ready {
    pub(super) pool: String,
    pub(super) call: Call,
    pub(super) until: Instant,
}

/// Instances of a service that one call tries while nothing was sent.
pub(super) const MOST_TRIES: usize = 3;

/// Sends a call without a key, to another instance as long as nothing was sent.
async fn send(node: Arc<Node>, ready: Ready, trace: &mut Trace) -> Result<Response<Body>> {
    let mut series = Attempts::new(ready.until, MOST_TRIES);
    loop {
        let row = choose(&node, &ready.pool, series.tried())?;
        series.start(&row.name, &node.retries);
        trace.set_upstream(&row.name, series.tried().len() as u32);
        let limit = ready.until.since(node.clock.now());
        let call = ready.call.clone();
        let guard = row.enter();
        let failure = match node.services.call(row.address, call, Exchange::new(), limit).await {
            Ok(answer) => return Ok(respond(&answer)),
            Err(failure) => failure,
        };
        drop(guard);
        let verdict = failure.verdict();
        if let Err(no) = series.retry(node.clock.now(), verdict, &node.retries) {
            let detail = format!("{failure}; not tried again: {no}");
            return Err(Refusal::new(verdict, Cause::Upstream, detail));
        }
        node.metrics.retries.add(1, &[KeyValue::new("kind", "service")]);
    }
}

/// Returns the idempotency key of a call that is not idempotent, which needs one unless its
/// service takes calls without.
fn read_key(
    service: &record::Service,
    target: &Target,
    request: &Request<Incoming>,
) -> Result<Option<Key>> {
    let method = request.method().as_str();
    let listed = service
        .methods
        .iter()
        .find(|m| m.method == method && target.rest.starts_with(m.path.as_str()));
    if listed.is_some_and(|m| m.idempotent) {
        return Ok(None);
    }
    if let Some(text) = request.headers().get(names::IDEMPOTENCY_KEY) {
        let key = text.to_str().ok().and_then(|text| text.parse::<Key>().ok());
        let detail = "Idempotency-Key is not a version 7 UUID";
        return match key.filter(|key| key.issued().is_some()) {
            Some(key) => Ok(Some(key)),
            None => Err(Refusal::unsent(Cause::KeyInvalid, detail)),
        };
    }
    if service.run_without_log {
        // Sent at most once, since only what was never sent is tried again.
        return Ok(None);
    }
    let detail = format!("{method} {} is not idempotent and needs Idempotency-Key", target.rest);
    Err(Refusal::unsent(Cause::KeyMissing, detail))
}

/// Returns the instance of a pool with the least work, beside those that were tried.
pub(super) fn choose(node: &Node, pool: &str, tried: &[Upstream]) -> Result<Arc<Row>> {
    let table = node.upstreams.load();
    let rows: SmallVec<[&Arc<Row>; 8]> = table.iter_services(pool).collect();
    let snapshot = node.peers.snapshot();
    let load = |index: usize| {
        let row = rows[index];
        (!tried.contains(&row.name)).then(|| row.load(&snapshot).current())
    };
    let chosen = node.with_rng(|rng| Choice::default().choose(rows.len(), load, rng));
    chosen.map(|index| rows[index].clone()).ok_or_else(|| {
        Refusal::unsent(Cause::NoUpstream, format!("no live instance in pool {pool}"))
            .retry_after(node.settings.platform.list_interval)
    })
}

fn deadline(caller: &Caller, service: &record::Service) -> Duration {
    let asked = caller.deadline_ms.unwrap_or(service.timeout_ms);
    Duration::from_millis(asked.min(service.timeout_ms))
}

/// Headers that end at this hop.
const HOP_HEADERS: [HeaderName; 9] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

fn without_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

fn forward_headers(headers: &HeaderMap, id: RequestId) -> HeaderMap {
    let mut kept = without_hop_headers(headers);
    let id = id.to_string().try_into().expect("a UUID is a valid header value");
    kept.insert(names::REQUEST, id);
    kept
}

/// Passes an answer on; one of status 503 may come from before the call ran.
pub(super) fn respond(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(body::full(answer.body.clone()));
    *response.status_mut() = answer.status;
    *response.headers_mut() = without_hop_headers(&answer.headers);
    let verdict = HeaderValue::from_static(verdict_of(answer).as_str());
    response.headers_mut().insert(names::VERDICT, verdict);
    response
}

/// Returns what a whole answer says about its call.
pub(super) fn verdict_of(answer: &Answer) -> Verdict {
    match answer.status {
        StatusCode::SERVICE_UNAVAILABLE => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    }
}
