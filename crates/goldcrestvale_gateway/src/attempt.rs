//! One send of a request to an upstream of a plain service.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{BoxFuture, select_all};
use goldcrestvale_base::{id::Upstream, time::Instant};
use goldcrestvale_entry::trial_log::{SpentTrial, Trial};
use http::{StatusCode, response::Parts};

use crate::{
    body::{Loss, collect},
    forward::Matched,
    port::{Dispatch, Port},
    send::{SendOutcome, send},
    view::PlainUpstream,
};

/// How long an upstream that was silent, unreachable or broke off an answer is avoided.
pub(crate) const AVOID_FAILED: Duration = Duration::from_millis(1_500);

/// How long an upstream that was full is avoided.
const AVOID_FULL: Duration = Duration::from_millis(60);

/// The outcome of an attempt.
pub(crate) enum Outcome {
    Complete(Box<Parts>, Bytes),
    NotRun(String),
    /// No connection could be opened.
    Unsent,
    Broken(String),
    /// The upstream answered, and there is no memory for the answer.
    NoMemory(String),
}

/// An attempt in progress; dropping it drops its exchange.
pub(crate) struct Attempt {
    pub(crate) upstream: Upstream,
    pub(crate) trial: Option<SpentTrial>,
    started: Instant,
    /// When the request may be sent to another upstream beside this one.
    limit: Option<Instant>,
    is_overdue: bool,
    exchange: BoxFuture<'static, Outcome>,
}

/// What ends a wait for attempts.
pub(crate) enum Wakeup {
    /// The attempt with this index has ended.
    Ended(usize, Outcome),
    /// The time is over.
    Elapsed,
}

impl Attempt {
    /// Sends the request. After `patience`, it may be sent to another upstream as well.
    pub(crate) fn start<P: Port>(
        matched: &mut Matched<P>,
        plain: &PlainUpstream,
        patience: Option<Duration>,
    ) -> Self {
        let upstream = plain.registration.upstream.clone();
        matched.trace.tried.push(upstream.clone());
        let trial = matched.trial.take().map(Trial::spend);
        let started = matched.gateway.now();
        let limit = patience.map(|patience| started + patience);
        let exchange = exchange(matched, plain);
        Self { upstream, trial, started, limit, is_overdue: false, exchange }
    }

    /// Returns whether it is silent for longer than its limit.
    pub(crate) fn is_overdue(&self) -> bool {
        self.is_overdue
    }

    /// Returns when it is overdue; `None` if it is so already, or has no limit.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.limit.filter(|_| !self.is_overdue)
    }

    /// Records that it is silent for too long.
    pub(crate) fn set_overdue<P: Port>(&mut self, matched: &Matched<P>) {
        if self.is_overdue {
            return;
        }
        self.is_overdue = true;
        let gateway = &matched.gateway;
        let waited = gateway.now().since(self.started).as_millis();
        gateway.avoid(&self.upstream, AVOID_FAILED, &format!("silent for {waited} ms"));
    }
}

/// Waits for a time until one of the attempts has ended.
pub(crate) async fn wait(attempts: &mut [Attempt], time: Duration) -> Wakeup {
    tokio::select! {
        biased;
        (outcome, index, _) = select_all(attempts.iter_mut().map(|a| &mut a.exchange)) => {
            Wakeup::Ended(index, outcome)
        }
        () = tokio::time::sleep(time) => Wakeup::Elapsed,
    }
}

fn exchange<P: Port>(matched: &Matched<P>, plain: &PlainUpstream) -> BoxFuture<'static, Outcome> {
    let gateway = matched.gateway.clone();
    let time_left = matched.time_left(gateway.now());
    let (upstream, address) = (plain.registration.upstream.clone(), plain.registration.address);
    let customer = matched.customer_name().map(str::to_owned);
    let (parts, body) = (matched.parts.clone(), matched.body.clone());
    let id = matched.head.id.clone();
    let answer_charge = matched.answer_charge();
    Box::pin(async move {
        let dispatch = Dispatch {
            time_left,
            upstream: &upstream,
            customer: customer.as_deref(),
            chain: None,
            last_event: None,
        };
        match send(&gateway, address, &parts, body, &dispatch, id.as_ref()).await {
            SendOutcome::Answered(reply, _) => {
                let (head, body, connection) = reply.into_parts();
                match collect(body, time_left, answer_charge).await {
                    Ok(body) => {
                        connection.return_to_pool();
                        Outcome::Complete(Box::new(head), body)
                    }
                    Err(Loss::Broken(why)) => Outcome::Broken(why),
                    Err(Loss::Full(why)) => Outcome::NoMemory(why),
                }
            }
            SendOutcome::NotRun(status, _) => {
                let duration = match status {
                    StatusCode::MISDIRECTED_REQUEST => AVOID_FAILED,
                    _ => AVOID_FULL,
                };
                gateway.avoid(&upstream, duration, "refused");
                Outcome::NotRun(format!("{upstream} refused with {status}"))
            }
            SendOutcome::Unsent(why) => {
                gateway.avoid(&upstream, AVOID_FAILED, &why);
                Outcome::Unsent
            }
            SendOutcome::Broken(why) => Outcome::Broken(why),
        }
    })
}
