//! Calls of plain services.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{
    exchange::Exchange,
    id::{Request as RequestId, Service},
    verdict::Verdict,
};
use goldcrestvale_config::record;
use goldcrestvale_upstream::service::{Answer, Call};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use hyper::body::Incoming;

use super::{auth::Caller, trace::Trace};
use crate::{
    body::{self, Body},
    gate::Pass,
    header as names,
    node::Node,
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
    _pass: Pass,
) -> Result<Response<Body>> {
    let config = node.config.load_full();
    let service = config
        .services
        .get(&target.service)
        .ok_or_else(|| Refusal::early(Cause::Unknown, format!("no service {}", target.service)))?;
    let bound = record::Target::Service(target.service.clone());
    if config.binding(&caller.customer, &bound).is_none() {
        let detail = format!("{} may not use service {}", caller.customer, target.service);
        return Err(Refusal::early(Cause::NotBound, detail));
    }
    check_key(&service.body, &target, &request)?;
    let (head, incoming) = request.into_parts();
    let limits = &node.settings.callers;
    let body = body::read(incoming, limits.body_bytes, limits.body_timeout).await?;
    let row = choose(&node, &service.body.pool)?;
    trace.set_upstream(&row.name, 1);
    let call = Call {
        method: head.method,
        path: target.rest,
        headers: forward_headers(&head.headers, id),
        body,
    };
    let limit = deadline(&caller, &service.body);
    let _guard = row.enter();
    match node.services.call(row.address, call, Exchange::new(), limit).await {
        Ok(answer) => Ok(respond(answer)),
        Err(e) => Err(Refusal::new(e.verdict(), Cause::Upstream, e.to_string())),
    }
}

fn check_key(
    service: &record::Service,
    target: &Target,
    request: &Request<Incoming>,
) -> Result<()> {
    let method = request.method().as_str();
    let listed = service
        .methods
        .iter()
        .find(|m| m.method == method && target.rest.starts_with(m.path.as_str()));
    let idempotent = listed.is_some_and(|m| m.idempotent);
    if idempotent || request.headers().contains_key(names::IDEMPOTENCY_KEY) {
        return Ok(());
    }
    let detail = format!("{method} {} is not idempotent and needs Idempotency-Key", target.rest);
    Err(Refusal::early(Cause::KeyMissing, detail))
}

fn choose(node: &Node, pool: &str) -> Result<Arc<Row>> {
    let table = node.upstreams.load();
    let queued = |row: &&Arc<Row>| {
        let reported = row.report.as_ref().map_or(0, |(_, report)| report.queued());
        reported + row.in_progress()
    };
    table.iter_services(pool).min_by_key(queued).cloned().ok_or_else(|| {
        Refusal::early(Cause::NoUpstream, format!("no live instance in pool {pool}"))
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

fn respond(answer: Answer) -> Response<Body> {
    let mut response = Response::new(body::full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = without_hop_headers(&answer.headers);
    let verdict = HeaderValue::from_static(Verdict::Ran.as_str());
    response.headers_mut().insert(names::VERDICT, verdict);
    response
}
