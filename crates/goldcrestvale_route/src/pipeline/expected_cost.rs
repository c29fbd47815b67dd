//! What a stream of a known size costs on a chain: its own time, and the delay of the others.

use super::{Chain, Load, Model, Occupancy, Size};

/// Tokens of one stream that count at most, so that no absurd size gives an infinite cost.
const MAX_TOKENS: f64 = 1_000_000.0;

/// Seconds of the answer that count as much as one second before the first event. Callers want the
/// first event in half a second and wait 20 s for the whole answer. At 1 the replays had 9 times as
/// many late first events at moderate load.
const FIRST_EVENT_WEIGHT: f64 = 16.0;

/// The cost of a new stream on a chain by its expected size.
///
/// The load: many short answers beside a few that are ten times as long, on chains whose steps
/// differ by a factor of ten. Counted alike, long streams gather on a chain until it exceeds its
/// memory and preempts some midway.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedCost {
    /// Tokens that the streams on the chain hold on average over their lifetimes, the new one
    /// included.
    pub(super) held: f64,
    /// The same if the new stream gets as long as one of ten.
    held_high: f64,
    /// Tokens that fit on the chain.
    capacity: f64,
    /// Whether no other stream is on the chain.
    is_alone: bool,
    /// Share of the capacity or of the slots that is taken, whichever is larger.
    pub(super) utilisation: f64,
    /// Expected time of the stream and the sum of the delays that it causes, in seconds; the time to
    /// its first event counts several times.
    pub(super) seconds: f64,
}

impl ExpectedCost {
    /// Returns the cost of a stream; `None` if neither its size nor the tokens on the chain are
    /// known.
    pub(super) fn new(
        model: &Model,
        chain: &Chain,
        load: &Load,
        size: Option<Size>,
        occupancy: &Occupancy,
    ) -> Option<Self> {
        if size.is_none() && load.tokens.is_none() {
            return None;
        }
        let mean = &model.mean_request;
        let size = size.map_or(
            Size { prompt: mean.prompt, answer: mean.answer, answer_high: mean.answer },
            |size| Size {
                prompt: clamp(size.prompt),
                answer: clamp(size.answer),
                answer_high: clamp(size.answer_high),
            },
        );
        let (held, unread) = (held_by_others(model, load, occupancy), unread(model, load));
        let own_held = size.prompt + size.answer / 2.0;
        let capacity = chain.token_capacity.max(1.0);
        let others = occupancy.streams - 1.0;

        let read_s = chain.read_pace * model.read_s();
        // Streams that end are replaced, and the chain reads the prompts of the new ones between
        // its steps.
        let reading_s = others * mean.prompt * read_s / mean.answer.max(1.0);
        let step_s = chain.step_pace * model.step_s(occupancy.streams) + reading_s;
        let time_s = FIRST_EVENT_WEIGHT * read_s * (unread + size.prompt) + size.answer * step_s;
        // While the prompt is read no other stream proceeds; later, each of its steps is longer.
        let added_step_s = chain.step_pace * model.added_step_s(own_held);
        let delay_s = others * (read_s * size.prompt + size.answer * added_step_s);
        Some(Self {
            held: held + own_held,
            held_high: held + size.prompt + size.answer_high,
            capacity,
            is_alone: others < 1.0,
            utilisation: ((held + own_held) / capacity).max(occupancy.streams / occupancy.slots),
            seconds: time_s + delay_s,
        })
    }

    /// Returns whether the chain exceeds a multiple of its capacity with the new stream, or would if
    /// it gets long. A chain without streams takes one of any size, since no chain holds it better.
    pub(super) fn exceeds(&self, max_share: f64) -> bool {
        let max_tokens = self.capacity * max_share;
        !self.is_alone && (self.held > max_tokens || self.held_high > max_tokens)
    }
}

/// Returns the tokens that the streams on the chain hold on average over their lifetimes.
///
/// [`Load::tokens`] counts what they hold at their ends. Streams begin and end at different times,
/// so that a chain holds less at any moment, by the same ratio as for streams of average size.
fn held_by_others(model: &Model, load: &Load, occupancy: &Occupancy) -> f64 {
    let known_streams = f64::from(load.own) + f64::from(load.others);
    let final_tokens = model.final_tokens().max(1.0);
    // Streams that only the engine reports, or that are not reported yet, count as average ones.
    let unknown_streams = (occupancy.streams - 1.0 - known_streams).max(0.0);
    let max_tokens = known_streams * MAX_TOKENS;
    let known = load.tokens.filter(|tokens| tokens.is_finite());
    let known = known.map_or(known_streams * final_tokens, |tokens| tokens.clamp(0.0, max_tokens));
    (known + unknown_streams * final_tokens) * model.stream_tokens() / final_tokens
}

/// Returns the tokens of prompts that the chain still has to read.
fn unread(model: &Model, load: &Load) -> f64 {
    let own = if load.unread.is_finite() { load.unread.max(0.0) } else { 0.0 };
    own + load.unreported.max(0.0) * model.mean_request.prompt
}

fn clamp(tokens: f64) -> f64 {
    if tokens.is_nan() { 1.0 } else { tokens.clamp(1.0, MAX_TOKENS) }
}
