//! Sends a stream to chains until one of them begins to answer.

use std::{sync::Arc, time::Duration};

use futures_util::future::{BoxFuture, select_all};
use goldcrestvale_base::{
    crash::Progress,
    customer_load::Phase,
    id::{Service, Upstream},
};
use goldcrestvale_entry::trial_log::{SpentTrial, Trial};
use goldcrestvale_route::{
    pipeline::Chain,
    retry::{Run, Runs},
};
use goldcrestvale_upstream::pool::StreamingReply;
use http::StatusCode;
use smallvec::SmallVec;

use crate::{
    contention, cost,
    crash_watch::{report_break, suspect, wait_if_suspected},
    customer_load::over_share,
    error_response::ErrorResponse,
    failover::probe,
    forward::{Matched, quarantined, quarantined_prompt},
    gateway::{Gateway, NoChain},
    port::{Dispatch, Port},
    registry::StreamGuard,
    rejection::{ProbeReason, handle_rejection},
    send::{SendOutcome, send},
    trial_log,
    view::Fleet,
};

/// How long a first engine that could not be reached is avoided: until a probe has shown whether it
/// is alive.
const AVOID_FAILED: Duration = Duration::from_millis(500);

/// Number of sends of one request that may end in "not run" before the request fails.
const MAX_REJECTIONS: u32 = 3;

/// Interval at which a stream without a chain, or on a stalled one, looks for one.
pub(crate) const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// When a caller may retry if there is no chain at all: the load time of a model.
pub(crate) const NO_CHAIN_RETRY_AFTER: Duration = Duration::from_millis(900);

/// The outcome of opening a stream.
pub(crate) enum Outcome {
    Open(Box<StreamingReply>, StreamGuard),
    Failed(ErrorResponse),
}

/// A stream that is opened at one service.
pub(crate) struct Opening<'a, P> {
    pub(crate) matched: &'a mut Matched<P>,
    pub(crate) service: &'a Service,
    /// The upstreams on which the request may have run.
    pub(crate) runs: &'a mut Runs,
    /// The last event that the caller received.
    pub(crate) last_event: Option<u64>,
    /// The first engine of the chain that serves the stream until another one does.
    pub(crate) held: Option<&'a Upstream>,
}

/// A chain that has not answered yet.
struct Pending {
    chain: Arc<Chain>,
    guard: StreamGuard,
    trial: Option<SpentTrial>,
    is_stalled: bool,
    sent: BoxFuture<'static, SendOutcome>,
}

/// What ends a wait for the chains.
enum Wakeup {
    /// The chain with this index has answered or failed.
    Sent(usize, SendOutcome),
    /// The chain with this index is stalled.
    Stalled(usize),
    /// Another chain may have become available.
    Retry,
    /// The deadline has passed.
    Expired,
}

