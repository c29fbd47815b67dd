//! Forwards streams to chains of engines and resumes them on another chain when one fails.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use futures_util::stream::unfold;
use goldcrestvale_base::{crash::Progress, id::Service, time::Instant};
use goldcrestvale_entry::crash_watch::MAX_REPLY_DELAY;
use goldcrestvale_route::{pipeline::STALL_TIMEOUT, retry::Runs};
use goldcrestvale_upstream::pool::{PooledConnection, StreamingReply};
use http::{HeaderMap, Response, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use log::info;
use tokio_util::sync::CancellationToken;

use crate::{
    body::{Body, Broken, Loss, collect, full},
    contention, cost,
    crash_watch::{
        find_ended, record_answer, record_sound, report_break, suspect, wait_if_suspected,
    },
    error_response::ErrorResponse,
    event::Splitter,
    forward::Matched,
    opening::{NO_CHAIN_RETRY_AFTER, Opening, Outcome, SEARCH_INTERVAL, barred, may_resume},
    port::Port,
    registry::StreamGuard,
    relay::{self, may_relay},
};

/// How long the events of a chain that serves are held back while another one begins: less than
/// callers wait for the next event.
const MAX_HELD_BACK: Duration = Duration::from_millis(1_000);

/// Pause after which a stream that has used up its attempts looks whether its upstreams have ended:
/// shorter than callers wait for the next event.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of events up to which a stream is at its start: an engine that its prompt crashes sends no
/// more.
const START_EVENTS: u64 = 2;

/// Time after its first event from which a stream shows that its prompt is sound: several times as
/// long as an engine takes to crash.
const PROOF_TIME: Duration = Duration::from_millis(300);

/// Time in which the peers say which of the reported parts are sound.
const PEER_REPLY_TIME: Duration = MAX_REPLY_DELAY.saturating_add(Duration::from_millis(20));

/// A stream on a chain.
struct ActiveStream {
    guard: StreamGuard,
    /// Id of the last event before those of this chain.
    resumed_after: Option<u64>,
    /// Time of the first event of this chain.
    first_event: Option<Instant>,
    /// Whether its length or chunks tell its end from a broken connection.
    is_framed: bool,
    /// Whether it has shown that its prompt is sound.
    is_proof: bool,
    body: Incoming,
    /// What was read of the body while another chain was looked for.
    ahead: VecDeque<ReadFrame>,
    connection: PooledConnection,
}

/// A frame of a body; `None` at its end.
type ReadFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

impl ActiveStream {
    fn new(reply: StreamingReply, guard: StreamGuard, resumed_after: Option<u64>) -> (Parts, Self) {
        let (head, body, connection) = reply.into_parts();
        let is_framed = is_framed(&head.headers);
        let (first_event, is_proof) = (None, false);
        let ahead = VecDeque::new();
        let stream = Self {
            guard,
            resumed_after,
            first_event,
            is_framed,
            is_proof,
            body,
            ahead,
            connection,
        };
        (head, stream)
    }

    /// Returns the next frame of the body.
    async fn frame(&mut self) -> ReadFrame {
        match self.ahead.pop_front() {
            Some(frame) => frame,
            None => self.body.frame().await,
        }
    }

    /// Reads a frame of the body that is returned later.
    async fn read_ahead(&mut self) {
        let frame = self.body.frame().await;
        self.ahead.push_back(frame);
    }

    /// Returns whether the body has ended in what was read ahead.
    fn has_ended(&self) -> bool {
        matches!(self.ahead.back(), Some(None | Some(Err(_))))
    }

    /// Returns the number of events of this chain, by the id of its last one.
    fn events(&self, last_id: Option<u64>) -> u64 {
        last_id.unwrap_or_default() - self.resumed_after.unwrap_or_default()
    }
}

/// The state of an answer that is being relayed.
struct Relay<P> {
    matched: Matched<P>,
    service: Service,
    /// `None` while the stream waits for another chain, and after its end.
    active: Option<ActiveStream>,
    splitter: Splitter,
    last_event: Instant,
    /// Cancelled once it is known whether the engine on which the stream broke off has ended.
    investigation: Option<CancellationToken>,
    /// The upstreams on which the request may have run.
    runs: Runs,
    ended: bool,
}

pub(crate) async fn serve<P: Port>(mut matched: Matched<P>) -> Response<Body> {
    let service =
        matched.gateway.table.load().pick(&matched.route, matched.gateway.random_unit()).cloned();
    let Some(service) = service else {
        let error = ErrorResponse::not_run(
            "no service",
            "the route names no service",
            NO_CHAIN_RETRY_AFTER,
        );
        return matched.trace.respond(&error);
    };
    let mut runs = Runs::default();
    let last_id = matched.head.last_event;
    let opening = Opening {
        matched: &mut matched,
        service: &service,
        runs: &mut runs,
        last_event: None,
        held: None,
    };
    let (reply, guard) = match opening.run().await {
        Outcome::Open(reply, guard) => (reply, guard),
        Outcome::Failed(_) if runs.is_empty() && may_relay(&matched) => {
            return relay::serve(matched).await;
        }
        Outcome::Failed(error) => return matched.trace.respond(&error),
    };
    let (mut head, active) = ActiveStream::new(*reply, guard, last_id);
    matched.trace.upstream_status = Some(head.status);
    matched.gateway.port.strip_hop_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
    if head.status != StatusCode::OK {
        return deliver(matched, head, active.body, active.connection).await;
    }
    matched.trace.begin_answer(head.status);
    contention::record_open(&mut matched);
    let last_event = matched.gateway.now();
    let relay = Relay {
        matched,
        service,
        active: Some(active),
        splitter: Splitter::new(last_id),
        last_event,
        investigation: None,
        runs,
        ended: false,
    };
    let frames = unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

/// Delivers an answer that is not a stream: a failure of the engine itself.
async fn deliver<P>(
    mut matched: Matched<P>,
    head: Parts,
    body: Incoming,
    connection: PooledConnection,
) -> Response<Body> {
    let left = matched.deadline.since(matched.gateway.now());
    let error = match collect(body, left, matched.answer_charge()).await {
        Ok(body) => {
            connection.return_to_pool();
            // A failing engine may not have run the request.
            if !head.status.is_server_error() {
                record_answer(&matched.gateway, matched.content);
            }
            match matched.check_promise(head.status, false) {
                Ok(()) => {
                    matched.trace.end("answered", head.status, "");
                    return Response::from_parts(head, full(body));
                }
                Err(error) => error,
            }
        }
        Err(_) if matched.deadline <= matched.gateway.now() => {
            ErrorResponse::timed_out("no whole answer in time")
        }
        Err(Loss::Broken(why) | Loss::Full(why)) => {
            ErrorResponse::may_have_run("upstream failed", why)
        }
    };
    matched.trace.respond(&error)
}

/// Records that the answer to a stream shows that its request and its prompt are sound.
fn record_proof<P>(matched: &Matched<P>) {
    record_answer(&matched.gateway, matched.content);
    record_sound(&matched.gateway, &matched.head.parts);
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Opens a stream on another chain while its own one may go on; `None` if it stays there, since that
/// has sent the whole answer, or something for longer than `max_held_back`.
async fn open_beside<P: Port>(
    opening: Opening<'_, P>,
    active: &mut ActiveStream,
    max_held_back: Duration,
) -> Option<Outcome> {
    let opening = opening.run();
    tokio::pin!(opening);
    let mut held_back_until = None;
    loop {
        let held_back = async {
            match held_back_until {
                Some(until) => tokio::time::sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            outcome = &mut opening => return Some(outcome),
            () = active.read_ahead(), if !active.has_ended() => match active.ahead.back() {
                Some(Some(Ok(_))) => {
                    let until = tokio::time::Instant::now() + max_held_back;
                    held_back_until.get_or_insert(until);
                }
                Some(Some(Err(_))) => held_back_until = None,
                Some(None) | None => return None,
            },
            () = held_back => return None,
        }
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
            let remaining = self.matched.deadline.since(now);
            if remaining.is_zero() {
                return self.fail("the timeout of the route has expired");
            }
            // The events before a gap have been returned.
            if self.splitter.has_gap() {
                self.active = None;
            }
            let Some(active) = &mut self.active else {
                if let Err(detail) = self.resume().await {
                    return self.fail(&detail);
                }
                continue;
            };
            let resume = active.guard.resume.clone();
            let is_exhausted =
                self.matched.route.resumable && !may_resume(&self.matched, &self.runs);
            let frame = tokio::select! {
                biased;
                frame = active.frame() => frame,
                () = resume.notified() => {
                    self.replace().await;
                    continue;
                }
                () = tokio::time::sleep(RECHECK_INTERVAL), if is_exhausted => {
                    // Another chain may take the stream once one of its upstreams has ended.
                    self.recheck_runs().await;
                    continue;
                }
                () = tokio::time::sleep(remaining) => continue,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let events = self.splitter.push(&data);
                    if self.splitter.is_oversized() {
                        self.break_off();
                    }
                    if !events.is_empty() {
                        self.record_events();
                        return Some(Ok(events));
                    }
                }
                Some(Err(_)) => self.break_off(),
                None if self.is_cut_off() => self.break_off(),
                None => {
                    if let Some(active) = self.active.take() {
                        let is_answer = active.events(self.splitter.last_id()) > 0;
                        if is_answer && active.is_framed && !active.is_proof {
                            record_proof(&self.matched);
                        }
                        active.connection.return_to_pool();
                    }
                    self.matched.trace.complete();
                    let events = self.splitter.last_id().unwrap_or_default();
                    cost::record_length(&mut self.matched, &self.service, events);
                    self.ended = true;
                }
            }
        }
    }

    /// Returns whether a stream that has ended is incomplete: inside an event, before one that an
    /// earlier upstream had begun, or without any if only its connection shows the end.
    fn is_cut_off(&self) -> bool {
        let is_empty = self.splitter.last_id().is_none();
        let is_framed = self.active.as_ref().is_some_and(|active| active.is_framed);
        self.splitter.has_partial_event() || self.splitter.is_owed() || (is_empty && !is_framed)
    }

    /// Ends the stream on a chain whose first engine has broken off.
    fn break_off(&mut self) {
        let Some(active) = self.active.take() else { return };
        let events = active.events(self.splitter.last_id());
        self.matched.trace.record_break(&active.guard.head, Some(events));
        if events <= START_EVENTS && !active.is_proof {
            let suspect = suspect(&self.matched, Progress::Begun);
            let (gateway, attempt) = (&self.matched.gateway, &self.matched.trace.attempt);
            let done = report_break(gateway, &active.guard.head, suspect, attempt);
            self.investigation = Some(done);
        }
    }

    fn record_events(&mut self) {
        let now = self.matched.gateway.now();
        let trace = &mut self.matched.trace;
        trace.events = self.splitter.last_id().unwrap_or_default();
        match trace.first_event {
            Some(_) => trace.max_event_gap = trace.max_event_gap.max(now.since(self.last_event)),
            None => {
                trace.first_event = Some(now);
                contention::record_first_event(&self.matched, now);
            }
        }
        self.last_event = now;
        if let Some(active) = &mut self.active {
            active.guard.record_event(now);
            cost::count_events(&active.guard, &self.matched.trace);
            let first_event = *active.first_event.get_or_insert(now);
            if !active.is_proof && now.since(first_event) >= PROOF_TIME {
                active.is_proof = true;
                record_proof(&self.matched);
            }
        }
    }

    /// Moves the stream to another chain, after the last event that the caller received. It stays on
    /// its chain until the other one has begun to answer.
    async fn replace(&mut self) {
        let Self { matched, service, active: Some(active), runs, .. } = self else { return };
        if barred(matched).is_some() || !may_resume(matched, runs) {
            return;
        }
        let gateway = matched.gateway.clone();
        let stalled_since = self.last_event;
        let is_stalled = gateway.now().since(stalled_since) >= STALL_TIMEOUT;
        // A stalled chain that goes on is as good as another one, unless the send to that one was the
        // last attempt.
        let is_last = runs.remaining(matched.route.attempts) == 1;
        let max_held_back = if is_stalled && !is_last { Duration::ZERO } else { MAX_HELD_BACK };
        let last_event = self.splitter.last_id();
        let _precedence = contention::resume(matched);
        let head = active.guard.head.clone();
        let opened = loop {
            let opening = Opening { matched, service, runs, last_event, held: Some(&head) };
            match open_beside(opening, active, max_held_back).await {
                Some(Outcome::Open(reply, guard)) if reply.head.status == StatusCode::OK => {
                    break Some((reply, guard));
                }
                Some(Outcome::Failed(error)) => {
                    let detail = error.detail.as_str();
                    info!(request = matched.trace.id.as_str(), head:% = head, cause = error.cause, detail; "stream stays on its chain");
                    gateway.metrics.count_failover("stayed");
                    // Others wait for the trial.
                    matched.trial = None;
                }
                Some(Outcome::Open(..)) | None => break None,
            }
            let is_over = matched.time_left(gateway.now()).is_zero();
            if !is_stalled || !active.ahead.is_empty() || is_over || !may_resume(matched, runs) {
                break None;
            }
            tokio::select! {
                () = active.read_ahead() => break None,
                () = tokio::time::sleep(SEARCH_INTERVAL) => {}
            }
        };
        let Some((reply, guard)) = opened else {
            active.guard.set_may_resume(may_resume(matched, runs));
            return;
        };
        if matches!(active.ahead.back(), Some(Some(Err(_)))) {
            self.break_off();
        }
        self.splitter.discard_partial();
        self.switch(*reply, guard, stalled_since);
    }

    /// Finds out whether upstreams on which the request ran have ended, so that it may run once more.
    async fn recheck_runs(&mut self) {
        let Self { matched, active, runs, .. } = self;
        find_ended(&matched.gateway, runs).await;
        if let Some(active) = active {
            active.guard.set_may_resume(may_resume(matched, runs));
        }
    }

    /// Goes on with the answer of another chain.
    fn switch(&mut self, reply: StreamingReply, guard: StreamGuard, stalled_since: Instant) {
        let gateway = &self.matched.gateway;
        gateway.metrics.count_failover("resumed");
        gateway.metrics.record_recovery(gateway.now().since(stalled_since));
        self.active = Some(ActiveStream::new(reply, guard, self.splitter.last_id()).1);
        self.matched.trace.moves += 1;
    }

    /// Resumes a stream without a chain on another one, after the last event that the caller
    /// received.
    async fn resume(&mut self) -> Result<(), String> {
        self.splitter.discard_partial();
        let stalled_since = self.last_event;
        let _precedence = contention::resume(&self.matched);
        self.wait_for_investigation().await;
        loop {
            if let Some(error) = barred(&self.matched) {
                return Err(error.detail);
            }
            self.find_ended().await?;
            let last_event = self.splitter.last_id();
            let Self { matched, service, runs, .. } = self;
            let mut detail = "the upstreams on which it ran may still run it".to_owned();
            if may_resume(matched, runs) {
                let opening = Opening { matched, service, runs, last_event, held: None };
                match opening.run().await {
                    Outcome::Open(reply, guard) if reply.head.status == StatusCode::OK => {
                        self.switch(*reply, guard, stalled_since);
                        return Ok(());
                    }
                    Outcome::Open(reply, _) => {
                        detail = format!("the resumption was answered {}", reply.head.status);
                        if !reply.head.status.is_server_error() {
                            return Err(detail);
                        }
                    }
                    Outcome::Failed(error) => detail = format!("{}: {}", error.cause, error.detail),
                }
            }
            if self.matched.time_left(self.matched.gateway.now()) <= SEARCH_INTERVAL {
                return Err(detail);
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    /// Finds out whether upstreams on which the request ran have ended, if it may not run again
    /// otherwise.
    ///
    /// # Errors
    ///
    /// Fails if none of them can have ended.
    async fn find_ended(&mut self) -> Result<(), String> {
        let Self { matched, runs, .. } = self;
        if may_resume(matched, runs) {
            return Ok(());
        }
        let left = matched.deadline.since(matched.gateway.now());
        let is_unknown = match matched.route.resumable {
            true => {
                let search = find_ended(&matched.gateway, runs);
                tokio::time::timeout(left, search).await.unwrap_or(true)
            }
            false => false,
        };
        match is_unknown || may_resume(matched, runs) {
            true => Ok(()),
            false => Err("the chain failed, and the stream may not run again".to_owned()),
        }
    }

    /// Waits until it is known whether the engine on which the stream broke off at its start has
    /// ended, if its prompt may be the cause, and until the peers have said which of its parts are
    /// sound.
    async fn wait_for_investigation(&mut self) {
        let Some(done) = self.investigation.take() else { return };
        wait_if_suspected(&self.matched, &done).await;
        let gateway = &self.matched.gateway;
        let now = gateway.now();
        if gateway.crash_watch.has_unknown(now, &self.matched.head.parts) {
            let left = self.matched.deadline.since(now);
            let _ = tokio::time::timeout(left, done.cancelled()).await;
            if gateway.crash_watch.is_suspected(gateway.now(), &self.matched.head.parts) {
                tokio::time::sleep(PEER_REPLY_TIME.min(left)).await;
            }
        }
    }

    /// Ends the answer with an error, so that it does not look complete.
    fn fail(&mut self, detail: &str) -> Option<Result<Bytes, Broken>> {
        self.ended = true;
        self.active = None;
        self.matched.trace.end("broken off", StatusCode::OK, detail);
        Some(Err(Broken { detail: detail.to_owned() }))
    }
}
