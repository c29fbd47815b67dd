//! Choice of an upstream by load reports that lag.

use std::time::Duration;

use goldcrestvale_base::domain;
use rand::Rng;

domain! {
    copy
    /// What is known of the load of one upstream.
    pub struct Load {
        /// Requests that the last report names, running and waiting.
        pub reported: u32,
        /// Requests that this instance had there when the report was taken.
        pub own_then: u32,
        /// Requests that this instance has there now.
        pub own_now: u32,
        /// Requests that other instances say they sent there since the report, less those ended.
        pub others_since: i32,
    }
}

impl Load {
    /// Returns the requests that are there now, as far as is known.
    ///
    /// A report lags, so it is corrected by what this instance and others did since.
    ///
    /// # Examples
    ///
    /// ```
    /// use goldcrestvale_route::balance::Load;
    ///
    /// let load = Load { reported: 5, own_then: 3, own_now: 1, others_since: 2 };
    /// assert_eq!(load.current(), 5);
    /// ```
    pub fn current(&self) -> u32 {
        let own_since = i64::from(self.own_now) - i64::from(self.own_then);
        let now = i64::from(self.reported) + own_since + i64::from(self.others_since);
        // What this instance has there now is there for certain.
        let least = i64::from(self.own_now);
        u32::try_from(now.max(least)).unwrap_or(u32::MAX)
    }

    /// Returns the expected time of one more request, given the time of one alone.
    pub fn expected_time(&self, alone: Duration) -> Duration {
        alone.saturating_mul(self.current().saturating_add(1))
    }
}

/// Upstreams that one choice looks at.
pub const SAMPLE_SIZE: usize = 16;

/// Chooses the upstream with the least score, of all or of a random sample.
///
/// The cost does not grow with the fleet. Ties are broken at random, so that several instances
/// with the same reports choose differently.
///
/// # Examples
///
/// ```
/// use goldcrestvale_route::balance::Choice;
/// use rand::{SeedableRng, rngs::StdRng};
///
/// let mut rng = StdRng::seed_from_u64(1);
/// let scores = [Some(9), None, Some(4)];
/// assert_eq!(Choice::default().choose(3, |index| scores[index], &mut rng), Some(2));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    sample: usize,
}

impl Default for Choice {
    fn default() -> Self {
        Self { sample: SAMPLE_SIZE }
    }
}

impl Choice {
    /// Creates a choice that looks at a number of upstreams.
    pub fn new(sample: usize) -> Self {
        Self { sample: sample.max(1) }
    }

    /// Returns the index below `count` with the least score; `None` excludes an index.
    ///
    /// If the sample holds only excluded upstreams, all are looked at.
    pub fn choose<S: Ord>(
        &self,
        count: usize,
        mut score: impl FnMut(usize) -> Option<S>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if count > self.sample {
            let drawn = (0..self.sample).map(|_| rng.random_range(0..count));
            let drawn: smallvec::SmallVec<[usize; SAMPLE_SIZE]> = drawn.collect();
            let best = least(drawn.into_iter(), &mut score, rng);
            if best.is_some() {
                return best;
            }
        }
        least(0..count, &mut score, rng)
    }
}

fn least<S: Ord>(
    indexes: impl Iterator<Item = usize>,
    score: &mut impl FnMut(usize) -> Option<S>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let scored = indexes.filter_map(|index| Some((score(index)?, index)));
    let tied = scored.map(|(score, index)| (score, rng.random::<u32>(), index));
    tied.min_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1))).map(|(_, _, index)| index)
}
