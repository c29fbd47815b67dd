//! Random waits by which one of many instances performs a shared task, without coordination.
//!
//! Every instance waits a random time, most of them a long one. The others see the action of the
//! first one in the log, and restart their timers. Two instances that act at the same time only
//! do the work twice.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use rand::Rng;

/// The timer of one instance for a recurring task that all instances share.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_config::stagger::Stagger;
/// use rand::SeedableRng;
///
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut timer = Stagger::new(Duration::from_secs(60), Duration::from_secs(20));
/// timer.restart(Instant(0), 4, &mut rng);
/// assert!(!timer.is_due(Instant(0) + Duration::from_secs(60)));
/// assert!(timer.is_due(Instant(0) + Duration::from_secs(80)));
/// ```
#[derive(Debug, Clone)]
pub struct Stagger {
    interval: Duration,
    spread: Duration,
    due: Option<Instant>,
}

impl Stagger {
    /// Creates a timer that expires after an interval and a random wait of up to `spread`.
    pub fn new(interval: Duration, spread: Duration) -> Self {
        Self { interval, spread, due: None }
    }

    /// Restarts the timer after any instance has done the task; `population` instances share it.
    pub fn restart(&mut self, now: Instant, population: u32, rng: &mut impl Rng) {
        self.due = Some(now + self.interval + self.draw_wait(population, rng));
    }

    /// Starts the random wait without the interval, unless the timer is running.
    pub fn start(&mut self, now: Instant, population: u32, rng: &mut impl Rng) {
        if self.due.is_none() {
            self.due = Some(now + self.draw_wait(population, rng));
        }
    }

    /// Stops the timer.
    pub fn stop(&mut self) {
        self.due = None;
    }

    /// Returns whether this instance should act now.
    pub fn is_due(&self, now: Instant) -> bool {
        self.due.is_some_and(|due| now >= due)
    }

    /// Returns the time at which this instance should act.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Draws a wait whose density grows exponentially towards `spread`, so that few of many
    /// instances draw a short one.
    fn draw_wait(&self, population: u32, rng: &mut impl Rng) -> Duration {
        let steepness = f64::from(population.max(1)).ln() + 1.0;
        let uniform: f64 = rng.random();
        let fraction = (1.0 + uniform * steepness.exp_m1()).ln() / steepness;
        self.spread.mul_f64(fraction.clamp(0.0, 1.0))
    }
}
