//! An engine that can be a stage of a chain.

use std::time::Duration;

use goldcrestvale_base::{
    engine::{Accelerator, Layers},
    id::{Domain, Upstream},
};
use smallvec::SmallVec;

use super::Stage;

goldcrestvale_base::domain! {
    value
    /// An engine that holds layers of the planner's model.
    pub struct Candidate {
        /// Name of the engine.
        pub upstream: Upstream,
        /// Failure domain of the engine.
        pub domain: Domain,
        /// Accelerator type.
        pub accelerator: Accelerator,
        /// Layer ranges that the engine holds; they may be adjacent or overlap.
        pub holds: SmallVec<[Layers; 2]>,
        /// Expected time per layer of a step of one position, at the current load.
        pub step: Duration,
        /// Ratio of recent answer times to the expected time, at least 1.
        pub slowdown: u32,
        /// Planning cost per layer: the step time, raised for an engine that should get less work.
        pub cost: Duration,
        /// Expected time per layer of each further position of a step.
        pub prefill: Duration,
        /// Cost of the link: its round-trip time.
        pub link: Duration,
    }
}

impl Candidate {
    /// Returns the held ranges in order, with adjacent and overlapping ranges merged.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// use goldcrestvale_base::engine::{Accelerator, Layers};
    /// use goldcrestvale_route::chain::Candidate;
    ///
    /// let candidate = Candidate {
    ///     upstream: "e1".parse()?,
    ///     domain: "yeka".parse()?,
    ///     accelerator: Accelerator::Large,
    ///     holds: [Layers { from: 4, to: 8 }, Layers { from: 0, to: 4 }].into_iter().collect(),
    ///     step: Duration::from_micros(200),
    ///     slowdown: 1,
    ///     cost: Duration::from_micros(200),
    ///     prefill: Duration::from_micros(2),
    ///     link: Duration::from_millis(1),
    /// };
    /// assert_eq!(candidate.ranges().as_slice(), [Layers { from: 0, to: 8 }]);
    /// # Ok::<(), goldcrestvale_base::id::Error>(())
    /// ```
    pub fn ranges(&self) -> SmallVec<[Layers; 2]> {
        let mut held = self.holds.clone();
        held.retain(|layers| !layers.is_empty());
        held.sort_unstable();
        let mut ranges: SmallVec<[Layers; 2]> = SmallVec::new();
        for layers in held {
            match ranges.last_mut() {
                Some(last) if layers.from <= last.to => last.to = last.to.max(layers.to),
                _ => ranges.push(layers),
            }
        }
        ranges
    }

    /// Creates a stage that runs `layers` over a link of the given cost.
    pub(super) fn to_stage(&self, layers: Layers, link: Duration) -> Stage {
        Stage {
            upstream: self.upstream.clone(),
            domain: self.domain.clone(),
            layers,
            step: self.step,
            prefill: self.prefill,
            link,
            slowdown: self.slowdown,
        }
    }
}
