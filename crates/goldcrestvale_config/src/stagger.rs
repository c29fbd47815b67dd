//! Lets one of many instances act, mostly, without a word between them.
//!
//! Every instance waits a random time, and most of them long ones; whoever acts first is seen by
//! the others in the log, and they start over. Two that act at once cost a repeat, no harm.

use std::time::Duration;

use goldcrestvale_base::time::Instant;
use rand::Rng;

/// The timer of one instance for one recurring duty.
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
/// let mut turn = Stagger::new(Duration::from_secs(60), Duration::from_secs(20));
/// turn.restart(Instant(0), 4, &mut rng);
/// assert!(!turn.is_due(Instant(0) + Duration::from_secs(60)));
/// assert!(turn.is_due(Instant(0) + Duration::from_secs(80)));
/// ```
#[derive(Debug, Clone)]
pub struct Stagger {
    interval: Duration,
    spread: Duration,
    due: Option<Instant>,
}

impl Stagger {
    /// Creates a timer that rests for an interval, and then waits for up to `spread`.
    pub fn new(interval: Duration, spread: Duration) -> Self {
        Self { interval, spread, due: None }
    }

    /// Starts over, after the duty was done by any instance; `population` instances share it.
    pub fn restart(&mut self, now: Instant, population: u32, rng: &mut impl Rng) {
        self.due = Some(now + self.interval + self.wait(population, rng));
    }

    /// Starts the wait without the rest, unless it runs already.
    pub fn start(&mut self, now: Instant, population: u32, rng: &mut impl Rng) {
        if self.due.is_none() {
            self.due = Some(now + self.wait(population, rng));
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

    /// Returns when this instance should act.
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Draws a wait whose density grows exponentially towards `spread`, so that few of many
    /// instances draw short ones.
    fn wait(&self, population: u32, rng: &mut impl Rng) -> Duration {
        let steepness = f64::from(population.max(1)).ln() + 1.0;
        let uniform: f64 = rng.random();
        let share = (1.0 + uniform * steepness.exp_m1()).ln() / steepness;
        self.spread.mul_f64(share.clamp(0.0, 1.0))
    }
}
