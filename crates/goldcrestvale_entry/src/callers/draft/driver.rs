//! Driving one draft over its chain of engines.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use goldcrestvale_base::{
    id::{Digest, Request, Upstream},
    time::Instant,
};
use goldcrestvale_peer::snapshot::Snapshot;
use goldcrestvale_route::{
    chain::{BalancedPlanner, EngineState, Plan, Planner},
    draft::{Action, Draft, Error, Event, Failure, Fault, Prompt, Settings},
};
use log::info;
use smallvec::SmallVec;

use super::{
    answer::{Piece, Text},
    call::{self, Call, Moved},
    request::Ask,
};
use crate::{
    node::Node,
    plans::Plans,
    refusal::{Cause, Refusal, Result},
    table::Row,
};

/// What a draft gives next.
#[derive(Debug)]
pub(super) enum Next {
    /// A token.
    Piece(Piece),
    /// The end of a whole answer.
    End(Whole),
}

/// What proves that an answer is whole.
#[derive(Debug, Clone, Copy)]
pub(super) struct Whole {
    pub(super) count: u32,
    pub(super) digest: Digest,
}

/// A draft in progress.
pub(super) struct Relay {
    node: Arc<Node>,
    id: Request,
    ask: Ask,
    draft: Draft,
    started: Instant,
    actions: VecDeque<Action>,
    events: VecDeque<Event>,
    calls: FuturesUnordered<Call>,
    /// The plans against which the engines of the chain were last checked.
    checked: Arc<Plans>,
    /// Engines that the draft was told to leave.
    left: SmallVec<[Upstream; 2]>,
    text: Text,
}

impl Relay {
    pub(super) fn plan(node: Arc<Node>, id: Request, ask: Ask, until: Instant) -> Result<Self> {
        let plans = Plans::current(&node);
        let started = node.clock.now();
        let settings = Settings {
            timeout_ceiling: node.settings.upstream.step_timeout,
            ..Settings::default()
        };
        let prompt = Prompt::new(id, ask.model.clone(), ask.prompt.clone(), ask.max_tokens)
            .resume(&ask.resume)
            .deadline(until)
            .priority(ask.priority)
            .settings(settings);
        let begun = with_plan(&node, &plans, (&ask, id), |plan| prompt.start(started, plan));
        let (draft, actions) = begun.map_err(|failure| refusal(&failure))?;
        Ok(Self {
            node,
            id,
            ask,
            draft,
            started,
            actions: actions.into_iter().collect(),
            events: VecDeque::new(),
            calls: FuturesUnordered::new(),
            checked: plans,
            left: SmallVec::new(),
            text: Text::default(),
        })
    }

    pub(super) fn id(&self) -> Request {
        self.id
    }

    pub(super) fn ask(&self) -> &Ask {
        &self.ask
    }

    pub(super) fn tokens(&self) -> &[u32] {
        self.draft.answer()
    }

    pub(super) fn first_upstream(&self) -> Option<&Upstream> {
        self.draft.upstreams().next()
    }

    /// Runs the draft up to its next token or its end.
    pub(super) async fn advance(&mut self) -> Result<Next> {
        loop {
            while let Some(action) = self.actions.pop_front() {
                if let Some(next) = self.carry_out(action)? {
                    return Ok(next);
                }
            }
            let event = self.next_event().await;
            self.handle(event);
        }
    }