impl<P: Port> Opening<'_, P> {
    /// Chooses chains and sends the request to them, until one answers or no further attempt is
    /// allowed. A chain that stalls is kept until another one answers.
    pub(crate) async fn run(mut self) -> Outcome {
        let gateway = self.matched.gateway.clone();
        let mut rejections = 0;
        let mut pending: SmallVec<[Pending; 2]> = SmallVec::new();
        loop {
            let is_stalled = pending.iter().all(|chain| chain.is_stalled);
            if is_stalled && (pending.is_empty() || may_resume(self.matched, self.runs)) {
                let now = gateway.now();
                let heads = pending.iter().map(|chain| &chain.guard.head).chain(self.held);
                heads.for_each(|head| self.matched.exclusions.insert(head, now));
                match self.begin(rejections).await {
                    Ok(next) => pending.push(next),
                    Err(error) if pending.is_empty() => return Outcome::Failed(error),
                    Err(_) => {}
                }
            }
            let is_stalled = pending.iter().all(|chain| chain.is_stalled);
            let left = self.matched.deadline.since(gateway.now());
            match wait(&mut pending, is_stalled, left).await {
                // The chains that refused it may have places again.
                Wakeup::Retry => rejections = 0,
                Wakeup::Stalled(index) => pending[index].is_stalled = true,
                Wakeup::Expired => return Outcome::Failed(timed_out(self.runs)),
                Wakeup::Sent(index, sent) => {
                    let Pending { chain, guard, trial, .. } = pending.remove(index);
                    match sent {
                        SendOutcome::Answered(reply, answer) => {
                            if let Some(load) = answer.load {
                                gateway.registry.record_load(&guard.head, load, gateway.now());
                            }
                            return Outcome::Open(reply, guard);
                        }
                        sent => {
                            rejections += u32::from(matches!(sent, SendOutcome::NotRun(..)));
                            let failed = self.handle_failure(&chain, trial, sent).await;
                            if let Some(error) = failed.filter(|_| pending.is_empty()) {
                                return Outcome::Failed(error);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Chooses a chain and sends the request to it.
    async fn begin(&mut self, rejections: u32) -> Result<Pending, ErrorResponse> {
        let (service, last_event) = (self.service, self.last_event);
        let gateway = self.matched.gateway.clone();
        let matched = &mut *self.matched;
        if let Some(error) = barred(matched) {
            return Err(error_after_runs(error, self.runs));
        }
        let Some(fleet) = gateway.fleet(service) else {
            let error =
                ErrorResponse::not_run("no engines", "no engine is known", NO_CHAIN_RETRY_AFTER);
            return Err(error_after_runs(error, self.runs));
        };
        if let Some(error) = over_share(matched, service, last_event) {
            return Err(error_after_runs(error, self.runs));
        }
        exclude_trials(matched, &fleet);
        let progress = cost::estimate(matched, service, &fleet.model, last_event);
        let is_first = last_event.is_none() && self.runs.is_empty();
        let size = progress.size();
        let chain = contention::choose_chain(matched, service, &fleet, is_first, size).await;
        let chain = chain.map_err(|no_chain| {
            let error = no_chain_error(&gateway, service, &fleet, no_chain, rejections);
            error_after_runs(error, self.runs)
        })?;
        // Another attempt of the request may have ended an engine while this one waited.
        let barred = matched.trace.wait.and_then(|_| barred(matched));
        if let Some(error) = barred {
            return Err(error_after_runs(error, self.runs));
        }
        let now = gateway.now();
        if matched.deadline <= now || matched.time_left(now).is_zero() {
            return Err(timed_out(self.runs));
        }
        trial_log::claim(matched, &chain.head().upstream)
            .await
            .map_err(|error| error_after_runs(error, self.runs))?;
        let now = gateway.now();
        let refusal = if matched.trace.tried.is_empty() {
            gateway.count_first(service);
            None
        } else if rejections >= MAX_REJECTIONS {
            Some(format!("{rejections} refusals"))
        } else {
            let allowed = gateway.try_retry(service);
            (!allowed).then(|| format!("{rejections} refusals, and the retry budget is spent"))
        };
        if let Some(detail) = refusal {
            let error = ErrorResponse::not_run("refused", detail, NO_CHAIN_RETRY_AFTER);
            return Err(error_after_runs(error, self.runs));
        }
        matched.trace.tried.push(chain.head().upstream.clone());
        let guard = gateway.registry.register(
            &matched.trace.id,
            service,
            &chain,
            matched.route.resumable && self.runs.remaining(matched.route.attempts) > 1,
            gateway.count_stream(service, matched.customer_name(), Phase::Running),
            now,
        );
        progress.count(&guard);
        self.runs.insert(run(&gateway, &chain));
        let trial = matched.trial.take().map(Trial::spend);
        let sent = send_to_chain(matched, &chain, last_event);
        Ok(Pending { chain, guard, trial, is_stalled: false, sent })
    }

    /// Applies what a failed send shows of its chain; returns the error of the request if it may not
    /// be sent again.
    async fn handle_failure(
        &mut self,
        chain: &Chain,
        trial: Option<SpentTrial>,
        sent: SendOutcome,
    ) -> Option<ErrorResponse> {
        let matched = &mut *self.matched;
        let gateway = matched.gateway.clone();
        let head = &chain.head().upstream;
        match sent {
            SendOutcome::Answered(..) => {}
            SendOutcome::NotRun(status, answer) => {
                self.runs.remove(head);
                matched.has_arrived = true;
                matched.trial = trial.and_then(|trial| trial.rejected(matched.content));
                if let Some(load) = answer.load {
                    gateway.registry.record_load(head, load, gateway.now());
                }
                handle_rejection(matched, self.service, chain, status, &answer);
            }
            SendOutcome::Unsent(why) => {
                self.runs.remove(head);
                matched.trial = trial.map(SpentTrial::unsent);
                if gateway.avoid(head, AVOID_FAILED, &why) {
                    tokio::spawn(probe(gateway.clone(), head.clone(), ProbeReason::Failure));
                }
            }
            SendOutcome::Broken(why) => {
                matched.trace.record_break(head, None);
                // One lost answer is no proof of a failure: the engine is probed, but not avoided
                // yet.
                let suspect = suspect(matched, Progress::Waiting);
                let done = report_break(&gateway, head, suspect, &matched.trace.attempt);
                wait_if_suspected(matched, &done).await;
                if !may_resume(matched, self.runs) {
                    return Some(ErrorResponse::may_have_run("upstream failed", why));
                }
            }
        }
        matched.exclusions.insert(head, gateway.now());
        None
    }
}

/// Waits until one of the chains has answered, failed or stalled, and for a limited time if all are
/// stalled.
async fn wait(pending: &mut [Pending], are_stalled: bool, left: Duration) -> Wakeup {
    let each = pending.iter_mut().map(|Pending { guard, sent, .. }| {
        Box::pin(async move {
            tokio::select! {
                biased;
                sent = sent => Some(sent),
                () = guard.resume.notified() => None,
            }
        })
    });
    tokio::select! {
        (sent, index, _) = select_all(each) => match sent {
            Some(sent) => Wakeup::Sent(index, sent),
            None => Wakeup::Stalled(index),
        },
        () = tokio::time::sleep(left) => Wakeup::Expired,
        () = tokio::time::sleep(SEARCH_INTERVAL), if are_stalled => Wakeup::Retry,
    }
}

fn send_to_chain<P: Port>(
    matched: &Matched<P>,
    chain: &Arc<Chain>,
    last_event: Option<u64>,
) -> BoxFuture<'static, SendOutcome> {
    let gateway = matched.gateway.clone();
    let time_left = matched.time_left(gateway.now());
    let customer = matched.customer_name().map(str::to_owned);
    let last_event = last_event.or(matched.head.last_event);
    let (chain, id) = (chain.clone(), matched.head.id.clone());
    let (parts, body) = (matched.parts.clone(), matched.body.clone());
    Box::pin(async move {
        let dispatch = Dispatch {
            time_left,
            upstream: &chain.head().upstream,
            customer: customer.as_deref(),
            chain: Some(&chain.stages),
            last_event,
        };
        send(&gateway, chain.head().address, &parts, body, &dispatch, id.as_ref()).await
    })
}

fn run<P>(gateway: &Gateway<P>, chain: &Chain) -> Run {
    let head = chain.head();
    let born_ms = gateway.read_state(|state| state.catalog.get(&head.upstream)?.born_ms);
    Run { upstream: head.upstream.clone(), address: head.address, born_ms }
}

fn no_chain_error<P>(
    gateway: &Gateway<P>,
    service: &Service,
    fleet: &Fleet,
    no_chain: NoChain,
    rejections: u32,
) -> ErrorResponse {
    let chains = fleet.chains.len();
    let (cause, retry_after, detail) = match no_chain {
        NoChain::Full(retry_after, least) => {
            let limit = least.limit.map_or(String::new(), |l| format!(", limit {l:.0}"));
            let (streams, capacity) = (least.streams, least.capacity);
            let least = format!("least: {streams:.0} of {capacity:.0} streams{limit}");
            ("full", retry_after, format!("{chains} chains, {rejections} refusals, {least}"))
        }
        NoChain::Limited(retry_after) => {
            ("limited", retry_after, format!("{chains} chains, {rejections} refusals"))
        }
        NoChain::Broken(retry_after) => {
            let retry_after = gateway.pause_left(service).unwrap_or(retry_after);
            ("no chain", retry_after, format!("{rejections} refusals"))
        }
    };
    ErrorResponse::not_run(cause, detail, retry_after)
}

/// Returns the refusal of a prompt that crashes engines, or that may have crashed the one that it
/// was sent to before.
pub(crate) fn barred<P>(matched: &Matched<P>) -> Option<ErrorResponse> {
    let (gateway, parts) = (&matched.gateway, &matched.head.parts);
    let is_repeat = !matched.trace.tried.is_empty();
    // A granted trial keeps all others of the request back, but not itself.
    let refusal = match matched.trial {
        Some(_) => quarantined_prompt(gateway, parts),
        None => quarantined(gateway, matched.content, parts),
    };
    refusal.or_else(|| {
        let is_barred = is_repeat && gateway.crash_watch.is_suspected(gateway.now(), parts);
        let detail = "an engine ended when it began to answer this prompt";
        is_barred.then(|| ErrorResponse::may_have_run("crashed", detail))
    })
}

/// Excludes the chains on which other requests are in trials for one that may need a trial itself, if
/// there are others.
fn exclude_trials<P>(matched: &mut Matched<P>, fleet: &Fleet) {
    let (gateway, now) = (matched.gateway.clone(), matched.gateway.now());
    if !gateway.crash_watch.is_in_trials(matched.content) {
        return;
    }
    let in_trials = gateway.crash_watch.trial_upstreams(now, matched.content);
    let mut heads = fleet.chains.iter().map(|chain| &chain.head().upstream);
    if heads.any(|head| !in_trials.contains(head) && !matched.exclusions.contains(head, now)) {
        in_trials.iter().for_each(|head| matched.exclusions.insert(head, now));
    }
}

/// Returns whether a request may run on one more upstream.
pub(crate) fn may_resume<P>(matched: &Matched<P>, runs: &Runs) -> bool {
    matched.route.resumable && runs.remaining(matched.route.attempts) > 0
}

fn error_after_runs(error: ErrorResponse, runs: &Runs) -> ErrorResponse {
    match runs.is_empty() {
        true => error,
        false => ErrorResponse::may_have_run("upstream failed", error.detail),
    }
}

fn timed_out(runs: &Runs) -> ErrorResponse {
    match runs.is_empty() {
        true => ErrorResponse::rejected(StatusCode::GATEWAY_TIMEOUT, "late", "never sent"),
        false => ErrorResponse::timed_out("no whole answer in time"),
    }
}
