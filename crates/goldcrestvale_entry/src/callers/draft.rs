//! Drafts by a model, plain and streamed.

mod answer;
mod call;
mod driver;
mod request;

use std::sync::Arc;

use goldcrestvale_base::id::Request as RequestId;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use super::{
    admit::{self, Need},
    auth::Caller,
    sse,
    trace::Trace,
};
use crate::{
    body::{self, Body},
    gate::RequestGuard,
    node::Node,
    receive,
    refusal::Result,
};
use answer::{Answer, End};
use driver::{Next, Relay};
use request::Ask;

pub(super) async fn serve(
    node: Arc<Node>,
    id: RequestId,
    caller: Caller,
    request: Request<Incoming>,
    trace: &mut Trace,
    mut pass: RequestGuard,
) -> Result<Response<Body>> {
    let limits = &node.settings.callers;
    let body =
        receive::read_body(request.into_body(), limits.body_bytes, limits.body_timeout).await?;
    let ask = Ask::parse(&body, &caller, &node)?;
    let until = trace.started() + ask.deadline;
    let need = Need { priority: ask.priority, until, cost: ask.cost() };
    pass.attach_slot(admit::enter(&node, &node.drafts, &caller, need).await?);
    let relay = Relay::plan(node.clone(), id, ask, until)?;
    if let Some(first) = relay.first_upstream() {
        trace.set_upstream(first, 1);
    }
    if relay.ask().stream {
        return Ok(stream(relay, trace.hand_over(), pass));
    }
    whole(relay).await
}

async fn whole(mut relay: Relay) -> Result<Response<Body>> {
    let whole = loop {
        if let Next::End(whole) = relay.advance().await? {
            break whole;
        }
    };
    let answer = Answer::new(&relay, whole);
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::new(body::full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

fn stream(mut relay: Relay, mut trace: Trace, pass: RequestGuard) -> Response<Body> {
    let (sender, body) = body::stream();
    tokio::spawn(async move {
        let _pass = pass;
        let last = loop {
            let next = tokio::select! {
                next = relay.advance() => next,
                // Dropping the relay cancels the draft on every stage.
                () = sender.closed() => return,
            };
            match next {
                Ok(Next::Piece(piece)) => {
                    let event = sse::event("token", Some(piece.position), &piece);
                    if sender.send(event).await.is_err() {
                        return;
                    }
                }
                Ok(Next::End(whole)) => break sse::event("end", None, &End::new(&relay, whole)),
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
