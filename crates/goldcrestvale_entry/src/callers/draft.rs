//! Drafts by a model, plain and streamed.

mod answer;
mod ask;
mod relay;

use std::sync::Arc;

use goldcrestvale_base::id::Request as RequestId;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use super::{auth::Caller, sse, trace::Trace};
use crate::{
    body::{self, Body},
    gate::Pass,
    node::Node,
    refusal::Result,
};
use answer::{Answer, End};
use ask::Ask;
use relay::Relay;

pub(super) async fn serve(
    node: Arc<Node>,
    id: RequestId,
    caller: Caller,
    request: Request<Incoming>,
    trace: &mut Trace,
    pass: Pass,
) -> Result<Response<Body>> {
    let limits = &node.settings.callers;
    let body = body::read(request.into_body(), limits.body_bytes, limits.body_timeout).await?;
    let ask = Ask::parse(&body, &caller, &node)?;
    let until = trace.started() + ask.deadline;
    let relay = Relay::plan(node.clone(), id, ask, until)?;
    trace.set_upstream(relay.first_upstream(), 1);
    if relay.ask().stream {
        return Ok(stream(relay, trace.hand_over(), pass));
    }
    whole(relay).await
}

async fn whole(mut relay: Relay) -> Result<Response<Body>> {
    while relay.advance().await?.is_some() {}
    let answer = Answer::new(&relay);
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::new(body::full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

fn stream(mut relay: Relay, mut trace: Trace, pass: Pass) -> Response<Body> {
    let (sender, body) = body::stream();
    tokio::spawn(async move {
        let _pass = pass;
        let last = loop {
            match relay.advance().await {
                Ok(Some(piece)) => {
                    let event = sse::event("token", Some(piece.position), &piece);
                    if sender.send(event).await.is_err() {
                        return;
                    }
                }
                Ok(None) => break sse::event("end", None, &End::new(&relay)),
                Err(refusal) => {
                    trace.refuse(&refusal);
                    break sse::event("error", None, &refusal.problem(relay.id()));
                }
            }
        };
        if sender.send(last).await.is_ok() {
            trace.finish(StatusCode::OK);
        }
    });
    let mut response = Response::new(body);
    let events = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, events);
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
