//! Choice of an upstream by delayed load reports.

use std::time::Duration;

use goldcrestvale_base::domain;
use rand::Rng;

domain! {
    copy
    /// The known load of one upstream.
    pub struct Load {
        /// Requests in the last report, running and waiting.
        pub reported: u32,
        /// Requests of this instance at the upstream when the report was taken.
        pub own_then: u32,
        /// Requests of this instance at the upstream now.
        pub own_now: u32,
        /// Requests that other instances reported sending there since the report, less those that
        /// ended.
        pub others_since: i32,
    }
}

impl Load {
    /// Returns the estimated number of requests at the upstream now.
    ///
    /// A report is delayed, so it is corrected by what this instance and others sent since.
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
        // The requests of this instance are a certain lower bound.
        let min = i64::from(self.own_now);
        u32::try_from(now.max(min)).unwrap_or(u32::MAX)
    }

    /// Returns the expected time of one more request, given the time on an unloaded upstream.
    pub fn expected_time(&self, unloaded: Duration) -> Duration {
        unloaded.saturating_mul(self.current().saturating_add(1))
    }
}

/// Number of upstreams that one choice examines.
pub const SAMPLE_SIZE: usize = 16;

/// Chooses the upstream with the lowest score, of all upstreams or of a random sample.
///
/// The cost does not grow with the fleet. Ties are broken at random, so that several instances with
/// the same reports choose differently.
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
    sample_size: usize,
}

impl Default for Choice {
    fn default() -> Self {
        Self { sample_size: SAMPLE_SIZE }
    }
}

impl Choice {
    /// Creates a choice that examines a number of upstreams.
    pub fn new(sample_size: usize) -> Self {
        Self { sample_size: sample_size.max(1) }
    }

    /// Returns the index below `count` with the lowest score; a score of `None` excludes an index.
    ///
    /// If the sample contains only excluded upstreams, all are examined.
    pub fn choose<S: Ord>(
        &self,
        count: usize,
        mut score: impl FnMut(usize) -> Option<S>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        if count > self.sample_size {
            let sample = (0..self.sample_size).map(|_| rng.random_range(0..count));
            let sample: smallvec::SmallVec<[usize; SAMPLE_SIZE]> = sample.collect();
            let best = lowest(sample.into_iter(), &mut score, rng);
            if best.is_some() {
                return best;
            }
        }
        lowest(0..count, &mut score, rng)
    }
}

fn lowest<S: Ord>(
    indexes: impl Iterator<Item = usize>,
    score: &mut impl FnMut(usize) -> Option<S>,
    rng: &mut impl Rng,
) -> Option<usize> {
    let scored = indexes.filter_map(|index| Some((score(index)?, index)));
    let tied = scored.map(|(score, index)| (score, rng.random::<u32>(), index));
    tied.min_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1))).map(|(_, _, index)| index)
}
