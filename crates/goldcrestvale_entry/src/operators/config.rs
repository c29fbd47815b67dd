//! Reading and changing the configuration.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{id::RecordId, verdict::Verdict};
use goldcrestvale_config::{change::Change, outcome::Outcome, record::Kind};
use goldcrestvale_platform::message::Entry;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json, value::to_raw_value};
use tokio::sync::watch;

use super::{BODY_BYTES, json};
use crate::{
    body::{self, Body},
    node::Node,
    refusal::{Cause, Refusal, Result},
    tail,
};

/// How long an operator's change may take to be read back from the log.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// How often an append is sent again, with the same record id, after a lost answer.
const APPEND_ATTEMPTS: u32 = 3;

pub(super) async fn serve(
    node: &Arc<Node>,
    tail: watch::Receiver<tail::State>,
    path: &[String],
    request: Request<Incoming>,
) -> Result<Response<Body>> {
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    match (request.method(), path.as_slice()) {
        (&Method::POST, ["changes"]) => put(node, tail, request).await,
        (&Method::GET, ["changes", id]) => ask(&tail, id),
        (&Method::GET, ["status"]) => Ok(status(&tail)),
        (&Method::GET, [kind]) => Ok(list(node, kind)),
        (&Method::GET, [kind, name]) => get(&tail, kind, name),
        _ => Err(Refusal::early(Cause::Unknown, "no such configuration path")),
    }
}

async fn put(
    node: &Arc<Node>,
    tail: watch::Receiver<tail::State>,
    request: Request<Incoming>,
) -> Result<Response<Body>> {
    let limit = node.settings.callers.body_timeout;
    let text = body::read(request.into_body(), BODY_BYTES, limit).await?;
    let malformed = |e| Refusal::early(Cause::Malformed, format!("the change: {e}"));
    let change: Change = serde_json::from_slice(&text).map_err(malformed)?;
    let data = to_raw_value(&change).map_err(malformed)?;
    let id = node.next_record_id();
    append(node, Entry { id, data }).await?;
    match wait_outcome(tail, id).await {
        Some(outcome) => Ok(answer(id, &outcome)),
        None => Ok(unknown(id)),
    }
}

async fn append(node: &Node, entry: Entry) -> Result<()> {
    let mut may_stand = false;
    let mut last = String::new();
    for _ in 0..APPEND_ATTEMPTS {
        match node.log.append(tail::STREAM, vec![entry.clone()]).await {
            Ok(_) => return Ok(()),
            Err(e) => {
                may_stand |= e.may_have_appended();
                last = e.to_string();
            }
        }
    }
    if may_stand {
        // The outcome is found by reading, or reported as unknown.
        return Ok(());
    }
    Err(Refusal::early(Cause::LogOut, last).retry_after(node.settings.platform.timeout))
}

async fn wait_outcome(mut tail: watch::Receiver<tail::State>, id: RecordId) -> Option<Outcome> {
    let known = tail.wait_for(|state| state.outcome(&id).is_some());
    let state = tokio::time::timeout(CHANGE_TIMEOUT, known).await.ok()?.ok()?;
    state.outcome(&id).cloned()
}

fn answer(id: RecordId, outcome: &Outcome) -> Response<Body> {
    let status = match outcome {
        Outcome::Accepted { .. } => StatusCode::OK,
        Outcome::Rejected { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::Conflict { .. } => StatusCode::CONFLICT,
    };
    json(status, &json!({ "id": id, "outcome": outcome }))
}

fn unknown(id: RecordId) -> Response<Body> {
    let body = json!({ "id": id, "outcome": "unknown", "verdict": Verdict::MayHaveRun });
    json(StatusCode::ACCEPTED, &body)
}

fn ask(tail: &watch::Receiver<tail::State>, id: &str) -> Result<Response<Body>> {
    let id: RecordId = id.parse().map_err(|e| Refusal::early(Cause::Malformed, format!("{e}")))?;
    let state = tail.borrow();
    Ok(state.outcome(&id).map_or_else(|| unknown(id), |outcome| answer(id, outcome)))
}

fn status(tail: &watch::Receiver<tail::State>) -> Response<Body> {
    let state = tail.borrow();
    let body = json!({
        "version": state.fold.version(),
        "digest": state.fold.digest(),
        "log_up": state.log_up,
    });
    json(StatusCode::OK, &body)
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

fn get(tail: &watch::Receiver<tail::State>, kind: &str, name: &str) -> Result<Response<Body>> {
    let kind = Kind::from(kind.to_owned());
    let state = tail.borrow();
    let unknown = || Refusal::early(Cause::Unknown, format!("no {kind} {name}"));
    let text = state.fold.text(&kind, name).ok_or_else(unknown)?;
    let body: Value = serde_json::from_str(&text)
        .map_err(|e| Refusal::early(Cause::Internal, format!("{kind} {name}: {e}")))?;
    let version = state.fold.head(&kind, name);
    Ok(json(
        StatusCode::OK,
        &json!({ "kind": kind, "name": name, "version": version, "body": body }),
    ))
}
