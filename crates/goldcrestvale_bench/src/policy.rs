//! Ways to choose an engine for a request, from load reports that lag.

mod balanced;
mod engine;
mod outstanding;
mod random;
mod reported;
mod round_robin;

use goldcrestvale_base::time::Instant;
use goldcrestvale_route::balance::SAMPLE_SIZE;
use rand_chacha::ChaCha8Rng;

pub use balanced::{Balanced, Others, Scoring};
pub use engine::{Engine, Report};
pub use outstanding::Outstanding;
pub use random::Random;
pub use reported::Reported;
pub use round_robin::RoundRobin;

/// A change of the work at one engine: a request sent to it or ended there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Move {
    /// When it happened.
    pub at: Instant,
    /// Index of the engine.
    pub engine: usize,
    /// 1 for a request sent, -1 for one that ended.
    pub change: i32,
}

/// The choice of one router; every router has its own.
pub trait Policy {
    /// Chooses an engine for a request.
    fn choose(&mut self, now: Instant, engines: &[Engine], rng: &mut ChaCha8Rng) -> usize;

    /// Learns of a request that this router sent, or that ended.
    fn moved(&mut self, _own: Move) {}

    /// Learns what another router sent and saw end, some time after.
    fn heard(&mut self, _others: &[Move]) {}
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
    /// Any engine.
    Random,
    /// Any engine, by its share of the whole capacity.
    WeightedRandom,
    /// One engine after the other.
    RoundRobin,
    /// The least reported number of requests.
    LeastReported,
    /// The better of two by reported number of requests.
    TwoReported,
    /// The better of two by this router's requests in progress.
    TwoOutstanding,
    /// The project's choice, on the reports and this router's own requests.
    Balance,
    /// As `Balance`, taking every other router to send what this one sends.
    BalanceAlike,
    /// As `Balance`, also on what the other routers say they sent.
    BalanceShared,
    /// As `BalanceShared`, looking at two engines only.
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

    /// Builds the policy of one router among several.
    pub fn build(self, router: usize, routers: usize) -> Box<dyn Policy> {
        let balanced = |sample, scoring, others| Box::new(Balanced::new(sample, scoring, others));
        let alike = Others::Alike(routers - 1);
        match self {
            Self::Random => Box::new(Random::even()),
            Self::WeightedRandom => Box::new(Random::weighted()),
            Self::RoundRobin => Box::new(RoundRobin::starting_at(router)),
            Self::LeastReported => Box::new(Reported::least()),
            Self::TwoReported => Box::new(Reported::two()),
            Self::TwoOutstanding => Box::new(Outstanding::default()),
            Self::Balance => balanced(SAMPLE_SIZE, Scoring::Linear, Others::Unknown),
            Self::BalanceAlike => balanced(SAMPLE_SIZE, Scoring::Linear, alike),
            Self::BalanceShared => balanced(SAMPLE_SIZE, Scoring::Linear, Others::Heard),
            Self::BalanceTwo => balanced(2, Scoring::Linear, Others::Heard),
            Self::Batch => balanced(SAMPLE_SIZE, Scoring::Batch, Others::Unknown),
            Self::BatchShared => balanced(SAMPLE_SIZE, Scoring::Batch, Others::Heard),
        }
    }
}
