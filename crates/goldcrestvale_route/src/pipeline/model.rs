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

    /// Returns the average number of tokens that a stream holds over its lifetime.
    pub fn stream_tokens(&self) -> f64 {
        self.mean_request.prompt + self.mean_request.answer / 2.0
    }
}
