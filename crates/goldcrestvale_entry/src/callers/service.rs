//! Calls of plain services.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use goldcrestvale_base::{
    content::Content,
    exchange::Exchange,
    id::{Key, Request as RequestId, Service, Upstream},
    time::Instant,
    verdict::Verdict,
};
use goldcrestvale_config::record;
use goldcrestvale_route::{balance::Choice, promise, retry::Attempts};
use goldcrestvale_upstream::{
    Error,
    service::{Answer, Call},
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header,
    response::Parts,
};
use hyper::body::Incoming;
use opentelemetry::KeyValue;
use smallvec::SmallVec;
use tokio_util::sync::CancellationToken;

use super::{
    admit::{self, Requirements},
    auth::Caller,
    crash,
    keyed::{self, ClaimRequest},
    trace::Trace,
};
use crate::{
    body::{self, Body},
    gate::RequestGuard,
    header as names,
    intake::Owner,
    node::Node,
    receive::{self, BodyError},
    refusal::{Cause, Refusal, Result},
    server::Reader,
    table::Row,
    trial_log::{self, Trial},
};

/// The service and path that a caller requests.
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
    mut guard: RequestGuard,
) -> Result<Response<Body>> {
    let config = node.config.load_full();
    let service = config
        .services
        .get(&target.service)
        .ok_or_else(|| Refusal::unsent(Cause::Unknown, format!("no service {}", target.service)))?;
    let binding_target = record::Target::Service(target.service.clone());
    let binding = config.binding(&caller.customer, &binding_target).ok_or_else(|| {
        let detail = format!("{} may not use service {}", caller.customer, target.service);
        Refusal::unsent(Cause::NotBound, detail)
    })?;
    let is_idempotent = is_idempotent(&service.body, &target, request.method());
    let key = match is_idempotent {
        true => None,
        false => read_key(&service.body, &target, &request)?,
    };
    let (head, incoming) = request.into_parts();
    let body = super::read_body(&node, &caller, &head, incoming, &mut guard).await?;
    let reader = head.extensions.get::<Reader>().cloned();
    let deadline = trace.started() + timeout(&caller, &service.body);
    let requirements = Requirements { priority: binding.body.priority, deadline, cost: 1 };
    guard.attach_slot(admit::enter(&node, &node.calls, &caller, requirements).await?);
    let content = Content::of(&[
        caller.customer.as_str().as_bytes(),
        target.service.as_str().as_bytes(),
        head.method.as_str().as_bytes(),
        target.rest.as_bytes(),
        &body,
    ]);
    let prepared = PreparedCall {
        content,
        is_idempotent,
        owner: Owner::named(caller.customer.as_str()),
        reader: reader.unwrap_or_else(|| Reader::new(CancellationToken::new())),
        pool: service.body.pool.clone(),
        call: Call {
            method: head.method,
            path: target.rest,
            headers: forward_headers(&head.headers, id),
            body,
        },
        deadline,
    };
    // On the heap, so that requests whose body is arriving do not hold the state of what follows.
    match key {
        Some(key) => {
            let claim = ClaimRequest { key, customer: caller.customer, service: target.service };
            Box::pin(keyed::serve(node, claim, prepared, trace, guard)).await
        }
        None => Box::pin(send(node, prepared, trace)).await,
    }
}

/// A call that is ready to be sent to an instance of its service.
#[derive(Debug, Clone)]
pub(super) struct PreparedCall {
    /// Identifier of the content, by which the call is recognized when it comes again.
    pub(super) content: Content,
    /// Whether the call may run more than once.
    is_idempotent: bool,
    /// The customer that its answer counts for.
    owner: Owner,
    reader: Reader,
    pub(super) pool: String,
    pub(super) call: Call,
    pub(super) deadline: Instant,
}

impl PreparedCall {
    /// Returns the call as it is about to be sent to an upstream.
    pub(super) fn send<'a>(
        &self,
        node: &Node,
        upstream: &'a Upstream,
        is_repeat: bool,
    ) -> trial_log::Attempt<'a> {
        let time_left = self.deadline.since(node.clock.now());
        trial_log::Attempt { request: self.content, upstream, is_repeat, time_left }
    }
}

/// Maximum number of instances of a service that one call tries while nothing was sent.
pub(super) const MAX_ATTEMPTS: usize = 3;

/// Sends a call without a key; retries it at another instance as long as nothing was sent.
async fn send(
    node: Arc<Node>,
    prepared: PreparedCall,
    trace: &mut Trace,
) -> Result<Response<Body>> {
    let mut attempts = Attempts::new(prepared.deadline, MAX_ATTEMPTS);
    let mut trial = None;
    loop {
        if trial.is_none() {
            crash::check(&node, prepared.content)?;
        }
        let row = choose(&node, &prepared.pool, attempts.tried())?;
        let is_repeat = !attempts.tried().is_empty();
        crash::claim(&node, &mut trial, prepared.send(&node, &row.name, is_repeat)).await?;
        attempts.start(&row.name, &node.retries);
        trace.set_upstream(&row.name, attempts.tried().len() as u32);
        let spent = trial.take().map(Trial::spend);
        let guard = row.enter();
        let failure = match fetch(&node, &prepared, row.address).await {
            Ok(Fetched::Answer(answer)) => {
                crash::record_answer(&node, prepared.content);
                return forward(&answer, prepared.is_idempotent);
            }
            Ok(Fetched::NoMemory(verdict, detail)) => {
                return Err(Refusal::new(verdict, Cause::Upstream, detail));
            }
            Err(failure) => failure,
        };
        drop(guard);
        if matches!(failure, Error::Broken { .. }) {
            crash::report_break(&node, &row, crash::suspect(prepared.content)).await;
        }
        let verdict = failure.verdict();
        if matches!(verdict, Verdict::NotRun(_)) {
            trial = spent.and_then(|spent| spent.rejected(prepared.content));
        }
        if let Err(reason) = attempts.retry(node.clock.now(), verdict, &node.retries) {
            let detail = format!("{failure}; not tried again: {reason}");
            return Err(Refusal::new(verdict, Cause::Upstream, detail));
        }
        node.metrics.retries.add(1, &[KeyValue::new("kind", "service")]);
    }
}

