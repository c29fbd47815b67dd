//! Calls with an idempotency key: each key is claimed in the log and its call dispatched at most
//! once; retries get the result of that call.

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
use goldcrestvale_route::{promise::is_promise, retry::Attempts};
use goldcrestvale_upstream::{
    Error,
    service::{Answer, Call},
    status::is_final,
};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use opentelemetry::KeyValue;

use super::{
    crash,
    service::{self, MAX_ATTEMPTS, PreparedCall, choose},
    trace::Trace,
};
use crate::{
    body::Body,
    claims::{Completion, DispatchPermit, Reply},
    gate::RequestGuard,
    node::Node,
    refusal::{Cause, Refusal, Result},
    table::Row,
    trial_log::Trial,
};

/// Time between two queries of an owner whose call is in progress.
const QUERY_PAUSE: Duration = Duration::from_millis(50);

/// The key to claim, and the customer and service it is claimed for.
#[derive(Debug, Clone)]
pub(super) struct ClaimRequest {
    pub(super) key: Key,
    pub(super) customer: Customer,
    pub(super) service: Service,
}

/// Claims a call and sends it, or answers it with the result of the call that holds the key.
pub(super) async fn serve(
    node: Arc<Node>,
    claim: ClaimRequest,
    prepared: PreparedCall,
    trace: &mut Trace,
    guard: RequestGuard,
) -> Result<Response<Body>> {
    let digest = digest_of(&prepared.call);
    let key = claim.key;
    let call = coordinator::Call {
        ticket: node.claims.next_ticket(),
        key,
        customer: claim.customer,
        service: claim.service,
        digest,
        deadline: prepared.deadline,
    };
    match node.claims.decide(call).await {
        Some(Reply::Dispatch(permit)) => dispatch(node, permit, prepared, trace, guard).await,
        Some(Reply::Reject(rejection)) => Err(refusal(&rejection)),
        Some(Reply::Replay { claim, outcome }) => replay(&node, claim, &outcome),
        Some(Reply::QueryOwner { claim, owner, standing }) => {
            query_owner(&node, claim, &owner, standing, digest, &prepared).await
        }
        None => Err(Refusal::unsent(Cause::Stopping, "the claim streams are not read any more")),
    }
}

fn digest_of(call: &Call) -> Digest {
    let mut text = format!("{} {}\n", call.method, call.path).into_bytes();
    text.extend_from_slice(&call.body);
    Digest::of(&text)
}

/// Sends the call in a task of its own, so that it continues if its caller disconnects.
async fn dispatch(
    node: Arc<Node>,
    permit: DispatchPermit,
    prepared: PreparedCall,
    trace: &mut Trace,
    guard: RequestGuard,
) -> Result<Response<Body>> {
    let Some((claim, completion)) = permit.take() else {
        return Err(Refusal::new(Verdict::MayHaveRun, Cause::Internal, "the claim was taken"));
    };
    let sending = async move {
        let _guard = guard;
        send(node, claim, completion, prepared).await
    };
    match tokio::spawn(sending).await {
        Ok(CallResult { upstream, attempts, result }) => {
            if let Some(upstream) = &upstream {
                trace.set_upstream(upstream, attempts);
            }
            result.and_then(|answer| forward(&answer))
        }
        Err(e) => Err(Refusal::new(Verdict::MayHaveRun, Cause::Internal, e.to_string())),
    }
}

/// The result of a call and of its last attempt.
struct CallResult {
    upstream: Option<Upstream>,
    attempts: u32,
    result: Result<Arc<Answer>>,
}

/// Sends a call; retries it at another instance as long as nothing was sent.
async fn send(
    node: Arc<Node>,
    claim: Claim<Won>,
    done: Completion,
    prepared: PreparedCall,
) -> CallResult {
    let mut tries = Attempts::new(prepared.deadline, MAX_ATTEMPTS);
    let mut won = claim;
    let mut trial = None;
    let refusal = loop {
        if trial.is_none()
            && let Err(refusal) = crash::check(&node, prepared.content)
        {
            break refusal;
        }
        let row = match choose(&node, &prepared.pool, tries.tried()) {
            Ok(row) => row,
            Err(refusal) => break refusal,
        };
        let send = prepared.send(&node, &row.name, !tries.tried().is_empty());
        if let Err(refusal) = crash::claim(&node, &mut trial, send).await {
            break refusal;
        }
        tries.start(&row.name, &node.retries);
        let spent = trial.take().map(Trial::spend);
        let (claim, exchange) = won.delegate();
        let failure = match attempt(&node, &row, &prepared, exchange).await {
            Ok(reply) => {
                crash::record_answer(&node, prepared.content);
                return result(&tries, Ok(finish(&node, claim.dispatched(), done, reply)));
            }
            Err(failure) => failure,
        };
        let verdict = failure.verdict();
        let Verdict::NotRun(unsent) = verdict else {
            if matches!(failure, Error::Broken { .. }) {
                crash::report_break(&node, &row, crash::suspect(prepared.content)).await;
            }
            done.report_unanswered(claim.dispatched().lose());
            let refusal = Refusal::new(verdict, Cause::Upstream, failure.to_string());
            return result(&tries, Err(refusal));
        };
        won = claim.recover(unsent);
        trial = spent.and_then(|spent| spent.rejected(prepared.content));
        if let Err(reason) = tries.retry(node.clock.now(), verdict, &node.retries) {
            let detail = format!("{failure}; not tried again: {reason}");
            break Refusal::new(verdict, Cause::Upstream, detail)
                .retry_after(node.settings.platform.list_interval);
        }
        node.metrics.retries.add(1, &[KeyValue::new("kind", "service")]);
    };
    done.report_unsent(won);
    result(&tries, Err(refusal))
}

