//! Sends a request to an upstream.

use std::net::SocketAddr;

use bytes::Bytes;
use goldcrestvale_base::exchange::Exchange;
use goldcrestvale_upstream::pool::StreamingReply;
use http::{HeaderValue, Request, StatusCode, Uri, request::Parts};

use crate::{
    gateway::Gateway,
    port::{Dispatch, Headers, ResponseHead},
};

/// The outcome of a send.
#[derive(Debug)]
pub(crate) enum SendOutcome {
    /// The upstream answered.
    Answered(Box<StreamingReply>, ResponseHead),
    /// The upstream stated that the request did not run.
    NotRun(StatusCode, ResponseHead),
    /// No byte was sent.
    Unsent(String),
    /// The request may have run, and its answer is lost.
    Broken(String),
}

/// Sends a request and waits for the head of the answer. The caller sets the timeout.
pub(crate) async fn send<P: Headers>(
    gateway: &Gateway<P>,
    address: SocketAddr,
    parts: &Parts,
    body: Bytes,
    dispatch: &Dispatch<'_>,
    id: Option<&HeaderValue>,
) -> SendOutcome {
    let Some(target) = parts.uri.path_and_query() else {
        return SendOutcome::Unsent("the request has no path".to_owned());
    };
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = Uri::from(target.clone());
    *request.headers_mut() = parts.headers.clone();
    gateway.port.write_dispatch(request.headers_mut(), dispatch);
    let reply = match gateway.pool.open(address, request, Exchange::new()).await {
        Ok(reply) => reply,
        Err(e) if e.verdict().is_not_run() => return SendOutcome::Unsent(e.to_string()),
        Err(e) => return SendOutcome::Broken(e.to_string()),
    };
    let status = reply.head.status;
    let head = gateway.port.read_response(status, &reply.head.headers);
    if head.is_leaving {
        gateway.mark_leaving(dispatch.upstream);
    }
    if let Some(duration) = head.retry_after {
        gateway.pause(dispatch.upstream, duration);
    }
    // A late answer to an earlier request on this connection belongs to another request.
    if id.is_some() && head.id.is_some() && head.id.as_ref() != id {
        return SendOutcome::Broken("the answer names another request".to_owned());
    }
    if head.is_signed || head.is_not_run || head.rate_limit.is_some() {
        gateway.limits.record(dispatch.upstream, head.rate_limit, gateway.now());
    }
    if head.is_not_run {
        return SendOutcome::NotRun(status, head);
    }
    if !head.is_signed {
        return SendOutcome::Broken(format!("the answer with status {status} is not signed"));
    }
    SendOutcome::Answered(Box::new(reply), head)
}
