//! Forwards requests to plain services, whose answers are buffered completely.

use std::time::Duration;

use bytes::Bytes;
use goldcrestvale_base::{
    crash::Progress,
    id::{Digest, Service, Upstream},
    time::Instant,
};
use goldcrestvale_entry::trial_log::{SpentTrial, Trial};
use goldcrestvale_route::forward::Kind;
use http::{Response, StatusCode, header, response::Parts};

use crate::{
    body::{Body, collect, full},
    crash_watch::{record_answer, report_break, suspect, wait_if_suspected},
    error_response::ErrorResponse,
    forward::{Matched, quarantined},
    port::{Dispatch, Port},
    relay::{self, may_relay},
    send::{SendOutcome, send},
    trial_log,
    view::PlainUpstream,
};

/// How long an upstream that was unreachable or broke off an answer is avoided.
const AVOID_FAILED: Duration = Duration::from_millis(1_500);

/// How long an upstream that was full is avoided.
const AVOID_FULL: Duration = Duration::from_millis(60);

/// When a caller may retry whose request found no upstream with capacity.
const RETRY_AFTER: Duration = Duration::from_millis(60);

/// Longest time after which a caller is told to retry: one that an upstream may want no requests for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Multiple of the latency target after which a retryable request is sent to another upstream if
/// the first one has not answered.
const HEDGE_FACTOR: f64 = 1.5;

/// The outcome of one attempt.
enum AttemptOutcome {
    Complete(Box<Parts>, Bytes),
    NotRun(String),
    /// No connection could be opened.
    Unsent,
    Broken(String),
    Silent,
}

pub(crate) async fn serve<P: Port>(mut matched: Matched<P>) -> Response<Body> {
    let service =
        match matched.gateway.table.load().pick(&matched.route, matched.gateway.random_unit()) {
            Some(service) => service.clone(),
            None => {
                let error =
                    ErrorResponse::not_run("no service", "the route names no service", RETRY_AFTER);
                return matched.trace.respond(&error);
            }
        };
    let is_retryable = matched.route.kind == Kind::Safe;
    let mut may_have_run = false;
    let mut failed_answer: Option<(Box<Parts>, Bytes)> = None;
    let mut last_failure = String::new();
    let mut attempts = 0;
    let mut has_broken = false;
    while let Some(upstream) = pick(&matched, &service, has_broken) {
        let now = matched.gateway.now();
        let time_left = matched.time_left(now);
        if time_left.is_zero() || matched.deadline <= now {
            break;
        }
        if attempts == 0 {
            matched.gateway.count_first(&service);
        } else if attempts >= matched.route.attempts || !matched.gateway.try_retry(&service) {
            break;
        }
        if let Err(error) = trial_log::claim(&mut matched, &upstream.registration.upstream).await {
            if !may_have_run {
                return matched.trace.respond(&error);
            }
            last_failure = error.detail;
            break;
        }
        let time_left = matched.time_left(matched.gateway.now());
        matched.trace.tried.push(upstream.registration.upstream.clone());
        let can_retry = is_retryable && attempts + 1 < matched.route.attempts;
        let trial = matched.trial.take().map(Trial::spend);
        let outcome = attempt(&matched, &upstream, time_left, can_retry).await;
        matched.has_arrived |= !matches!(outcome, AttemptOutcome::Unsent);
        matched.trial = match outcome {
            AttemptOutcome::Unsent => trial.map(SpentTrial::unsent),
            AttemptOutcome::NotRun(_) => trial.and_then(|trial| trial.rejected(matched.content)),
            _ => None,
        };
        match outcome {
            AttemptOutcome::Complete(head, body) if can_retry && head.status.is_server_error() => {
                attempts += 1;
                may_have_run = true;
                last_failure = format!("answered {}", head.status);
                failed_answer = Some((head, body));
            }
            AttemptOutcome::Complete(head, body) => return deliver(&mut matched, *head, body),
            // A rejection counts as an attempt at the service, a failed connection does not.
            AttemptOutcome::NotRun(why) => {
                attempts += 1;
                last_failure = why;
            }
            AttemptOutcome::Unsent => last_failure.clear(),
            AttemptOutcome::Broken(why) => {
                let upstream = &upstream.registration.upstream;
                matched.trace.record_break(upstream, None);
                let (gateway, attempt) = (&matched.gateway, &matched.trace.attempt);
                let done =
                    report_break(gateway, upstream, suspect(&matched, Progress::Waiting), attempt);
                has_broken = true;
                attempts += 1;
                may_have_run = true;
                last_failure = why;
                if !is_retryable {
                    break;
                }
                wait_if_suspected(&matched, &done).await;
                if let Some(error) = quarantined(&matched.gateway, matched.content, &[]) {
                    last_failure = error.detail;
                    break;
                }
            }
            AttemptOutcome::Silent => {
                attempts += 1;
                may_have_run = true;
                last_failure = "no answer".to_owned();
                if !is_retryable {
                    break;
                }
            }
        }
    }
    if let Some((head, body)) = failed_answer {
        return deliver(&mut matched, *head, body);
    }
    let now = matched.gateway.now();
    let error = match may_have_run {
        true if matched.time_left(now).is_zero() => ErrorResponse::timed_out(last_failure),
        true => ErrorResponse::may_have_run("upstream failed", last_failure),
        false if may_relay(&matched) => return relay::serve(matched).await,
        false => {
            let retry_after = retry_after(&matched, &service);
            ErrorResponse::not_run("no upstream", last_failure, retry_after)
        }
    };
    matched.trace.respond(&error)
}

