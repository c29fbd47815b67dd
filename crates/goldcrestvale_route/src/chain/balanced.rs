//! Load balancing of stages over equivalent engines.

use std::time::Duration;

use goldcrestvale_base::{engine::Layers, id::Upstream};
use rand::{SeedableRng, rngs::StdRng};
use smallvec::SmallVec;

use super::{Candidate, Chain, Plan, Planner, Result, Stage};
use crate::balance::{Choice, SAMPLE_SIZE};

/// Maximum number of engines over which a stage is balanced.
const MAX_PEERS: usize = 32;

/// Provides the known current state of engines.
pub trait EngineState {
    /// Returns the number of steps that run or wait at an engine.
    fn steps(&self, upstream: &Upstream) -> u32;

    /// Returns the number of positions in the steps of this instance in progress at an engine.
    fn positions(&self, _upstream: &Upstream) -> u32 {
        0
    }

    /// Returns whether an engine was active recently.
    fn is_alive(&self, _upstream: &Upstream) -> bool {
        false
    }
}

impl<F: Fn(&Upstream) -> u32> EngineState for F {
    fn steps(&self, upstream: &Upstream) -> u32 {
        self(upstream)
    }
}

/// Plans with a [`Planner`], then moves each stage to the least loaded of a sample of engines with
/// the same layer range and link cost.
///
/// The costs in the planner lag behind. The load used here is the current one, as known from
/// engine reports, the steps of this instance and the steps that other instances report having
/// sent. A sample of two selects slow engines too often when accelerator types differ.
#[derive(Debug)]
pub struct BalancedPlanner<'a, S> {
    planner: &'a Planner,
    seed: u64,
    engines: S,
}

impl<'a, S: EngineState> BalancedPlanner<'a, S> {
    /// Creates a balanced planner from a random seed, such as a hash of the request id, and the
    /// state of the engines.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_route::chain::{BalancedPlanner, Plan, Planner};
    ///
    /// let planner = Planner::new(4, 1);
    /// let balanced = BalancedPlanner::new(&planner, 17, |_: &goldcrestvale_base::id::Upstream| 0);
    /// assert_eq!(balanced.span(), planner.span());
    /// ```
    pub fn new(planner: &'a Planner, seed: u64, engines: S) -> Self {
        Self { planner, seed, engines }
    }

    /// Returns the stage on the least loaded engine of a sample of its peers.
    fn choose(&self, stage: Stage, index: usize, used: &[Upstream]) -> Stage {
        let allowed =
            |peer: &&Candidate| peer.upstream == stage.upstream || !used.contains(&peer.upstream);
        let peers: SmallVec<[&Candidate; MAX_PEERS]> =
            self.planner.iter_peers(&stage).take(MAX_PEERS).filter(allowed).collect();
        if peers.len() < 2 {
            return stage;
        }
        let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(index as u64));
        let cost = |index: usize| peers.get(index).map(|peer| self.cost(peer));
        let chosen = Choice::new(SAMPLE_SIZE).choose(peers.len(), cost, &mut rng);
        let chosen = chosen.map(|index| peers[index].to_stage(stage.layers, stage.link));
        chosen.unwrap_or(stage)
    }

    /// Returns the cost of an additional step at an engine.
    fn cost(&self, peer: &Candidate) -> Duration {
        peer.cost.saturating_mul(self.engines.steps(&peer.upstream).saturating_add(1))
    }
}

impl<S: EngineState> Plan for BalancedPlanner<'_, S> {
    fn span(&self) -> Layers {
        self.planner.span()
    }

    fn plan(&self, span: Layers, excluded: &[Upstream]) -> Result<Chain> {
        let planned = self.planner.plan(span, excluded)?;
        let mut used: SmallVec<[Upstream; 8]> = excluded.iter().cloned().collect();
        used.extend(planned.stages().iter().map(|stage| stage.upstream.clone()));
        let mut stages: SmallVec<[Stage; 4]> = SmallVec::new();
        for (index, stage) in planned.into_stages().into_iter().enumerate() {
            let stage = self.choose(stage, index, &used);
            used.push(stage.upstream.clone());
            stages.push(stage);
        }
        Ok(Chain::new(span, stages).expect("balancing keeps the layers of each stage"))
    }

    fn cover(&self, span: Layers, excluded: &[Upstream]) -> Option<Stage> {
        let stage = self.planner.cover(span, excluded)?;
        Some(self.choose(stage, 0, excluded))
    }

    fn queue_delay(&self, stage: &Stage) -> Duration {
        let positions = self.engines.positions(&stage.upstream);
        stage.prefill.saturating_mul(positions).saturating_mul(stage.layers.len())
    }

    fn is_alive(&self, upstream: &Upstream) -> bool {
        self.engines.is_alive(upstream)
    }
}
