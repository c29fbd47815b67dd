//! Runs one draft over its chain of engines.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use goldcrestvale_base::{
    crash::{Progress, Suspect},
    id::{Digest, Request, Upstream},
    prompt::Parts,
    time::Instant,
    verdict::Verdict,
};
use goldcrestvale_peer::snapshot::Snapshot;
use goldcrestvale_route::{
    chain::{BalancedPlanner, EngineState, Plan, Planner},
    draft::{Action, Draft, Error, Event, Failure, Fault, Prompt, Settings},
};
use log::info;
use smallvec::SmallVec;

use super::{
    answer::{Decoder, TokenEvent},
    call::{self, Call, KvMove},
    request::DraftRequest,
};
use crate::{
    callers::crash,
    crash_watch::parts_text,
    node::Node,
    plans::Plans,
    refusal::{Cause, Refusal, Result},
    table::Row,
    trial_log::{self, Trial},
};

/// Number of tokens of an answer that show that its prompt is sound.
const PROOF_TOKENS: usize = 4;

/// Number of engines that may end when they begin to answer a draft before it is given up.
const MAX_ENGINES_ENDED: usize = 2;

/// The next output of a draft.
#[derive(Debug)]
pub(super) enum Next {
    /// A token.
    Token(TokenEvent),
    /// The end of a complete answer.
    End(Summary),
}

/// The token count and digest that prove an answer complete.
#[derive(Debug, Clone, Copy)]
pub(super) struct Summary {
    pub(super) count: u32,
    pub(super) digest: Digest,
}

/// A draft in progress.
pub(super) struct Driver {
    node: Arc<Node>,
    id: Request,
    request: DraftRequest,
    draft: Draft,
    started: Instant,
    deadline: Instant,
    actions: VecDeque<Action>,
    events: VecDeque<Event>,
    calls: FuturesUnordered<Call>,
    /// The plans against which the engines of the chain were last checked.
    checked: Arc<Plans>,
    /// Engines that were reported to the draft as leaving or ejected.
    reported: SmallVec<[Upstream; 2]>,
    decoder: Decoder,
    /// Parts of the prompt.
    parts: Parts,
    /// Whether the answer has shown that the prompt is sound.
    is_proof: bool,
    /// Whether the prompt may be sent, in a trial if it needs one.
    is_admitted: bool,
    /// Whether an engine has failed.
    has_failed: bool,
}

impl Driver {
    pub(super) fn plan(
        node: Arc<Node>,
        id: Request,
        request: DraftRequest,
        deadline: Instant,
    ) -> Result<Self> {
        let plans = Plans::current(&node);
        let started = node.clock.now();
        crash::check(&node, request.content)?;
        let parts = request.parts();
        if let Some(hold) = node.crash_watch.check(started, &parts) {
            let detail = format!("prompts with {} crash engines", parts_text(&hold.parts));
            return Err(Refusal::unsent(Cause::Quarantined, detail).retry_after(hold.left));
        }
        let settings = Settings {
            timeout_ceiling: node.settings.upstream.step_timeout,
            ..Settings::default()
        };
        let prompt =
            Prompt::new(id, request.model.clone(), request.prompt.clone(), request.max_tokens)
                .resume(&request.resume)
                .deadline(deadline)
                .priority(request.priority)
                .settings(settings);
        let result = with_plan(&node, &plans, (&request, id), |plan| prompt.start(started, plan));
        let (draft, actions) = result.map_err(|failure| refusal(&failure))?;
        Ok(Self {
            node,
            id,
            request,
            draft,
            started,
            deadline,
            actions: actions.into_iter().collect(),
            events: VecDeque::new(),
            calls: FuturesUnordered::new(),
            checked: plans,
            reported: SmallVec::new(),
            decoder: Decoder::default(),
            parts,
            is_proof: false,
            is_admitted: false,
            has_failed: false,
        })
    }

    pub(super) fn id(&self) -> Request {
        self.id
    }

    pub(super) fn request(&self) -> &DraftRequest {
        &self.request
    }

    pub(super) fn tokens(&self) -> &[u32] {
        self.draft.answer()
    }

