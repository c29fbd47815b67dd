//! One send of a request to one upstream.

use std::net::SocketAddr;

use bytes::Bytes;
use goldcrestvale_base::exchange::Exchange;
use goldcrestvale_upstream::pool::StreamingReply;
use http::{HeaderValue, Request, StatusCode, Uri, request::Parts};

use crate::{
    gateway::Gateway,
    port::{Dispatch, Headers, ResponseHead},
};

/// What came of a send.
#[derive(Debug)]
pub(crate) enum Sent {
    /// The upstream answered.
    Answered(Box<StreamingReply>, ResponseHead),
    /// The upstream says that the request did not run.
    NotRun(StatusCode, ResponseHead),
    /// No byte left.
    Unsent(String),
    /// The request may have run, and no answer of it can come any more.
    Broken(String),
}

/// Sends a request and waits for the head of the answer. The caller bounds the time.
pub(crate) async fn send<P: Headers>(
    gateway: &Gateway<P>,
    address: SocketAddr,
    parts: &Parts,
    body: Bytes,
    dispatch: &Dispatch<'_>,
    id: Option<&HeaderValue>,
) -> Sent {
    let Some(target) = parts.uri.path_and_query() else {
        return Sent::Unsent("the request has no path".to_owned());
    };
    let mut request = Request::new(body);
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = Uri::from(target.clone());
    *request.headers_mut() = parts.headers.clone();
    gateway.port.write_dispatch(request.headers_mut(), dispatch);
    let opened = match gateway.pool.open(address, request, Exchange::new()).await {
        Ok(opened) => opened,
        Err(e) if e.verdict().is_not_run() => return Sent::Unsent(e.to_string()),
        Err(e) => return Sent::Broken(e.to_string()),
    };
    let status = opened.head.status;
    let head = gateway.port.read_response(status, &opened.head.headers);
    // An answer that was due on this connection before belongs to another request.
    if id.is_some() && head.id.is_some() && head.id.as_ref() != id {
        return Sent::Broken("the answer names another request".to_owned());
    }
    if head.is_not_run {
        return Sent::NotRun(status, head);
    }
    if !head.is_signed {
        return Sent::Broken(format!("the answer with status {status} is not signed"));
    }
    Sent::Answered(Box::new(opened), head)
}
