//! Decides when an instance reads the platform's directory itself.

use std::time::Duration;

use goldcrestvale_base::{domain, time::Instant};

/// Delay after the first failed read: the directory may reject calls beyond its rate limit.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Number of instances of a failure domain that look for the end of an outage at the full rate.
const FULL_RATE_RANKS: usize = 2;

/// Multiple of the interval for which the second instance of a failure domain waits for an update
/// of the first one.
const FIRST_PATIENCE: f64 = 1.5;

/// Multiple of the interval by which the wait of each further instance is longer.
const PATIENCE_STEP: f64 = 0.2;

/// Number of instances that wait for different times; all further ones wait equally long.
const MAX_PATIENCE_RANK: usize = 8;

domain! {
    copy
    /// The place of an instance among the live instances of its failure domain.
    pub struct Position {
        /// Number of instances that precede it by name.
        pub rank: usize,
        /// Number of instances, itself included.
        pub members: usize,
    }

    /// The intervals between reads.
    pub struct Pace {
        /// Time from the end of a read of the first instance to its next one.
        pub interval: Duration,
        /// Time within which the other instances expect an update.
        pub update_interval: Duration,
    }
}

/// The reads of one resource of the platform's directory by one instance.
///
/// If every instance of a large deployment polled the directory, calls would grow with the number
/// of instances, and most during an outage, when all of them repeat failed calls. Instead the first
/// live instances of each failure domain read and send what they read to the others. Each of the
/// others reads itself only if it receives no update for a time that rises with its rank, so that
/// an instance which is cut off, frozen or rejected by the directory is replaced without an
/// election.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_member::read_schedule::{Pace, Position, ReadSchedule};
///
/// let second = Duration::from_secs(1);
/// let pace = Pace { interval: second, update_interval: second };
/// let mut schedule = ReadSchedule::default();
/// schedule.set_position(Position { rank: 3, members: 24 });
/// schedule.record_read(Instant(0), Instant(0));
/// schedule.record_update(Instant(0) + second * 2, true);
/// // It reads once more, and from then on relies on the updates of the first instance.
/// assert_eq!(schedule.due(pace), Instant(0) + second);
/// schedule.record_read(Instant(0) + second * 2, Instant(0) + second * 2);
/// assert!(schedule.due(pace) > Instant(0) + second * 3);
/// ```
#[derive(Debug, Clone)]
pub struct ReadSchedule {
    /// Number of instances of the failure domain that read at the same time.
    readers: usize,
    position: Position,
    /// End of the last read of this instance, successful or not.
    last_attempt: Option<Instant>,
    /// Last time at which this instance read or received an update.
    last_update: Option<Instant>,
    /// Last time at which a preceding instance sent an update.
    last_preceding: Option<Instant>,
    /// Number of failed reads since the last success or update.
    failures: u32,
    /// Whether this instance reads in place of the preceding ones.
    is_substitute: bool,
    /// Whether a preceding instance took the reads over since the last read of this one.
    is_replaced: bool,
    /// Time of the next read, if updates are known to be missing.
    gap_read: Option<Instant>,
    /// Random number in `0..1` that spreads the retries of the instances.
    draw: f64,
}

impl Default for ReadSchedule {
    fn default() -> Self {
        Self::with_readers(1)
    }
}

impl ReadSchedule {
    /// Creates the schedule of a resource that several instances of a failure domain read at the same
    /// time, so that the loss of one of them delays nothing.
    pub fn with_readers(readers: usize) -> Self {
        Self {
            readers: readers.max(1),
            position: Position { rank: 0, members: 1 },
            last_attempt: None,
            last_update: None,
            last_preceding: None,
            failures: 0,
            is_substitute: false,
            is_replaced: false,
            gap_read: None,
            draw: 0.0,
        }
    }

    /// Sets the place of this instance in its failure domain.
    pub fn set_position(&mut self, position: Position) {
        self.position = position;
    }

    /// Records a successful read of this instance that began at `started`.
    ///
    /// The instance then reads in place of the preceding ones, unless one of them sent an update
    /// during the read, which may take long, or took the reads over before it.
    pub fn record_read(&mut self, started: Instant, now: Instant) {
        let was_replaced = std::mem::take(&mut self.is_replaced);
        self.is_substitute = !was_replaced && self.last_preceding.is_none_or(|at| at < started);
        self.last_attempt = Some(now);
        self.last_update = Some(now);
        self.failures = 0;
        self.gap_read = None;
    }

    /// Records a failed read of this instance; `draw` is a random number in `0..1`.
    pub fn record_failure(&mut self, now: Instant, draw: f64) {
        self.is_substitute = false;
        self.is_replaced = false;
        self.last_attempt = Some(now);
        self.failures += 1;
        self.gap_read = None;
        self.draw = draw;
    }

    /// Records an update after a read of another instance of the failure domain; `precedes` states
    /// whether its name precedes the own one.
    ///
    /// A substitute that is replaced reads once more at its usual time: the update may be older than
    /// its arrival, and the sender may be lost before its next read.
    pub fn record_update(&mut self, now: Instant, precedes: bool) {
        self.last_update = Some(now);
        self.failures = 0;
        if precedes {
            self.last_preceding = Some(now);
            self.is_replaced |= self.is_substitute;
            self.is_substitute = false;
        }
    }

    /// Records that updates are missing; `draw` is a random number in `0..1` that spreads the reads
    /// of the instances that miss them.
    pub fn record_gap(&mut self, now: Instant, pace: Pace, draw: f64) {
        self.gap_read.get_or_insert(now + pace.update_interval.mul_f64(draw));
    }

    /// Returns whether the last read of this instance failed and it received no update since.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether this instance reads for its failure domain.
    pub fn is_reader(&self) -> bool {
        self.position.rank < self.readers || self.is_substitute
    }

    /// Returns the time since the last update of the directory.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.last_update.map(|at| now.since(at))
    }

    /// Returns whether the last update of the directory is at least `age` old.
    pub fn is_older_than(&self, age: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|own| own >= age)
    }

    /// Returns when this instance reads next.
    pub fn due(&self, pace: Pace) -> Instant {
        let Some(last_attempt) = self.last_attempt else { return Instant::default() };
        if self.is_failing() {
            return last_attempt + self.retry_delay(pace);
        }
        let regular = match self.last_update {
            Some(update) if !self.is_reader() && !self.is_replaced => update + self.patience(pace),
            _ => last_attempt + pace.interval,
        };
        self.gap_read.map_or(regular, |gap| gap.min(regular))
    }

    fn patience(&self, pace: Pace) -> Duration {
        let rank = self.position.rank.saturating_sub(self.readers).min(MAX_PATIENCE_RANK - 1);
        pace.update_interval.mul_f64(FIRST_PATIENCE + PATIENCE_STEP * rank as f64)
    }

    /// Returns the delay after a failed read. It rises to the interval for the first instances. The
    /// others share a rate that is about as high.
    fn retry_delay(&self, pace: Pace) -> Duration {
        let draw = self.draw.clamp(0.0, 1.0);
        if self.position.rank >= FULL_RATE_RANKS {
            let members = u32::try_from(self.position.members).unwrap_or(u32::MAX);
            return (pace.update_interval * members / 2).mul_f64(0.5 + 0.5 * draw);
        }
        let doublings = self.failures.saturating_sub(1).min(16);
        let max = pace.update_interval.max(MIN_RETRY_DELAY);
        (MIN_RETRY_DELAY * 2_u32.pow(doublings)).min(max).mul_f64(0.75 + 0.5 * draw)
    }
}
