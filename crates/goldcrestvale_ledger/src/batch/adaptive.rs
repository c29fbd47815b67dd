use std::time::Duration;

use goldcrestvale_base::time::Instant;

use super::{Policy, Waiting};

/// Periods whose errors the integral term adds up.
const INTEGRAL_PERIODS: usize = 3;

/// The settings of an adaptive interval.
#[derive(Debug, Clone, PartialEq)]
pub struct Control {
    /// Appends a second that the log takes from all instances.
    pub budget: f64,
    /// Share of the budget to aim for.
    pub target: f64,
    /// Time between two corrections.
    pub period: Duration,
    /// Minimum interval between appends.
    pub min_interval: Duration,
    /// Maximum interval between appends.
    pub max_interval: Duration,
    /// Change of the interval, as a share of it, for each unit of the present error.
    pub proportional: f64,
    /// Change of the interval, as a share of it, for each unit of the sum of late errors.
    pub integral: f64,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            budget: 300.0,
            target: 0.7,
            period: Duration::from_millis(100),
            min_interval: Duration::from_millis(2),
            max_interval: Duration::from_millis(400),
            proportional: 0.3,
            integral: 0.1,
        }
    }
}

/// Adapts the interval between appends to the share of the log's append budget in use.
///
/// A proportional-integral controller compares the share with its target once a period and
/// stretches or shortens the interval. Every instance sees the same appends and so moves its
/// interval the same way. The idea and the short integral window are those of `AdCom` (Gutierrez,
/// Beedkar, Souza and Markl, EDBT 2021), which controls the interval of a combiner by the use of
/// network buffers; here the correction is a share of the interval, which spans two decades.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_ledger::batch::{Adaptive, Control, Policy};
///
/// let mut policy = Adaptive::new(Control::default());
/// let before = policy.interval();
/// policy.observe(Instant(0), 0);
/// policy.observe(Instant(100_000), 60);
/// assert!(policy.interval() > before, "60 appends in 100 ms are over a budget of 300 a second");
/// ```
#[derive(Debug, Clone)]
pub struct Adaptive {
    control: Control,
    interval: f64,
    period_start: Option<Instant>,
    appends: u32,
    errors: [f64; INTEGRAL_PERIODS],
}

impl Adaptive {
    /// Creates a policy that starts at the minimum interval.
    pub fn new(control: Control) -> Self {
        let interval = control.min_interval.as_secs_f64();
        Self { control, interval, period_start: None, appends: 0, errors: [0.0; INTEGRAL_PERIODS] }
    }

    /// Returns the present interval between appends.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(self.interval)
    }

    fn correct(&mut self, span: Duration) {
        let share = f64::from(self.appends) / (self.control.budget * span.as_secs_f64());
        let error = share - self.control.target;
        self.errors.rotate_left(1);
        self.errors[INTEGRAL_PERIODS - 1] = error;
        let sum: f64 = self.errors.iter().sum();
        let change = self.control.proportional * error + self.control.integral * sum;
        let min_interval = self.control.min_interval.as_secs_f64();
        let max_interval = self.control.max_interval.as_secs_f64();
        self.interval = (self.interval * change.exp()).clamp(min_interval, max_interval);
    }
}

impl Policy for Adaptive {
    fn due(&self, waiting: &Waiting) -> Instant {
        waiting.last_append.map_or(waiting.oldest, |last| last + self.interval())
    }

    fn observe(&mut self, now: Instant, appends: u32) {
        let start = *self.period_start.get_or_insert(now);
        self.appends += appends;
        let span = now.since(start);
        if span < self.control.period {
            return;
        }
        self.correct(span);
        self.period_start = Some(now);
        self.appends = 0;
    }
}
