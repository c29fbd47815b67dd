//! Spreading of chains over engines that serve equally well.

use std::time::Duration;

use goldcrestvale_base::{engine::Layers, id::Upstream};
use rand::{SeedableRng, rngs::StdRng};
use smallvec::SmallVec;

use super::{Candidate, Chain, Plan, Planner, Result, Stage};
use crate::balance::{Choice, SAMPLE};

/// Most engines among which a stage is spread.
const PEERS: usize = 32;

/// The present load of engines, as far as it is known.
pub trait EngineState {
    /// Returns the steps that run or wait at an engine.
    fn steps(&self, upstream: &Upstream) -> u32;

    /// Returns the positions of the steps that this instance has in progress at an engine.
    fn positions(&self, _upstream: &Upstream) -> u32 {
        0
    }

    /// Returns whether an engine gave a sign of life of late.
    fn is_alive(&self, _upstream: &Upstream) -> bool {
        false
    }
}

impl<F: Fn(&Upstream) -> u32> EngineState for F {
    fn steps(&self, upstream: &Upstream) -> u32 {
        self(upstream)
    }
}

/// Plans with a planner, and then moves each stage to the least loaded of a sample of engines that
/// hold the same layers behind a link of the same cost.
///
/// The planner's costs lag; the load that is asked for here is the present one, as far as it is
/// known from reports, from this instance's own steps and from what the others say they sent. A
/// sample of two draws slow engines too often where the kinds of accelerator differ.
#[derive(Debug)]
pub struct BalancedPlanner<'a, P> {
    planner: &'a Planner,
    seed: u64,
    present: P,
}

impl<'a, P: EngineState> BalancedPlanner<'a, P> {
    /// Creates a plan from random bits, such as a hash of the request's identity, and from the
    /// present load of the engines.
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
    pub fn new(planner: &'a Planner, seed: u64, present: P) -> Self {
        Self { planner, seed, present }
    }

    /// Returns one of the better peers of a stage.
    fn choose(&self, stage: Stage, index: usize, taken: &[Upstream]) -> Stage {
        let free =
            |peer: &&Candidate| peer.upstream == stage.upstream || !taken.contains(&peer.upstream);
        let peers: SmallVec<[&Candidate; PEERS]> =
            self.planner.iter_peers(&stage).take(PEERS).filter(free).collect();
        if peers.len() < 2 {
            return stage;
        }
        let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(index as u64));
        let cost = |index: usize| peers.get(index).map(|peer| self.cost(peer));
        let chosen = Choice::new(SAMPLE).choose(peers.len(), cost, &mut rng);
        let chosen = chosen.map(|index| peers[index].stage(stage.layers, stage.link));
        chosen.unwrap_or(stage)
    }

    /// Returns the cost of one more step at an engine.
    fn cost(&self, peer: &Candidate) -> Duration {
        peer.cost.saturating_mul(self.present.steps(&peer.upstream).saturating_add(1))
    }
}

impl<P: EngineState> Plan for BalancedPlanner<'_, P> {
    fn span(&self) -> Layers {
        self.planner.span()
    }

    fn plan(&self, span: Layers, excluded: &[Upstream]) -> Result<Chain> {
        let planned = self.planner.plan(span, excluded)?;
        let mut taken: SmallVec<[Upstream; 8]> = excluded.iter().cloned().collect();
        taken.extend(planned.stages().iter().map(|stage| stage.upstream.clone()));
        let mut stages: SmallVec<[Stage; 4]> = SmallVec::new();
        for (index, stage) in planned.into_stages().into_iter().enumerate() {
            let stage = self.choose(stage, index, &taken);
            taken.push(stage.upstream.clone());
            stages.push(stage);
        }
        Ok(Chain::new(span, stages).expect("the stages keep their layers"))
    }

    fn cover(&self, span: Layers, excluded: &[Upstream]) -> Option<Stage> {
        let stage = self.planner.cover(span, excluded)?;
        Some(self.choose(stage, 0, excluded))
    }

    fn queue_delay(&self, stage: &Stage) -> Duration {
        let positions = self.present.positions(&stage.upstream);
        stage.prefill.saturating_mul(positions).saturating_mul(stage.layers.len())
    }

    fn is_alive(&self, upstream: &Upstream) -> bool {
        self.present.is_alive(upstream)
    }
}
