//! What an engine holds and has run.

use std::collections::HashMap;

use goldcrestvale_base::id::Request;
use goldcrestvale_upstream::message::{
    Cancel, Held, Kv, Refusal, RefusalBody, Step, StepAnswer, StepInput,
};

use super::{Counts, Settings, cache::Cache, counts::Run};

/// The result of a request to the engine.
pub(super) type Result<T> = std::result::Result<T, RefusalBody>;

/// What an engine holds and has run.
#[derive(Debug)]
pub(super) struct State {
    pub(super) holds: Vec<Held>,
    pub(super) caches: HashMap<(Request, u32), Cache>,
    pub(super) counts: Counts,
    pub(super) leaving: bool,
    pub(super) running: u32,
    depth: u32,
}

/// Builds a refusal.
pub(super) fn refuse<T>(refusal: Refusal, detail: impl Into<String>) -> Result<T> {
    Err(RefusalBody { refusal, detail: detail.into() })
}

impl State {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            holds: settings.holds(),
            caches: HashMap::new(),
            counts: Counts::default(),
            leaving: false,
            running: 0,
            depth: settings.depth,
        }
    }

    /// Runs one step, or answers a repeated one again.
    pub(super) fn step(&mut self, step: &Step) -> Result<StepAnswer> {
        self.check(step)?;
        let key = (step.name.request, step.name.attempt);
        let known = self.caches.get(&key);
        if let Some(last) = known.and_then(|cache| cache.last.get(&step.name.stage))
            && last.name == step.name
        {
            self.counts.repeats += 1;
            return Ok(last.clone());
        }
        // A request whose cache is known is in progress and is finished also while leaving.
        if self.leaving && known.is_none() {
            return refuse(Refusal::Leaving, "the engine is leaving");
        }
        let misfit = known.map_or_else(
            || (step.name.position > 0).then_some((step.layers.from, 0)),
            |cache| cache.misfit(step.layers, step.name.position),
        );
        if let Some((layer, positions)) = misfit {
            self.counts.gaps += 1;
            let position = step.name.position;
            log::warn!("layer {layer} holds {positions} positions, a step asks for {position}");
            let detail = format!("layer {layer} holds {positions} positions, not {position}");
            return refuse(Refusal::Gap, detail);
        }
        let cache = self.caches.entry(key).or_default();
        let output = cache.run(step.layers, self.depth, &step.input);
        let answer = StepAnswer { name: step.name, output };
        cache.last.insert(step.name.stage, answer.clone());
        self.record(step);
        Ok(answer)
    }

    fn check(&mut self, step: &Step) -> Result<()> {
        let covers = |held: &Held| held.model == step.model && held.layers.covers(step.layers);
        if !self.holds.iter().any(covers) {
            return refuse(Refusal::NotHeld, "the layers are not held");
        }
        let tokens = matches!(step.input, StepInput::Tokens(_));
        if width(&step.input) == 0 || step.layers.is_empty() {
            return refuse(Refusal::Malformed, "a step has at least one position and one layer");
        }
        if tokens != (step.layers.from == 0) {
            return refuse(Refusal::Malformed, "tokens go into layer 0, activations into others");
        }
        Ok(())
    }

    fn record(&mut self, step: &Step) {
        let positions = width(&step.input);
        self.counts.steps += 1;
        self.counts.layer_runs += u64::from(positions) * u64::from(step.layers.len());
        let (request, attempt) = (step.name.request, step.name.attempt);
        let (from, to) = (step.name.position, step.name.position + positions);
        for layer in step.layers.from..step.layers.to {
            let run = Run { request, attempt, layer, from, to };
            let same =
                |old: &&mut Run| (old.request, old.attempt, old.layer) == (request, attempt, layer);
            match self.counts.runs.iter_mut().rev().find(same) {
                Some(old) if old.to == from => old.to = to,
                Some(old) => {
                    let violation = format!(
                        "request {request} attempt {attempt} layer {layer}: ran {}..{}, then {from}..{to}",
                        old.from, old.to
                    );
                    log::error!("{violation}");
                    self.counts.violations.push(violation);
                    self.counts.runs.push(run);
                }
                None => self.counts.runs.push(run),
            }
        }
    }

    /// Drops the state of one attempt, or of all attempts of a request.
    pub(super) fn cancel(&mut self, cancel: &Cancel) {
        let before = self.caches.len();
        self.caches.retain(|(request, attempt), _| {
            *request != cancel.request || cancel.attempt.is_some_and(|given| given != *attempt)
        });
        self.counts.cancels += (before - self.caches.len()) as u64;
    }

    /// Exports the KV cache of one attempt.
    pub(super) fn export(&mut self, request: Request, attempt: u32) -> Option<Kv> {
        let cache = self.caches.get(&(request, attempt))?;
        let from = *cache.slots.first_key_value()?.0;
        let (last, slot) = cache.slots.last_key_value()?;
        let layers = goldcrestvale_upstream::message::Layers { from, to: last + 1 };
        let state = serde_json::to_string(&cache.slots).ok()?;
        let model = self.holds.first()?.model.clone();
        let positions = slot.positions;
        self.counts.exports += 1;
        Some(Kv { request, attempt, model, layers, positions, state })
    }

    /// Imports a KV cache under the attempt that it names.
    pub(super) fn import(&mut self, kv: &Kv) -> Result<()> {
        if self.leaving {
            return refuse(Refusal::Leaving, "the engine is leaving");
        }
        let covers = |held: &Held| held.model == kv.model && held.layers.covers(kv.layers);
        if !self.holds.iter().any(covers) {
            return refuse(Refusal::NotHeld, "the layers are not held");
        }
        let slots: std::collections::BTreeMap<u32, super::cache::Slot> =
            match serde_json::from_str(&kv.state) {
                Ok(slots) => slots,
                Err(error) => return refuse(Refusal::Malformed, error.to_string()),
            };
        let cache = self.caches.entry((kv.request, kv.attempt)).or_default();
        cache.slots.extend(slots);
        self.counts.imports += 1;
        Ok(())
    }
}

/// Returns the number of positions of an input.
pub(super) fn width(input: &StepInput) -> u32 {
    let width = match input {
        StepInput::Tokens(tokens) => tokens.len(),
        StepInput::Activations(activations) => activations.len(),
    };
    u32::try_from(width).unwrap_or(u32::MAX)
}
