//! How long a batch takes on each kind of accelerator.

use std::time::Duration;

use goldcrestvale_upstream::message::Accelerator;

/// The time model of one kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost {
    /// Time of one layer in a batch, whatever its size.
    pub layer: Duration,
    /// Time of one token in one layer, on top.
    pub token: Duration,
    /// Largest number of tokens in a batch.
    pub cap: u32,
}

impl Cost {
    /// Returns the model of a kind of accelerator.
    pub const fn of(accelerator: &Accelerator) -> Self {
        let (layer, token, cap) = match accelerator {
            Accelerator::Large => (300, 3, 4096),
            Accelerator::Medium => (600, 8, 2048),
            Accelerator::Small => (1500, 25, 1024),
        };
        Self { layer: Duration::from_micros(layer), token: Duration::from_micros(token), cap }
    }

    /// Returns the time of a batch of steps, each given as its layers and its tokens.
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
        let mut deepest = 0;
        let mut work = 0;
        for (layers, tokens) in steps {
            deepest = deepest.max(layers);
            work += layers * tokens;
        }
        self.layer * deepest + self.token * work
    }
}
