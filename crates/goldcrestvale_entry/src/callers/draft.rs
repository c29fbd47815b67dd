//! Drafts of a model, as one answer or streamed.

mod answer;
mod call;
mod driver;
mod request;

use std::sync::Arc;

use goldcrestvale_base::id::Request as RequestId;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use super::{
    admit::{self, Requirements},
    auth::Caller,
    sse,
    trace::Trace,
};
use crate::{
    body::{self, Body},
    gate::RequestGuard,
    node::Node,
    refusal::Result,
};
use answer::{Answer, End};
use driver::{Driver, Next};
use request::DraftRequest;

pub(super) async fn serve(
    node: Arc<Node>,
    id: RequestId,
    caller: Caller,
    request: Request<Incoming>,
    trace: &mut Trace,
    mut guard: RequestGuard,
) -> Result<Response<Body>> {
    let (head, body) = request.into_parts();
    let body = super::read_body(&node, &caller, &head, body, &mut guard).await?;
    let draft_request = DraftRequest::parse(&body, &caller, &node)?;
    let deadline = trace.started() + draft_request.timeout;
    let requirements =
        Requirements { priority: draft_request.priority, deadline, cost: draft_request.cost() };
    guard.attach_slot(admit::enter(&node, &node.drafts, &caller, requirements).await?);
    let driver = Driver::plan(node.clone(), id, draft_request, deadline)?;
    if let Some(first) = driver.first_upstream() {
        trace.set_upstream(first, 1);
    }
    if driver.request().stream {
        return Ok(stream(driver, trace.hand_over(), guard));
    }
    Box::pin(complete(driver)).await
}

async fn complete(mut driver: Driver) -> Result<Response<Body>> {
    let summary = loop {
        if let Next::End(summary) = driver.advance().await? {
            break summary;
        }
    };
    let answer = Answer::new(&driver, summary);
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::new(body::full(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

fn stream(mut driver: Driver, mut trace: Trace, guard: RequestGuard) -> Response<Body> {
    let (sender, body) = body::stream();
    tokio::spawn(async move {
        let _guard = guard;
        let last = loop {
            let next = tokio::select! {
                next = driver.advance() => next,
                // Dropping the driver cancels the draft on every stage.
                () = sender.closed() => return,
            };
            match next {
                Ok(Next::Token(token)) => {
                    let event = sse::event("token", Some(token.position), &token);
                    if sender.send(event).await.is_err() {
                        return;
                    }
                }
                Ok(Next::End(end)) => break sse::event("end", None, &End::new(&driver, end)),
                Err(refusal) => {
                    trace.record_refusal(&refusal);
                    break sse::event("error", None, &refusal.problem(driver.id()));
                }
            }
        };
        if sender.send(last).await.is_ok() {
            trace.finish(StatusCode::OK);
        }
    });
    let mut response = Response::new(body);
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, event_stream);
    response.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
