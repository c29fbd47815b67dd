//! The HTTP API for callers: drafts and calls of plain services.

mod admit;
mod auth;
mod crash;
pub mod draft;
mod keyed;
mod path;
pub mod service;
mod sse;
mod trace;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestvale_base::id::{Customer, Request as RequestId};
use http::{HeaderValue, Request, Response, Version, header::CONNECTION, request::Parts};
use hyper::body::Incoming;
use uuid::Uuid;

use crate::{
    body::Body,
    gate::RequestGuard,
    header,
    intake::Owner,
    node::Node,
    phase::Phase,
    receive,
    refusal::{Cause, Refusal, Result},
};
use auth::Caller;
use path::Path;
use trace::Trace;

/// How often, and after which time at the latest, a request looks whether another has given way.
const GIVE_WAY_CHECKS: usize = 10;
const GIVE_WAY_INTERVAL: Duration = Duration::from_millis(10);

/// Serves one request of a caller.
///
/// Every answer carries the identifier of the request; a refusal also has a verdict, a problem body
/// and, if a retry may succeed, `Retry-After`.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let id = RequestId(Uuid::now_v7());
    let mut trace = Trace::start(node.clone(), id, &request);
    let version = request.version();
    let mut is_unread = false;
    let mut response = match route(node, id, request, &mut trace).await {
        Ok(response) => response,
        Err(refusal) => {
            is_unread = matches!(refusal.cause, Cause::Memory | Cause::Oversized | Cause::SlowBody);
            trace.record_refusal(&refusal);
            refusal.respond(id)
        }
    };
    let text = id.to_string().try_into().expect("a UUID is a valid header value");
    response.headers_mut().insert(header::REQUEST, text);
    if is_unread && version < Version::HTTP_2 {
        // The rest of the body is not taken for another request.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if !response.headers().contains_key(header::VERDICT) {
        response.headers_mut().insert(header::VERDICT, HeaderValue::from_static("ran"));
    }
    trace.finish(response.status());
    response
}

async fn route(
    node: Arc<Node>,
    id: RequestId,
    request: Request<Incoming>,
    trace: &mut Trace,
) -> Result<Response<Body>> {
    check_phase(&node)?;
    let path = Path::parse(request.method(), request.uri())?;
    let caller = auth::authenticate(request.headers(), &node.config.load())?;
    trace.set_customer(&caller.customer);
    check_limit(&node, &caller.customer)?;
    let guard = enter(&node).await.ok_or_else(|| busy(&node))?;
    match path {
        Path::Completions => draft::serve(node, id, caller, request, trace, guard).await,
        Path::Service { service, rest } => {
            let target = service::Target { service, rest };
            service::serve(node, id, caller, target, request, trace, guard).await
        }
    }
}

/// Admits a request if the limit is not reached, or if another one whose body is arriving gives way.
async fn enter(node: &Node) -> Option<RequestGuard> {
    let guard = node.gate.try_enter();
    if guard.is_some() || !node.intake.make_way() {
        return guard;
    }
    for _ in 0..GIVE_WAY_CHECKS {
        node.intake.released(GIVE_WAY_INTERVAL).await;
        if let Some(guard) = node.gate.try_enter() {
            return Some(guard);
        }
    }
    None
}

/// Reads the body of a caller's request, within the time of the instance or that of the caller, if it
/// is shorter. The guard holds the memory of the request from then on.
async fn read_body(
    node: &Node,
    caller: &Caller,
    head: &Parts,
    body: Incoming,
    guard: &mut RequestGuard,
) -> Result<Bytes> {
    let limits = &node.settings.callers;
    let requested = caller.deadline_ms.map_or(Duration::MAX, Duration::from_millis);
    let timeout = limits.body_timeout.min(requested);
    let owner = Owner::named(caller.customer.as_str());
    let mut charge = node.intake.admit(owner, timeout, head).await?;
    let body = receive::read_body(body, limits.body_bytes, timeout, &mut charge).await?;
    guard.attach_charge(charge);
    Ok(body)
}

/// Returns the size of a request head as HTTP/1.1 writes it, in bytes, but for its version.
///
/// # Examples
///
/// ```
/// use goldcrestvale_entry::callers::head_bytes;
/// use http::Request;
///
/// let (head, ()) = Request::get("/a").header("host", "b").body(())?.into_parts();
/// assert_eq!(head_bytes(&head), "GET/ahost: b\r\n".len());
/// # Ok::<(), http::Error>(())
/// ```
pub fn head_bytes(head: &Parts) -> usize {
    const SEPARATORS: usize = 4;
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    let headers = head.headers.iter();
    let headers: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS).sum();
    head.method.as_str().len() + target + headers
}

fn check_phase(node: &Node) -> Result<()> {
    match node.lifecycle.phase() {
        Phase::Starting => {
            let refusal = Refusal::unsent(
                Cause::Starting,
                "the configuration or the upstreams are not known yet",
            );
            Err(refusal.retry_after(node.settings.platform.timeout))
        }
        Phase::Serving | Phase::Leaving | Phase::Draining => Ok(()),
    }
}

fn check_limit(node: &Node, customer: &Customer) -> Result<()> {
    let config = node.config.load();
    let Some(rate) = config.customers.get(customer).and_then(|c| c.body.requests_per_second) else {
        return Ok(());
    };
    let share = node.peers.snapshot().share(customer);
    node.limits.take(node.clock.now(), customer, rate, share)
}

fn busy(node: &Node) -> Refusal {
    let max_requests = node.settings.callers.streams;
    Refusal::unsent(Cause::Busy, format!("{max_requests} requests are in progress"))
        .retry_after(node.settings.platform.timeout)
}
