//! Stages, and chains of them.

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
        /// Expected time of a step of one position for each layer.
        pub step: Duration,
        /// Expected time for each layer and each further position of a step.
        pub prefill: Duration,
        /// Cost of the link: the way there and back.
        pub link: Duration,
        /// Multiple of the expected time that answers took of late, at least 1.
        pub slowdown: u32,
    }

    /// Stages that cover a span of layers with no gap and no overlap.
    #[serde(transparent)]
    pub struct Chain {
        stages: SmallVec<[Stage; 4]>,
    }
}

impl Stage {
    /// Returns the expected time of a step over some positions, with its link.
    pub fn time(&self, positions: u32) -> Duration {
        let further = self.prefill.saturating_mul(positions.saturating_sub(1));
        self.link + self.step.saturating_add(further).saturating_mul(self.layers.len())
    }
}

impl Chain {
    /// Builds a chain, or returns `None` where the stages do not cover the span exactly.
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
        let mut next = span.from;
        for stage in &stages {
            if stage.layers.from != next || stage.layers.is_empty() {
                return None;
            }
            next = stage.layers.to;
        }
        (next == span.to).then_some(Self { stages })
    }

    /// Returns the stages in the order of their layers.
    pub fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Returns the stages, consuming the chain.
    pub fn into_stages(self) -> SmallVec<[Stage; 4]> {
        self.stages
    }

    /// Returns the expected time from a token to the next one.
    pub fn latency(&self) -> Duration {
        self.stages.iter().map(|stage| stage.time(1)).sum()
    }

    /// Returns the expected time until the last stage has run some positions, where each stage
    /// passes them on in parts of at most `chunk`.
    pub fn time(&self, positions: u32, chunk: u32) -> Duration {
        let chunk =
            if self.stages.len() > 1 { chunk.clamp(1, positions.max(1)) } else { positions };
        let times = || self.stages.iter().map(|stage| stage.time(chunk));
        let further = positions.div_ceil(chunk.max(1)).saturating_sub(1);
        let slowest = times().max().unwrap_or_default();
        times().sum::<Duration>().saturating_add(slowest.saturating_mul(further))
    }

    /// Returns the time of the slowest stage, which bounds the throughput of the chain.
    pub fn bottleneck(&self) -> Duration {
        self.stages.iter().map(|stage| stage.time(1)).max().unwrap_or_default()
    }
}
