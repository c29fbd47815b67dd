//! Passes requests on to a peer while this instance cannot reach the upstreams.
//!
//! The peer treats them as its own, with the time that is left, and answers the caller through this
//! instance. A request is passed on once: the peer does not pass it on again, and it goes to a second
//! peer only if nothing of it was sent.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::stream::unfold;
use goldcrestvale_base::exchange::Exchange;
use goldcrestvale_upstream::pool::{PooledConnection, StreamingReply};
use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, Uri, response::Parts,
};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::{
    body::{Body, Broken},
    error_response::ErrorResponse,
    forward::Matched,
    gateway::Gateway,
    port::Port,
    trace::Trace,
};

/// Marks a request that a peer has passed on.
pub(crate) const RELAYED: HeaderName = HeaderName::from_static("goldcrestvale-relayed");

/// Lowest version of the configuration that may decide a request which a peer has passed on.
pub(crate) const VERSION: HeaderName = HeaderName::from_static("goldcrestvale-version");

/// Marks the refusal of a request because the peer holds an older version only.
const OUTDATED: HeaderName = HeaderName::from_static("goldcrestvale-outdated");

/// Maximum number of peers that one request is offered to.
const MAX_PEERS: usize = 2;

/// Time after the deadline in which the peer's own answer to a late request arrives.
const GRACE: Duration = Duration::from_millis(150);

/// When a caller may retry whose request found no peer.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns whether a request that this instance cannot serve may be passed on to a peer. One that an
/// upstream has received is not: a second arrival would be a retry.
pub(crate) fn may_relay<P>(matched: &Matched<P>) -> bool {
    let gateway = &matched.gateway;
    !matched.is_relayed
        && !matched.has_arrived
        && gateway.were_links_lost()
        && gateway.peers.has_relays()
}

/// Returns whether requests are passed on to peers without an attempt of this instance.
pub(crate) fn must_relay<P>(matched: &Matched<P>) -> bool {
    let gateway = &matched.gateway;
    !matched.is_relayed && gateway.are_links_lost() && gateway.peers.has_relays()
}

/// Returns the refusal of a request that a peer with a newer version of the configuration has passed
/// on; the peer offers it to another one.
pub(crate) fn refuse_if_outdated<P: Port>(
    trace: &mut Trace<P>,
    headers: &mut HeaderMap,
    held: u64,
) -> Option<Response<Body>> {
    let required = headers.remove(VERSION)?;
    let required: u64 = required.to_str().ok()?.parse().ok()?;
    (required > held).then(|| {
        let detail = format!("version {held} is in force, the peer has {required}");
        let error = ErrorResponse::not_run("older configuration", detail, RETRY_AFTER);
        let mut response = trace.respond(&error);
        response.headers_mut().insert(OUTDATED, HeaderValue::from_static("1"));
        response
    })
}

/// Passes a request on to a peer that reaches the upstreams, first one of the own failure domain.
pub(crate) async fn serve<P: Port>(mut matched: Matched<P>) -> Response<Body> {
    let gateway = matched.gateway.clone();
    let mut detail = "no peer reaches the upstreams".to_owned();
    for peer in gateway.peers.relays(gateway.random_unit()).into_iter().take(MAX_PEERS) {
        let now = gateway.now();
        if matched.deadline <= now || matched.time_left(now).is_zero() {
            break;
        }
        matched.trace.relay = Some(peer);
        let request = match request(&matched, peer, matched.time_left(now)) {
            Ok(request) => request,
            Err(why) => {
                detail = why;
                break;
            }
        };
        let sent = gateway.relay_pool.open(peer, request, Exchange::new());
        match tokio::time::timeout(matched.deadline.since(now) + GRACE, sent).await {
            Ok(Ok(reply)) if is_outdated(&gateway, &reply) => {
                detail = "the peers hold an older configuration".to_owned();
            }
            Ok(Ok(reply)) => return deliver(matched, reply),
            Ok(Err(e)) if e.verdict().is_not_run() => detail = e.to_string(),
            Ok(Err(e)) => {
                let error = ErrorResponse::may_have_run("peer failed", e.to_string());
                return matched.trace.respond(&error);
            }
            Err(_) => {
                return matched.trace.respond(&ErrorResponse::timed_out("no answer of a peer"));
            }
        }
    }
    matched.trace.respond(&ErrorResponse::not_run("no relay", detail, RETRY_AFTER))
}

/// Returns whether an answer is the refusal of a peer that holds an older version only, and not that of
/// an upstream with such a field.
fn is_outdated<P: Port>(gateway: &Gateway<P>, reply: &StreamingReply) -> bool {
    let Parts { status, headers, .. } = &reply.head;
    headers.contains_key(OUTDATED) && !gateway.port.read_response(*status, headers).is_signed
}

