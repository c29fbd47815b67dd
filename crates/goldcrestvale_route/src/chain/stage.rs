//! Stages and chains.

use std::time::Duration;

use goldcrestvale_base::{
    engine::Layers,
    id::{Domain, Upstream},
};
use smallvec::SmallVec;

goldcrestvale_base::domain! {
    value
    /// One engine and the layers that it runs in a chain.
    pub struct Stage {
        /// Name of the engine.
        pub upstream: Upstream,
        /// Failure domain of the engine.
        pub domain: Domain,
        /// Layers that the stage runs.
        pub layers: Layers,
        /// Expected time per layer of a step of one position.
        pub step: Duration,
        /// Expected time per layer of each further position of a step.
        pub prefill: Duration,
        /// Cost of the link: its round-trip time.
        pub link: Duration,
        /// Ratio of recent answer times to the expected time, at least 1.
        pub slowdown: u32,
    }

    /// Stages that cover a span of layers without gaps or overlaps.
    #[serde(transparent)]
    pub struct Chain {
        stages: SmallVec<[Stage; 4]>,
    }
}

impl Stage {
    /// Returns the expected time of a step over `positions` positions, including the link.
    pub fn time(&self, positions: u32) -> Duration {
        let further = self.prefill.saturating_mul(positions.saturating_sub(1));
        self.link + self.step.saturating_add(further).saturating_mul(self.layers.len())
    }
}

impl Chain {
    /// Creates a chain, or returns `None` if the stages do not cover the span exactly.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_base::engine::Layers;
    /// use goldcrestvale_route::chain::Chain;
    ///
    /// assert!(Chain::new(Layers { from: 0, to: 4 }, []).is_none());
    /// ```
    pub fn new(span: Layers, stages: impl IntoIterator<Item = Stage>) -> Option<Self> {
        let stages: SmallVec<[Stage; 4]> = stages.into_iter().collect();
        let mut next_layer = span.from;
        for stage in &stages {
            if stage.layers.from != next_layer || stage.layers.is_empty() {
                return None;
            }
            next_layer = stage.layers.to;
        }
        (next_layer == span.to).then_some(Self { stages })
    }

    /// Returns the stages in layer order.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Returns the stages, consuming the chain.
    pub fn into_stages(self) -> SmallVec<[Stage; 4]> {
        self.stages
    }

    /// Returns the expected time between two tokens.
    pub fn latency(&self) -> Duration {
        self.stages.iter().map(|stage| stage.time(1)).sum()
    }

    /// Returns the expected time until the last stage has run `positions` positions, when each
    /// stage forwards them in chunks of at most `chunk`.
    pub fn time(&self, positions: u32, chunk: u32) -> Duration {
        let chunk =
            if self.stages.len() > 1 { chunk.clamp(1, positions.max(1)) } else { positions };
        let chunk_times = || self.stages.iter().map(|stage| stage.time(chunk));
        let further_chunks = positions.div_ceil(chunk.max(1)).saturating_sub(1);
        let slowest = chunk_times().max().unwrap_or_default();
        chunk_times().sum::<Duration>().saturating_add(slowest.saturating_mul(further_chunks))
    }

    /// Returns the time of the slowest stage, which bounds the throughput of the chain.
    pub fn bottleneck(&self) -> Duration {
        self.stages.iter().map(|stage| stage.time(1)).max().unwrap_or_default()
    }
}
