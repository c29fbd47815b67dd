//! Policies that choose an engine for a request from delayed load reports.

mod balanced;
mod engine;
mod outstanding;
mod random;
mod reported;
mod round_robin;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::balance::SAMPLE_SIZE;
use rand_chacha::ChaCha8Rng;

pub use balanced::{Balanced, PeerEstimate, Scoring};
pub use engine::{Engine, Report};
pub use outstanding::Outstanding;
pub use random::Random;
pub use reported::Reported;
pub use round_robin::RoundRobin;

/// A change of the load of one engine: a request that was sent to it or that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadChange {
    /// Time of the change.
    pub at: Instant,
    /// Index of the engine.
    pub engine: usize,
    /// 1 for a request sent, -1 for a request that ended.
    pub change: i32,
}

/// The policy of one router; every router has its own.
pub trait Policy {
    /// Chooses an engine for a request.
    fn choose(&mut self, now: Instant, engines: &[Engine], rng: &mut ChaCha8Rng) -> usize;

    /// Records that a request of this router was sent or ended.
    fn record_own(&mut self, _own: LoadChange) {}

    /// Records the changes that another router shared, with a delay.
    fn record_peer(&mut self, _changes: &[LoadChange]) {}
}

/// The policies of the experiments, by name.
///
/// # Examples
///
/// ```
/// use goldcrestvale_bench::policy::Kind;
///
/// assert_eq!(Kind::ALL[0].name(), "random");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Any engine, with equal probability.
    Random,
    /// Any engine, weighted by its share of the total capacity.
    WeightedRandom,
    /// The engines in turn.
    RoundRobin,
    /// The engine with the lowest reported number of requests.
    LeastReported,
    /// The better of two engines by reported number of requests.
    TwoReported,
    /// The better of two engines by this router's requests in progress.
    TwoOutstanding,
    /// The project's policy, from the reports and this router's own requests.
    Balance,
    /// As `Balance`, assuming that every other router sends as much as this one.
    BalanceAlike,
    /// As `Balance`, also from the changes that the other routers share.
    BalanceShared,
    /// As `BalanceShared`, with a sample of two engines.
    BalanceTwo,
    /// As `Balance`, scored by the time of a batch.
    Batch,
    /// As `BalanceShared`, scored by the time of a batch.
    BatchShared,
}

impl Kind {
    /// All policies, baselines first.
    pub const ALL: [Self; 12] = [
        Self::Random,
        Self::WeightedRandom,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoReported,
        Self::TwoOutstanding,
        Self::Balance,
        Self::BalanceAlike,
        Self::BalanceShared,
        Self::BalanceTwo,
        Self::Batch,
        Self::BatchShared,
    ];

    /// Returns the name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::WeightedRandom => "weighted random",
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least reported",
            Self::TwoReported => "two, reported",
            Self::TwoOutstanding => "two, own",
            Self::Balance => "balance",
            Self::BalanceAlike => "balance, alike",
            Self::BalanceShared => "balance, shared",
            Self::BalanceTwo => "balance, shared, two",
            Self::Batch => "batch",
            Self::BatchShared => "batch, shared",
        }
    }

    /// Creates the policy of one of several routers.
    pub fn build(self, router: usize, routers: usize) -> Box<dyn Policy> {
        let balanced = |sample, scoring, peers| Box::new(Balanced::new(sample, scoring, peers));
        let proportional = PeerEstimate::Proportional(routers - 1);
        match self {
            Self::Random => Box::new(Random::uniform()),
            Self::WeightedRandom => Box::new(Random::weighted()),
            Self::RoundRobin => Box::new(RoundRobin::starting_at(router)),
            Self::LeastReported => Box::new(Reported::least()),
            Self::TwoReported => Box::new(Reported::two()),
            Self::TwoOutstanding => Box::new(Outstanding::default()),
            Self::Balance => balanced(SAMPLE_SIZE, Scoring::Linear, PeerEstimate::Ignored),
            Self::BalanceAlike => balanced(SAMPLE_SIZE, Scoring::Linear, proportional),
            Self::BalanceShared => balanced(SAMPLE_SIZE, Scoring::Linear, PeerEstimate::Shared),
            Self::BalanceTwo => balanced(2, Scoring::Linear, PeerEstimate::Shared),
            Self::Batch => balanced(SAMPLE_SIZE, Scoring::Batch, PeerEstimate::Ignored),
            Self::BatchShared => balanced(SAMPLE_SIZE, Scoring::Batch, PeerEstimate::Shared),
        }
    }
}
