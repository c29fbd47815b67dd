//! A model that engines hold in ranges of layers.

use std::time::Duration;

use goldcrestvale_base::engine::Layers;

goldcrestvale_base::domain! {
    record
    /// A kind of accelerator card.
    pub struct Card {
        /// Name, as engines report it.
        pub name: String,
        /// Memory, in megabytes.
        pub memory_mb: f64,
        /// Time of a decode step, relative to the reference card.
        pub step_pace: f64,
        /// Time of a prefill, relative to the reference card.
        pub read_pace: f64,
    }

    /// Mean sizes of a request and its answer.
    pub struct MeanRequest {
        /// Tokens of the prompt.
        pub prompt: f64,
        /// Tokens of the answer.
        pub answer: f64,
    }

    /// Time of a decode step over all layers on the reference card.
    #[derive(Default)]
    #[serde(default)]
    pub struct StepTime {
        /// Time of a step without streams.
        pub base: Duration,
        /// Additional time for each stream.
        pub per_stream: Duration,
        /// Additional time for each 1,000 tokens of context, over all streams.
        pub per_thousand_tokens: Duration,
    }

    /// A model and the cards that may hold it.
    pub struct Model {
        /// Number of layers.
        pub layers: u32,
        /// Size of a layer, in megabytes.
        pub layer_mb: f64,
        /// KV cache of a token over all layers, in bytes.
        pub token_bytes: f64,
        /// Streams that a first engine runs at the same time.
        pub slots: u32,
        /// Time to load all layers on one engine.
        #[serde(rename = "load")]
        pub load_time: Duration,
        /// Number of loads that can run at full speed at the same time.
        pub loads_at_once: u32,
        /// Mean sizes of a request and its answer.
        #[serde(rename = "usual")]
        pub mean_request: MeanRequest,
        /// Time of a decode step.
        #[serde(default)]
        pub step: StepTime,
        /// Prompt tokens that the reference card reads per second over all layers; `None` if the
        /// time to read a prompt is unknown and does not count.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub read_per_s: Option<f64>,
        /// Kinds of card.
        pub cards: Vec<Card>,
    }
}

impl Model {
    /// Returns the kind of card with the given name.
    pub fn card(&self, name: &str) -> Option<&Card> {
        self.cards.iter().find(|card| card.name == name)
    }

    /// Returns the range of all layers.
    pub fn all_layers(&self) -> Layers {
        Layers { from: 0, to: self.layers }
    }

    /// Returns the maximum number of layers that fit on a card.
    pub fn max_layers(&self, card: &Card) -> u32 {
        (card.memory_mb / self.layer_mb).floor() as u32
    }

    /// Returns the number of tokens that fit on a card beside a number of layers; infinite without
    /// layers.
    pub fn token_capacity(&self, card: &Card, layers: u32) -> f64 {
        let free_mb = card.memory_mb - f64::from(layers) * self.layer_mb;
        let token_mb = self.token_bytes / f64::from(self.layers) * f64::from(layers) / 1e6;
        if token_mb > 0.0 { free_mb.max(0.0) / token_mb } else { f64::INFINITY }
    }

    /// Returns the maximum number of layers that fit on a card beside a number of tokens.
    pub fn layers_beside(&self, card: &Card, tokens: f64) -> u32 {
        let token_mb = self.token_bytes / f64::from(self.layers.max(1)) / 1e6;
        // The capacity for tokens without size is infinite.
        let tokens_mb = if token_mb > 0.0 { token_mb * tokens } else { 0.0 };
        // Rounding must not drop the layer for which the number of tokens was calculated.
        (card.memory_mb / (self.layer_mb + tokens_mb) + 1e-6).floor() as u32
    }

    /// Returns the time of a decode step over all layers on the reference card, in seconds, with a
    /// number of streams of average size.
    pub fn step_s(&self, streams: f64) -> f64 {
        let context = self.step.per_thousand_tokens.as_secs_f64() * self.stream_tokens() / 1_000.0;
        let step_s =
            self.step.base.as_secs_f64() + streams * (self.step.per_stream.as_secs_f64() + context);
        // Without declared times every step counts alike.
        if step_s > 0.0 { step_s } else { 1.0 }
    }

    /// Returns the time to read a token of a prompt over all layers on the reference card, in
    /// seconds; 0 if it is unknown.
    pub fn read_s(&self) -> f64 {
        self.read_per_s.filter(|rate| rate.is_finite() && *rate > 0.0).map_or(0.0, f64::recip)
    }

    /// Returns by how much a stream that holds a number of tokens prolongs a decode step on the
    /// reference card, in seconds.
    pub fn added_step_s(&self, tokens: f64) -> f64 {
        let context_s = self.step.per_thousand_tokens.as_secs_f64() * tokens / 1_000.0;
        self.step.per_stream.as_secs_f64() + context_s
    }

    /// Returns the average number of tokens that a stream holds at its end.
    pub fn final_tokens(&self) -> f64 {
        self.mean_request.prompt + self.mean_request.answer
    }

    /// Returns the average number of tokens that a stream holds over its lifetime.
    pub fn stream_tokens(&self) -> f64 {
        self.mean_request.prompt + self.mean_request.answer / 2.0
    }
}
