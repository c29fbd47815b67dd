//! Places that are kept free for more urgent streams.

use std::{collections::VecDeque, time::Duration};

use goldcrestvale_base::time::Instant;

use super::{
    Priorities,
    priorities::{COUNT, index},
};
use crate::forward::MAX_PRIORITY;

/// Time constant of the average of the arrivals.
const AVERAGE_TIME: Duration = Duration::from_secs(2);

/// Time over which it is compared how often the priorities were served.
const SHARE_SPAN: Duration = Duration::from_secs(10);

/// Number of slices of that time; a slice expires as a whole.
const SLICES: u32 = 20;

/// Share of the average service below which a priority counts as starved. Callers are promised a
/// half; the control reacts to counts that lag behind, so it begins earlier.
const STARVED_SHARE: f64 = 0.6;

/// Time between two reports of the streams of other instances. Until the next report, several
/// instances give away the same places.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Expected arrivals below which nothing is reserved.
const MIN_ARRIVALS: f64 = 0.05;

/// Maximum share of the places that is reserved, in whole places: the only place of a service is for
/// all.
const MAX_SHARE: f64 = 0.5;

goldcrestvale_base::domain! {
    record
    /// What a service has to give.
    #[derive(Copy)]
    pub struct Capacity {
        /// Places of all its chains.
        pub places: f64,
        /// Places that became free at this instance per second; `None` if none did.
        pub freed_rate: Option<f64>,
        /// Number of instances that share the places.
        pub instances: u32,
    }
}

/// Decides how many places of a service stay free for more urgent streams.
///
/// Under contention every place that becomes free is taken by the next arrival, whatever its
/// priority. A few places that less urgent streams must leave free suffice to serve the urgent ones
/// first. An instance only sees its own arrivals and takes those of the others to be alike.
///
/// # Examples
///
/// ```
/// use goldcrestvale_base::time::Instant;
/// use goldcrestvale_route::contention::{Capacity, Reservation};
///
/// let mut reservation = Reservation::default();
/// let capacity = Capacity { places: 100.0, freed_rate: Some(20.0), instances: 1 };
/// assert_eq!(reservation.keep_free(Instant(0), 2, &capacity), 0.0);
/// (0..40).for_each(|_| reservation.record_arrival(Instant(0), 0));
/// assert!(reservation.keep_free(Instant(0), 2, &capacity) > 1.0);
/// assert_eq!(reservation.keep_free(Instant(0), 0, &capacity), 0.0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Reservation {
    arrivals: [Rate; COUNT],
    slices: VecDeque<Slice>,
}

/// An exponentially weighted rate.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_second: f64,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Instant,
    arrived: [u32; COUNT],
    served: [u32; COUNT],
}

impl Rate {
    fn at(&self, now: Instant) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.per_second * (-passed / AVERAGE_TIME.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Instant) {
        self.per_second = self.at(now) + 1.0 / AVERAGE_TIME.as_secs_f64();
        self.at = self.at.max(now);
    }
}

impl Reservation {
    /// Records the arrival of a new stream.
    pub fn record_arrival(&mut self, now: Instant, priority: u8) {
        self.arrivals[index(priority)].record(now);
        self.slice(now).arrived[index(priority)] += 1;
    }

    /// Records that a new stream took a place.
    pub fn record_served(&mut self, now: Instant, priority: u8) {
        self.slice(now).served[index(priority)] += 1;
    }

    /// Returns the number of places that must stay free beside a new stream of a priority.
    pub fn keep_free(&self, now: Instant, priority: u8, capacity: &Capacity) -> f64 {
        let instances = f64::from(capacity.instances.max(1));
        let urgent = &self.arrivals[..index(priority)];
        let arrivals: f64 = urgent.iter().map(|rate| rate.at(now)).sum::<f64>() * instances;
        let shortest = match capacity.instances {
            0 | 1 => Duration::ZERO,
            _ => REPORT_INTERVAL,
        };
        // Without a place that became free, the time until one does is not known.
        let until_free = capacity.freed_rate.filter(|rate| *rate > 0.0).map_or(
            AVERAGE_TIME.as_secs_f64(),
            |rate| {
                let interval = 1.0 / (rate * instances);
                interval.clamp(shortest.as_secs_f64(), AVERAGE_TIME.as_secs_f64())
            },
        );
        let expected = arrivals * until_free;
        if expected < MIN_ARRIVALS || self.starved(now).contains(priority) {
            return 0.0;
        }
        let places = if capacity.places.is_nan() { 0.0 } else { capacity.places.max(0.0) };
        (expected + expected.sqrt()).min((places * MAX_SHARE).floor())
    }

    /// Returns the priorities that were served much less often than all together.
    pub fn starved(&self, now: Instant) -> Priorities {
        let (mut arrived, mut served) = ([0; COUNT], [0; COUNT]);
        for slice in self.slices.iter().filter(|slice| now.since(slice.start) <= SHARE_SPAN) {
            arrived.iter_mut().zip(&slice.arrived).for_each(|(sum, count)| *sum += count);
            served.iter_mut().zip(&slice.served).for_each(|(sum, count)| *sum += count);
        }
        let all_arrived: u32 = arrived.iter().sum();
        let all_served: u32 = served.iter().sum();
        let share = f64::from(all_served) / f64::from(all_arrived.max(1));
        let mut starved = Priorities::default();
        for priority in 0..=MAX_PRIORITY {
            let (arrived, served) = (arrived[index(priority)], served[index(priority)]);
            // One more of each, so that a single stream without a place does not count as starved.
            let own = f64::from(served + 1) / f64::from(arrived + 1);
            if own < share * STARVED_SHARE {
                starved.insert(priority);
            }
        }
        starved
    }

    /// Returns the slice that contains `now`, and removes those that are older than the span.
    fn slice(&mut self, now: Instant) -> &mut Slice {
        while self.slices.front().is_some_and(|slice| now.since(slice.start) > SHARE_SPAN) {
            self.slices.pop_front();
        }
        let length = SHARE_SPAN / SLICES;
        if self.slices.back().is_none_or(|slice| now.since(slice.start) >= length) {
            let (arrived, served) = ([0; COUNT], [0; COUNT]);
            self.slices.push_back(Slice { start: now, arrived, served });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