async fn attempt(
    node: &Node,
    row: &Row,
    prepared: &PreparedCall,
    exchange: Exchange<Unsent>,
) -> goldcrestvale_upstream::Result<Answer> {
    let timeout = prepared.deadline.since(node.clock.now());
    let _guard = row.enter();
    node.services.call(row.address, prepared.call.clone(), exchange, timeout).await
}

fn result(attempts: &Attempts, result: Result<Arc<Answer>>) -> CallResult {
    let tried = attempts.tried();
    CallResult { upstream: tried.last().cloned(), attempts: tried.len() as u32, result }
}

/// Caches a complete answer for retries of the call and ends the claim. An answer that may come from
/// a service which rejected the call does not settle it.
fn finish(
    node: &Node,
    claim: Claim<claim::Dispatched>,
    completion: Completion,
    answer: Answer,
) -> Arc<Answer> {
    let answer = Arc::new(answer);
    let status = answer.status.as_u16();
    if is_promise(status) {
        completion.report_unanswered(claim.lose());
    } else {
        node.claims.answers().insert(claim.key(), answer.clone(), node.clock.now());
        completion.report_settled(claim.settle(status));
    }
    answer
}

/// Answers with the outcome of another call of the key at this instance.
fn replay(node: &Node, claim: Claim<Lost>, outcome: &OwnerAnswer) -> Result<Response<Body>> {
    let key = claim.key();
    match (outcome, node.claims.answers().get(&key)) {
        (OwnerAnswer::Ran, Some(answer)) => forward(&answer),
        _ => Err(claimed(node, claim.end(outcome))),
    }
}

/// Queries the owner of the key until it reports the outcome or the call's deadline passes.
async fn query_owner(
    node: &Node,
    claim: Claim<Lost>,
    owner: &Owner,
    standing: Standing,
    digest: Digest,
    prepared: &PreparedCall,
) -> Result<Response<Body>> {
    let Some(peers) = node.peers.handle() else {
        return Err(claimed(node, claim.end(&outcome_in_log(standing))));
    };
    loop {
        let left = prepared.deadline.since(node.clock.now());
        let query = peers.query_result(owner.incarnation, claim.key(), digest);
        let Ok(Ok(stored)) = tokio::time::timeout(left, query).await else {
            return Err(claimed(node, claim.end(&outcome_in_log(standing))));
        };
        match stored.state {
            AnswerState::Settled => return forward_stored(stored),
            AnswerState::Running if left > QUERY_PAUSE => tokio::time::sleep(QUERY_PAUSE).await,
            AnswerState::Running => return Err(claimed(node, claim.end(&OwnerAnswer::MayHaveRun))),
            AnswerState::TooLong => return Err(claimed(node, claim.end(&OwnerAnswer::Ran))),
            AnswerState::Abandoned => return Err(claimed(node, claim.end(&OwnerAnswer::GivenUp))),
            AnswerState::Unknown | AnswerState::Conflict => {
                return Err(claimed(node, claim.end(&outcome_in_log(standing))));
            }
        }
    }
}

/// Returns the outcome of a call as far as the log alone shows it.
fn outcome_in_log(standing: Standing) -> OwnerAnswer {
    match standing {
        Standing::Settled(_) => OwnerAnswer::Ran,
        Standing::Claimed => OwnerAnswer::Silent,
    }
}

/// Forwards the answer to a keyed call, which may run only once.
fn forward(answer: &Answer) -> Result<Response<Body>> {
    service::forward(answer, false)
}

/// Forwards the answer that another instance has stored.
fn forward_stored(stored: StoredResult) -> Result<Response<Body>> {
    let status = StatusCode::from_u16(stored.status).ok().filter(|status| is_final(*status));
    let Some(status) = status else {
        let detail =
            format!("the call ran, and its stored status {} ends no request", stored.status);
        return Err(Refusal::new(Verdict::Ran, Cause::Upstream, detail));
    };
    let header = |header: &goldcrestvale_peer::events::Header| {
        let name = header.name.parse::<HeaderName>().ok()?;
        Some((name, HeaderValue::from_bytes(&header.value).ok()?))
    };
    let headers: HeaderMap = stored.headers.iter().filter_map(header).collect();
    forward(&Answer { status, headers, body: stored.body })
}

/// Returns the refusal of a call whose key another call holds.
fn claimed(node: &Node, verdict: Verdict) -> Refusal {
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

/// Converts a refusal of the coordinator.
fn refusal(rejection: &coordinator::Refused) -> Refusal {
    let (cause, detail) = describe(rejection.cause);
    let only_this_call =
        rejection.scope == coordinator::Scope::Call && rejection.verdict.is_not_run();
    let detail = match only_this_call {
        true => format!("{detail}; this does not tell what became of an earlier call of the key"),
        false => detail.to_owned(),
    };
    let refusal = Refusal::new(rejection.verdict, cause, detail);
    match rejection.retry_after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    }
}

fn describe(cause: coordinator::Cause) -> (Cause, &'static str) {
    use claim::Refusal as KeyRefusal;
    match cause {
        coordinator::Cause::Key(KeyRefusal::Malformed) => {
            (Cause::KeyInvalid, "the key is not a version 7 UUID")
        }
        coordinator::Cause::Key(KeyRefusal::TooOld) => {
            (Cause::KeyInvalid, "the key is older than the window")
        }
        coordinator::Cause::Key(KeyRefusal::TooNew) => {
            (Cause::KeyInvalid, "the key was issued in the future")
        }
        coordinator::Cause::Key(KeyRefusal::Unproven) => {
            (Cause::Starting, "this instance does not know yet whether the key was used")
        }
        coordinator::Cause::Key(KeyRefusal::Mismatch) => {
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
