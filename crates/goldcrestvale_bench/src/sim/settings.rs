//! Settings of one run.

use std::time::Duration;

use goldcrestvale_base::engine::Accelerator;

/// The number of engines of each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fleet {
    /// Number of large accelerators.
    pub large: usize,
    /// Number of medium accelerators.
    pub medium: usize,
    /// Number of small accelerators.
    pub small: usize,
}

impl Fleet {
    /// Returns the kind of each engine.
    pub fn kinds(&self) -> Vec<Accelerator> {
        let kinds = [
            (Accelerator::Large, self.large),
            (Accelerator::Medium, self.medium),
            (Accelerator::Small, self.small),
        ];
        kinds.into_iter().flat_map(|(kind, count)| std::iter::repeat_n(kind, count)).collect()
    }
}

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The engines.
    pub fleet: Fleet,
    /// Number of routers.
    pub routers: usize,
    /// Share of the requests that the first router gets; the others get equal shares.
    pub skew: Option<f64>,
    /// Offered load as a share of the capacity.
    pub load: f64,
    /// Interval between two load reports of an engine.
    pub report_interval: Duration,
    /// Interval at which routers share the requests that they sent.
    pub share_interval: Duration,
    /// Factor by which one in ten engines is slower than its kind, from the middle of the run on.
    pub slowdown: f64,
    /// Length of the run; requests that arrive in its first and last fifth are not counted.
    pub length: Duration,
    /// Seed of arrivals, lengths and choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fleet: Fleet { large: 16, medium: 14, small: 10 },
            routers: 4,
            skew: None,
            load: 0.8,
            report_interval: Duration::from_secs(1),
            share_interval: Duration::from_millis(250),
            slowdown: 1.0,
            length: Duration::from_secs(40),
            seed: 1,
        }
    }
}

impl Settings {
    /// Sets the number of routers.
    #[must_use]
    pub fn with_routers(mut self, routers: usize) -> Self {
        self.routers = routers;
        self
    }

    /// Sets the share of the requests that the first router gets.
    #[must_use]
    pub fn with_skew(mut self, skew: f64) -> Self {
        self.skew = Some(skew);
        self
    }

    /// Sets the offered load.
    #[must_use]
    pub fn with_load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    /// Sets the interval between two load reports of an engine.
    #[must_use]
    pub fn with_report_interval(mut self, report_interval: Duration) -> Self {
        self.report_interval = report_interval;
        self
    }

    /// Sets the interval at which routers share the requests that they sent.
    #[must_use]
    pub fn with_share_interval(mut self, share_interval: Duration) -> Self {
        self.share_interval = share_interval;
        self
    }

    /// Sets the factor by which one in ten engines becomes slower.
    #[must_use]
    pub fn with_slowdown(mut self, slowdown: f64) -> Self {
        self.slowdown = slowdown;
        self
    }

    /// Sets the length of the run.
    #[must_use]
    pub fn with_length(mut self, length: Duration) -> Self {
        self.length = length;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
