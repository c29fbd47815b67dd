//! Forwards requests to plain services, whose answers are buffered completely.

use std::time::Duration;

use bytes::Bytes;
use goldcrestvale_base::{
    crash::Progress,
    id::{Digest, Service, Upstream},
};
use goldcrestvale_entry::trial_log::SpentTrial;
use goldcrestvale_route::forward::Kind;
use http::{Response, header, response::Parts};
use smallvec::SmallVec;

use crate::{
    attempt::{self, Attempt, Outcome, Wakeup},
    body::{Body, full},
    crash_watch::{record_answer, report_break, suspect, wait_if_suspected},
    error_response::ErrorResponse,
    forward::{Matched, quarantined},
    gateway::Gateway,
    opening::SEARCH_INTERVAL,
    port::Port,
    relay::{self, may_relay},
    trial_log,
    view::PlainUpstream,
};

/// When a caller may retry whose request found no upstream with capacity.
const RETRY_AFTER: Duration = Duration::from_millis(60);

/// Longest time after which a caller is told to retry: one that an upstream may want no requests for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Multiple of the latency target after which a retryable request is sent to another upstream
/// beside the first one if that has not answered.
const HEDGE_FACTOR: f64 = 1.5;

/// A request that is sent to upstreams of one service until one of them has answered.
struct Sending {
    service: Service,
    /// Number of sends that have reached an upstream or may do so.
    sends: u32,
    /// Whether the next send was counted for one of which nothing was sent.
    is_counted: bool,
    has_broken: bool,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
    /// Whether a trial was refused, after which nothing is sent any more.
    is_held: bool,
    last_failure: String,
}

/// Why a request is not sent to another upstream.
enum Stop {
    /// No other upstream takes it, or it may not be sent again.
    Exhausted,
    /// A trial was refused.
    Held(ErrorResponse),
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
    let mut sending = Sending {
        service,
        sends: 0,
        is_counted: false,
        has_broken: false,
        may_have_run: false,
        is_held: false,
        last_failure: String::new(),
    };
    let mut failed_answer: Option<(Box<Parts>, Bytes)> = None;
    let mut attempts: SmallVec<[Attempt; 2]> = SmallVec::new();
    loop {
        if attempts.iter().all(Attempt::is_overdue) {
            match sending.begin(&mut matched).await {
                Ok(attempt) => attempts.push(attempt),
                Err(Stop::Held(error)) if attempts.is_empty() => {
                    if !sending.may_have_run {
                        return matched.trace.respond(&error);
                    }
                    sending.last_failure = error.detail;
                    break;
                }
                Err(_) if attempts.is_empty() || failed_answer.is_some() => break,
                Err(Stop::Held(_)) => sending.is_held = true,
                Err(Stop::Exhausted) => {}
            }
        }
        let time_left = matched.time_left(matched.gateway.now());
        let pause = sending.pause(&matched, &attempts).min(time_left);
        let (index, outcome) = match attempt::wait(&mut attempts, pause).await {
            Wakeup::Ended(index, outcome) => (index, outcome),
            Wakeup::Elapsed => {
                let now = matched.gateway.now();
                let is_over = matched.time_left(now).is_zero();
                let is_late =
                    |attempt: &&mut Attempt| is_over || attempt.due().is_some_and(|due| due <= now);
                for attempt in attempts.iter_mut().filter(is_late) {
                    attempt.set_overdue(&matched);
                    "no answer".clone_into(&mut sending.last_failure);
                }
                if is_over {
                    sending.may_have_run = true;
                    break;
                }
                continue;
            }
        };
        let Attempt { upstream, trial, .. } = attempts.remove(index);
        let may_answer_yet = is_retryable && (sending.may_send(&matched) || !attempts.is_empty());
        matched.has_arrived |= !matches!(outcome, Outcome::Unsent);
        let trial = match outcome {
            Outcome::Unsent => trial.map(SpentTrial::unsent),
            Outcome::NotRun(_) => trial.and_then(|trial| trial.rejected(matched.content)),
            Outcome::Complete(..) | Outcome::Broken(_) | Outcome::NoMemory(_) => None,
        };
        if trial.is_some() {
            matched.trial = trial;
        }
        if let Outcome::Complete(head, _) = &outcome {
            matched.trace.upstream_status = Some(head.status);
        }
        match outcome {
            Outcome::Complete(head, body) if may_answer_yet && head.status.is_server_error() => {
                sending.may_have_run = true;
                sending.last_failure = format!("answered {}", head.status);
                failed_answer = Some((head, body));
            }
            Outcome::Complete(head, body) => return deliver(&mut matched, *head, body),
            // A rejection counts as an attempt at the service, a failed connection does not.
            Outcome::NotRun(why) => sending.last_failure = why,
            Outcome::Unsent => {
                sending.sends -= 1;
                sending.is_counted = true;
                sending.last_failure.clear();
            }
            Outcome::NoMemory(why) => {
                sending.may_have_run = true;
                sending.last_failure = why;
                break;
            }
            Outcome::Broken(why) => {
                matched.trace.record_break(&upstream, None);
                let (gateway, attempt) = (&matched.gateway, &matched.trace.attempt);
                let done =
                    report_break(gateway, &upstream, suspect(&matched, Progress::Waiting), attempt);
                sending.has_broken = true;
                sending.may_have_run = true;
                sending.last_failure = why;
                if !is_retryable {
                    break;
                }
                wait_if_suspected(&matched, &done).await;
                if let Some(error) = quarantined(&matched.gateway, matched.content, &[]) {
                    sending.is_held = true;
                    sending.last_failure = error.detail;
                }
            }
        }
    }
    if let Some((head, body)) = failed_answer {
        return deliver(&mut matched, *head, body);
    }
    let Sending { service, may_have_run, last_failure, .. } = sending;
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

impl Sending {
    /// Sends the request to another upstream, once that may be done.
    async fn begin<P: Port>(&mut self, matched: &mut Matched<P>) -> Result<Attempt, Stop> {
        if matched.time_left(matched.gateway.now()).is_zero() || !self.may_send(matched) {
            return Err(Stop::Exhausted);
        }
        let upstream = pick(matched, &self.service, self.has_broken).ok_or(Stop::Exhausted)?;
        if let Err(stop) = self.secure(matched, &upstream.registration.upstream).await {
            matched.gateway.limits.put_back(&upstream.registration.upstream);
            return Err(stop);
        }
        self.sends += 1;
        let can_retry = matched.route.kind == Kind::Safe && self.may_send(matched);
        let patience = can_retry.then(|| matched.route.target.mul_f64(HEDGE_FACTOR));
        Ok(Attempt::start(matched, &upstream, patience))
    }

