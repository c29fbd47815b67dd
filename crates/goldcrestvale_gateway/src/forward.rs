//! Reads requests, matches them to a route and a customer, and forwards them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestvale_base::{content::Content, prompt::Part, time::Instant};
use goldcrestvale_entry::{
    callers::head_bytes,
    crash_watch::parts_text,
    intake::{Charge, Full, Owner},
    receive::{self, BodyError},
    server::Reader,
    trial_log::{Held, Trial},
};
use goldcrestvale_route::{
    forward::{Bounds, Customer, Kind, Refusal as NoMatch, Route, Table},
    promise,
    quarantine::Hold,
    retry::Exclusions,
};
use http::{HeaderValue, Request, Response, StatusCode, Version, header, request::Parts};
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use crate::{
    body::Body,
    contention::Place,
    error_response::ErrorResponse,
    gateway::Gateway,
    plain,
    port::{Port, RequestHead},
    relay::{self, RELAYED, must_relay},
    stream,
    trace::Trace,
    trial_log::refusal,
};

/// When a caller may retry whose request arrived before the configuration is known: the time in
/// which an instance reads it.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// A request with its route and customer.
pub(crate) struct Matched<P> {
    pub(crate) gateway: Arc<Gateway<P>>,
    pub(crate) trace: Trace<P>,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) head: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<Customer>>,
    /// Identifier of the content, by which the request is recognized when it comes again.
    pub(crate) content: Content,
    /// Whether a peer has passed it on, which has lost its links to the upstreams.
    pub(crate) is_relayed: bool,
    /// Whether an upstream has received it, even if it did not run it.
    pub(crate) has_arrived: bool,
    /// Deadline of the complete answer.
    pub(crate) deadline: Instant,
    /// First engines that the request is not sent to again for a while.
    pub(crate) exclusions: Exclusions,
    /// A trial that was granted and not sent yet.
    pub(crate) trial: Option<Trial>,
    /// Its place at a service with several levels.
    pub(crate) place: Option<Place>,
}

impl<P> Matched<P> {
    /// Returns how long the caller still waits, as it is sent to upstreams.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        let route_time = self.deadline.since(now);
        match self.head.timeout {
            Some(timeout) => (self.trace.started + timeout).since(now).min(route_time),
            None => route_time,
        }
    }

    /// Returns the error response that replaces an upstream's answer which may promise falsely that
    /// the request did not run; `states_not_run` is whether its sender states that.
    pub(crate) fn check_promise(
        &self,
        status: StatusCode,
        states_not_run: bool,
    ) -> Result<(), ErrorResponse> {
        let is_idempotent = self.route.is_idempotent();
        let answer = promise::Answer { status: status.as_u16(), states_not_run, is_idempotent };
        match answer.may_be_forwarded() {
            true => Ok(()),
            false => Err(ErrorResponse::unstated_rejection(status)),
        }
    }

    pub(crate) fn customer_name(&self) -> Option<&str> {
        self.customer.as_ref().map(|customer| customer.name.as_str())
    }
}

