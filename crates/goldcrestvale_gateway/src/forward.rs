//! The way of a request: read, matched to a route and a customer, sent on.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use goldcrestvale_base::time::Instant;
use goldcrestvale_entry::receive::{self, Fault};
use goldcrestvale_route::forward::{Customer, Kind, Refusal as NoPlace, Route, Table};
use http::{HeaderValue, Request, Response, StatusCode, header, request::Parts};
use hyper::body::Incoming;

use crate::{
    body::Body,
    error_response::Refusal,
    gateway::Gateway,
    plain,
    port::{Port, RequestHead},
    stream,
    trace::Trace,
};

/// When a caller may come back that came before the configuration is known, in which time an
/// instance reads it.
const BACK_UNCONFIGURED: Duration = Duration::from_millis(400);

/// A request that has a place to go.
pub(crate) struct Matched<P> {
    pub(crate) gateway: Arc<Gateway<P>>,
    pub(crate) trace: Trace<P>,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) ask: RequestHead,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<Customer>>,
    /// When the final answer is due.
    pub(crate) due: Instant,
}

impl<P> Matched<P> {
    /// Returns how long the caller still waits, as upstreams are told.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        let route = self.due.since(now);
        match self.ask.timeout {
            Some(timeout) => (self.trace.started + timeout).since(now).min(route),
            None => route,
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
    let ask = gateway.port.read_request(&parts.headers);
    let trace = Trace::start(gateway.clone(), ask.id.as_ref());
    let is_leaving = gateway.is_leaving();
    let mut response = answer(gateway, trace, ask, parts, body).await;
    if is_leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer<P: Port>(
    gateway: Arc<Gateway<P>>,
    mut trace: Trace<P>,
    ask: RequestHead,
    parts: Parts,
    body: Incoming,
) -> Response<Body> {
    let table = gateway.table.load_full();
    let (route, customer) = match place(&table, &parts, &ask) {
        Ok(place) => place,
        Err(refusal) => return trace.refuse(&refusal),
    };
    trace.route.clone_from(&route.name);
    if let Some(customer) = &customer {
        trace.customer.clone_from(&customer.name);
    }
    let body = match read(body, &table).await {
        Ok(body) => body,
        Err(refusal) => return trace.refuse(&refusal),
    };
    let due = trace.started + route.timeout;
    let kind = route.kind;
    let matched = Matched { gateway, trace, parts, body, ask, route, customer, due };
    match kind {
        Kind::Safe | Kind::Unsafe => plain::serve(matched).await,
        Kind::Stream => stream::serve(matched).await,
    }
}

type Place = (Arc<Route>, Option<Arc<Customer>>);

fn place(table: &Table, parts: &Parts, ask: &RequestHead) -> Result<Place, Refusal> {
    if table.version() == 0 {
        let detail = "no configuration is known yet";
        return Err(Refusal::not_run("not configured", detail, BACK_UNCONFIGURED));
    }
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let no_place = |refusal: NoPlace| {
        let (status, cause) = match refusal {
            NoPlace::NoRoute => (StatusCode::NOT_FOUND, "no route"),
            NoPlace::Credential => (StatusCode::UNAUTHORIZED, "no customer"),
        };
        Refusal::rejected(status, cause, format!("{refusal}: {host}{}", parts.uri.path()))
    };
    let route = table.find(host, parts.uri.path()).map_err(no_place)?;
    let customer = table.customer(route, ask.credential.as_deref()).map_err(no_place)?;
    Ok((route.clone(), customer.cloned()))
}

async fn read(body: Incoming, table: &Table) -> Result<Bytes, Refusal> {
    let most = table.bounds().map_or(u64::MAX, |bounds| bounds.body_bytes);
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    receive::collect(body, most).await.map_err(|fault| {
        let (status, cause) = match fault {
            Fault::Oversized { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "oversized"),
            Fault::Malformed { .. } => (StatusCode::BAD_REQUEST, "malformed"),
        };
        Refusal::rejected(status, cause, fault.to_string())
    })
}