    /// Claims a trial, and counts the send.
    async fn secure<P: Port>(
        &mut self,
        matched: &mut Matched<P>,
        upstream: &Upstream,
    ) -> Result<(), Stop> {
        trial_log::claim(matched, upstream).await.map_err(Stop::Held)?;
        if !self.try_count(&matched.gateway) {
            // A trial that is not used now is left to others.
            self.is_held = matched.trial.take().is_some();
            return Err(Stop::Exhausted);
        }
        self.is_counted = false;
        Ok(())
    }

    /// Counts the next send, as the first one or as a retry; returns whether it is allowed.
    fn try_count<P>(&mut self, gateway: &Gateway<P>) -> bool {
        if !self.is_counted {
            self.is_counted = match self.sends {
                0 => {
                    gateway.count_first(&self.service);
                    true
                }
                _ => gateway.try_retry(&self.service),
            };
        }
        self.is_counted
    }

    /// Returns whether the attempts of the route allow another send.
    fn may_send<P>(&self, matched: &Matched<P>) -> bool {
        !self.is_held && (self.sends == 0 || self.sends < matched.route.attempts)
    }

    /// Returns how long to wait for the attempts before another upstream is looked for.
    fn pause<P>(&self, matched: &Matched<P>, attempts: &[Attempt]) -> Duration {
        let now = matched.gateway.now();
        match attempts.iter().find_map(Attempt::due) {
            Some(due) => due.since(now),
            None if attempts.iter().all(Attempt::is_overdue) && self.may_send(matched) => {
                SEARCH_INTERVAL
            }
            None => matched.time_left(now),
        }
    }
}

fn deliver<P: Port>(matched: &mut Matched<P>, mut head: Parts, body: Bytes) -> Response<Body> {
    // A failing upstream may not have run the request.
    if !head.status.is_server_error() {
        record_answer(&matched.gateway, matched.content);
    }
    // A rejection that the upstream states does not get here: the request goes on elsewhere.
    if let Err(error) = matched.check_promise(head.status, false) {
        return matched.trace.respond(&error);
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
