//! Relaying the steps of one draft over a chain of stages.

use std::{sync::Arc, time::Duration};

use goldcrestvale_base::{
    engine::{Layers, StepName},
    id::{Request, Upstream},
    time::Instant,
    verdict::Verdict,
};
use goldcrestvale_upstream::{
    error::Error,
    message::{self, Cancel, Step, StepAnswer, StepInput, StepOutput},
};

use super::{
    answer::{Piece, Text, is_awaited},
    ask::Ask,
};
use crate::{
    node::Node,
    refusal::{Cause, Refusal, Result},
    table::Row,
};

/// One stage of a chain.
#[derive(Debug)]
struct Stage {
    row: Arc<Row>,
    layers: Layers,
}

/// A draft in progress.
#[derive(Debug)]
pub(super) struct Relay {
    node: Arc<Node>,
    id: Request,
    ask: Ask,
    until: Instant,
    stages: Vec<Stage>,
    tokens: Vec<u32>,
    text: Text,
    /// Positions whose KV every stage holds.
    done: u32,
}

impl Relay {
    pub(super) fn plan(node: Arc<Node>, id: Request, ask: Ask, until: Instant) -> Result<Self> {
        let stages = plan(&node, &ask)?;
        let tokens = ask.resume.clone();
        Ok(Self { node, id, ask, until, stages, tokens, text: Text::default(), done: 0 })
    }

    pub(super) fn id(&self) -> Request {
        self.id
    }

    pub(super) fn ask(&self) -> &Ask {
        &self.ask
    }

    pub(super) fn tokens(&self) -> &[u32] {
        &self.tokens
    }

    pub(super) fn first_upstream(&self) -> &Upstream {
        &self.stages[0].row.name
    }

    /// Produces the next token, or `None` once the answer is whole.
    pub(super) async fn advance(&mut self) -> Result<Option<Piece>> {
        if self.tokens.len() >= self.ask.max_tokens as usize {
            return Ok(None);
        }
        let prefix = self.ask.prompt.iter().chain(&self.tokens).copied();
        let fresh: Vec<u32> = prefix.skip(self.done as usize).collect();
        let taken = fresh.len() as u32;
        let mut input = StepInput::Tokens(fresh);
        for stage in 0..self.stages.len() {
            match self.step(stage, input).await? {
                StepOutput::Activations(activations) => {
                    input = StepInput::Activations(activations);
                }
                StepOutput::Token(token) => {
                    self.done += taken;
                    let position = self.tokens.len() as u32;
                    self.tokens.push(token);
                    let text = self.text.push(token);
                    return Ok(Some(Piece { position, token, text }));
                }
            }
        }
        Err(Refusal::new(Verdict::MayHaveRun, Cause::Upstream, "the last stage gave no token"))
    }

    /// Returns how long the next step may take.
    fn limit(&self) -> Result<Duration> {
        let left = self.until.since(self.node.clock.now());
        if left.is_zero() {
            let detail = format!("the draft missed its deadline after {} tokens", self.done);
            return Err(Refusal::new(Verdict::MayHaveRun, Cause::Deadline, detail));
        }
        Ok(left.min(self.node.settings.upstream.step_timeout))
    }

    async fn step(&self, index: usize, input: StepInput) -> Result<StepOutput> {
        let stage = &self.stages[index];
        let name =
            StepName { request: self.id, attempt: 1, position: self.done, stage: index as u32 };
        let step = Step {
            name,
            model: self.ask.model.clone(),
            layers: stage.layers,
            priority: self.ask.priority,
            input,
        };
        let limit = self.limit()?;
        let _guard = stage.row.enter();
        let answer: StepAnswer = self
            .node
            .engines
            .step(stage.row.address, &step, limit)
            .await
            .map_err(|e| self.fail(stage, &e))?;
        if !is_awaited(name, answer.name) {
            let detail = format!("engine {} answered another step", stage.row.name);
            return Err(Refusal::new(Verdict::MayHaveRun, Cause::Upstream, detail));
        }
        Ok(answer.output)
    }
}

impl Relay {
    fn fail(&self, stage: &Stage, error: &Error) -> Refusal {
        if let Error::Refused { refusal: message::Refusal::Leaving, .. } = error {
            self.node.peers.refuse(&stage.row, self.node.clock.wall());
        }
        Refusal::new(Verdict::MayHaveRun, Cause::Upstream, error.to_string())
    }
}

impl Drop for Relay {
    /// Drops the request's state on every stage, also when the caller has gone.
    fn drop(&mut self) {
        let cancel = Cancel { request: self.id, attempt: None };
        for stage in self.stages.drain(..) {
            let node = self.node.clone();
            let cancel = cancel.clone();
            tokio::spawn(async move {
                let limit = node.settings.upstream.load_timeout;
                // An engine that cannot be reached drops the state later by itself.
                let _ = node.engines.cancel(stage.row.address, &cancel, limit).await;
            });
        }
    }
}

/// Covers all layers by the engines that reach furthest from each boundary.
fn plan(node: &Node, ask: &Ask) -> Result<Vec<Stage>> {
    let table = node.upstreams.load();
    let mut stages = Vec::new();
    let mut from = 0;
    while from < ask.layers {
        let reach = |row: &Arc<Row>| -> u32 {
            let held = row.engine().into_iter().flat_map(|load| &load.holds);
            held.filter(|held| held.model == ask.model && held.layers.from <= from)
                .map(|held| held.layers.to)
                .max()
                .unwrap_or(0)
        };
        let best = table
            .iter_engines()
            .filter(|row| reach(row) > from)
            .max_by_key(|row| (reach(row), std::cmp::Reverse(row.in_progress())));
        let Some(row) = best else {
            let detail = format!("no live engine holds layer {from} of {}", ask.model);
            let refusal = Refusal::early(Cause::NoUpstream, detail);
            return Err(refusal.retry_after(node.settings.platform.list_interval));
        };
        let to = reach(row).min(ask.layers);
        stages.push(Stage { row: row.clone(), layers: Layers { from, to } });
        from = to;
    }
    Ok(stages)
}
