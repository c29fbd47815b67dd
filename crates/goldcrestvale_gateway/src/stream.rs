//! Streams through a chain of engines, which go on elsewhere when the chain fails.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use goldcrestvale_base::{
    id::{Service, Upstream},
    time::Instant,
};
use goldcrestvale_route::pipeline::{Chain, Choice};
use goldcrestvale_upstream::pool::{PooledConnection, StreamingReply};
use http::{Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use crate::{
    body::{Body, Broken, full},
    error_response::Refusal,
    event::Splitter,
    failover::probe,
    forward::Matched,
    port::{Dispatch, Port},
    registry::Ticket,
    rejection::{Blame, blame},
    send::{Sent, send},
};

/// How long a first engine is left alone that could not be reached or broke off: until a probe has
/// told whether it is there.
const AVOID_BROKEN: Duration = Duration::from_millis(500);

/// Sends of one request that ended in "not run" before it is refused.
const MOST_REFUSED: u32 = 3;

/// How long a stream looks for another chain: longer than callers wait for the next event, so that it
/// is the caller who gives up, and not the instance while a chain may still come.
const PATIENCE: Duration = Duration::from_millis(4_000);

/// Pause before a stream that found no chain looks for one again.
const PAUSE: Duration = Duration::from_millis(100);

/// When a caller may come back for which there is no chain at all: the time of a load.
const BACK_BROKEN: Duration = Duration::from_millis(900);

/// A stream on a chain.
struct Running {
    ticket: Ticket,
    body: Incoming,
    lease: PooledConnection,
}

/// The state of an answer that is being relayed.
struct Relay<P> {
    matched: Matched<P>,
    service: Service,
    /// `None` while the stream looks for another chain, and after its end.
    running: Option<Running>,
    splitter: Splitter,
    last_event: Instant,
    /// Upstreams on which the request may have run.
    ran: u32,
    ended: bool,
}

/// What came of looking for a chain and sending.
enum Opening {
    Open(Box<StreamingReply>, Ticket),
    Refused(Refusal),
}

pub(crate) async fn serve<P: Port>(mut matched: Matched<P>) -> Response<Body> {
    let service =
        matched.gateway.table.load().pick(&matched.route, matched.gateway.draw()).cloned();
    let Some(service) = service else {
        let refusal = Refusal::not_run("no service", "the route names no service", BACK_BROKEN);
        return matched.trace.refuse(&refusal);
    };
    let mut ran = 0;
    let last = matched.ask.last_event;
    let opening = open(&mut matched, &service, &mut ran, None).await;
    let (opened, ticket) = match opening {
        Opening::Open(opened, ticket) => (opened, ticket),
        Opening::Refused(refusal) => return matched.trace.refuse(&refusal),
    };
    let (mut head, body, lease) = opened.into_parts();
    matched.gateway.port.strip_hop_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    if head.status != StatusCode::OK {
        return deliver(matched, head, body, lease).await;
    }
    matched.trace.begin_answer(head.status);
    let last_event = matched.gateway.now();
    let relay = Relay {
        matched,
        service,
        running: Some(Running { ticket, body, lease }),
        splitter: Splitter::new(last),
        last_event,
        ran,
        ended: false,
    };
    let frames = unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

/// Delivers an answer that is no stream: an engine's own failure.
async fn deliver<P>(
    mut matched: Matched<P>,
    head: Parts,
    body: Incoming,
    lease: PooledConnection,
) -> Response<Body> {
    match body.collect().await {
        Ok(body) => {
            lease.return_to_pool();
            matched.trace.end("answered", head.status, "");
            Response::from_parts(head, full(body.to_bytes()))
        }
        Err(e) => {
            let refusal = Refusal::may_have_run("upstream failed", e.to_string());
            matched.trace.refuse(&refusal)
        }
    }
}

/// Finds a chain and sends the request, until one answers or nothing more may be tried.
async fn open<P: Port>(
    matched: &mut Matched<P>,
    service: &Service,
    ran: &mut u32,
    last_event: Option<u64>,
) -> Opening {
    let gateway = matched.gateway.clone();
    let mut without: Vec<Upstream> = Vec::new();
    let mut refused = 0;
    loop {
        let Some(fleet) = gateway.fleet(service) else {
            let refusal = Refusal::not_run("no engines", "no engine is known", BACK_BROKEN);
            return Opening::Refused(or_may_have_run(refusal, *ran));
        };
        let line = match gateway.choose(&fleet, &without) {
            Ok(line) => line,
            Err(choice) => {
                let (cause, back) = match choice {
                    Choice::Full(back) => ("full", back),
                    Choice::Broken(back) => ("no chain", back),
                    Choice::Take(_) => ("no chain", BACK_BROKEN),
                };
                let detail = format!("{} chains, {refused} refusals", fleet.lines.len());
                let refusal = Refusal::not_run(cause, detail, back);
                return Opening::Refused(or_may_have_run(refusal, *ran));
            }
        };
        let now = gateway.now();
        if matched.due <= now || matched.time_left(now).is_zero() {
            return Opening::Refused(late(*ran));
        }
        if matched.trace.tried.is_empty() {
            gateway.count_first(service);
        } else if refused >= MOST_REFUSED || !gateway.try_repeat(service) {
            let detail = format!("{refused} refusals, or the retry budget is spent");
            let refusal = Refusal::not_run("refused", detail, BACK_BROKEN);
            return Opening::Refused(or_may_have_run(refusal, *ran));
        }
        let head = line.head().upstream.clone();
        matched.trace.tried.push(head.clone());
        let ticket = gateway.registry.enter(
            &matched.trace.id,
            service,
            &line,
            may_run_again(matched, *ran + 1),
            now,
        );
        match send_on(matched, &line, &ticket, last_event).await {
            Some(Sent::Answered(opened, answer)) => {
                if let Some(load) = answer.load {
                    gateway.registry.report(&head, load, gateway.now());
                }
                *ran += 1;
                return Opening::Open(opened, ticket);
            }
            Some(Sent::NotRun(status, answer)) => {
                refused += 1;
                if let Some(load) = answer.load {
                    gateway.registry.report(&head, load, gateway.now());
                }
                blame(matched, &line, status, &answer);
                without.push(head);
            }
            Some(Sent::Unsent(why)) => {
                if gateway.avoid(&head, AVOID_BROKEN, &why) {
                    tokio::spawn(probe(gateway.clone(), head.clone(), Blame::Failure));
                }
                without.push(head);
            }
            Some(Sent::Broken(why)) => {
                *ran += 1;
                // One lost answer says little of the engine: it is asked, and not left alone yet.
                tokio::spawn(probe(gateway.clone(), head.clone(), Blame::Failure));
                without.push(head);
                if !may_run_again(matched, *ran) {
                    return Opening::Refused(Refusal::may_have_run("upstream failed", why));
                }
            }
            // The chain stopped before the first event, or the time is up.
            None => {
                *ran += 1;
                without.push(head);
                if gateway.now() >= matched.due {
                    return Opening::Refused(late(*ran));
                }
                if !may_run_again(matched, *ran) {
                    let why = "the chain stopped before the first event";
                    return Opening::Refused(Refusal::may_have_run("chain stopped", why));
                }
            }
        }
    }
}

/// Sends to a chain; `None` if the stream is asked to go on elsewhere, or the time is up.
async fn send_on<P: Port>(
    matched: &Matched<P>,
    line: &Chain,
    ticket: &Ticket,
    last_event: Option<u64>,
) -> Option<Sent> {
    let gateway = &matched.gateway;
    let now = gateway.now();
    let dispatch = Dispatch {
        time_left: matched.time_left(now),
        upstream: &line.head().upstream,
        customer: matched.customer_name(),
        chain: Some(&line.stages),
        last_event: last_event.or(matched.ask.last_event),
    };
    let id = matched.ask.id.as_ref();
    let body = matched.body.clone();
    let sent = send(gateway, line.head().address, &matched.parts, body, &dispatch, id);
    tokio::select! {
        sent = sent => Some(sent),
        () = ticket.resume.notified() => None,
        () = tokio::time::sleep(matched.due.since(now)) => None,
    }
}

fn may_run_again<P>(matched: &Matched<P>, ran: u32) -> bool {
    matched.route.resumable && ran < matched.route.attempts
}

fn or_may_have_run(refusal: Refusal, ran: u32) -> Refusal {
    match ran {
        0 => refusal,
        _ => Refusal::may_have_run("upstream failed", refusal.detail),
    }
}

fn late(ran: u32) -> Refusal {
    match ran {
        0 => Refusal::rejected(StatusCode::GATEWAY_TIMEOUT, "late", "never sent"),
        _ => Refusal::late("no whole answer in time"),
    }
}

impl<P: Port> Relay<P> {
    /// Returns the next events, or `None` at the end of the answer.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        loop {
            if self.ended {
                return None;
            }
            let now = self.matched.gateway.now();
            let left = self.matched.due.since(now);
            if left.is_zero() {
                return self.fail("the time of the route is up");
            }
            let Some(running) = &mut self.running else {
                if let Err(failed) = self.resume().await {
                    return self.fail(&failed);
                }
                continue;
            };
            let frame = tokio::select! {
                frame = running.body.frame() => frame,
                () = running.ticket.resume.notified() => {
                    self.running = None;
                    continue;
                }
                () = tokio::time::sleep(left) => continue,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let events = self.splitter.push(&data);
                    if self.splitter.has_gap() {
                        self.running = None;
                        continue;
                    }
                    if !events.is_empty() {
                        self.note_events();
                        return Some(Ok(events));
                    }
                }
                Some(Err(_)) => self.running = None,
                None if self.splitter.has_partial_event() => self.running = None,
                None => {
                    if let Some(running) = self.running.take() {
                        running.lease.return_to_pool();
                    }
                    self.matched.trace.complete();
                    self.ended = true;
                }
            }
        }
    }

    fn note_events(&mut self) {
        let now = self.matched.gateway.now();
        let trace = &mut self.matched.trace;
        trace.events = self.splitter.last_id().unwrap_or_default();
        match trace.first_event {
            Some(_) => trace.longest_pause = trace.longest_pause.max(now.since(self.last_event)),
            None => trace.first_event = Some(now),
        }
        self.last_event = now;
        if let Some(running) = &self.running {
            running.ticket.beat(now);
        }
    }

    /// Goes on at another chain, after the last event that the caller has.
    async fn resume(&mut self) -> Result<(), String> {
        self.splitter.discard_partial();
        let lost = self.last_event;
        loop {
            if !may_run_again(&self.matched, self.ran) {
                return Err("the chain failed, and the stream may not run again".to_owned());
            }
            let last = self.splitter.last_id();
            let gateway = self.matched.gateway.clone();
            match open(&mut self.matched, &self.service, &mut self.ran, last).await {
                Opening::Open(opened, ticket) if opened.head.status == StatusCode::OK => {
                    let (_, body, lease) = opened.into_parts();
                    self.running = Some(Running { ticket, body, lease });
                    self.matched.trace.moves += 1;
                    gateway.metrics.count_rescue("resumed");
                    gateway.metrics.record_recovery(gateway.now().since(lost));
                    return Ok(());
                }
                Opening::Open(opened, _) => {
                    return Err(format!("the resumption was answered {}", opened.head.status));
                }
                Opening::Refused(refusal) => {
                    let waited = gateway.now().since(lost);
                    if waited + PAUSE > PATIENCE {
                        return Err(format!("{}: {}", refusal.cause, refusal.detail));
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Ends the answer so that it does not look whole.
    fn fail(&mut self, detail: &str) -> Option<Result<Bytes, Broken>> {
        self.ended = true;
        self.running = None;
        self.matched.trace.end("broken off", StatusCode::OK, detail);
        Some(Err(Broken { detail: detail.to_owned() }))
    }
}
