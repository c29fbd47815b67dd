//! Ways to choose an engine for a request, from load reports that lag.

mod corrected;
mod engine;
mod outstanding;
mod random;
mod reported;
mod round_robin;

use goldcrestvale_base::time::Instant;
use rand_chacha::ChaCha8Rng;

pub use corrected::{Corrected, Spread};
pub use engine::{Engine, Report, Score};
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
/// assert_eq!(Kind::ALL.len(), 10);
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
    /// The least expected time by report, corrected by what this router sent since.
    Corrected,
    /// As `Corrected`, taking the other routers to send alike.
    CorrectedAlike,
    /// As `Corrected`, with what the other routers say they sent.
    CorrectedShared,
    /// As `CorrectedShared`, with the better of two instead of the best of all.
    CorrectedTwo,
}

impl Kind {
    /// All policies, baselines first.
    pub const ALL: [Self; 10] = [
        Self::Random,
        Self::WeightedRandom,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoReported,
        Self::TwoOutstanding,
        Self::Corrected,
        Self::CorrectedAlike,
        Self::CorrectedShared,
        Self::CorrectedTwo,
    ];

    /// Returns the name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::WeightedRandom => "weighted-random",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::TwoReported => "two-reported",
            Self::TwoOutstanding => "two-outstanding",
            Self::Corrected => "corrected",
            Self::CorrectedAlike => "corrected-alike",
            Self::CorrectedShared => "corrected-shared",
            Self::CorrectedTwo => "corrected-two",
        }
    }

    /// Builds the policy of one of several routers.
    pub fn build(self, routers: usize, router: usize) -> Box<dyn Policy> {
        let alone = Spread { copies: 1, sample: None };
        let alike = Spread { copies: routers, sample: None };
        let two = Spread { copies: 1, sample: Some(2) };
        match self {
            Self::Random => Box::new(Random::even()),
            Self::WeightedRandom => Box::new(Random::weighted()),
            Self::RoundRobin => Box::new(RoundRobin::starting_at(router)),
            Self::LeastReported => Box::new(Reported::least()),
            Self::TwoReported => Box::new(Reported::two()),
            Self::TwoOutstanding => Box::new(Outstanding::default()),
            Self::Corrected => Box::new(Corrected::new(alone, false)),
            Self::CorrectedAlike => Box::new(Corrected::new(alike, false)),
            Self::CorrectedShared => Box::new(Corrected::new(alone, true)),
            Self::CorrectedTwo => Box::new(Corrected::new(two, true)),
        }
    }
}
