//! Liveness, readiness, metrics and drain.

use goldcrestvale_base::id::Upstream;
use goldcrestvale_member::leaving::Source;
use http::{HeaderValue, Response, StatusCode, header};
use log::info;
use serde_json::json;

use super::json;
use crate::{
    body::{self, Body},
    node::Node,
    phase::Phase,
    refusal::{Cause, Refusal, Result},
};

pub(super) fn live() -> Response<Body> {
    json(StatusCode::OK, &json!({ "live": true }))
}

pub(super) fn ready(node: &Node) -> Response<Body> {
    let ready = node.lifecycle.is_ready();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json(status, &json!({ "ready": ready, "phase": node.lifecycle.phase() }))
}

pub(super) fn metrics(node: &Node) -> Result<Response<Body>> {
    let text =
        node.metrics.scrape().map_err(|e| Refusal::unsent(Cause::Internal, e.to_string()))?;
    let mut response = Response::new(body::full(text));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

pub(super) fn drain(node: &Node) -> Response<Body> {
    info!(source = "operator"; "drain requested");
    node.lifecycle.advance(Phase::Leaving);
    node.drain.cancel();
    json(StatusCode::ACCEPTED, &json!({ "phase": node.lifecycle.phase() }))
}

pub(super) async fn drain_upstream(node: &Node, name: &str) -> Result<Response<Body>> {
    let unknown = || Refusal::unsent(Cause::Unknown, format!("no upstream {name}"));
    let name: Upstream = name.parse().map_err(|_| unknown())?;
    if !node.upstreams.load().rows.contains_key(&name) {
        return Err(unknown());
    }
    node.peers
        .mark_leaving(&node.upstreams.load(), &name, Source::Operator, node.clock.wall())
        .await;
    Ok(json(StatusCode::ACCEPTED, &json!({ "upstream": name, "leaving": true })))
}
