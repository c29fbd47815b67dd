//! A simulated engine that hashes activations.

use std::{collections::BTreeMap, time::Duration};

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::{chain::Candidate, draft::Fault};

use super::reference::{mix, token_of};

/// Returns an engine with the given accelerator.
///
/// The time model: a step of one position takes 250, 500 or 1,000 microseconds a layer on a
/// large, medium or small accelerator, each further position 2, 5 or 12 microseconds a layer.
pub fn candidate_of(kind: Accelerator, name: &str, from: u32, to: u32) -> Candidate {
    let (step, prefill) = match kind {
        Accelerator::Large => (250, 2),
        Accelerator::Medium => (500, 5),
        Accelerator::Small => (1_000, 12),
    };
    Candidate {
        accelerator: kind,
        step: Duration::from_micros(step),
        cost: Duration::from_micros(step),
        prefill: Duration::from_micros(prefill),
        ..candidate(name, from, to)
    }
}

pub fn candidate(name: &str, from: u32, to: u32) -> Candidate {
    Candidate {
        upstream: name.parse().expect("a valid name"),
        domain: "kirkos".parse().expect("a valid name"),
        accelerator: Accelerator::Large,
        holds: [Layers { from, to }].into_iter().collect(),
        step: Duration::from_micros(250),
        slowdown: 1,
        cost: Duration::from_micros(250),
        prefill: Duration::from_micros(2),
        link: Duration::from_micros(512),
    }
}

/// A fault of an engine that occurs when a step arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum InjectedFault {
    /// The engine ends; connections to it break and are refused.
    Crash,
    /// The engine ends behind a link that drops everything, so connections do not break.
    Blackhole,
    /// The engine leaves, and can or cannot export its KV cache.
    Leave { export: bool },
    /// The link of the engine becomes slower by a factor.
    SlowLink(u32),
    /// The engine evicts its KV caches.
    Evict,
    /// The engine is reported as lost or suspected, although it works.
    FalseReport { lost: bool },
    /// The engine refuses a number of steps.
    Refuse(Fault, u32),
}

#[derive(Debug, Default, Clone)]
pub struct Cache {
    pub layers: BTreeMap<u32, (u64, u32)>,
    pub answers: BTreeMap<(u32, u32), StepOutput>,
}

#[derive(Debug)]
pub struct Engine {
    pub candidate: Candidate,
    pub faults: Vec<(u32, InjectedFault)>,
    pub steps: u32,
    pub crashed: bool,
    pub unreachable: bool,
    pub leaving: bool,
    pub exports: bool,
    pub link_slowdown: u32,
    pub refuses: Option<(Fault, u32)>,
    pub caches: BTreeMap<u32, Cache>,
}

impl Engine {
    /// Runs a step, or returns the previous answer to a retried one.
    pub fn run(&mut self, step: &Step, depth: u32, runs: &mut u64) -> Result<StepOutput, Fault> {
        if let Some((fault, remaining)) =
            self.refuses.as_mut().filter(|(_, remaining)| *remaining > 0)
        {
            *remaining -= 1;
            return Err(*fault);
        }
        let key = (step.name.stage, step.name.position);
        let existing = self.caches.get(&step.name.attempt);
        if let Some(output) = existing.and_then(|cache| cache.answers.get(&key)) {
            return Ok(output.clone());
        }
        if self.leaving && existing.is_none() {
            return Err(Fault::Leaving);
        }
        if !self.candidate.ranges().iter().any(|range| range.covers(step.layers)) {
            return Err(Fault::NotHeld);
        }
        let span = step.layers.from..step.layers.to;
        let positions =
            |layer| existing.and_then(|cache| cache.layers.get(&layer)).map_or(0, |l| l.1);
        if span.clone().any(|layer| positions(layer) != step.name.position) {
            return Err(Fault::Gap);
        }
        let mut values: Vec<u64> = match &step.input {
            StepInput::Tokens(tokens) => tokens.iter().map(|&token| u64::from(token)).collect(),
            StepInput::Activations(values) => values.clone(),
        };
        let cache = self.caches.entry(step.name.attempt).or_default();
        for layer in span {
            let (state, positions) = cache.layers.entry(layer).or_default();
            for value in &mut values {
                *state = mix(*state, *value, u64::from(layer));
                *positions += 1;
                *runs += 1;
                *value = *state;
            }
        }
        let output = match values.last() {
            Some(&last) if step.layers.to == depth => StepOutput::Token(token_of(last)),
            _ => StepOutput::Activations(values),
        };
        cache.answers.insert(key, output.clone());
        Ok(output)
    }
}
