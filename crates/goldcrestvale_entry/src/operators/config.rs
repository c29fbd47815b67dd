//! The operators' requests that read and change the configuration.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{
    id::{Offset, RecordId},
    time::Wall,
    verdict::Verdict,
};
use goldcrestvale_config::{
    change::Change,
    outcome::Outcome,
    record::Kind,
    submission::{Answer, Origin},
};
use goldcrestvale_member::view::State;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_json::{Value, json};

use super::{MAX_BODY_BYTES, json};
use crate::{
    body::Body,
    intake::Owner,
    node::Node,
    receive,
    refusal::{Cause, Refusal, Result},
};

pub(super) async fn serve(
    node: &Arc<Node>,
    path: &[String],
    request: Request<Incoming>,
) -> Result<Response<Body>> {
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    match (request.method(), path.as_slice()) {
        (&Method::POST, ["changes"]) => {
            let id = node.next_record_id();
            change(node, id, Origin::New, node.clock.wall(), request).await
        }
        (&Method::POST, ["changes", id]) => {
            let issued = issued(&request)?;
            let age = node.clock.wall().since(issued);
            change(node, record_id(id)?, Origin::Repeat { age }, issued, request).await
        }
        (&Method::GET, ["changes", id]) => Ok(outcome(node, record_id(id)?)),
        (&Method::GET, ["status"]) => status(node, requested_version(&request)?).await,
        (&Method::GET, [kind]) => Ok(list(node, kind)),
        (&Method::GET, [kind, name]) => get(node, kind, name),
        _ => Err(Refusal::unsent(Cause::Unknown, "no such configuration path")),
    }
}

async fn change(
    node: &Arc<Node>,
    id: RecordId,
    origin: Origin,
    issued: Wall,
    request: Request<Incoming>,
) -> Result<Response<Body>> {
    let limit = node.settings.callers.body_timeout;
    let mut charge = node.intake.enter(Owner::named("operators"), limit);
    let text = receive::read_body(request.into_body(), MAX_BODY_BYTES, limit, &mut charge).await?;
    let malformed = |e| Refusal::unsent(Cause::Malformed, format!("the change: {e}"));
    let change: Change = serde_json::from_slice(&text).map_err(malformed)?;
    let answer = node.configuration.submit(node, id, &change, origin).await;
    Ok(answer_of(id, Some(issued), answer, node.settings.platform.timeout))
}

fn answer_of(
    id: RecordId,
    issued: Option<Wall>,
    answer: Answer,
    retry_after: Duration,
) -> Response<Body> {
    let (status, verdict) = match &answer {
        Answer::Accepted { .. } => (StatusCode::OK, None),
        Answer::Rejected { .. } => (StatusCode::UNPROCESSABLE_ENTITY, None),
        Answer::Conflict { .. } => (StatusCode::CONFLICT, None),
        Answer::Unknown { .. } => (StatusCode::ACCEPTED, Some(Verdict::MayHaveRun.as_str())),
        Answer::NotTaken { .. } => (StatusCode::SERVICE_UNAVAILABLE, Some("not-run")),
    };
    let outcome = match &answer {
        Answer::Unknown { .. } => json!("unknown"),
        other => json!(other),
    };
    let body = json!({ "id": id, "issued": issued, "outcome": outcome, "verdict": verdict });
    let mut response = json(status, &body);
    if let Answer::NotTaken { .. } = answer {
        let seconds = HeaderValue::from(retry_after.as_secs().max(1));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn outcome(node: &Node, id: RecordId) -> Response<Body> {
    let outcome = node.configuration.read(|fold| fold.outcome(&id).cloned());
    let answer = outcome.map_or(Answer::Unknown { id }, |outcome: Outcome| outcome.into());
    answer_of(id, None, answer, Duration::ZERO)
}

fn record_id(text: &str) -> Result<RecordId> {
    text.parse().map_err(|e| Refusal::unsent(Cause::Malformed, format!("{e}")))
}

/// Returns the time at which the id of a retried change was issued.
fn issued(request: &Request<Incoming>) -> Result<Wall> {
    number(request, "issued")?.map(Wall).ok_or_else(|| {
        Refusal::unsent(Cause::Malformed, "?issued=MS of the first answer is missing")
    })
}

fn requested_version(request: &Request<Incoming>) -> Result<Option<Offset>> {
    Ok(number(request, "version")?.map(Offset))
}

fn number(request: &Request<Incoming>, name: &str) -> Result<Option<u64>> {
    let query = request.uri().query().unwrap_or_default();
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = pairs.find(|(key, _)| *key == name) else { return Ok(None) };
    let malformed = |e| Refusal::unsent(Cause::Malformed, format!("{name}={value}: {e}"));
    value.parse().map(Some).map_err(malformed)
}

/// Returns the version of this instance, the versions that the other instances have reported, and
/// whether a change is in force on all live instances.
async fn status(node: &Node, requested: Option<Offset>) -> Result<Response<Body>> {
    let status = node.configuration.status();
    let mut instances = Vec::new();
    let mut in_force = requested.is_none_or(|requested| requested < status.offer.version);
    if let Some(handle) = node.peers.handle() {
        let dump =
            handle.dump().await.map_err(|e| Refusal::unsent(Cause::Internal, e.to_string()))?;
        for peer in dump.member.view().peers() {
            let version = peer.status.config.map(|config| config.version);
            instances.push(json!({
                "instance": peer.seed.instance, "version": version, "state": peer.state,
            }));
            let is_behind = requested
                .is_some_and(|requested| version.is_none_or(|version| version <= requested));
            in_force &= peer.state != State::Live || !is_behind;
        }
    }
    let body = json!({
        "version": status.offer.version,
        "digest": status.offer.digest,
        "log_up": status.log_up,
        "instances": instances,
        "in_force": requested.map(|_| in_force),
    });
    Ok(json(StatusCode::OK, &body))
}

fn list(node: &Node, kind: &str) -> Response<Body> {
    let config = node.config.load();
    let names: Vec<String> = match Kind::from(kind.to_owned()) {
        Kind::Customer => names(config.customers.keys()),
        Kind::Service => names(config.services.keys()),
        Kind::Model => names(config.models.keys()),
        Kind::Placement => names(config.placements.keys()),
        Kind::Trait => names(config.traits.keys()),
        Kind::Binding => names(config.bindings.keys()),
        Kind::Limit => names(config.limits.keys()),
        Kind::Other(_) => Vec::new(),
    };
    json(StatusCode::OK, &json!({ "kind": kind, "names": names }))
}

fn names<'a, T: ToString + 'a>(keys: impl Iterator<Item = &'a T>) -> Vec<String> {
    keys.map(ToString::to_string).collect()
}

fn get(node: &Node, kind: &str, name: &str) -> Result<Response<Body>> {
    let kind = Kind::from(kind.to_owned());
    let (text, version) =
        node.configuration.read(|fold| (fold.body_json(&kind, name), fold.head(&kind, name)));
    let text = text.ok_or_else(|| Refusal::unsent(Cause::Unknown, format!("no {kind} {name}")))?;
    let body: Value = serde_json::from_str(&text)
        .map_err(|e| Refusal::unsent(Cause::Internal, format!("{kind} {name}: {e}")))?;
    let entity = json!({ "kind": kind, "name": name, "version": version, "body": body });
    Ok(json(StatusCode::OK, &entity))
}