fn deliver<P: Port>(matched: &mut Matched<P>, mut head: Parts, body: Bytes) -> Response<Body> {
    // A failing upstream may not have run the request.
    if !head.status.is_server_error() {
        record_answer(&matched.gateway, matched.content);
    }
    matched.gateway.port.strip_hop_headers(&mut head.headers);
    if matched.parts.method != http::Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    matched.trace.end("answered", head.status, "");
    Response::from_parts(head, full(body))
}

/// Picks an upstream that was not tried yet and takes another request: first those that are not
/// avoided, of these first those in the own failure domain.
///
/// After a broken answer the others are in an order of the request's own, so that of several requests
/// that an upstream broke off the one that crashed it is told from the rest.
fn pick<P: Port>(
    matched: &Matched<P>,
    service: &Service,
    has_broken: bool,
) -> Option<PlainUpstream> {
    let gateway = &matched.gateway;
    let now = gateway.now();
    let view = gateway.view.load();
    let was_tried = |upstream: &Upstream| matched.trace.tried.contains(upstream);
    let in_trials = gateway.crash_watch.trial_upstreams(now, matched.content);
    let rank = |plain: &&PlainUpstream| {
        let upstream = &plain.registration.upstream;
        let is_remote = plain.registration.domain != gateway.settings.domain;
        let order = match has_broken {
            true => {
                let request = matched.content.0.to_le_bytes();
                (false, Digest::of_pieces(&[&request, upstream.as_str().as_bytes()]).short())
            }
            false => (is_remote, 0),
        };
        (plain.avoided_until > now, in_trials.contains(upstream), order, upstream.clone())
    };
    let upstreams = view.plain.get(service)?.iter();
    let mut upstreams: Vec<&PlainUpstream> = upstreams
        .filter(|plain| !was_tried(&plain.registration.upstream) && plain.paused_until <= now)
        .collect();
    upstreams.sort_by_key(rank);
    let takes_another =
        |plain: &&&PlainUpstream| gateway.try_take_limit(&plain.registration.upstream);
    upstreams.iter().find(takes_another).copied().cloned()
}

/// Returns when a caller may retry whose request found no upstream with capacity: when the first
/// one takes requests again that wanted none for a while or limits them.
fn retry_after<P: Port>(matched: &Matched<P>, service: &Service) -> Duration {
    let gateway = &matched.gateway;
    let view = gateway.view.load();
    let upstreams = view.plain.get(service).into_iter().flatten();
    let interval =
        upstreams.filter_map(|plain| gateway.limits.interval(&plain.registration.upstream)).min();
    let left = gateway.pause_left(service).or(interval).unwrap_or_default();
    left.clamp(RETRY_AFTER, MAX_RETRY_AFTER)
}

async fn attempt<P: Port>(
    matched: &Matched<P>,
    plain: &PlainUpstream,
    time_left: Duration,
    can_retry: bool,
) -> AttemptOutcome {
    let gateway = &matched.gateway;
    let upstream = &plain.registration.upstream;
    let dispatch = Dispatch {
        time_left,
        upstream,
        customer: matched.customer_name(),
        chain: None,
        last_event: None,
    };
    let limit = match can_retry {
        true => matched.route.target.mul_f64(HEDGE_FACTOR).min(time_left),
        false => time_left.min(matched.deadline.since(gateway.now())),
    };
    let exchange = async {
        let address = plain.registration.address;
        let id = matched.head.id.as_ref();
        let outcome =
            send(gateway, address, &matched.parts, matched.body.clone(), &dispatch, id).await;
        match outcome {
            SendOutcome::Answered(reply, _) => {
                let (head, body, connection) = reply.into_parts();
                match collect(body).await {
                    Ok(body) => {
                        connection.return_to_pool();
                        AttemptOutcome::Complete(Box::new(head), body)
                    }
                    Err(e) => AttemptOutcome::Broken(e.to_string()),
                }
            }
            SendOutcome::NotRun(status, _) => {
                let duration = match status {
                    StatusCode::MISDIRECTED_REQUEST => AVOID_FAILED,
                    _ => AVOID_FULL,
                };
                gateway.avoid(upstream, duration, "refused");
                AttemptOutcome::NotRun(format!("{upstream} refused with {status}"))
            }
            SendOutcome::Unsent(why) => {
                gateway.avoid(upstream, AVOID_FAILED, &why);
                AttemptOutcome::Unsent
            }
            SendOutcome::Broken(why) => AttemptOutcome::Broken(why),
        }
    };
    let started: Instant = gateway.now();
    match tokio::time::timeout(limit, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => {
            let waited = gateway.now().since(started).as_millis();
            gateway.avoid(upstream, AVOID_FAILED, &format!("silent for {waited} ms"));
            AttemptOutcome::Silent
        }
    }
}
