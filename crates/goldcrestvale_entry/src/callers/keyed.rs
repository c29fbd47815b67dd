//! Calls with an idempotency key: claimed in the log, dispatched once, answered from one result.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{
    exchange::{Exchange, Unsent},
    id::{Customer, Digest, Key, Service, Upstream},
    verdict::Verdict,
};
use goldcrestvale_ledger::{
    claim::{self, Claim, Lost, Owner, OwnerAnswer, Standing, Won},
    coordinator,
};
use goldcrestvale_peer::events::{AnswerState, StoredResult};
use goldcrestvale_route::retry::Attempts;
use goldcrestvale_upstream::service::{Answer, Call};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use opentelemetry::KeyValue;

use super::{
    service::{MOST_TRIES, Ready, choose, respond, verdict_of},
    trace::Trace,
};
use crate::{
    body::Body,
    claims::{Completion, DispatchPermit, Reply},
    gate::RequestGuard,
    node::Node,
    refusal::{Cause, Refusal, Result},
    table::Row,
};

/// Pause between two asks of an owner whose call is under way.
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// What a claim is about.
#[derive(Debug, Clone)]
pub(super) struct Keyed {
    pub(super) key: Key,
    pub(super) customer: Customer,
    pub(super) service: Service,
}

/// Claims a call and sends it, or answers it with the result of the call that holds its key.
pub(super) async fn serve(
    node: Arc<Node>,
    keyed: Keyed,
    ready: Ready,
    trace: &mut Trace,
    pass: RequestGuard,
) -> Result<Response<Body>> {
    let digest = digest_of(&ready.call);
    let key = keyed.key;
    let call = coordinator::Call {
        ticket: node.claims.next_ticket(),
        key,
        customer: keyed.customer,
        service: keyed.service,
        digest,
        deadline: ready.until,
    };
    match node.claims.decide(call).await {
        Some(Reply::Dispatch(right)) => dispatch(node, right, ready, trace, pass).await,
        Some(Reply::Refuse(refused)) => Err(refusal(&refused)),
        Some(Reply::Replay { claim, outcome }) => replay(&node, claim, &outcome),
        Some(Reply::QueryOwner { claim, owner, standing }) => {
            ask(&node, claim, &owner, standing, digest, &ready).await
        }
        None => Err(Refusal::unsent(Cause::Stopping, "the claim streams are not read any more")),
    }
}

fn digest_of(call: &Call) -> Digest {
    let mut text = format!("{} {}\n", call.method, call.path).into_bytes();
    text.extend_from_slice(&call.body);
    Digest::of(&text)
}

/// Sends the call in a task of its own, so that it ends as it would if its caller goes away.
async fn dispatch(
    node: Arc<Node>,
    right: DispatchPermit,
    ready: Ready,
    trace: &mut Trace,
    pass: RequestGuard,
) -> Result<Response<Body>> {
    let Some((claim, end)) = right.take() else {
        return Err(Refusal::new(Verdict::MayHaveRun, Cause::Internal, "the claim was taken"));
    };
    let sending = async move {
        let _pass = pass;
        send(node, claim, end, ready).await
    };
    match tokio::spawn(sending).await {
        Ok(Sent { upstream, tries, result }) => {
            if let Some(upstream) = &upstream {
                trace.set_upstream(upstream, tries);
            }
            result.map(|answer| respond(&answer))
        }
        Err(e) => Err(Refusal::new(Verdict::MayHaveRun, Cause::Internal, e.to_string())),
    }
}

/// How a call ended.
struct Sent {
    upstream: Option<Upstream>,
    tries: u32,
    result: Result<Arc<Answer>>,
}

/// Sends a call, to another instance as long as nothing was sent.
async fn send(node: Arc<Node>, claim: Claim<Won>, end: Completion, ready: Ready) -> Sent {
    let mut series = Attempts::new(ready.until, MOST_TRIES);
    let mut claim = claim;
    let refusal = loop {
        let row = match choose(&node, &ready.pool, series.tried()) {
            Ok(row) => row,
            Err(refusal) => break refusal,
        };
        series.start(&row.name, &node.retries);
        let (lent, exchange) = claim.delegate();
        let failure = match try_at(&node, &row, &ready, exchange).await {
            Ok(answer) => return ended(&series, Ok(finish(&node, lent.dispatched(), end, answer))),
            Err(failure) => failure,
        };
        let verdict = failure.verdict();
        let Verdict::NotRun(unsent) = verdict else {
            end.lose(lent.dispatched().lose());
            let refusal = Refusal::new(verdict, Cause::Upstream, failure.to_string());
            return ended(&series, Err(refusal));
        };
        claim = lent.recover(unsent);
        if let Err(no) = series.retry(node.clock.now(), verdict, &node.retries) {
            let detail = format!("{failure}; not tried again: {no}");
            break Refusal::new(verdict, Cause::Upstream, detail)
                .retry_after(node.settings.platform.list_interval);
        }
        node.metrics.retries.add(1, &[KeyValue::new("kind", "service")]);
    };
    end.give_back(claim);
    ended(&series, Err(refusal))
}

async fn try_at(
    node: &Node,
    row: &Row,
    ready: &Ready,
    exchange: Exchange<Unsent>,
) -> goldcrestvale_upstream::Result<Answer> {
    let limit = ready.until.since(node.clock.now());
    let _guard = row.enter();
    node.services.call(row.address, ready.call.clone(), exchange, limit).await
}

fn ended(series: &Attempts, result: Result<Arc<Answer>>) -> Sent {
    let tries = series.tried();
    Sent { upstream: tries.last().cloned(), tries: tries.len() as u32, result }
}