    pub(super) fn first_upstream(&self) -> Option<&Upstream> {
        self.draft.upstreams().next()
    }

    /// Runs the draft until its next token or its end.
    pub(super) async fn advance(&mut self) -> Result<Next> {
        loop {
            self.claim_trial().await?;
            while let Some(action) = self.actions.pop_front() {
                if let Some(next) = self.execute(action)? {
                    return Ok(next);
                }
            }
            let event = self.next_event().await;
            if matches!(event, Event::Failed { .. }) && self.may_be_harmful() {
                let detail = "engines ended when they began to answer this prompt";
                return Err(Refusal::new(Verdict::MayHaveRun, Cause::Upstream, detail));
            }
            if matches!(event, Event::Failed { .. }) {
                self.has_failed = true;
                self.is_admitted = false;
            }
            self.handle(event);
        }
    }

    /// Claims a trial of the prompt if it needs one before it is sent, or sent again after a failure.
    async fn claim_trial(&mut self) -> Result<()> {
        if self.is_proof || self.is_admitted {
            return Ok(());
        }
        let Some(upstream) = self.first_upstream().cloned() else { return Ok(()) };
        let attempt = trial_log::Attempt {
            request: self.request.content,
            upstream: &upstream,
            is_repeat: self.has_failed,
            time_left: self.deadline.since(self.node.clock.now()),
        };
        let mut trial = None;
        crash::claim(&self.node, &mut trial, attempt).await.map_err(|refusal| {
            match self.has_failed {
                true => Refusal::new(Verdict::MayHaveRun, Cause::Upstream, refusal.detail),
                false => refusal,
            }
        })?;
        drop(trial.map(Trial::spend));
        self.is_admitted = true;
        Ok(())
    }

    /// Returns whether the prompt crashes engines, or has been on too many that ended.
    fn may_be_harmful(&self) -> bool {
        let (watch, now) = (&self.node.crash_watch, self.node.clock.now());
        let request = self.request.content;
        watch.check(now, &self.parts).is_some()
            || watch.check_request(now, request).is_some()
            || watch.engines_ended(now, request, &self.parts) >= MAX_ENGINES_ENDED
    }

    /// Returns the draft as a suspect for the loss of an engine, if it is at its start.
    fn suspect(&self) -> Option<Suspect> {
        (!self.is_proof).then(|| Suspect {
            request: self.request.content,
            parts: self.parts.clone(),
            progress: Progress::Begun,
        })
    }

    /// Records that the prompt is sound once there is an answer to it.
    fn record_progress(&mut self, tokens: usize) {
        if !self.is_proof && tokens >= PROOF_TOKENS {
            self.is_proof = true;
            crash::record_answer(&self.node, self.request.content);
            let report = self.node.crash_watch.record_sound(self.node.clock.now(), &self.parts);
            if let Some(report) = report {
                self.node.peers.send_evidence(report);
            }
        }
    }

