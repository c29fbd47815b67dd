//! An engine that a chain may use.

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
        /// Kind of accelerator.
        pub accelerator: Accelerator,
        /// Ranges of layers that the engine holds; they may touch or overlap.
        pub holds: SmallVec<[Layers; 2]>,
        /// Expected time of a step of one position for each layer, at the present load.
        pub step: Duration,
        /// Multiple of the expected time that answers took of late, at least 1.
        pub slowdown: u32,
        /// Cost of a layer in plans: the step time, raised where the engine is to get less work.
        pub cost: Duration,
        /// Expected time for each layer and each further position of a step.
        pub prefill: Duration,
        /// Cost of the link: the way there and back.
        pub link: Duration,
    }
}

impl Candidate {
    /// Returns the held ranges in order, with touching and overlapping ranges joined.
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

    /// Returns a stage that runs some of the layers, behind a link of a cost.
    pub(super) fn stage(&self, layers: Layers, link: Duration) -> Stage {
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
