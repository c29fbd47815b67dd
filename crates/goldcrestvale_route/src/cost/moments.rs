//! Exponentially weighted mean and variance.

/// Maximum weight of what was observed before, in observations. The lengths of the answers of a
/// route change within minutes when a customer changes its use.
const WINDOW: f64 = 64.0;

/// Minimum variance, so that some equal answers do not count as certainty.
pub(super) const MIN_VARIANCE: f64 = 0.01;

/// Mean and variance of the latest observations.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Moments {
    /// Number of observations, at most [`WINDOW`].
    pub(super) count: f64,
    pub(super) mean: f64,
    pub(super) variance: f64,
}

impl Moments {
    /// Records an observation.
    pub(super) fn record(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(WINDOW);
        let weight = self.count.recip();
        let deviation = value - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }

    /// Returns the moments with those of `prior` counted as a number of further observations.
    ///
    /// Variances are averaged by their logarithm, so that one customer's false hints, with a
    /// variance a hundred times as large, do not decide on those of the others.
    pub(super) fn shrunk_towards(&self, prior: Self, weight: f64) -> Self {
        let total = self.count + weight;
        let mix = |own: f64, prior: f64| (self.count * own + weight * prior) / total;
        let log = |variance: f64| variance.max(MIN_VARIANCE).ln();
        Self {
            count: self.count + prior.count,
            mean: mix(self.mean, prior.mean),
            variance: mix(log(self.variance), log(prior.variance)).exp(),
        }
    }
}
