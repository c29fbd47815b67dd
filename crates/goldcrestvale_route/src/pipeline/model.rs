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
        /// Time of a step against the reference card.
        pub step_pace: f64,
        /// Time to read a prompt against the reference card.
        pub read_pace: f64,
    }

    /// Mean sizes of the requests.
    pub struct MeanRequest {
        /// Tokens of a prompt.
        pub prompt: f64,
        /// Tokens of an answer.
        pub answer: f64,
    }

    /// A model and the cards that may hold it.
    pub struct Model {
        /// Number of layers.
        pub layers: u32,
        /// Size of a layer, in megabytes.
        pub layer_mb: f64,
        /// Memory of a token over all layers, in bytes.
        pub token_bytes: f64,
        /// Streams that one first engine takes at once.
        pub slots: u32,
        /// Time to load all layers on one engine.
        #[serde(rename = "load")]
        pub load_time: Duration,
        /// Loads that run at full speed at the same time.
        pub loads_at_once: u32,
        /// Mean sizes of the requests.
        #[serde(rename = "usual")]
        pub mean_request: MeanRequest,
        /// Kinds of card.
        pub cards: Vec<Card>,
    }
}

impl Model {
    /// Returns the card of that name.
    pub fn card(&self, name: &str) -> Option<&Card> {
        self.cards.iter().find(|card| card.name == name)
    }

    /// Returns the range of all layers.
    pub fn all_layers(&self) -> Layers {
        Layers { from: 0, to: self.layers }
    }

    /// Returns the most layers that a card holds.
    pub fn max_layers(&self, card: &Card) -> u32 {
        (card.memory_mb / self.layer_mb).floor() as u32
    }

    /// Returns the tokens that fit beside a number of layers on a card; infinite without layers.
    pub fn token_capacity(&self, card: &Card, layers: u32) -> f64 {
        let left = card.memory_mb - f64::from(layers) * self.layer_mb;
        let token_mb = self.token_bytes / f64::from(self.layers) * f64::from(layers) / 1e6;
        if token_mb > 0.0 { left.max(0.0) / token_mb } else { f64::INFINITY }
    }

    /// Returns the tokens that a stream holds on average over its life.
    pub fn stream_tokens(&self) -> f64 {
        self.mean_request.prompt + self.mean_request.answer / 2.0
    }
}
