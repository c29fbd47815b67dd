//! Learns the sizes of answers.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;

use super::{
    Estimate,
    moments::{MIN_VARIANCE, Moments},
};
use crate::pipeline::MeanRequest;

/// Maximum number of routes, and of customers by route, that lengths are kept of.
pub const MAX_ENTRIES: usize = 1_024;

/// Weight of what is known of all answers beside those of one route, and of the route beside those
/// of one customer, in answers. The spread of a logarithm is known to about a quarter after 8.
const PRIOR_WEIGHT: f64 = 8.0;

/// Variance of the logarithm of the length before any answer: a spread of 0.8 of the mean, that of
/// the answers of the deployments at hand.
const PRIOR_VARIANCE: f64 = 0.5;

/// Variance of the logarithm of answer over hint before any answer; a hint counts for about as much
/// as a factor of e in both directions.
const PRIOR_HINT_VARIANCE: f64 = 1.0;

/// Maximum variance: a larger one gives a mean above the 90th percentile.
const MAX_VARIANCE: f64 = 2.0;

/// The 90th percentile of a normal distribution, in standard deviations.
const HIGH_DEVIATIONS: f64 = 1.281_55;

/// Maximum length of an answer and of a prompt, in tokens and in events.
const MAX_LENGTH: f64 = 1_000_000.0;

/// Answers over which the mean number of events is averaged, for the number of tokens in an event.
const STRIDE_WINDOW: f64 = 256.0;

/// What is known of a stream before it is sent.
#[derive(Debug, Clone, Copy, Default)]
pub struct Query<'q> {
    /// Route of the stream.
    pub route: &'q str,
    /// Its customer; empty if it has none.
    pub customer: &'q str,
    /// Tokens of the prompt, if the caller states them.
    pub prompt: Option<u32>,
    /// Maximum tokens of the answer, if the caller states them.
    pub max_answer: Option<u32>,
    /// The caller's estimate of the answer, in tokens.
    pub hint: Option<u32>,
}

/// An answer that ended, as it was recorded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// Tokens of the answer.
    pub tokens: f64,
    /// Whether the least recently used lengths were dropped for it.
    pub has_evicted: bool,
}

/// Lengths of the answers of one route, or of one customer of it.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    /// Logarithm of the number of events.
    length: Moments,
    /// Logarithm of answer over hint.
    hint_error: Moments,
    last_used: u64,
}

/// Hash of a route, and of a customer of it. A collision only makes an estimate less exact.
type Key = (u64, Option<u64>);

/// Estimates the sizes of streams of one service by the answers that ended.
///
/// The load: answers are distributed log-normally with a spread as large as the mean, and differ by
/// route and customer. Callers add hints of any quality. The length that the history suggests and
/// the hint are weighed by the inverse of their variances, so that a hint counts as far as the
/// hints of that customer were right before. A hint has no influence before any answer was seen.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::{cost::{Estimator, Query}, pipeline::MeanRequest};
///
/// let mut estimator = Estimator::new(&MeanRequest { prompt: 700.0, answer: 200.0 });
/// let query = Query { route: "chat", customer: "family", ..Query::default() };
/// assert_eq!(estimator.estimate(&query).answer.round(), 200.0);
/// for (route, events) in [("chat", 50), ("report", 350)].repeat(100) {
///     estimator.record(&Query { route, ..query }, events);
/// }
/// assert!(estimator.estimate(&query).answer < 80.0);
/// ```
#[derive(Debug, Clone)]
pub struct Estimator {
    mean: MeanRequest,
    entries: IndexMap<Key, Entry>,
    /// Number of answers, at most [`STRIDE_WINDOW`].
    answers: f64,
    mean_events: f64,
    uses: u64,
}

impl Estimator {
    /// Creates an estimator with the configured mean sizes of a request and its answer.
    pub fn new(mean: &MeanRequest) -> Self {
        Self {
            mean: clamp_mean(mean),
            entries: IndexMap::new(),
            answers: 0.0,
            mean_events: 0.0,
            uses: 0,
        }
    }

    /// Sets the configured mean sizes, after a change of the configuration.
    pub fn set_mean(&mut self, mean: &MeanRequest) {
        self.mean = clamp_mean(mean);
    }

