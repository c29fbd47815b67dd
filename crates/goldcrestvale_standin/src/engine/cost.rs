//! Time model of batches for each kind of accelerator.

use std::time::Duration;

use goldcrestvale_upstream::message::Accelerator;

/// The time model of one kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost {
    /// Fixed time per layer of a batch, independent of its size.
    pub layer: Duration,
    /// Additional time per token and layer.
    pub token: Duration,
    /// Maximum number of tokens in a batch.
    pub cap: u32,
}

impl Cost {
    /// Returns the time model of a kind of accelerator.
    pub const fn of(accelerator: &Accelerator) -> Self {
        let (layer, token, cap) = match accelerator {
            Accelerator::Large => (300, 3, 4096),
            Accelerator::Medium => (600, 8, 2048),
            Accelerator::Small => (1500, 25, 1024),
        };
        Self { layer: Duration::from_micros(layer), token: Duration::from_micros(token), cap }
    }

    /// Returns the time of a batch of steps, each given as its numbers of layers and of tokens.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use goldcrestvale_standin::engine::cost::Cost;
    /// use goldcrestvale_upstream::message::Accelerator;
    ///
    /// let cost = Cost::of(&Accelerator::Large);
    /// assert_eq!(cost.batch([(10, 1), (10, 9)]), Duration::from_micros(3_300));
    /// ```
    pub fn batch(&self, steps: impl IntoIterator<Item = (u32, u32)>) -> Duration {
        let mut max_layers = 0;
        let mut layer_tokens = 0;
        for (layers, tokens) in steps {
            max_layers = max_layers.max(layers);
            layer_tokens += layers * tokens;
        }
        self.layer * max_layers + self.token * layer_tokens
    }
}