/// Keeps a whole answer for repeated calls and ends the claim.
fn finish(
    node: &Node,
    claim: Claim<claim::Dispatched>,
    end: Completion,
    answer: Answer,
) -> Arc<Answer> {
    let answer = Arc::new(answer);
    if verdict_of(&answer) == Verdict::Ran {
        node.claims.answers().insert(claim.key(), answer.clone(), node.clock.now());
        end.settle(claim.settle(answer.status.as_u16()));
    } else {
        end.lose(claim.lose());
    }
    answer
}

/// Answers with what another call of the key at this instance came to.
fn replay(node: &Node, claim: Claim<Lost>, outcome: &OwnerAnswer) -> Result<Response<Body>> {
    let key = claim.key();
    match (outcome, node.claims.answers().get(&key)) {
        (OwnerAnswer::Ran, Some(answer)) => Ok(respond(&answer)),
        _ => Err(held(node, claim.end(outcome))),
    }
}

/// Asks the owner of the key until it tells the outcome or the call's time is over.
async fn ask(
    node: &Node,
    claim: Claim<Lost>,
    owner: &Owner,
    standing: Standing,
    digest: Digest,
    ready: &Ready,
) -> Result<Response<Body>> {
    let Some(peers) = node.peers.handle() else {
        return Err(held(node, claim.end(&silent(standing))));
    };
    loop {
        let left = ready.until.since(node.clock.now());
        let asked = peers.query_result(owner.incarnation, claim.key(), digest);
        let Ok(Ok(stored)) = tokio::time::timeout(left, asked).await else {
            return Err(held(node, claim.end(&silent(standing))));
        };
        match stored.state {
            AnswerState::Settled => return passed_on(stored),
            AnswerState::Running if left > ASK_PAUSE => tokio::time::sleep(ASK_PAUSE).await,
            AnswerState::Running => return Err(held(node, claim.end(&OwnerAnswer::MayHaveRun))),
            AnswerState::TooLong => return Err(held(node, claim.end(&OwnerAnswer::Ran))),
            AnswerState::Abandoned => return Err(held(node, claim.end(&OwnerAnswer::GivenUp))),
            AnswerState::Unknown | AnswerState::Conflict => {
                return Err(held(node, claim.end(&silent(standing))));
            }
        }
    }
}

/// Returns what the log alone tells of a call.
fn silent(standing: Standing) -> OwnerAnswer {
    match standing {
        Standing::Settled(_) => OwnerAnswer::Ran,
        Standing::Claimed => OwnerAnswer::Silent,
    }
}

fn passed_on(stored: StoredResult) -> Result<Response<Body>> {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let header = |header: &goldcrestvale_peer::events::Header| {
        let name = header.name.parse::<HeaderName>().ok()?;
        Some((name, HeaderValue::from_bytes(&header.value).ok()?))
    };
    let headers: HeaderMap = stored.headers.iter().filter_map(header).collect();
    Ok(respond(&Answer { status, headers, body: stored.body }))
}

/// Refuses a call whose key another call holds.
fn held(node: &Node, verdict: Verdict) -> Refusal {
    let detail = match verdict {
        Verdict::Ran => "the call of this key ran; its answer is not kept any more",
        Verdict::MayHaveRun => "another call of this key holds it; ask the service for its outcome",
        Verdict::NotRun(_) => "another call of this key was given up; call again",
    };
    let refusal = Refusal::new(verdict, Cause::KeyClaimed, detail);
    match verdict {
        Verdict::Ran => refusal,
        _ => refusal.retry_after(node.settings.platform.timeout),
    }
}

/// Returns the refusal that the desk decided.
fn refusal(refused: &coordinator::Refused) -> Refusal {
    let (cause, detail) = describe(refused.cause);
    let only_this = refused.scope == coordinator::Scope::Call && refused.verdict.is_not_run();
    let detail = match only_this {
        true => format!("{detail}; this does not tell what became of an earlier call of the key"),
        false => detail.to_owned(),
    };
    let refusal = Refusal::new(refused.verdict, cause, detail);
    match refused.retry_after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    }
}

fn describe(cause: coordinator::Cause) -> (Cause, &'static str) {
    use claim::Refusal as Key;
    match cause {
        coordinator::Cause::Key(Key::Malformed) => {
            (Cause::KeyInvalid, "the key is not a version 7 UUID")
        }
        coordinator::Cause::Key(Key::TooOld) => {
            (Cause::KeyInvalid, "the key is older than the window")
        }
        coordinator::Cause::Key(Key::TooNew) => {
            (Cause::KeyInvalid, "the key was issued in the future")
        }
        coordinator::Cause::Key(Key::Unproven) => {
            (Cause::Starting, "this instance does not know yet whether the key was used")
        }
        coordinator::Cause::Key(Key::Mismatch) => {
            (Cause::KeyReused, "the key was used for another request")
        }
        coordinator::Cause::LogOut => (Cause::LogOut, "the platform log cannot be reached"),
        coordinator::Cause::LogReset => {
            (Cause::LogOut, "the platform log went back to an older state")
        }
        coordinator::Cause::Deadline => (Cause::Deadline, "the log did not decide in time"),
        coordinator::Cause::Busy => (Cause::Busy, "too many calls wait for the log"),
        coordinator::Cause::Draining => (Cause::Stopping, "the instance is stopping"),
        coordinator::Cause::GivenUp => {
            (Cause::KeyClaimed, "the call was given up before it was sent")
        }
        coordinator::Cause::HeldElsewhere => {
            (Cause::KeyClaimed, "another call of this key holds it")
        }
    }
}