    /// Estimates the size of a stream.
    pub fn estimate(&self, query: &Query<'_>) -> Estimate {
        let stride = self.stride();
        let (length, hint_error) = self.history(query);
        let variance = length.variance.clamp(MIN_VARIANCE, MAX_VARIANCE);
        let (mut log_length, mut log_variance) = (length.mean + stride.ln(), variance);
        if let Some(hint) = query.hint {
            let trust = hint_error.count / (hint_error.count + PRIOR_WEIGHT);
            let precision = trust / hint_error.variance.max(MIN_VARIANCE);
            let hinted = clamp_tokens(hint).ln() + hint_error.mean;
            let total = variance.recip() + precision;
            log_length = (log_length / variance + hinted * precision) / total;
            log_variance = total.recip();
        }
        let max = query.max_answer.map_or(MAX_LENGTH, clamp_tokens);
        let high = (log_length + HIGH_DEVIATIONS * log_variance.sqrt()).exp().clamp(1.0, max);
        Estimate {
            prompt: query.prompt.map_or(self.mean.prompt, clamp_tokens),
            answer: (log_length + log_variance / 2.0).exp().clamp(1.0, high),
            answer_high: high,
            stride,
        }
    }

    /// Records an answer that ended; one without events says nothing of lengths.
    pub fn record(&mut self, query: &Query<'_>, events: u64) -> Option<Answer> {
        if events == 0 {
            return None;
        }
        let events = (events as f64).min(MAX_LENGTH);
        self.answers = (self.answers + 1.0).min(STRIDE_WINDOW);
        self.mean_events += (events - self.mean_events) / self.answers;
        let tokens = events * self.stride();
        let mut has_evicted = false;
        self.uses += 1;
        for key in keys(query) {
            if !self.entries.contains_key(&key) && self.entries.len() >= MAX_ENTRIES {
                self.evict();
                has_evicted = true;
            }
            let entry = self.entries.entry(key).or_default();
            entry.last_used = self.uses;
            entry.length.record(events.ln());
            if let Some(hint) = query.hint {
                entry.hint_error.record((tokens / clamp_tokens(hint)).ln());
            }
        }
        Some(Answer { tokens, has_evicted })
    }

    /// Returns the number of routes, and of customers by route, that lengths are kept of.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no answer was recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the moments of the logarithm of the events of an answer, and of answer over hint.
    fn history(&self, query: &Query<'_>) -> (Moments, Moments) {
        // The mean of a log-normal distribution lies half a variance above its logarithm's mean.
        let mean = (self.mean.answer / self.stride()).ln() - PRIOR_VARIANCE / 2.0;
        let mut length = Moments { count: 0.0, mean, variance: PRIOR_VARIANCE };
        let mut hint_error = Moments { count: 0.0, mean: 0.0, variance: PRIOR_HINT_VARIANCE };
        for entry in keys(query).iter().filter_map(|key| self.entries.get(key)) {
            length = entry.length.shrunk_towards(length, PRIOR_WEIGHT);
            hint_error = entry.hint_error.shrunk_towards(hint_error, PRIOR_WEIGHT);
        }
        (length, hint_error)
    }

    /// Returns the tokens in an event: the configured mean answer by the mean number of events.
    fn stride(&self) -> f64 {
        let total = self.answers + PRIOR_WEIGHT;
        let events = (self.answers * self.mean_events + PRIOR_WEIGHT * self.mean.answer) / total;
        self.mean.answer / events.max(1.0)
    }

    fn evict(&mut self) {
        let oldest = self.entries.values().enumerate().min_by_key(|(_, entry)| entry.last_used);
        if let Some((index, _)) = oldest {
            self.entries.swap_remove_index(index);
        }
    }
}

/// Returns the keys of the route and of the customer of the route.
fn keys(query: &Query<'_>) -> [Key; 2] {
    let hash = |name: &str| {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        hasher.finish()
    };
    let route = hash(query.route);
    [(route, None), (route, Some(hash(query.customer)))]
}

fn clamp_mean(mean: &MeanRequest) -> MeanRequest {
    let clamp = |tokens: f64| if tokens >= 1.0 { tokens.min(MAX_LENGTH) } else { 1.0 };
    MeanRequest { prompt: clamp(mean.prompt), answer: clamp(mean.answer) }
}

fn clamp_tokens(tokens: u32) -> f64 {
    f64::from(tokens).clamp(1.0, MAX_LENGTH)
}
