//! State of an engine: holdings, caches and the record of runs.

use std::{
    collections::{HashMap, hash_map},
    sync::Arc,
    time::Duration,
};

use goldcrestvale_base::id::{Model, Request};
use goldcrestvale_upstream::message::{
    Cancel, Held, Layers, Refusal, RefusalBody, Step, StepAnswer, StepInput,
};
use tokio::time::Instant;

use super::{
    Counts, Settings, cache::Cache, order::Holdings, prefix::Prefixes, runs::Runs, weights::Store,
};

/// The result of a request to the engine.
pub(super) type Result<T> = std::result::Result<T, RefusalBody>;

/// Minimum interval between two searches for idle KV caches.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// State of an engine.
#[derive(Debug)]
pub(super) struct State {
    pub(super) holdings: Holdings,
    pub(super) caches: HashMap<(Request, u32), Cache>,
    pub(super) prefixes: Prefixes,
    pub(super) counts: Counts,
    pub(super) runs: Runs,
    pub(super) leaving: bool,
    pub(super) running: u32,
    depth: u32,
    record_runs: bool,
    idle_timeout: Duration,
    kv_bytes_max: u64,
    last_sweep: Instant,
}

/// Returns a refusal as an error.
pub(super) fn refuse<T>(refusal: Refusal, detail: impl Into<String>) -> Result<T> {
    Err(RefusalBody { refusal, detail: detail.into() })
}

/// Returns whether a cancel applies to an attempt.
pub(super) fn cancels(cancel: &Cancel, request: Request, attempt: u32) -> bool {
    cancel.request == request && cancel.attempt.is_none_or(|given| given == attempt)
}

/// Returns the number of positions of an input.
pub(super) fn position_count(input: &StepInput) -> u32 {
    let count = match input {
        StepInput::Tokens(tokens) => tokens.len(),
        StepInput::Activations(activations) => activations.len(),
    };
    u32::try_from(count).unwrap_or(u32::MAX)
}

impl State {
    pub(super) fn new(settings: &Settings, store: Arc<Store>) -> Self {
        Self {
            holdings: Holdings::new(settings, store),
            caches: HashMap::new(),
            prefixes: Prefixes::new(settings),
            counts: Counts::default(),
            runs: Runs::default(),
            leaving: false,
            running: 0,
            depth: settings.depth,
            record_runs: settings.record_runs,
            idle_timeout: Duration::from_millis(settings.kv_idle_ms),
            kv_bytes_max: settings.kv_bytes_max,
            last_sweep: Instant::now(),
        }
    }

    /// Runs one step, or returns the stored answer if the step is a retry.
    pub(super) fn step(&mut self, step: &Step) -> Result<StepAnswer> {
        self.check(step)?;
        let now = Instant::now();
        if let Some(answer) = self.answer_retry(step) {
            return Ok(answer);
        }
        self.admit(step, now)?;
        let key = (step.name.request, step.name.attempt);
        let cache = match self.caches.entry(key) {
            hash_map::Entry::Occupied(cache) => cache.into_mut(),
            hash_map::Entry::Vacant(entry) => entry.insert(Cache::new(step.model.clone(), now)),
        };
        let output = cache.run(step.layers, self.depth, &step.input, now);
        let answer = StepAnswer { name: step.name, output };
        cache.last.insert(step.name.stage, answer.clone());
        if step.name.position == 0 {
            self.prefixes.store(&step.input);
        }
        self.record(step);
        Ok(answer)
    }

    fn answer_retry(&mut self, step: &Step) -> Option<StepAnswer> {
        let cache = self.caches.get(&(step.name.request, step.name.attempt))?;
        let last = cache.last.get(&step.name.stage).filter(|last| last.name == step.name)?;
        let last = last.clone();
        self.counts.repeats += 1;
        Some(last)
    }

    fn check(&self, step: &Step) -> Result<()> {
        self.check_held(&step.model, step.layers)?;
        if position_count(&step.input) == 0 || step.layers.is_empty() {
            return refuse(Refusal::Malformed, "a step has at least one position and one layer");
        }
        let tokens = matches!(step.input, StepInput::Tokens(_));
        if tokens != (step.layers.from == 0) {
            return refuse(Refusal::Malformed, "tokens go into layer 0, activations into others");
        }
        Ok(())
    }

    /// Refuses a request for layers that the engine does not hold.
    pub(super) fn check_held(&self, model: &Model, layers: Layers) -> Result<()> {
        let covers = |held: &Held| held.model == *model && held.layers.covers(layers);
        if self.holdings.held.iter().any(covers) {
            return Ok(());
        }
        refuse(Refusal::NotHeld, format!("layers {}..{} are not held", layers.from, layers.to))
    }

    /// Refuses a step that does not continue the cached positions, and a step of a new attempt
    /// while the engine is leaving or full.
    fn admit(&mut self, step: &Step, now: Instant) -> Result<()> {
        let cache = self.caches.get(&(step.name.request, step.name.attempt));
        let position = step.name.position;
        let mismatch = match cache {
            Some(cache) => cache.find_mismatch(step.layers, position),
            None => (position > 0).then_some((step.layers.from, 0)),
        };
        if let Some((layer, positions)) = mismatch {
            let detail = format!("layer {layer} holds {positions} positions, not {position}");
            log::warn!("request {} attempt {}: {detail}", step.name.request, step.name.attempt);
            self.counts.gaps += 1;
            return refuse(Refusal::Gap, detail);
        }
        if cache.is_some() {
            return Ok(());
        }
        self.admit_cache(now)
    }

    /// Refuses a new KV cache while the engine is leaving or full.
    pub(super) fn admit_cache(&mut self, now: Instant) -> Result<()> {
        if self.leaving {
            return refuse(Refusal::Leaving, "the engine is leaving");
        }
        if now.duration_since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.caches.retain(|_, cache| now.duration_since(cache.used) < self.idle_timeout);
        }
        if self.kv_bytes_max > 0 && self.kv_bytes() >= self.kv_bytes_max {
            return refuse(Refusal::Busy, "the KV cache is full");
        }
        Ok(())
    }

    fn record(&mut self, step: &Step) {
        let positions = position_count(&step.input);
        self.counts.steps += 1;
        self.counts.layer_runs += u64::from(positions) * u64::from(step.layers.len());
        if self.record_runs {
            for violation in self.runs.record(step.name, step.layers, positions) {
                log::error!("{violation}");
                self.counts.violations.push(violation);
            }
        }
    }

    /// Drops the state of one attempt or of all attempts of a request.
    pub(super) fn cancel(&mut self, cancel: &Cancel) {
        let before = self.caches.len();
        self.caches.retain(|(request, attempt), _| !cancels(cancel, *request, *attempt));
        self.counts.cancels += (before - self.caches.len()) as u64;
    }

    /// Returns the size of all KV caches in bytes.
    pub(super) fn kv_bytes(&self) -> u64 {
        self.caches.values().map(Cache::bytes).sum()
    }
}
