use std::time::Duration;

use goldcrestvale_base::time::Instant;

use super::{Policy, Waiting};

/// Number of periods whose errors the integral term sums.
const INTEGRAL_PERIODS: usize = 3;

/// The settings of an adaptive interval.
#[derive(Debug, Clone, PartialEq)]
pub struct Control {
    /// Appends per second that the log accepts from all instances.
    pub budget: f64,
    /// Target share of the budget.
    pub target: f64,
    /// Time between two corrections of the interval.
    pub period: Duration,
    /// Minimum interval between appends.
    pub min_interval: Duration,
    /// Maximum interval between appends.
    pub max_interval: Duration,
    /// Relative change of the interval for each unit of the current error.
    pub proportional: f64,
    /// Relative change of the interval for each unit of the sum of recent errors.
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
/// A proportional-integral controller compares the share with its target once per period and
/// lengthens or shortens the interval. Every instance observes the same appends and so adjusts its
/// interval in the same way. The idea and the short integral window are those of `AdCom`
/// (Gutierrez, Beedkar, Souza and Markl, EDBT 2021), which controls the interval of a combiner by
/// the use of network buffers; here the correction is relative to the interval, which spans two
/// orders of magnitude.
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
/// assert!(policy.interval() > before, "60 appends in 100 ms exceed a budget of 300 per second");
/// ```
#[derive(Debug, Clone)]
pub struct Adaptive {
    control: Control,
    interval_seconds: f64,
    period_start: Option<Instant>,
    appends: u32,
    errors: [f64; INTEGRAL_PERIODS],
}

impl Adaptive {
    /// Creates a policy that starts at the minimum interval.
    pub fn new(control: Control) -> Self {
        let interval_seconds = control.min_interval.as_secs_f64();
        Self {
            control,
            interval_seconds,
            period_start: None,
            appends: 0,
            errors: [0.0; INTEGRAL_PERIODS],
        }
    }

    /// Returns the current interval between appends.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(self.interval_seconds)
    }

    fn correct_interval(&mut self, span: Duration) {
        let share = f64::from(self.appends) / (self.control.budget * span.as_secs_f64());
        let error = share - self.control.target;
        self.errors.rotate_left(1);
        self.errors[INTEGRAL_PERIODS - 1] = error;
        let sum: f64 = self.errors.iter().sum();
        let change = self.control.proportional * error + self.control.integral * sum;
        let min_seconds = self.control.min_interval.as_secs_f64();
        let max_seconds = self.control.max_interval.as_secs_f64();
        self.interval_seconds =
            (self.interval_seconds * change.exp()).clamp(min_seconds, max_seconds);
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
        self.correct_interval(span);
        self.period_start = Some(now);
        self.appends = 0;
    }
}