/// Answers a request.
pub(crate) async fn serve<P: Port>(
    gateway: Arc<Gateway<P>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let head = gateway.port.read_request(&parts.headers);
    let trace = Trace::start(gateway.clone(), head.id.as_ref());
    let is_leaving = gateway.is_leaving();
    let mut response = answer(gateway, trace, head, parts, body).await;
    if is_leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer<P: Port>(
    gateway: Arc<Gateway<P>>,
    mut trace: Trace<P>,
    mut head: RequestHead,
    mut parts: Parts,
    body: Incoming,
) -> Response<Body> {
    let is_relayed = parts.headers.remove(RELAYED).is_some();
    let table = gateway.table.load_full();
    if is_relayed
        && let Some(refusal) =
            relay::refuse_if_outdated(&mut trace, &mut parts.headers, table.version())
    {
        return refusal;
    }
    let (route, customer) = match match_route(&table, &parts, &head) {
        Ok(matched) => matched,
        Err(error) => return trace.respond(&error),
    };
    trace.route.clone_from(&route.name);
    if let Some(customer) = &customer {
        trace.customer.clone_from(&customer.name);
    }
    // Callers name the parts, so each customer has names of its own.
    head.parts.iter_mut().for_each(|part| *part = part.of_customer(&trace.customer));
    trace.parts.clone_from(&head.parts);
    let owner = Owner::named(&trace.customer);
    let timeout = head.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    if let Some(error) = table.bounds().and_then(|bounds| check_head(&parts, bounds)) {
        return close(&parts, trace.respond(&error));
    }
    let mut charge = match gateway.intake.admit(owner, timeout, &parts).await {
        Ok(charge) => charge,
        Err(full) => return close(&parts, trace.respond(&no_room(full))),
    };
    let body = match read_body(body, &table, timeout, &mut charge).await {
        Ok(body) => body,
        Err(error) => return close(&parts, trace.respond(&error)),
    };
    trace.charge = Some(charge);
    let content = content(&parts, &head, customer.as_deref(), &body);
    trace.content = Some(content);
    if let Some(error) = quarantined(&gateway, content, &head.parts) {
        return trace.respond(&error);
    }
    let deadline = trace.started + route.timeout;
    let kind = route.kind;
    let exclusions = Exclusions::default();
    let matched = Matched {
        gateway,
        trace,
        parts,
        body,
        head,
        route,
        customer,
        content,
        is_relayed,
        has_arrived: false,
        deadline,
        exclusions,
        trial: None,
        place: None,
    };
    // On the heap, so that requests whose body is arriving do not hold the state of what follows.
    if must_relay(&matched) {
        return Box::pin(relay::serve(matched)).await;
    }
    match kind {
        Kind::Safe | Kind::Unsafe => Box::pin(plain::serve(matched)).await,
        Kind::Stream => Box::pin(stream::serve(matched)).await,
    }
}

/// Returns the identifier of the content of a request: its caller, its target, its prompt and its
/// body. Callers without a credential are not told apart.
fn content(parts: &Parts, head: &RequestHead, customer: Option<&Customer>, body: &[u8]) -> Content {
    let customer = customer.map_or("", |customer| customer.name.as_str());
    // Without customers, the credential is all that tells callers apart.
    let credential = head.credential.as_deref().filter(|_| customer.is_empty());
    let host = parts.headers.get(header::HOST).map_or(&[][..], HeaderValue::as_bytes);
    let target = parts.uri.path_and_query().map_or("", |target| target.as_str());
    let caller = [customer.as_bytes(), credential.unwrap_or_default().as_bytes()];
    let pieces: [&[u8]; 5] = [
        parts.method.as_str().as_bytes(),
        host,
        target.as_bytes(),
        &head.prompt.map_or(0, |prompt| prompt.0).to_le_bytes(),
        body,
    ];
    Content::of_caller(&caller, &pieces)
}

/// Returns the refusal of a request that crashes upstreams, or of a prompt that crashes engines.
pub(crate) fn quarantined<P>(
    gateway: &Gateway<P>,
    request: Content,
    parts: &[Part],
) -> Option<ErrorResponse> {
    let now = gateway.now();
    if let Some(left) = gateway.crash_watch.check_request(now, request) {
        return Some(refusal(&Held { request, left }));
    }
    quarantined_prompt(gateway, parts)
}

/// Returns the refusal of a prompt that crashes engines.
pub(crate) fn quarantined_prompt<P>(gateway: &Gateway<P>, parts: &[Part]) -> Option<ErrorResponse> {
    let now = gateway.now();
    let Hold { parts, left } = gateway.crash_watch.check(now, parts)?;
    let detail = format!("prompts with {} crash engines", parts_text(&parts));
    Some(ErrorResponse::not_run("quarantined", detail, left))
}

type RouteMatch = (Arc<Route>, Option<Arc<Customer>>);

fn match_route(
    table: &Table,
    parts: &Parts,
    head: &RequestHead,
) -> Result<RouteMatch, ErrorResponse> {
    if table.version() == 0 {
        let detail = "no configuration is known yet";
        return Err(ErrorResponse::not_run("not configured", detail, UNCONFIGURED_RETRY_AFTER));
    }
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let no_match = |error: NoMatch| {
        let (status, cause) = match error {
            NoMatch::NoRoute => (StatusCode::NOT_FOUND, "no route"),
            NoMatch::Credential => (StatusCode::UNAUTHORIZED, "no customer"),
        };
        ErrorResponse::rejected(status, cause, format!("{error}: {host}{}", parts.uri.path()))
    };
    let route = table.find(host, parts.uri.path()).map_err(no_match)?;
    let customer = table.customer(route, head.credential.as_deref()).map_err(no_match)?;
    Ok((route.clone(), customer.cloned()))
}

async fn read_body(
    body: Incoming,
    table: &Table,
    timeout: Duration,
    charge: &mut Charge,
) -> Result<Bytes, ErrorResponse> {
    let max_bytes = table.bounds().map_or(u64::MAX, |bounds| bounds.body_bytes);
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    receive::request_body(body, max_bytes, timeout, charge).await.map_err(|fault| {
        let (status, cause) = match fault {
            BodyError::Full { full } => return no_room(full),
            BodyError::Oversized { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "oversized"),
            BodyError::Malformed { .. } => (StatusCode::BAD_REQUEST, "malformed"),
            BodyError::Late { .. } => (StatusCode::REQUEST_TIMEOUT, "slow body"),
        };
        ErrorResponse::rejected(status, cause, fault.to_string())
    })
}

fn check_head(parts: &Parts, bounds: &Bounds) -> Option<ErrorResponse> {
    (head_bytes(parts) > bounds.header_bytes as usize).then(|| {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let detail = format!("the head is larger than {} bytes", bounds.header_bytes);
        ErrorResponse::rejected(status, "oversized head", detail)
    })
}

fn no_room(full: Full) -> ErrorResponse {
    ErrorResponse::not_run("no memory", full.to_string(), full.retry_after)
}

/// Closes the connection of a request whose body was not read, so that the rest of it is not taken
/// for another request.
fn close(parts: &Parts, mut response: Response<Body>) -> Response<Body> {
    if parts.version < Version::HTTP_2 {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl<P> Matched<P> {
    /// Returns the memory of an answer to the request, and the caller that reads it.
    pub(crate) fn answer_charge(&self) -> (Charge, Reader) {
        let owner = Owner::named(&self.trace.customer);
        let time = self.deadline.since(self.gateway.now());
        let reader = self.parts.extensions.get::<Reader>().cloned();
        let reader = reader.unwrap_or_else(|| Reader::new(CancellationToken::new()));
        (self.gateway.intake.enter(owner, time), reader)
    }
}