fn request<P: Port>(
    matched: &Matched<P>,
    peer: SocketAddr,
    time_left: Duration,
) -> Result<Request<Bytes>, String> {
    let target = matched.parts.uri.path_and_query();
    let target = target.ok_or_else(|| "the request has no path".to_owned())?;
    let mut request = Request::new(matched.body.clone());
    *request.method_mut() = matched.parts.method.clone();
    *request.uri_mut() = Uri::from(target.clone());
    *request.headers_mut() = matched.parts.headers.clone();
    let headers = request.headers_mut();
    matched.gateway.port.write_relay(headers, time_left);
    headers.insert(RELAYED, HeaderValue::from_static("1"));
    headers.insert(VERSION, HeaderValue::from(matched.gateway.table.load().version()));
    // A request of HTTP/2 names its host in its target.
    if !headers.contains_key(http::header::HOST) {
        let host = matched.parts.uri.host().map_or_else(|| peer.to_string(), str::to_owned);
        let host =
            HeaderValue::from_str(&host).map_err(|e| format!("the host is no header: {e}"))?;
        headers.insert(http::header::HOST, host);
    }
    Ok(request)
}

/// The rest of a peer's answer.
struct Answer<P> {
    matched: Matched<P>,
    body: Incoming,
    connection: PooledConnection,
}

fn deliver<P: Port>(mut matched: Matched<P>, reply: StreamingReply) -> Response<Body> {
    let (mut head, body, connection) = reply.into_parts();
    let answer = matched.gateway.port.read_response(head.status, &head.headers);
    // What no upstream has signed is the peer's own, whose rejections are promises. Older builds pass
    // on an upstream's answer with any status.
    if let Err(error) = matched.check_promise(head.status, answer.is_not_run || !answer.is_signed) {
        matched.trace.upstream_status = Some(head.status);
        return matched.trace.respond(&error);
    }
    matched.gateway.port.strip_hop_headers(&mut head.headers);
    matched.trace.begin_answer(head.status);
    let answer = Answer { matched, body, connection };
    let frames = unfold(Some(answer), |answer| async move {
        let (frame, rest) = answer?.next().await?;
        Some((frame.map(Frame::data), rest))
    });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

impl<P: Port> Answer<P> {
    /// Returns the next bytes, and what follows unless the answer has failed; `None` at its end.
    async fn next(mut self) -> Option<(Result<Bytes, Broken>, Option<Self>)> {
        loop {
            let left = self.matched.deadline.since(self.matched.gateway.now()) + GRACE;
            let detail = match tokio::time::timeout(left, self.body.frame()).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => return Some((Ok(data), Some(self))),
                    Err(_) => continue,
                },
                Ok(None) => {
                    self.connection.return_to_pool();
                    self.matched.trace.complete();
                    return None;
                }
                Ok(Some(Err(e))) => format!("the peer broke off: {e}"),
                Err(_) => "the timeout of the route has expired".to_owned(),
            };
            self.matched.trace.end("broken off", StatusCode::OK, detail.as_str());
            return Some((Err(Broken { detail }), None));
        }
    }
}

impl<P> Gateway<P> {
    /// Returns whether this instance cannot reach the upstreams.
    pub(crate) fn are_links_lost(&self) -> bool {
        let known = self.upstream_count();
        self.with_links(|links| links.are_lost(self.now(), known))
    }

    /// Returns whether this instance cannot reach the upstreams, or could not a moment ago.
    pub(crate) fn were_links_lost(&self) -> bool {
        let known = self.upstream_count();
        self.with_links(|links| links.were_lost(self.now(), known))
    }

    /// Returns an upstream to connect to if it is time to find out whether the links are lost, if
    /// possible one that has not failed yet.
    pub(crate) fn due_link_probe(&self) -> Option<SocketAddr> {
        let known = self.upstream_count();
        if !self.with_links(|links| links.is_probe_due(self.now(), known)) {
            return None;
        }
        let addresses: Vec<SocketAddr> =
            self.read_state(|state| state.catalog.addresses().collect());
        let has_failed =
            |address: &&SocketAddr| self.with_links(|links| links.has_failed(**address));
        let (failed, others): (Vec<&SocketAddr>, _) = addresses.iter().partition(has_failed);
        let candidates = if others.is_empty() { failed } else { others };
        let index = (self.random_unit() * candidates.len() as f64) as usize;
        candidates.get(index).map(|address| **address)
    }
}