    async fn next_event(&mut self) -> Event {
        loop {
            if let Some(event) = self.events.pop_front() {
                return event;
            }
            let left = self.draft.wake().map(|wake| wake.since(self.node.clock.now()));
            let wake = tokio::time::sleep(left.unwrap_or_default());
            tokio::select! {
                Some(events) = self.calls.next() => self.events.extend(events),
                () = wake => return Event::Tick,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let plans = Plans::current(&self.node);
        let now = self.node.clock.now();
        let (ask, draft) = (&self.ask, &mut self.draft);
        let actions =
            with_plan(&self.node, &plans, (ask, self.id), |plan| draft.handle(now, event, plan));
        self.actions.extend(actions);
        self.check_left(now, plans);
    }

    /// Tells the draft of engines that are leaving, gone from the list or ejected.
    fn check_left(&mut self, now: Instant, plans: Arc<Plans>) {
        if Arc::ptr_eq(&self.checked, &plans) {
            return;
        }
        self.left.retain(|upstream| plans.is_leaving(upstream) || plans.is_ejected(now, upstream));
        for upstream in self.draft.upstreams() {
            if self.left.contains(upstream) {
                continue;
            }
            let upstream = upstream.clone();
            let event = if plans.is_ejected(now, &upstream) {
                Event::Suspected { upstream: upstream.clone() }
            } else if plans.is_leaving(&upstream) {
                Event::Leaving { upstream: upstream.clone() }
            } else {
                continue;
            };
            self.left.push(upstream);
            self.events.push_back(event);
        }
        self.checked = plans;
    }

    fn carry_out(&mut self, action: Action) -> Result<Option<Next>> {
        match action {
            Action::Send { upstream, step, expected, timeout } => {
                let name = step.name;
                match self.row(&upstream) {
                    Some(row) => {
                        let node = self.node.clone();
                        self.calls.push(call::step(node, row, step, expected, timeout));
                    }
                    None => {
                        let fault = Fault::NotHeld;
                        self.events.push_back(Event::Failed { name, fault });
                    }
                }
            }
            Action::CancelAttempt { upstream, attempt } => {
                if let Some(row) = self.row(&upstream) {
                    call::cancel(self.node.clone(), row, self.id, attempt);
                }
            }
            Action::MoveKv { from, attempt, to, new_attempt, layers, timeout, .. } => {
                let limit = timeout / 2;
                let moved = Moved { request: self.id, attempt, new_attempt, layers, limit };
                match self.row(&from).zip(self.row(&to)) {
                    Some((from, to)) => {
                        self.calls.push(call::move_kv(self.node.clone(), from, to, moved));
                    }
                    None => {
                        let exported = self.row(&from).is_some();
                        let event = Event::KvFailed { attempt: new_attempt, exported };
                        self.events.push_back(event);
                    }
                }
            }
            Action::Commit { position, token } => return Ok(Some(self.piece(position, token))),
            Action::Recovered { detection, rebuild } => {
                self.node.metrics.recovery.record((detection + rebuild).as_secs_f64(), &[]);
                info!(
                    request:% = self.id,
                    detection_micros = detection.as_micros() as u64,
                    rebuild_micros = rebuild.as_micros() as u64;
                    "draft recovered"
                );
            }
            Action::Finish { count, digest } => {
                return Ok(Some(Next::End(Whole { count, digest })));
            }
            Action::Fail(failure) => return Err(refusal(&failure)),
        }
        Ok(None)
    }

    fn piece(&mut self, position: u32, token: u32) -> Next {
        let position = position - self.ask.prompt.len() as u32;
        if position as usize == self.ask.resume.len() {
            let taken = self.node.clock.now().since(self.started);
            self.node.metrics.first_token.record(taken.as_secs_f64(), &[]);
        }
        self.node.metrics.tokens.add(1, &[]);
        Next::Piece(Piece { position, token, text: self.text.push(token) })
    }

    fn row(&self, upstream: &Upstream) -> Option<Arc<Row>> {
        self.node.upstreams.load().rows.get(upstream).cloned()
    }
}

impl Drop for Relay {
    /// Cancels the draft on every stage, also when the caller has gone.
    fn drop(&mut self) {
        if self.draft.is_running() {
            self.handle(Event::Cancel);
        }
        for action in std::mem::take(&mut self.actions) {
            if let Action::CancelAttempt { upstream, attempt } = action
                && let Some(row) = self.row(&upstream)
            {
                call::cancel(self.node.clone(), row, self.id, attempt);
            }
        }
    }
}

/// Runs something with the plan for a draft: the planner of its version, spread by the present
/// load of the engines.
fn with_plan<T>(
    node: &Node,
    plans: &Plans,
    (ask, id): (&Ask, Request),
    run: impl FnOnce(&dyn Plan) -> T,
) -> T {
    let empty;
    let planner = match plans.get(&ask.model, &ask.version) {
        Some(planner) => planner,
        None => {
            empty = Planner::new(ask.layers, 0);
            &empty
        }
    };
    let peers = node.peers.snapshot();
    // The low bits of a version 7 UUID are random.
    let upstream = &node.settings.upstream;
    let present = Loads {
        plans,
        peers: &peers,
        now: node.clock.now(),
        alive: (upstream.load_interval + upstream.load_timeout) * REPORTS_ALIVE,
    };
    run(&BalancedPlanner::new(planner, id.0.as_u128() as u64, present))
}

/// Rounds of load reports after which an engine without one gives no sign of life; a round takes
/// its interval and at most the time of a fetch.
const REPORTS_ALIVE: u32 = 2;

/// The present load of the engines of some plans.
struct Loads<'a> {
    plans: &'a Plans,
    peers: &'a Snapshot,
    now: Instant,
    /// Age up to which a load report is a sign of life.
    alive: Duration,
}

impl EngineState for Loads<'_> {
    fn steps(&self, upstream: &Upstream) -> u32 {
        self.plans.row(upstream).map_or(0, |row| row.load(self.peers).current())
    }

    fn positions(&self, upstream: &Upstream) -> u32 {
        self.plans.row(upstream).map_or(0, |row| row.positions())
    }

    fn is_alive(&self, upstream: &Upstream) -> bool {
        let reported = self.plans.row(upstream).and_then(|row| row.report.as_ref());
        reported.is_some_and(|(at, _)| self.now.since(*at) <= self.alive)
    }
}

fn refusal(failure: &Failure) -> Refusal {
    let cause = match &failure.error {
        Error::Prompt => Cause::Malformed,
        Error::Chain { .. } => Cause::NoUpstream,
        Error::Deadline { .. } | Error::Late { .. } => Cause::Deadline,
        Error::Rebuilds { .. } => Cause::Upstream,
        Error::Cancelled => Cause::Cancelled,
    };
    let refusal = Refusal::new(failure.verdict, cause, failure.error.to_string());
    match failure.retry_after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    }
}