    async fn next_event(&mut self) -> Event {
        loop {
            if let Some(event) = self.events.pop_front() {
                return event;
            }
            let remaining = self.draft.wake().map(|wake| wake.since(self.node.clock.now()));
            let wake = tokio::time::sleep(remaining.unwrap_or_default());
            tokio::select! {
                Some(events) = self.calls.next() => self.events.extend(events),
                () = wake => return Event::Tick,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let plans = Plans::current(&self.node);
        let now = self.node.clock.now();
        let (request, draft) = (&self.request, &mut self.draft);
        let actions = with_plan(&self.node, &plans, (request, self.id), |plan| {
            draft.handle(now, event, plan)
        });
        self.actions.extend(actions);
        self.check_engines(now, plans);
    }

    /// Reports to the draft the engines of its chain that are leaving, no longer listed or ejected.
    fn check_engines(&mut self, now: Instant, plans: Arc<Plans>) {
        if Arc::ptr_eq(&self.checked, &plans) {
            return;
        }
        self.reported
            .retain(|upstream| plans.is_leaving(upstream) || plans.is_ejected(now, upstream));
        for upstream in self.draft.upstreams() {
            if self.reported.contains(upstream) {
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
            self.reported.push(upstream);
            self.events.push_back(event);
        }
        self.checked = plans;
    }

    fn execute(&mut self, action: Action) -> Result<Option<Next>> {
        match action {
            Action::Send { upstream, step, expected, timeout } => {
                let name = step.name;
                match self.row(&upstream) {
                    Some(row) => {
                        let node = self.node.clone();
                        let suspect = self.suspect();
                        self.calls.push(call::step(node, row, step, expected, timeout, suspect));
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
                let timeout = timeout / 2;
                let kv_move = KvMove { request: self.id, attempt, new_attempt, layers, timeout };
                match self.row(&from).zip(self.row(&to)) {
                    Some((from, to)) => {
                        self.calls.push(call::move_kv(self.node.clone(), from, to, kv_move));
                    }
                    None => {
                        let exported = self.row(&from).is_some();
                        let event = Event::KvFailed { attempt: new_attempt, exported };
                        self.events.push_back(event);
                    }
                }
            }
            Action::Commit { position, token } => return Ok(Some(self.token(position, token))),
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
                self.record_progress(PROOF_TOKENS);
                return Ok(Some(Next::End(Summary { count, digest })));
            }
            Action::Fail(failure) => return Err(refusal(&failure)),
        }
        Ok(None)
    }

    fn token(&mut self, position: u32, token: u32) -> Next {
        let position = position - self.request.prompt.len() as u32;
        self.record_progress(position as usize + 1 - self.request.resume.len());
        if position as usize == self.request.resume.len() {
            let elapsed = self.node.clock.now().since(self.started);
            self.node.metrics.first_token.record(elapsed.as_secs_f64(), &[]);
        }
        self.node.metrics.tokens.add(1, &[]);
        Next::Token(TokenEvent { position, token, text: self.decoder.push(token) })
    }

    fn row(&self, upstream: &Upstream) -> Option<Arc<Row>> {
        self.node.upstreams.load().rows.get(upstream).cloned()
    }
}

impl Drop for Driver {
    /// Cancels the draft on every stage, also when the caller has disconnected.
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

/// Runs a closure with the plan for a draft: the planner of its model version, balanced by the
/// current load of the engines.
fn with_plan<T>(
    node: &Node,
    plans: &Plans,
    (request, id): (&DraftRequest, Request),
    run: impl FnOnce(&dyn Plan) -> T,
) -> T {
    let empty;
    let planner = match plans.get(&request.model, &request.version) {
        Some(planner) => planner,
        None => {
            empty = Planner::new(request.layers, 0);
            &empty
        }
    };
    let peers = node.peers.snapshot();
    // The low bits of a version 7 UUID are random.
    let upstream = &node.settings.upstream;
    let engines = Engines {
        plans,
        peers: &peers,
        now: node.clock.now(),
        max_report_age: (upstream.load_interval + upstream.load_timeout) * MAX_REPORT_ROUNDS,
    };
    run(&BalancedPlanner::new(planner, id.0.as_u128() as u64, engines))
}

/// Rounds of load reports without a report after which an engine does not count as alive; a round
/// takes at most the report interval and the timeout of a fetch.
const MAX_REPORT_ROUNDS: u32 = 2;

/// The current state of the engines of some plans.
struct Engines<'a> {
    plans: &'a Plans,
    peers: &'a Snapshot,
    now: Instant,
    /// Maximum age of a load report that shows an engine to be alive.
    max_report_age: Duration,
}

impl EngineState for Engines<'_> {
    fn steps(&self, upstream: &Upstream) -> u32 {
        self.plans.row(upstream).map_or(0, |row| row.load(self.peers).current())
    }

    fn positions(&self, upstream: &Upstream) -> u32 {
        self.plans.row(upstream).map_or(0, |row| row.positions())
    }

    fn is_alive(&self, upstream: &Upstream) -> bool {
        let report = self.plans.row(upstream).and_then(|row| row.report.as_ref());
        report.is_some_and(|(at, _)| self.now.since(*at) <= self.max_report_age)
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