/// The outcome of a call that a service has answered.
enum Fetched {
    Answer(Answer),
    /// There is no memory for the answer.
    NoMemory(Verdict, String),
}

/// Sends a call once and receives its answer, whose memory gives way once its caller does not read
/// it.
async fn fetch(
    node: &Node,
    prepared: &PreparedCall,
    address: SocketAddr,
) -> goldcrestvale_upstream::Result<Fetched> {
    let timeout = prepared.deadline.since(node.clock.now());
    let late = || Error::Timeout { address, waited_ms: timeout.as_millis() };
    let opening = node.services.open(address, prepared.call.clone(), Exchange::new());
    let opened = tokio::time::timeout(timeout, opening).await;
    let (head, body, connection) = opened.map_err(|_| late())??.into_parts();
    let left = prepared.deadline.since(node.clock.now());
    let charge = node.intake.enter(prepared.owner, left);
    let limit = node.settings.upstream.answer_bytes;
    match receive::answer(body, limit, left, charge, prepared.reader.clone()).await {
        Ok(body) => {
            connection.return_to_pool();
            let Parts { status, headers, .. } = head;
            Ok(Fetched::Answer(Answer { status, headers, body }))
        }
        Err(BodyError::Full { full }) => {
            Ok(Fetched::NoMemory(Verdict::MayHaveRun, full.to_string()))
        }
        Err(BodyError::Late { .. }) => Err(late()),
        Err(BodyError::Oversized { .. }) => Err(Error::Oversized { address, limit }),
        Err(BodyError::Malformed { detail }) => Err(Error::Broken { address, detail }),
    }
}

/// Returns whether a call may run more than once, by the settings of its service.
fn is_idempotent(service: &record::Service, target: &Target, method: &Method) -> bool {
    let is_listed = |m: &&record::Method| {
        m.method == method.as_str() && target.rest.starts_with(m.path.as_str())
    };
    service.methods.iter().find(is_listed).is_some_and(|m| m.idempotent)
}

/// Returns the idempotency key of a call that is not idempotent. Such a call needs one unless its
/// service accepts calls without.
fn read_key(
    service: &record::Service,
    target: &Target,
    request: &Request<Incoming>,
) -> Result<Option<Key>> {
    if let Some(text) = request.headers().get(names::IDEMPOTENCY_KEY) {
        let key = text.to_str().ok().and_then(|text| text.parse::<Key>().ok());
        let detail = "Idempotency-Key is not a version 7 UUID";
        return match key.filter(|key| key.issued().is_some()) {
            Some(key) => Ok(Some(key)),
            None => Err(Refusal::unsent(Cause::KeyInvalid, detail)),
        };
    }
    if service.run_without_log {
        // Sent at most once, since a call is retried only while nothing of it was sent.
        return Ok(None);
    }
    let method = request.method();
    let detail = format!("{method} {} is not idempotent and needs Idempotency-Key", target.rest);
    Err(Refusal::unsent(Cause::KeyMissing, detail))
}

/// Returns the least loaded instance of a pool, except those in `tried`.
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

fn timeout(caller: &Caller, service: &record::Service) -> Duration {
    let requested = caller.deadline_ms.unwrap_or(service.timeout_ms);
    Duration::from_millis(requested.min(service.timeout_ms))
}

/// Headers that apply to a single hop and are not forwarded.
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
    let mut forwarded = headers.clone();
    for name in &HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

fn forward_headers(headers: &HeaderMap, id: RequestId) -> HeaderMap {
    let mut forwarded = without_hop_headers(headers);
    let id = id.to_string().try_into().expect("a UUID is a valid header value");
    forwarded.insert(names::REQUEST, id);
    forwarded
}

/// Builds the response that forwards an answer to the caller.
///
/// # Errors
///
/// Fails if the answer may promise falsely that the call did not run.
pub(super) fn forward(answer: &Answer, is_idempotent: bool) -> Result<Response<Body>> {
    let status = answer.status.as_u16();
    // A plain service has no words for it.
    let states_not_run = false;
    if (promise::Answer { status, states_not_run, is_idempotent }).may_be_forwarded() {
        return Ok(respond(answer));
    }
    let detail = format!("the service answered {}, and the call may have run", answer.status);
    Err(Refusal::new(Verdict::MayHaveRun, Cause::Upstream, detail))
}

fn respond(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(body::full(answer.body.clone()));
    *response.status_mut() = answer.status;
    *response.headers_mut() = without_hop_headers(&answer.headers);
    let verdict = match answer.status {
        // The service may have rejected the call before it ran.
        StatusCode::SERVICE_UNAVAILABLE => Verdict::MayHaveRun,
        _ => Verdict::Ran,
    };
    response.headers_mut().insert(names::VERDICT, HeaderValue::from_static(verdict.as_str()));
    response
}
