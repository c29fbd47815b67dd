//! A reference computation of answers, and checks of a draft against it.

use std::time::Duration;

use goldcrestvale_base::prelude::*;
use goldcrestvale_route::draft::{Failure, Prompt, Stats};

pub fn mix(state: u64, input: u64, salt: u64) -> u64 {
    let mut x = state ^ input.rotate_left(23) ^ salt.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

pub fn token_of(activation: u64) -> u32 {
    (activation % 50_021) as u32
}

/// Computes the answer to a prompt without a router: each layer once per position, in order.
pub fn reference_answer(prompt: &[u32], count: usize, depth: u32) -> Vec<u32> {
    let mut states = vec![0; depth as usize];
    let mut tokens = prompt.to_vec();
    let mut position = 0;
    while tokens.len() < prompt.len() + count {
        let mut activation = 0;
        while position < tokens.len() {
            activation = u64::from(tokens[position]);
            for (layer, state) in states.iter_mut().enumerate() {
                *state = mix(*state, activation, layer as u64);
                activation = *state;
            }
            position += 1;
        }
        tokens.push(token_of(activation));
    }
    tokens.split_off(prompt.len())
}

/// Returns the digest that is sent at the end of an answer.
pub fn digest(tokens: &[u32]) -> Digest {
    let bytes: Vec<u8> = tokens.iter().flat_map(|token| token.to_le_bytes()).collect();
    Digest::of(&bytes)
}

pub fn request() -> Request {
    "018f3c5e-0000-7000-8000-000000000001".parse().expect("a valid request")
}

pub fn prompt(length: u32, max_tokens: u32) -> Prompt {
    let tokens = (0..length).map(|i| i * 7 + 3).collect();
    Prompt::new(request(), "notices".parse().expect("a valid name"), tokens, max_tokens)
}

pub fn prompt_tokens(length: u32) -> Vec<u32> {
    (0..length).map(|i| i * 7 + 3).collect()
}

/// How a draft ended.
#[derive(Debug)]
pub struct Outcome {
    /// Tokens in the order of their commits, each with its position and time.
    pub tokens: Vec<(u32, u32, Instant)>,
    /// Count and digest, or the failure.
    pub end: Result<(u32, Digest), Failure>,
    pub ended_at: Instant,
    pub stats: Stats,
    /// Detection and rebuild time of each recovery.
    pub recoveries: Vec<(Duration, Duration)>,
    /// Maximum memory use of the draft.
    pub peak_bytes: usize,
    /// Positions times layers that engines ran.
    pub engine_runs: u64,
    /// Number of actions returned for events after the end.
    pub actions_after_end: usize,
    /// Number of steps that would start a KV cache at a leaving engine.
    pub started_while_leaving: u32,
}

impl Outcome {
    /// Returns the maximum time between two tokens.
    pub fn max_gap(&self) -> Duration {
        let gaps = self.tokens.windows(2).map(|pair| pair[1].2.since(pair[0].2));
        gaps.max().unwrap_or_default()
    }
}

/// Checks that a finished draft committed the reference answer, in order and each token once.
///
/// # Errors
///
/// Returns a description of the violated property.
pub fn check_outcome(
    outcome: &Outcome,
    prompt: u32,
    max_tokens: u32,
    depth: u32,
) -> Result<(), String> {
    let expected = reference_answer(&prompt_tokens(prompt), max_tokens as usize, depth);
    for (index, (position, token, _)) in outcome.tokens.iter().enumerate() {
        if *position != prompt + index as u32 || *token != expected[index] {
            return Err(format!("token {index}: {token} at {position}, not {}", expected[index]));
        }
    }
    if outcome.actions_after_end > 0 {
        return Err("actions after the end".into());
    }
    let Ok((count, actual_digest)) = &outcome.end else { return Ok(()) };
    if (*count, *actual_digest) != (max_tokens, digest(&expected))
        || outcome.tokens.len() != max_tokens as usize
    {
        return Err(format!("finished with {count} tokens and digest {actual_digest}"));
    }
    let stats = &outcome.stats;
    let needed = u64::from(prompt + max_tokens - 1) * u64::from(depth);
    if stats.needed != needed || stats.run < needed || outcome.engine_runs < stats.run {
        return Err(format!(
            "{needed} layer runs needed, {stats:?}, engines ran {}",
            outcome.engine_runs
        ));
    }
    if stats.rebuilds == 0 && stats.run != needed {
        return Err(format!("layers ran twice without a rebuild: {stats:?}"));
    }
    Ok(())
}
